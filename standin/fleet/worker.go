package fleet

import (
	"context"
	"fmt"
	"sort"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// Worker runs tasks under a lease.
	Worker struct {
		fleet *Fleet
		up    site.Upstream
		boot  time.Time

		token    int64
		leaseEnd time.Duration
		runs     map[site.TaskID]*running
		barred   map[site.TaskID]int64
		ended    []ending
		number   int64
		wake     chan struct{}

		// gone workers run nothing; silent ones run on but cannot be reached.
		gone   bool
		silent bool
		// delay is added to each call.
		delay      time.Duration
		listed     bool
		loseNext   int
		loseHolds  int
		refuseNext int
		lateNext   int
		lateAfter  time.Duration
	}

	// ending is the end of a run that was not acknowledged yet.
	ending struct {
		site.RunEnd
		at time.Time
		// lapsed is set once runs were killed at the end of the lease since: the
		// scheduler may then have given the run up, and the end counts no more.
		lapsed bool
	}

	running struct {
		task   site.TaskID
		number int64
		began  time.Time
		// endAt is zero while a gang waits for its members.
		endAt time.Time
		// partAt is when it has done its own part; a gang ends together.
		partAt time.Time
		how    site.EndKind
		takes  time.Duration
	}
)

const (
	checkEvery = 10 * time.Millisecond
	gangWait   = 3 * time.Second

	// Standstill is the time of a run that makes no progress.
	Standstill = time.Hour
)

// restart begins a life of the worker, which knows nothing of before.
func (w *Worker) restart() {
	w.boot = time.Now()
	w.up.Boot = w.boot.UnixMilli()
	w.token = 0
	w.leaseEnd = 0
	w.runs = map[site.TaskID]*running{}
	w.barred = map[site.TaskID]int64{}
	w.ended = nil
	w.number = 0
	w.wake = make(chan struct{})
}

// percent is the progress of a run; a gang makes none before all are there, nor
// does a run that never ends.
func (r *running) percent(now time.Time) int {
	if r.endAt.IsZero() || r.takes >= Standstill {
		return 0
	}
	return int(min(100, 100-100*r.partAt.Sub(now)/r.takes))
}

func (w *Worker) clock(now time.Time) time.Duration {
	return now.Sub(w.boot)
}

func (w *Worker) pass(now time.Time) {
	if w.gone {
		return
	}
	lapsed := w.leaseEnd > 0 && w.clock(now) >= w.leaseEnd && len(w.runs) > 0
	for i := range w.ended {
		w.ended[i].lapsed = w.ended[i].lapsed || lapsed
	}
	for _, r := range w.sorted() {
		switch {
		case lapsed:
			w.end(r, site.LeaseExpired)
		case !r.endAt.IsZero() && !now.Before(r.endAt):
			w.end(r, r.how)
		case r.endAt.IsZero() && now.Sub(r.began) >= gangWait:
			w.end(r, site.GangIncomplete)
		}
	}
}

func (w *Worker) sorted() []*running {
	var list []*running
	for _, r := range w.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].task.Job != list[b].task.Job {
			return list[a].task.Job < list[b].task.Job
		}
		return list[a].task.Index < list[b].task.Index
	})
	return list
}

func (w *Worker) end(r *running, how site.EndKind) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.number++
	w.ended = append(w.ended, ending{RunEnd: site.RunEnd{Number: w.number, Task: r.task, Run: r.number, Kind: how}, at: time.Now()})
	close(w.wake)
	w.wake = make(chan struct{})
	if _, n := w.fleet.size(r.task); n > 0 && how != site.Done {
		w.fleet.breakGang(r)
	}
}

// Leave takes the worker away for good, with all that it runs.
func (w *Worker) Leave() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.gone = true
	w.listed = false
	w.runs = map[site.TaskID]*running{}
}

// SetSilent cuts the worker off, or lets it answer again.
func (w *Worker) SetSilent(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
}

// SetDelay has each call take that much longer on its way.
func (w *Worker) SetDelay(d time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.delay = d
}

// Reboot kills the worker's process and starts it under the same id.
func (w *Worker) Reboot() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.restart()
}

// LoseAnswers has the next n starts carried out without an answer.
func (w *Worker) LoseAnswers(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.loseNext = n
}

// LoseHolds has the next n holds carried out without an answer.
func (w *Worker) LoseHolds(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.loseHolds = n
}

// RefuseStarts has the next n starts refused, as by a worker that is unwell.
func (w *Worker) RefuseStarts(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.refuseNext = n
}

// DelayStarts has the next n starts carried out later, without an answer.
func (w *Worker) DelayStarts(n int, by time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.lateNext = n
	w.lateAfter = by
}

// Running returns the number of runs.
func (w *Worker) Running() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.runs)
}

