package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// fleet is all workers and what they run. One lock guards it.
	fleet struct {
		mu      sync.Mutex
		cell    *cell
		workers []*worker
		gangs   map[string]*gang
		// history holds all runs that have begun.
		history []*execution
		// twice describes the first broken rule of that name.
		twice string
	}

	// worker is a stand-in for one worker. Its fields hold the state of its present life.
	worker struct {
		id, addr, zone string
		labels         []string
		capacity       size
		f              *fleet
		server         *http.Server

		born     int64
		start    time.Time
		sequence int
		fence    int64
		lease    time.Duration
		running  map[string]*execution
		ended    []endRow
		lastEnd  int64
		// barred holds the highest run of each task that was stopped or has ended here.
		barred  map[string]int64
		changed chan struct{}

		// hangs is set while the worker leaves all calls unanswered, down between two lives.
		hangs, down bool
		// lateShare is the share of the orders that it leaves unanswered and carries out late.
		lateShare float64
	}

	// execution is one run of a task on a worker.
	execution struct {
		// noted is set once the worker was told that the end is taken note of.
		noted      bool
		task       string
		run        int64
		job        *clientJob
		step       int
		w          *worker
		begun      time.Time
		worksSince time.Time
		ended      time.Time
		how        string
		g          *gang
	}

	// gang is one run of a step whose tasks work together.
	gang struct {
		members    []*execution
		size       int
		worksSince time.Time
		over       bool
	}

	endRow struct {
		number int64
		e      *execution
	}

	startBody struct {
		Task       string `json:"task"`
		Run        int64  `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadline-ms"`
		Token      int64  `json:"fencing-token"`
	}

	holdBody struct {
		DeadlineMs int64 `json:"deadline-ms"`
		Token      int64 `json:"fencing-token"`
		AckCursor  int64 `json:"ack-cursor"`
		WaitMs     int64 `json:"wait-ms"`
	}
)

const (
	holdMax     = 6 * time.Second
	stopTime    = 50 * time.Millisecond
	gangTimeout = 3 * time.Second
	startupTime = 300 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	tick        = 5 * time.Millisecond
	maxRows     = 500
	// An order that is carried out late is so between minDelay and maxDelay after it came.
	minDelay = 2 * time.Second
	maxDelay = 12 * time.Second
)

// begin starts a life of the worker: it holds and knows nothing of before.
func (w *worker) begin() error {
	w.f.mu.Lock()
	w.born = time.Now().UnixMilli()
	w.start = time.Now().Add(-17 * time.Second)
	w.fence, w.lease, w.lastEnd, w.ended = 0, 0, 0, nil
	w.running, w.barred = map[string]*execution{}, map[string]int64{}
	w.changed = make(chan struct{})
	w.down = false
	w.f.mu.Unlock()
	if err := w.listen(); err != nil {
		return err
	}
	w.beat()
	return nil
}

// listen lets the machines of the system reach the worker.
func (w *worker) listen() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	return nil
}

// crash ends the process of the worker: its connections break, and all that runs there is gone.
func (w *worker) crash() {
	w.f.mu.Lock()
	w.down = true
	for _, e := range w.running {
		e.finish("crashed")
	}
	w.running = map[string]*execution{}
	w.f.mu.Unlock()
	_ = w.server.Close()
}

// cutOff cuts the worker off from the machines of the system: its connections are reset, and no
// new ones come about. It runs on, and the store hears of it.
func (w *worker) cutOff() {
	_ = w.server.Close()
}

// clock is the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.start) }

