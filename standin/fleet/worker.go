package fleet

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// Worker simulates a worker that runs tasks under a lease.
	Worker struct {
		fleet    *Fleet
		upstream site.Upstream
		boot     time.Time
		// incarnation counts the starts under the id, clockOrigin is what the clock showed at boot.
		incarnation int
		clockOrigin time.Duration

		token    int64
		leaseEnd time.Duration
		runs     map[site.TaskID]*taskRun
		// barred holds the newest run of each task that has ended or was stopped.
		// Starts of it and of older runs are refused.
		barred map[site.TaskID]int64
		ended  []endedRun
		number int64
		wake   chan struct{}

		// A gone worker has been terminated. A silent one continues its runs but
		// does not respond.
		gone   bool
		silent bool
		// entry is what the worker last wrote to the registry, nil if it is not there.
		entry       *site.Upstream
		heartbeatAt time.Time
		// cutFromStore is set while the worker's heartbeats are lost.
		cutFromStore bool
		// largerCapacities are those before it shrank.
		largerCapacities []pastCapacity
		// crashedAt is when the worker crashed, zero for never or once its successor
		// has started.
		crashedAt time.Time
		// delay is added to each message.
		delay      time.Duration
		listed     bool
		dropNext   int
		resetNext  int
		dropHolds  int
		refuseNext int
		delayNext  int
		loseNext   int
		startDelay time.Duration
		delayHolds int
		holdDelay  time.Duration
		alterReply func(reply *site.HoldReply)
	}

	// pastCapacity is a capacity that a worker had until it shrank.
	pastCapacity struct {
		capacity resource.Vector
		until    time.Time
	}

	// endedRun is an end that was not acknowledged yet.
	endedRun struct {
		site.RunEnd
		at time.Time
		// lapsed is set if the lease expired after this end. The scheduler may then
		// have given up this run, so its end no longer counts.
		lapsed bool
	}

	taskRun struct {
		task   site.TaskID
		number int64
		began  time.Time
		// endAt is zero while the gang waits for its members.
		endAt time.Time
		// workDoneAt is when the run finishes its own work; the members of a gang
		// end together.
		workDoneAt time.Time
		endKind    site.EndKind
		duration   time.Duration
	}
)

const (
	// maxListedEnds is the number of ends that a reply lists, those with the lowest numbers.
	maxListedEnds = 500
	tickInterval  = 10 * time.Millisecond
	// defaultGangTimeout is how long a member of a gang waits for the others, see SetGangTimeout.
	defaultGangTimeout = 3 * time.Second
	// defaultMaxLease is the longest lease that a worker grants, see SetMaxLease.
	defaultMaxLease = 6 * time.Second
	// defaultShrinkNotice is how long starts may rely on a capacity that has shrunk if the
	// list shows each change at once.
	defaultShrinkNotice = time.Second

	// StalledRunTime is the shortest duration of a run that reports no progress.
	StalledRunTime = time.Hour
)

var errConnectionReset = errors.New("the connection was reset")

// restart starts a new incarnation of the worker with no state.
func (w *Worker) restart() {
	w.boot = time.Now()
	w.upstream.Boot = w.boot.UnixMilli()
	w.startClock()
	w.token = 0
	w.leaseEnd = 0
	w.runs = map[site.TaskID]*taskRun{}
	w.barred = map[site.TaskID]int64{}
	w.ended = nil
	w.number = 0
	w.wake = make(chan struct{})
}

// percent returns the progress of a run. It is 0 for a gang whose members are
// not all present, and for a run that takes StalledRunTime or longer.
func (r *taskRun) percent(now time.Time) int {
	if r.endAt.IsZero() || r.duration >= StalledRunTime {
		return 0
	}
	return int(min(100, 100-100*r.workDoneAt.Sub(now)/r.duration))
}

// extendLease extends the lease of all runs, but not beyond the longest lease.
func (w *Worker) extendLease(end time.Duration, now time.Time) {
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock(now)+w.fleet.maxLease))
}

