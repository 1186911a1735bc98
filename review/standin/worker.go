package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

type (
	// size is an amount of capacity on the wire.
	size struct {
		CPU   int64 `json:"cpu"`
		MemMB int64 `json:"mem-mb"`
		GPU   int64 `json:"gpu"`
	}

	// fleet holds all workers, and checks the rules that concern several of them.
	fleet struct {
		mu      sync.Mutex
		rec     *record
		net     network
		workers []*worker
		// taskTime returns how long the work of a task takes and how it ends.
		taskTime func(task string, run int64) (time.Duration, string)
		// needsTicket reports whether the policy of a task's queue asks for a ticket.
		needsTicket func(task string) bool
		// adviceTime is the time of a call for advice on so many workers.
		adviceTime func(workers int) time.Duration
		// done holds the tasks that have ended done, noted those of which that end was
		// taken note of.
		done, noted map[string]bool
		// lasts reports whether a task runs until its job is cancelled.
		lasts       func(task string) bool
		tickets     map[string]ticket
		ticketCount int
	}

	ticket struct {
		step, worker string
		boot         int64
		until        time.Time
	}

	// worker is one worker. Its listener stays at one address; a restart keeps the id.
	worker struct {
		f        *fleet
		id       string
		addr     string
		service  string
		zone     string
		labels   []string
		capacity size

		up       bool
		boot     int64
		bornAt   time.Time
		token    int64
		lease    time.Duration
		runs     map[runKey]*run
		barred   map[string]int64
		ended    []ended
		number   int64
		sequence int64
		wake     chan struct{}
		server   *http.Server
		calls    http.Handler
		// cutFromStore is set while its heartbeats don't arrive.
		cutFromStore bool
		beatAt       time.Time
		listed       bool
		// started counts the tasks that have started.
		started int
	}

	runKey struct {
		task string
		run  int64
	}

	run struct {
		key   runKey
		began time.Time
		takes time.Duration
		how   string
	}

	ended struct {
		number int64
		key    runKey
		how    string
	}
)

const (
	holdMax       = 6 * time.Second
	stopTime      = 50 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	maxEndedRows  = 500
	ticketTime    = 2 * time.Second
	workerTick    = 5 * time.Millisecond
	maxHoldWaitMs = 2000
)

func newFleet(rec *record) *fleet {
	return &fleet{
		rec: rec, done: map[string]bool{}, noted: map[string]bool{}, tickets: map[string]ticket{},
		needsTicket: func(string) bool { return false },
		adviceTime:  func(int) time.Duration { return 12 * time.Millisecond },
	}
}

// add adds a worker that listens at addr once it is started.
func (f *fleet) add(id, addr, zone string, labels []string, capacity size) *worker {
	w := &worker{f: f, id: id, addr: addr, service: "ledger", zone: zone, labels: labels, capacity: capacity}
	f.workers = append(f.workers, w)
	return w
}

// start begins a life of the worker: it holds and knows nothing of before.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.addr = ln.Addr().String()
	w.up = true
	w.bornAt = time.Now()
	w.boot = w.bornAt.UnixMilli()
	w.token, w.lease, w.number, w.sequence = 0, 0, 0, 0
	w.runs, w.barred, w.ended = map[runKey]*run{}, map[string]int64{}, nil
	w.wake = make(chan struct{})
	w.beatAt = time.Now().Add(-heartbeat)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serveStart)
	mux.HandleFunc("POST /api/run-stop", w.serveStop)
	mux.HandleFunc("POST /api/hold", w.serveHold)
	w.calls = mux
	w.server = &http.Server{Handler: w.f.net.through(w, mux)}
	server := w.server
	go func() { _ = server.Serve(ln) }()
	w.f.rec.note("worker %s starts, born %d", w.id, w.boot)
	return nil
}

// crash ends the worker's process: what runs there ends, its connections break.
func (w *worker) crash() {
	w.f.mu.Lock()
	w.up = false
	n := len(w.runs)
	w.runs = map[runKey]*run{}
	server := w.server
	w.f.mu.Unlock()
	_ = server.Close()
	w.f.rec.note("worker %s crashes under %d runs", w.id, n)
}