// beat writes the worker's entry into the store.
func (w *worker) beat() {
	w.f.mu.Lock()
	if w.down {
		w.f.mu.Unlock()
		return
	}
	w.sequence++
	entry := map[string]any{
		"service": serviceName, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": w.capacity, "labels": w.labels, "clock-ms": w.clock().Milliseconds(),
		"sequence": w.sequence, "born": w.born,
	}
	w.f.mu.Unlock()
	body, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	w.f.cell.store.put("keyed.servers", w.id, body)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.isHanging() {
		<-r.Context().Done()
		return
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var status int
	var answer map[string]any
	switch r.URL.Path {
	case "/api/run-start":
		var b startBody
		decode(r, &b)
		if w.late(r, func() { w.runStart(&b) }) {
			return
		}
		status, answer = w.runStart(&b)
	case "/api/run-stop":
		var b startBody
		decode(r, &b)
		if w.late(r, func() { w.runStop(&b) }) {
			return
		}
		status, answer = w.runStop(&b)
	case "/api/hold":
		var b holdBody
		decode(r, &b)
		status, answer = w.hold(r, &b)
	default:
		status, answer = http.StatusNotFound, map[string]any{}
	}
	if w.isHanging() {
		<-r.Context().Done()
		return
	}
	reply(rw, status, answer)
}

// late reports whether the worker leaves an order unanswered; it then carries it out later, if it is
// up at that time, whichever life it is in.
func (w *worker) late(r *http.Request, order func()) bool {
	w.f.mu.Lock()
	late := rand.Float64() < w.lateShare
	w.f.mu.Unlock()
	if !late {
		return false
	}
	delay := minDelay + time.Duration(rand.Int64N(int64(maxDelay-minDelay)))
	time.AfterFunc(delay, order)
	<-r.Context().Done()
	return true
}

func decode(r *http.Request, v any) {
	var b bytes.Buffer
	_, _ = b.ReadFrom(r.Body)
	_ = json.Unmarshal(b.Bytes(), v)
}

// setHanging lets the worker leave all calls unanswered, or answer them again. Its tasks go on, and
// it writes its entry.
func (w *worker) setHanging(hangs bool) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.hangs = hangs
}

func (w *worker) isHanging() bool {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.hangs
}

// refuses checks the fencing token of an order.
func (w *worker) refuses(token int64) bool {
	if token < w.fence {
		return true
	}
	w.fence = token
	return false
}

// extend prolongs the lease; it never shortens it.
func (w *worker) extend(deadlineMs int64) {
	end := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+holdMax)
	w.lease = max(w.lease, end)
}

func (w *worker) clockOnly(reason string) map[string]any {
	m := map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born}
	if reason != "" {
		m["reason"] = reason
	}
	return m
}

func (w *worker) runStart(b *startBody) (int, map[string]any) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.down {
		return http.StatusServiceUnavailable, w.clockOnly("")
	}
	if w.refuses(b.Token) {
		return http.StatusConflict, w.clockOnly("fence")
	}
	if time.Duration(b.DeadlineMs)*time.Millisecond <= w.clock() {
		return http.StatusConflict, w.clockOnly("late")
	}
	w.extend(b.DeadlineMs)
	if e := w.running[b.Task]; e != nil {
		if e.run == b.Run {
			return http.StatusOK, w.clockOnly("")
		}
		return http.StatusConflict, w.clockOnly("old")
	}
	if b.Run <= w.barred[b.Task] {
		return http.StatusConflict, w.clockOnly("old")
	}
	id, step := splitTask(b.Task)
	now := time.Now()
	e := &execution{task: b.Task, run: b.Run, job: w.f.cell.job(id), step: step, w: w, begun: now}
	if e.job == nil {
		w.f.cell.log("UNKNOWN start of %s", b.Task)
		return http.StatusBadRequest, w.clockOnly("")
	}
	w.f.judgeTwice(e)
	w.running[b.Task] = e
	w.f.history = append(w.f.history, e)
	w.f.cell.logQuiet("start %s run %d on %s", b.Task, b.Run, w.id)
	if s := &e.job.Steps[step]; s.Gang {
		w.f.join(e, s.Count)
	} else {
		e.worksSince = now
	}
	return http.StatusOK, w.clockOnly("")
}

// judgeTwice looks for a run of the task that is at work, or has ended with done if that end was
// taken note of.
func (f *fleet) judgeTwice(e *execution) {
	for _, o := range f.history {
		if o.task != e.task || f.twice != "" {
			continue
		}
		switch {
		case o.ended.IsZero():
			f.twice = fmt.Sprintf("TWICE: run %d of %s begins on %s while run %d is at work on %s", e.run, e.task, e.w.id, o.run, o.w.id)
		case o.how == "done" && o.noted:
			f.twice = fmt.Sprintf("TWICE: run %d of %s begins on %s after run %d has ended with done on %s, which was taken note of", e.run, e.task, e.w.id, o.run, o.w.id)
		default:
			continue
		}
		f.cell.log("%s", f.twice)
	}
}

