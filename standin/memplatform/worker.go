package memplatform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
)

type (
	// WorkerFaults holds the faults injected into a Worker.
	WorkerFaults struct {
		// FailStarts makes the worker refuse every start.
		FailStarts bool `json:"failStarts"`
		// FailTasks makes every new task fail immediately.
		FailTasks bool `json:"failTasks"`
	}

	// Run is one execution of an attempt, as recorded for checks of the history.
	Run struct {
		Worker  string `json:"worker"`
		Attempt string `json:"attempt"`
		Team    string `json:"team"`
		// Tag is the tag of the payload.
		Tag   string          `json:"tag"`
		Size  resource.Vector `json:"size"`
		Start time.Time       `json:"start"`
		// End is zero while the task runs.
		End time.Time `json:"end,omitzero"`
	}

	// Worker runs tasks under leases for one claim holder at a time.
	Worker struct {
		id       string
		capacity resource.Vector

		mu            sync.Mutex
		faults        WorkerFaults
		boot          string
		epoch         int64
		holder        string
		token         string
		claimEnds     time.Time
		reservedFor   string
		reservedUntil time.Time
		tasks         map[string]*task
		used          resource.Vector
		// seq counts the attempts that ended or were stopped before they started.
		seq int64
		// wakeSeq is the newest seq that makes watches return.
		wakeSeq    int64
		watches    map[int64]time.Time
		watchCount int64
		changed    chan struct{}
		pausedAt   time.Time
		resumed    chan struct{}
		runs       []*Run
	}

	task struct {
		status   platform.TaskStatus
		spec     spec
		run      *Run
		endsAt   time.Time
		endless  bool
		leaseEnd time.Time
		// fixed is set if watches do not renew the lease.
		fixed bool
		// seq is the worker's seq at the end of the task.
		seq     int64
		endedAt time.Time
		timer   *time.Timer
	}
)

const (
	// endedRetention is how long an ended attempt is kept if Forget is not
	// called.
	endedRetention = 15 * time.Minute
	// maxWatches is the number of recent watches whose time is kept.
	maxWatches = 256
)

// NewWorker returns a worker that has just booted.
func NewWorker(id string, capacity resource.Vector) *Worker {
	w := &Worker{id: id, capacity: capacity}
	w.resetBoot()
	return w
}

// resetBoot assigns a new boot id and drops all tasks, claims and watches.
func (w *Worker) resetBoot() {
	w.boot = uuid.NewString()
	w.epoch = 0
	w.holder = ""
	w.token = ""
	w.reservedFor = ""
	w.tasks = map[string]*task{}
	w.used = resource.Vector{}
	w.watches = map[int64]time.Time{}
	w.changed = make(chan struct{})
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Reboot ends every task and drops all claims.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.status.State == platform.Running {
			t.timer.Stop()
			t.run.End = time.Now()
		}
	}
	w.resetBoot()
}

// Pause freezes the worker and its tasks until Resume.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed == nil {
		w.pausedAt = time.Now()
		w.resumed = make(chan struct{})
	}
}

// Resume ends a pause. Tasks whose lease expired during the pause end before
// the worker serves any request.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed == nil {
		return
	}
	paused := time.Since(w.pausedAt)
	for _, t := range w.tasks {
		t.endsAt = t.endsAt.Add(paused)
	}
	close(w.resumed)
	w.resumed = nil
	w.expireTasks()
}