func (w *worker) clock(now time.Time) time.Duration {
	return now.Sub(w.bornAt)
}

// extend takes a deadline on the worker's clock. It never shortens the lease, and one that is
// too long is cut.
func (w *worker) extend(deadlineMs int64, now time.Time) {
	d := min(time.Duration(deadlineMs)*time.Millisecond, w.clock(now)+holdMax)
	w.lease = max(w.lease, d)
}

// run follows the runs, leases and heartbeats of all workers until ctx ends.
func (f *fleet) run(ctx context.Context, s *store) {
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			for _, w := range f.workers {
				w.tick(now, s)
			}
			f.mu.Unlock()
		}
	}
}

func (w *worker) tick(now time.Time, s *store) {
	if w.listed && now.Sub(w.beatAt) > 3*heartbeat {
		w.listed = false
		s.put("keyed.servers", w.id, nil)
		w.f.rec.note("worker %s is no longer listed", w.id)
	}
	if !w.up {
		return
	}
	if s.silent.Load() {
		// Entries don't expire while the store is down.
		w.beatAt = w.beatAt.Add(workerTick)
	}
	if !w.cutFromStore && !s.silent.Load() && now.Sub(w.beatAt) >= heartbeat {
		w.beatAt = now
		w.listed = true
		w.sequence++
		s.put("keyed.servers", w.id, w.entry(now))
	}
	if len(w.runs) > 0 && w.clock(now) >= w.lease {
		for _, r := range w.sorted() {
			w.end(r, "lapsed")
		}
	}
	for _, r := range w.sorted() {
		if now.Sub(r.began) >= r.takes {
			w.end(r, r.how)
		}
	}
}

func (w *worker) entry(now time.Time) []byte {
	text, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": w.capacity, "labels": w.labels, "clock-ms": w.clock(now).Milliseconds(),
		"sequence": w.sequence, "born": w.boot,
	})
	return text
}

func (w *worker) sorted() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].key.task != list[b].key.task {
			return list[a].key.task < list[b].key.task
		}
		return list[a].key.run < list[b].key.run
	})
	return list
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.key)
	w.barred[r.key.task] = max(w.barred[r.key.task], r.key.run)
	w.number++
	w.ended = append(w.ended, ended{w.number, r.key, how})
	if how == "done" {
		w.f.done[r.key.task] = true
	}
	w.f.rec.note("end %s run %d on %s: %s (end %d)", r.key.task, r.key.run, w.id, how, w.number)
	close(w.wake)
	w.wake = make(chan struct{})
}

type startBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Token      int64  `json:"fencing-token"`
	Ticket     string `json:"ticket"`
}

// receive decodes a call. It reports false if the call is meant for another worker.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (w *worker) refuse(rw http.ResponseWriter, now time.Time, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock-ms": w.clock(now).Milliseconds(), "born": w.boot, "reason": reason})
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var b startBody
	if !w.receive(rw, r, &b) {
		return
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	now := time.Now()
	key := runKey{b.Task, b.Run}
	if b.Token < w.token {
		w.f.rec.note("start %s run %d on %s: refused, fence %d", b.Task, b.Run, w.id, b.Token)
		w.refuse(rw, now, "fence")
		return
	}
	w.token = b.Token
	if time.Duration(b.DeadlineMs)*time.Millisecond <= w.clock(now) {
		w.refuse(rw, now, "late")
		return
	}
	w.extend(b.DeadlineMs, now)
	if w.runs[key] != nil {
		reply(rw, http.StatusOK, map[string]any{"clock-ms": w.clock(now).Milliseconds(), "born": w.boot})
		return
	}
	if b.Run <= w.barred[b.Task] {
		w.f.rec.note("start %s run %d on %s: refused, old", b.Task, b.Run, w.id)
		w.refuse(rw, now, "old")
		return
	}
	if w.f.needsTicket(b.Task) && !w.f.ticketValid(b.Ticket, stepOf(b.Task), w, now) {
		w.f.rec.note("start %s run %d on %s: refused, ticket %q", b.Task, b.Run, w.id, b.Ticket)
		w.refuse(rw, now, "ticket")
		return
	}
	w.f.rec.note("start %s run %d on %s, token %d, deadline in %d ms", b.Task, b.Run, w.id, b.Token, (w.lease - w.clock(now)).Milliseconds())
	w.f.checkStart(w, key)
	w.started++
	takes, how := w.f.taskTime(b.Task, b.Run)
	w.runs[key] = &run{key: key, began: now, takes: takes, how: how}
	reply(rw, http.StatusOK, map[string]any{"clock-ms": w.clock(now).Milliseconds(), "born": w.boot})
}