// tick expires the lease, ends the runs that are due and those of gangs that
// stayed incomplete for the gang timeout.
func (w *Worker) tick(now time.Time) {
	w.recover(now)
	if w.gone {
		return
	}
	w.sendHeartbeat(now)
	lapsed := w.leaseEnd > 0 && w.clock(now) >= w.leaseEnd
	for i := range w.ended {
		w.ended[i].lapsed = w.ended[i].lapsed || lapsed
	}
	for _, r := range w.sortedRuns() {
		switch {
		case lapsed:
			w.end(r, site.LeaseExpired)
		case !r.endAt.IsZero() && !now.Before(r.endAt) && r.endKind == site.Crashed:
			w.crash(now, r.task)
			return
		case !r.endAt.IsZero() && !now.Before(r.endAt):
			w.end(r, r.endKind)
		case r.endAt.IsZero() && now.Sub(r.began) >= w.fleet.gangTimeout:
			w.end(r, site.GangIncomplete)
		}
	}
}

func (w *Worker) sortedRuns() []*taskRun {
	var list []*taskRun
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

func (w *Worker) end(r *taskRun, kind site.EndKind) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.number++
	w.ended = append(w.ended, endedRun{RunEnd: site.RunEnd{Number: w.number, Task: r.task, Run: r.number, Kind: kind}, at: time.Now()})
	close(w.wake)
	w.wake = make(chan struct{})
	if _, n := w.fleet.size(r.task); n > 0 && kind != site.Done {
		w.fleet.breakGang(r)
	}
}

// Terminate terminates the worker permanently, with all its runs.
func (w *Worker) Terminate() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.gone = true
	w.listed = false
	w.endAll()
}

// SetSilent makes the worker unreachable, or reachable again.
func (w *Worker) SetSilent(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
}

// SetDelay delays the delivery of each call.
func (w *Worker) SetDelay(d time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.delay = d
}

// Reboot kills the worker's process and starts a new one under the same id.
func (w *Worker) Reboot() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.restart()
}

// DropResponses makes the next n starts take effect without a response.
func (w *Worker) DropResponses(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.dropNext = n
}

// ResetStarts makes the next n starts take effect and their connections break.
func (w *Worker) ResetStarts(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.resetNext = n
}

// DropHoldResponses makes the next n holds take effect without a response.
func (w *Worker) DropHoldResponses(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.dropHolds = n
}

// RefuseStarts makes the worker refuse the next n starts as unavailable.
func (w *Worker) RefuseStarts(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.refuseNext = n
}

// DelayStarts makes the next n starts take effect after a delay, without a
// response, at the process that then runs under the worker's id.
func (w *Worker) DelayStarts(n int, d time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.delayNext = n
	w.startDelay = d
}

// DelayHolds makes the next n holds take effect after a delay, without a response, at the
// process that then runs under the worker's id.
func (w *Worker) DelayHolds(n int, d time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.delayHolds = n
	w.holdDelay = d
}

// LoseStarts makes the next n starts neither take effect nor get a response.
func (w *Worker) LoseStarts(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.loseNext = n
}

// Unacknowledged returns the number of ends that were not acknowledged yet.
func (w *Worker) Unacknowledged() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.ended)
}

// AlterReplies passes each reply to a hold to fn, which may change it; nil for none.
func (w *Worker) AlterReplies(fn func(reply *site.HoldReply)) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.alterReply = fn
}

// SetDataCentre sets the data centre of the worker.
func (w *Worker) SetDataCentre(name string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.upstream.DataCentre = name
}

// SetColdUntil makes the worker say that it is slow until then.
func (w *Worker) SetColdUntil(until time.Time) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.upstream.ColdUntil = until
}

// Running returns the number of runs.
func (w *Worker) Running() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.runs)
}