// Runs returns the history of runs.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireTasks()
	runs := make([]Run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Used returns the total size of the running tasks, and the capacity.
func (w *Worker) Used() (used, capacity resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireTasks()
	return w.used, w.capacity
}

// Claim implements platform.Worker.
func (w *Worker) Claim(ctx context.Context, r *platform.ClaimRequest) (*platform.Claim, error) {
	if err := w.lock(ctx); err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	now := time.Now()
	if w.holder != "" && w.holder != r.Incarnation && now.Before(w.claimEnds) {
		return nil, platform.Refuse(platform.ClaimHeld, "the claim of %s is in force", w.holder)
	}
	if w.reservedFor != "" && w.reservedFor != r.Incarnation && now.Before(w.reservedUntil) {
		return nil, platform.Refuse(platform.ClaimHeld, "the claim is reserved for %s", w.reservedFor)
	}
	w.epoch++
	w.holder = r.Incarnation
	w.reservedFor = ""
	w.token = fmt.Sprintf("%s.%d", w.boot, w.epoch)
	w.claimEnds = now.Add(r.Lease)
	claim := &platform.Claim{Token: w.token, Boot: w.boot, Epoch: w.epoch, Capacity: w.capacity}
	for _, t := range w.tasks {
		claim.Tasks = append(claim.Tasks, t.status)
	}
	return claim, nil
}

// Release implements platform.Worker.
func (w *Worker) Release(ctx context.Context, r *platform.ReleaseRequest) error {
	if err := w.lockClaim(ctx, r.Token); err != nil {
		return err
	}
	defer w.mu.Unlock()
	w.holder = ""
	w.token = ""
	w.reservedFor = r.Next
	w.reservedUntil = time.Now().Add(r.Reserve)
	return nil
}

// Start implements platform.Worker.
func (w *Worker) Start(ctx context.Context, r *platform.StartRequest) (*platform.TaskStatus, error) {
	if err := w.lockClaim(ctx, r.Token); err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	if _, known := w.tasks[r.Attempt]; !known {
		if err := w.admit(r); err != nil {
			return nil, err
		}
		w.startTask(r)
	}
	return w.awaitEnd(ctx, r.Attempt, r.Wait)
}

// admit returns a refusal if a start is not possible.
func (w *Worker) admit(r *platform.StartRequest) error {
	if w.faults.FailStarts {
		return platform.Refuse(platform.StartFailed, "the task could not be started")
	}
	if at, known := w.watches[r.AfterWatch]; r.Within > 0 && (!known || time.Since(at) > r.Within) {
		return platform.Refuse(platform.Late, "the request came too long after watch %d", r.AfterWatch)
	}
	if r.Size.Validate() != nil || r.Size.Slots != 1 {
		return platform.Refuse(platform.BadRequest, "size %s", r.Size)
	}
	if !w.used.Add(r.Size).Fits(w.capacity) {
		return platform.Refuse(platform.WorkerFull, "%s of %s in use", w.used, w.capacity)
	}
	return nil
}

func (w *Worker) startTask(r *platform.StartRequest) {
	now := time.Now()
	t := &task{
		status:   platform.TaskStatus{Attempt: r.Attempt, Team: r.Team, Size: r.Size, State: platform.Running},
		spec:     parsePayload(r.Payload),
		leaseEnd: now.Add(r.Lease),
		fixed:    r.Fixed,
		run:      &Run{Worker: w.id, Attempt: r.Attempt, Team: r.Team, Size: r.Size, Start: now},
	}
	t.run.Tag = t.spec.Tag
	t.endless = t.spec.RunMs < 0
	t.endsAt = now.Add(time.Duration(t.spec.RunMs) * time.Millisecond)
	if w.faults.FailTasks {
		t.spec.Fail = true
		t.endless = false
		t.endsAt = now
	}
	w.tasks[r.Attempt] = t
	w.used = w.used.Add(r.Size)
	w.runs = append(w.runs, t.run)
	w.armTimer(t)
}

// armTimer sets the timer for the end of the task's run time or lease,
// whichever comes first.
func (w *Worker) armTimer(t *task) {
	next := t.leaseEnd
	if !t.endless && t.endsAt.Before(next) {
		next = t.endsAt
	}
	t.timer = time.AfterFunc(time.Until(next), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.resumed == nil {
			w.expireTasks()
		}
	})
}

// expireTasks ends the tasks whose lease or run time is over and deletes those
// that ended longer than endedRetention ago.
func (w *Worker) expireTasks() {
	now := time.Now()
	for id, t := range w.tasks {
		if t.status.State != platform.Running {
			if now.Sub(t.endedAt) > endedRetention {
				delete(w.tasks, id)
			}
			continue
		}
		finished := !t.endless && !now.Before(t.endsAt)
		lapsed := !now.Before(t.leaseEnd)
		switch {
		case finished && (!lapsed || t.endsAt.Before(t.leaseEnd)):
			t.status.Failed = t.spec.Fail
			t.status.Data, t.status.Digest = t.spec.output()
			w.endTask(t, platform.Ended)
		case lapsed:
			w.endTask(t, platform.LeaseExpired)
		default:
			t.timer.Stop()
			w.armTimer(t)
		}
	}
}

func (w *Worker) endTask(t *task, state platform.TaskState) {
	t.timer.Stop()
	t.status.State = state
	t.endedAt = time.Now()
	t.run.End = t.endedAt
	w.used = w.used.Sub(t.status.Size)
	w.notifyEnd(t)
}