// join adds a member to its gang, which works once all are there.
func (f *fleet) join(e *execution, count int) {
	id, step := splitTask(e.task)
	key := fmt.Sprintf("%s.%d/%d", id, step, e.run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{size: count}
		f.gangs[key] = g
	}
	e.g = g
	g.members = append(g.members, e)
	if len(g.members) == g.size {
		g.worksSince = e.begun
		for _, m := range g.members {
			m.worksSince = e.begun
		}
	}
}

func (w *worker) runStop(b *startBody) (int, map[string]any) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.down {
		return http.StatusServiceUnavailable, w.clockOnly("")
	}
	if w.refuses(b.Token) {
		return http.StatusConflict, w.clockOnly("fence")
	}
	w.f.cell.logQuiet("stop %s run %d on %s", b.Task, b.Run, w.id)
	w.barred[b.Task] = max(w.barred[b.Task], b.Run)
	if e := w.running[b.Task]; e != nil && e.run <= b.Run {
		time.AfterFunc(stopTime, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			if w.running[b.Task] == e {
				w.end(e, "stopped")
			}
		})
	}
	return http.StatusOK, w.clockOnly("")
}

func (w *worker) hold(r *http.Request, b *holdBody) (int, map[string]any) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.refuses(b.Token) {
		return http.StatusConflict, w.clockOnly("fence")
	}
	w.extend(b.DeadlineMs)
	for len(w.ended) > 0 && w.ended[0].number <= b.AckCursor {
		w.ended[0].e.noted = true
		w.ended = w.ended[1:]
	}
	if b.WaitMs > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(b.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.f.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, e := range w.running {
		running = append(running, []any{e.task, e.run, "", e.percent()})
	}
	for i := range w.ended[:min(len(w.ended), maxRows)] {
		row := &w.ended[i]
		ended = append(ended, []any{row.number, row.e.task, row.e.run, row.e.how, ""})
	}
	m := w.clockOnly("")
	m["running"], m["ended"] = running, ended
	return http.StatusOK, m
}

// percent is the progress of a run. A task that lasts is at work, at 100, after its startup.
func (e *execution) percent() int {
	if e.worksSince.IsZero() {
		return 0
	}
	total := e.job.Steps[e.step].duration
	if e.job.Steps[e.step].LongRunning {
		total = startupTime
	}
	return int(min(100, 100*time.Since(e.worksSince)/max(total, time.Millisecond)))
}

func (e *execution) finish(how string) {
	e.ended, e.how = time.Now(), how
}

// end ends a run and lists its end. If it belongs to a gang, the end of one that is not done
// breaks the others.
func (w *worker) end(e *execution, how string) {
	e.finish(how)
	delete(w.running, e.task)
	w.barred[e.task] = max(w.barred[e.task], e.run)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, e})
	close(w.changed)
	w.changed = make(chan struct{})
	w.f.cell.logQuiet("end %s run %d on %s: %s", e.task, e.run, w.id, how)
	if e.g == nil || e.g.over || how == "done" {
		return
	}
	e.g.over = true
	for _, m := range e.g.members {
		if m != e && m.ended.IsZero() {
			m.w.end(m, "broken")
		}
	}
}

// advance lets time pass on all workers: work is done, leases expire, gangs give up waiting.
func (f *fleet) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, w := range f.workers {
		if len(w.running) > 0 && w.clock() > w.lease {
			for _, e := range executions(w.running) {
				w.end(e, "lapsed")
			}
		}
		if w.down {
			continue
		}
		for _, e := range executions(w.running) {
			s := &e.job.Steps[e.step]
			switch {
			case !e.ended.IsZero():
			case e.worksSince.IsZero() && now.Sub(e.begun) > gangTimeout:
				w.end(e, "alone")
			case e.worksSince.IsZero() || s.LongRunning:
			case now.Sub(e.worksSince) >= s.duration:
				w.end(e, "done")
			}
		}
	}
}

func executions(m map[string]*execution) []*execution {
	list := make([]*execution, 0, len(m))
	for _, e := range m {
		list = append(list, e)
	}
	return list
}

// splitTask returns the job and the step of a task's name.
func splitTask(name string) (string, int) {
	parts := strings.Split(name, ".")
	step, _ := strconv.Atoi(parts[2])
	return parts[0], step
}