// reach blocks while the worker is out of reach.
func (w *Worker) reach(ctx context.Context) error {
	w.fleet.mu.Lock()
	gone := w.gone || w.silent
	delay := w.delay
	w.fleet.mu.Unlock()
	if gone {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Start implements the order.
func (w *Worker) Start(ctx context.Context, o *site.StartRequest) (time.Duration, error) {
	if err := w.reach(ctx); err != nil {
		return 0, err
	}
	w.fleet.mu.Lock()
	if w.lateNext > 0 {
		w.lateNext--
		late, boot := *o, w.boot
		time.AfterFunc(w.lateAfter, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.boot != boot {
				// The order was lost with the process that had it.
				return
			}
			// Nobody waits for the answer any more.
			_ = w.begin(&late)
		})
		w.fleet.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	err := w.begin(o)
	lose := w.loseNext > 0
	if lose {
		w.loseNext--
	}
	clock := w.clock(time.Now())
	w.fleet.mu.Unlock()
	if lose {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return clock, err
}

func (w *Worker) begin(o *site.StartRequest) error {
	f := w.fleet
	now := time.Now()
	switch {
	case o.Token < w.token:
		return &site.RefusalError{Reason: site.RefusedFenced}
	case o.Run <= w.barred[o.Task]:
		return &site.RefusalError{Reason: site.RefusedStaleRun}
	case o.LeaseEnd <= w.clock(now):
		return &site.RefusalError{Reason: site.RefusedLeaseExpired}
	case w.refuseNext > 0:
		w.refuseNext--
		return &site.RefusalError{Reason: site.RefusedUnavailable}
	}
	w.token = o.Token
	w.leaseEnd = max(w.leaseEnd, o.LeaseEnd)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	w.judge(o)
	takes, how := f.outcome(o.Task, o.Run, w.up.ID)
	r := &running{task: o.Task, number: o.Run, began: now, how: how, takes: takes}
	if _, gang := f.size(o.Task); gang == 0 {
		r.endAt = now.Add(takes)
		r.partAt = r.endAt
	}
	w.runs[o.Task] = r
	f.starts[o.Task]++
	f.startedAt[o.Task] = now
	return nil
}

// judge notes what a start breaks.
func (w *Worker) judge(o *site.StartRequest) {
	f := w.fleet
	if f.done[o.Task] {
		f.breaches = append(f.breaches, fmt.Sprintf("%v run %d starts after it was done", o.Task, o.Run))
	}
	size, _ := f.size(o.Task)
	total := size
	for _, other := range f.workers {
		if r := other.runs[o.Task]; r != nil && !other.gone {
			f.breaches = append(f.breaches, fmt.Sprintf("%v run %d starts while run %d is at %s", o.Task, o.Run, r.number, other.up.ID))
		}
	}
	for t := range w.runs {
		size, _ := f.size(t)
		total = total.Add(size)
	}
	if !total.Fits(w.up.Capacity) {
		f.breaches = append(f.breaches, fmt.Sprintf("%s holds %v of %v", w.up.ID, total, w.up.Capacity))
	}
}

// Stop implements the order.
func (w *Worker) Stop(ctx context.Context, o *site.StopRequest) (time.Duration, error) {
	if err := w.reach(ctx); err != nil {
		return 0, err
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if o.Token < w.token {
		return 0, &site.RefusalError{Reason: site.RefusedFenced}
	}
	w.token = o.Token
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.end(r, site.Stopped)
	}
	return w.clock(time.Now()), nil
}

// Hold implements the order.
func (w *Worker) Hold(ctx context.Context, o *site.HoldRequest) (*site.HoldReply, error) {
	if err := w.reach(ctx); err != nil {
		return nil, err
	}
	w.fleet.mu.Lock()
	if o.Token < w.token {
		w.fleet.mu.Unlock()
		return nil, &site.RefusalError{Reason: site.RefusedFenced}
	}
	w.token = o.Token
	w.leaseEnd = max(w.leaseEnd, o.LeaseEnd)
	for len(w.ended) > 0 && w.ended[0].Number <= o.Acked {
		w.fleet.acknowledge(&w.ended[0])
		w.ended = w.ended[1:]
	}
	wake, wait := w.wake, len(w.ended) == 0
	w.fleet.mu.Unlock()
	if wait && o.Wait > 0 {
		select {
		case <-wake:
		case <-time.After(o.Wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if err := w.reach(ctx); err != nil {
		return nil, err
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.loseHolds > 0 {
		w.loseHolds--
		w.fleet.mu.Unlock()
		<-ctx.Done()
		w.fleet.mu.Lock()
		return nil, ctx.Err()
	}
	reply := &site.HoldReply{Clock: w.clock(time.Now()), Boot: w.up.Boot}
	for _, e := range w.ended {
		reply.Ended = append(reply.Ended, e.RunEnd)
	}
	for _, r := range w.sorted() {
		reply.Running = append(reply.Running, site.RunStatus{Task: r.task, Run: r.number, Percent: r.percent(time.Now())})
	}
	return reply, nil
}

// Capacity returns what the worker offers.
func (w *Worker) Capacity() resource.Vector {
	return w.up.Capacity
}