// notifyEnd wakes the calls that wait for the task. The end of a task with a
// fixed lease does not make watches return, since the Start call waits for it.
func (w *Worker) notifyEnd(t *task) {
	w.seq++
	t.seq = w.seq
	if !t.fixed {
		w.wakeSeq = w.seq
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// awaitEnd waits for the attempt to end, at most for wait, and returns its
// status. The caller holds w.mu; awaitEnd releases it while it waits.
func (w *Worker) awaitEnd(ctx context.Context, attempt string, wait time.Duration) (*platform.TaskStatus, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t := w.tasks[attempt]
		if t == nil {
			return nil, platform.Refuse(platform.StaleClaim, "attempt %s is forgotten", attempt)
		}
		status := t.status
		changed := w.changed
		if status.State != platform.Running || wait <= 0 {
			return &status, nil
		}
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			w.mu.Lock()
			return nil, ctx.Err()
		}
		w.mu.Lock()
	}
}

// Stop implements platform.Worker.
func (w *Worker) Stop(ctx context.Context, r *platform.StopRequest) (*platform.TaskStatus, error) {
	if err := w.lockClaim(ctx, r.Token); err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	t := w.tasks[r.Attempt]
	if t == nil {
		t = &task{status: platform.TaskStatus{Attempt: r.Attempt, State: platform.NeverStarted}, endedAt: time.Now()}
		w.tasks[r.Attempt] = t
		w.notifyEnd(t)
	}
	if t.status.State == platform.Running {
		w.endTask(t, platform.Halted)
	}
	status := t.status
	return &status, nil
}

// Watch implements platform.Worker.
func (w *Worker) Watch(ctx context.Context, r *platform.WatchRequest) (*platform.WatchReply, error) {
	if err := w.lockClaim(ctx, r.Token); err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	w.renew(r)
	number := w.watchCount
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	for w.wakeSeq <= r.After {
		changed := w.changed
		w.mu.Unlock()
		var err error
		timedOut := false
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			err = ctx.Err()
		}
		w.mu.Lock()
		if err != nil {
			return nil, err
		}
		if timedOut {
			break
		}
	}
	if r.Token != w.token {
		return nil, platform.Refuse(platform.StaleClaim, "the claim has passed on")
	}
	reply := &platform.WatchReply{Seq: w.seq, Number: number, Used: w.used}
	for _, t := range w.tasks {
		if t.status.State != platform.Running && t.seq > r.After {
			reply.Ended = append(reply.Ended, t.status)
		}
	}
	return reply, nil
}

func (w *Worker) renew(r *platform.WatchRequest) {
	now := time.Now()
	w.watchCount++
	w.watches[w.watchCount] = now
	delete(w.watches, w.watchCount-maxWatches)
	w.claimEnds = now.Add(r.Lease)
	for _, t := range w.tasks {
		if t.status.State == platform.Running && !t.fixed && r.TaskLease > 0 {
			t.leaseEnd = now.Add(r.TaskLease)
		}
	}
}

// Forget implements platform.Worker.
func (w *Worker) Forget(ctx context.Context, r *platform.ForgetRequest) error {
	if err := w.lockClaim(ctx, r.Token); err != nil {
		return err
	}
	defer w.mu.Unlock()
	for _, id := range r.Attempts {
		t := w.tasks[id]
		if t == nil || t.status.State == platform.Running || t.status.State == platform.NeverStarted {
			continue
		}
		delete(w.tasks, id)
	}
	return nil
}

// lock waits until the worker is not paused, acquires the mutex and expires
// tasks.
func (w *Worker) lock(ctx context.Context) error {
	w.mu.Lock()
	for w.resumed != nil {
		resumed := w.resumed
		w.mu.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
		w.mu.Lock()
	}
	w.expireTasks()
	return nil
}

// lockClaim acquires the mutex for a request that needs the current claim. It
// refuses a request with another token, or one after the claim has expired.
func (w *Worker) lockClaim(ctx context.Context, token string) error {
	if err := w.lock(ctx); err != nil {
		return err
	}
	if token == "" || token != w.token || !time.Now().Before(w.claimEnds) {
		w.mu.Unlock()
		return platform.Refuse(platform.StaleClaim, "the claim is not in force")
	}
	return nil
}