// deliver simulates the transmission of a message to or from the worker. It
// blocks until ctx is done if the worker is unreachable, else for the delay.
func (w *Worker) deliver(ctx context.Context) error {
	w.fleet.mu.Lock()
	gone := w.gone || w.silent
	refuses := !w.crashedAt.IsZero() && !w.fleet.silentCrashes
	delay := w.delay
	w.fleet.mu.Unlock()
	if refuses {
		return &site.RefusalError{Reason: site.RefusedConnection}
	}
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

// Start serves a request to start a run.
func (w *Worker) Start(ctx context.Context, req *site.StartRequest) (time.Duration, error) {
	if err := w.deliver(ctx); err != nil {
		return 0, err
	}
	w.fleet.mu.Lock()
	if w.loseNext > 0 {
		w.loseNext--
		w.fleet.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if w.delayNext > 0 {
		w.delayNext--
		delayed, sender := *req, senderOf(ctx)
		time.AfterFunc(w.startDelay, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.gone {
				return
			}
			// The incarnation that listens there by now executes it. The caller no longer
			// waits for the result.
			_ = w.startRun(&delayed, sender, true)
		})
		w.fleet.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	err := w.startRun(req, senderOf(ctx), false)
	drop := w.dropNext > 0
	if drop {
		w.dropNext--
	}
	reset := w.resetNext > 0
	if reset {
		w.resetNext--
	}
	clock := w.clock(time.Now())
	w.fleet.mu.Unlock()
	if drop {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if reset {
		return 0, errConnectionReset
	}
	return clock, err
}

func (w *Worker) startRun(req *site.StartRequest, sender string, late bool) error {
	f := w.fleet
	now := time.Now()
	switch {
	case req.Token < w.token:
		return &site.RefusalError{Reason: site.RefusedFenced}
	case req.Run <= w.barred[req.Task]:
		w.obey(req.Token, sender)
		w.extendLease(req.LeaseEnd, now)
		return &site.RefusalError{Reason: site.RefusedStaleRun}
	case req.LeaseEnd <= w.clock(now):
		return &site.RefusalError{Reason: site.RefusedLeaseExpired}
	case w.refusesTicket(req):
		return &site.RefusalError{Reason: site.RefusedTicket}
	case w.refuseNext > 0:
		w.refuseNext--
		return &site.RefusalError{Reason: site.RefusedUnavailable}
	}
	w.obey(req.Token, sender)
	w.extendLease(req.LeaseEnd, now)
	if r := w.runs[req.Task]; r != nil && r.number == req.Run {
		return nil
	}
	w.checkStart(req, late)
	duration, endKind := f.outcome(req.Task, req.Run, w.upstream.ID)
	r := &taskRun{task: req.Task, number: req.Run, began: now, endKind: endKind, duration: duration}
	if _, gang := f.size(req.Task); gang == 0 {
		r.endAt = now.Add(duration)
		r.workDoneAt = r.endAt
	}
	w.runs[req.Task] = r
	f.starts[req.Task]++
	f.startedAt[req.Task] = now
	if f.onStart != nil {
		f.onStart(Start{Task: req.Task, Run: req.Run, Worker: w.upstream.ID, Sender: sender, Late: late, Running: f.running()})
	}
	return nil
}

// obey accepts a token that is not older than the newest one.
func (w *Worker) obey(token int64, sender string) {
	w.token = token
	if token >= w.fleet.leaderToken {
		w.fleet.leader, w.fleet.leaderToken = sender, token
	}
}

// checkStart records the invariants that a start violates.
func (w *Worker) checkStart(req *site.StartRequest, late bool) {
	f := w.fleet
	if f.crashes[req.Task] >= maxCrashes {
		f.startsAfter[req.Task]++
		if f.startsAfter[req.Task] >= maxStartsAfter {
			f.violations = append(f.violations, fmt.Sprintf("%v run %d is start %d after %d workers had crashed under the task", req.Task, req.Run, f.startsAfter[req.Task], maxCrashes))
		}
	}
	if f.done[req.Task] {
		f.violations = append(f.violations, fmt.Sprintf("%v run %d started after the task was done, on %s (up for %v, late %v)", req.Task, req.Run, w.upstream.ID, time.Since(w.boot), late))
	}
	size, _ := f.size(req.Task)
	total := size
	for _, other := range f.workers {
		if r := other.runs[req.Task]; r != nil && !other.gone {
			f.violations = append(f.violations, fmt.Sprintf("%v run %d started while run %d was running on %s", req.Task, req.Run, r.number, other.upstream.ID))
		}
	}
	for t := range w.runs {
		size, _ := f.size(t)
		total = total.Add(size)
	}
	if !w.holds(total) {
		f.violations = append(f.violations, fmt.Sprintf("%s uses %v of %v%s", w.upstream.ID, total, w.upstream.Capacity, w.describeShrinks()))
	}
}

// holds reports whether a total fits a capacity that starts may rely on.
func (w *Worker) holds(total resource.Vector) bool {
	if total.Fits(w.upstream.Capacity) {
		return true
	}
	for _, p := range w.largerCapacities {
		if time.Since(p.until) < w.fleet.shrinkNotice && total.Fits(p.capacity) {
			return true
		}
	}
	return false
}

// describeShrinks tells when the worker had which larger capacity.
func (w *Worker) describeShrinks() string {
	text := ""
	for _, p := range w.largerCapacities {
		text += fmt.Sprintf(", until %v ago %v", time.Since(p.until).Round(time.Millisecond), p.capacity)
	}
	return text
}

// Stop serves a request to stop a run. Later starts of the run are refused.
func (w *Worker) Stop(ctx context.Context, req *site.StopRequest) (time.Duration, error) {
	if err := w.deliver(ctx); err != nil {
		return 0, err
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if req.Token < w.token {
		return 0, &site.RefusalError{Reason: site.RefusedFenced}
	}
	w.token = req.Token
	w.barred[req.Task] = max(w.barred[req.Task], req.Run)
	if r := w.runs[req.Task]; r != nil && r.number == req.Run {
		w.end(r, site.Stopped)
	}
	return w.clock(time.Now()), nil
}

// Hold serves a request that renews the lease. It returns the ends that were not
// acknowledged yet and the current runs.
func (w *Worker) Hold(ctx context.Context, req *site.HoldRequest) (*site.HoldReply, error) {
	if err := w.deliver(ctx); err != nil {
		return nil, err
	}
	w.fleet.mu.Lock()
	if w.delayHolds > 0 {
		w.delayHolds--
		delayed, sender := *req, senderOf(ctx)
		time.AfterFunc(w.holdDelay, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if !w.gone {
				// The caller no longer waits for the result.
				_ = w.applyHold(&delayed, sender)
			}
		})
		w.fleet.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := w.applyHold(req, senderOf(ctx)); err != nil {
		w.fleet.mu.Unlock()
		return nil, err
	}
	wake, wait := w.wake, len(w.ended) == 0
	w.fleet.mu.Unlock()
	if wait && req.Wait > 0 {
		select {
		case <-wake:
		case <-time.After(req.Wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if err := w.deliver(ctx); err != nil {
		return nil, err
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.dropHolds > 0 {
		w.dropHolds--
		w.fleet.mu.Unlock()
		<-ctx.Done()
		w.fleet.mu.Lock()
		return nil, ctx.Err()
	}
	reply := &site.HoldReply{Clock: w.clock(time.Now()), Boot: w.upstream.Boot}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		reply.Ended = append(reply.Ended, e.RunEnd)
	}
	for _, r := range w.sortedRuns() {
		reply.Running = append(reply.Running, site.RunStatus{Task: r.task, Run: r.number, Percent: r.percent(time.Now())})
	}
	if w.alterReply != nil {
		w.alterReply(reply)
	}
	return reply, nil
}

// applyHold renews the lease and forgets the ends that are acknowledged.
func (w *Worker) applyHold(req *site.HoldRequest, sender string) error {
	if req.Token < w.token {
		return &site.RefusalError{Reason: site.RefusedFenced}
	}
	w.obey(req.Token, sender)
	w.extendLease(req.LeaseEnd, time.Now())
	for len(w.ended) > 0 && w.ended[0].Number <= req.Acked {
		w.fleet.acknowledge(&w.ended[0])
		w.ended = w.ended[1:]
	}
	return nil
}

// SetCapacity shrinks or grows the worker. What runs there goes on.
func (w *Worker) SetCapacity(capacity resource.Vector) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.upstream.Capacity.Fits(capacity) {
		w.largerCapacities = append(w.largerCapacities, pastCapacity{w.upstream.Capacity, time.Now()})
	}
	w.upstream.Capacity = capacity
}

// Capacity returns the resources of the worker.
func (w *Worker) Capacity() resource.Vector {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.upstream.Capacity
}