// checkStart looks for a second run of the task on a worker that is up, and for one that has
// ended done and been taken note of.
func (f *fleet) checkStart(on *worker, key runKey) {
	for _, w := range f.workers {
		for other := range w.runs {
			if w.up && other.task == key.task && other != key {
				f.rec.breach("TWICE: %s run %d starts on %s while run %d is running on %s", key.task, key.run, on.id, other.run, w.id)
			}
		}
	}
	if f.noted[key.task] {
		f.rec.breach("TWICE: %s run %d starts on %s after a run has ended done, which was taken note of", key.task, key.run, on.id)
	}
}

func (f *fleet) ticketValid(text, step string, w *worker, now time.Time) bool {
	t, found := f.tickets[text]
	return found && t.step == step && t.worker == w.id && t.boot == w.boot && now.Before(t.until)
}

// stepOf returns the step of a task: its name without the index.
func stepOf(task string) string {
	return task[:strings.LastIndexByte(task, '.')]
}

// stepNumber returns the number of a task's step.
func stepNumber(task string) int {
	var occurrence, step, index int
	_, _ = fmt.Sscanf(task[strings.IndexByte(task, '.'):], ".%d.%d.%d", &occurrence, &step, &index)
	return step
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	return task[:strings.IndexByte(task, '.')]
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var b startBody
	if !w.receive(rw, r, &b) {
		return
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	now := time.Now()
	if b.Token < w.token {
		w.refuse(rw, now, "fence")
		return
	}
	w.token = b.Token
	w.barred[b.Task] = max(w.barred[b.Task], b.Run)
	w.f.rec.note("stop %s run %d on %s", b.Task, b.Run, w.id)
	if r := w.runs[runKey{b.Task, b.Run}]; r != nil {
		r.how, r.takes = "stopped", now.Sub(r.began)+stopTime
	}
	reply(rw, http.StatusOK, map[string]any{"clock-ms": w.clock(now).Milliseconds(), "born": w.boot})
}

type holdBody struct {
	DeadlineMs int64 `json:"deadline-ms"`
	Token      int64 `json:"fencing-token"`
	Acked      int64 `json:"ack-cursor"`
	WaitMs     int64 `json:"wait-ms"`
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var b holdBody
	if !w.receive(rw, r, &b) {
		return
	}
	w.f.mu.Lock()
	now := time.Now()
	if b.Token < w.token {
		w.refuse(rw, now, "fence")
		w.f.mu.Unlock()
		return
	}
	w.token = b.Token
	w.extend(b.DeadlineMs, now)
	for len(w.ended) > 0 && w.ended[0].number <= b.Acked {
		if w.ended[0].how == "done" {
			w.f.noted[w.ended[0].key.task] = true
		}
		w.ended = w.ended[1:]
	}
	wake, boot := w.wake, w.boot
	wait := len(w.ended) == 0 && b.WaitMs > 0
	w.f.mu.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(min(b.WaitMs, maxHoldWaitMs)) * time.Millisecond)
		select {
		case <-wake:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.boot != boot {
		return
	}
	reply(rw, http.StatusOK, w.lists(time.Now()))
}

// lists returns what runs and what has ended, 500 ends at a time.
func (w *worker) lists(now time.Time) any {
	running, list := [][]any{}, [][]any{}
	for _, r := range w.sorted() {
		percent := int(min(99, 100*now.Sub(r.began)/max(1, r.takes)))
		if w.f.lasts(r.key.task) {
			percent = 100
		}
		running = append(running, []any{r.key.task, r.key.run, "", percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEndedRows)] {
		list = append(list, []any{e.number, e.key.task, e.key.run, e.how, ""})
	}
	return map[string]any{"clock-ms": w.clock(now).Milliseconds(), "born": w.boot, "running": running, "ended": list}
}
