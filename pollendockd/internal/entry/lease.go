package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
)

type (
	// startDone ends the start of a durable attempt.
	startDone struct {
		id      string
		session *session
		ref     ledger.TaskRef
		attempt int64
		status  *platform.TaskStatus
		err     error
	}

	// stopDone ends the stop of a durable attempt.
	stopDone struct {
		id      string
		session *session
		attempt string
		status  *platform.TaskStatus
		err     error
	}
)

const (
	attemptParts = 3
)

// dispatched starts the tasks of a dispatch that are bound to own workers.
func (c *control) dispatched(d *ledger.Dispatch) {
	c.dropHolds(d.Job)
	j := c.state.Jobs[d.Job]
	for _, p := range d.Placements {
		u := c.upstreams[p.Worker]
		if u == nil || u.session == nil || c.state.Workers[p.Worker].Home != c.inc {
			continue
		}
		if u.phase != home && u.phase != releasing {
			// The claim is not in the log yet; then it is settled as not run.
			continue
		}
		ref := ledger.TaskRef{Job: d.Job, Task: p.Task}
		if u.phase == releasing || !(resource.Vector{}).Fits(c.room(u)) {
			c.settle(u, ref, p.Attempt, ledger.NotRun, nil, "no room at the home")
			continue
		}
		c.startTask(u, j, ref, p.Attempt)
	}
}

func (c *control) startTask(u *upstream, j *ledger.Job, ref ledger.TaskRef, attempt int64) {
	s := u.session
	r := &platform.StartRequest{
		Token: s.token, Attempt: ledger.AttemptID(ref.Job, ref.Task, attempt),
		Team: j.Team, Size: j.Spec.Size, Payload: j.Spec.Payload, Lease: taskLease,
	}
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		status, err := u.worker.Start(ctx, r)
		c.e.post(startDone{u.id, s, ref, attempt, status, err})
	})
}

func (m startDone) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	refusal := refusalOf(m.err)
	switch {
	case m.err == nil:
		// The watch reports the end.
	case refusal == nil:
		// Not known: a new claim shuts the start out and shows the truth.
		claimLost{id: m.id, session: m.session, again: true}.handle(c)
	case refusal.Reason == platform.StaleClaim:
		claimLost{id: m.id, session: m.session, again: true}.handle(c)
	default:
		if refusal.Reason != platform.WorkerFull {
			u.noteFailure(time.Now())
		}
		c.settle(u, m.ref, m.attempt, ledger.NotRun, nil, refusal.Error())
	}
}

// settle appends what became of an attempt, once.
func (c *control) settle(u *upstream, ref ledger.TaskRef, attempt int64, how ledger.EndKind, result *ledger.Result, reason string) {
	id := ledger.AttemptID(ref.Job, ref.Task, attempt)
	if c.settling[id] || !c.joined {
		return
	}
	c.settling[id] = true
	s := u.session
	r := c.newRecord()
	r.Settle = &ledger.Settle{Job: ref.Job, Task: ref.Task, Attempt: attempt, EndKind: how, Result: result, Reason: reason}
	c.submit(r, false, func(_ int64, effect ledger.ApplyResult) {
		delete(c.settling, id)
		delete(c.stopAsked, id)
		c.dirty = true
		if u.session == s && effect.Code == code.OK {
			u.forget = append(u.forget, id)
		}
	})
}

// findAttempt returns the task that an attempt at a worker belongs to, if the
// log binds it there.
func (c *control) findAttempt(id string) (ledger.TaskRef, int64, bool) {
	parts := strings.Split(id, "/")
	if len(parts) != attemptParts {
		return ledger.TaskRef{}, 0, false
	}
	task, errTask := strconv.Atoi(parts[1])
	attempt, errAttempt := strconv.ParseInt(parts[2], 10, 64)
	j := c.state.Jobs[parts[0]]
	if errTask != nil || errAttempt != nil || j == nil || task < 0 || task >= len(j.Tasks) {
		return ledger.TaskRef{}, 0, false
	}
	t := &j.Tasks[task]
	bound := t.Phase == ledger.Dispatched && t.Attempt == attempt
	return ledger.TaskRef{Job: j.ID, Task: task}, attempt, bound
}

// attemptEnded settles an attempt that the worker reports as no longer running.
func (c *control) attemptEnded(u *upstream, ref ledger.TaskRef, attempt int64, t platform.TaskStatus) {
	switch t.State {
	case platform.Ended:
		c.attemptFinished(u, ref, attempt, t)
	case platform.NeverStarted:
		c.settle(u, ref, attempt, ledger.NotRun, nil, "barred before its start")
	case platform.Halted:
		c.settle(u, ref, attempt, ledger.Stopped, nil, "stopped")
	case platform.LeaseExpired:
		c.settle(u, ref, attempt, ledger.Vanished, nil, "the lease ran out")
	}
}

func (c *control) attemptFinished(u *upstream, ref ledger.TaskRef, attempt int64, t platform.TaskStatus) {
	if !whole(&t) {
		// A result that was cut on the way is read again after a new claim.
		level.Warn(c.e.deps.Logger).Log("msg", "result does not match its digest", "attempt", t.Attempt)
		claimLost{id: u.id, session: u.session, again: true}.handle(c)
		return
	}
	result := &ledger.Result{Code: code.OK, Data: t.Data, Digest: t.Digest}
	if t.Failed {
		result.Code = code.TaskFailed
		u.noteFailure(time.Now())
	} else {
		u.noteSuccess()
	}
	c.settle(u, ref, attempt, ledger.Finished, result, "")
}

// stopMarked stops the attempts on a worker that are not to run on: canceled
// ones, those above a lowered limit, the rest of a gang, and services on a
// worker that leaves.
func (c *control) stopMarked(u *upstream) {
	c.state.EachOnWorker(u.id, func(ref ledger.TaskRef) {
		j := c.state.Jobs[ref.Job]
		t := &j.Tasks[ref.Task]
		moving := u.leaving && j.Spec.Kind == config.Service && j.Spec.Idempotent
		if t.Stop || moving {
			c.stopAttempt(u, ledger.AttemptID(ref.Job, ref.Task, t.Attempt))
		}
	})
}

func (c *control) stopAttempt(u *upstream, id string) {
	if c.stopAsked[id] || c.settling[id] {
		return
	}
	c.stopAsked[id] = true
	s := u.session
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		status, err := u.worker.Stop(ctx, &platform.StopRequest{Token: s.token, Attempt: id})
		c.e.post(stopDone{u.id, s, id, status, err})
	})
}

func (m stopDone) handle(c *control) {
	delete(c.stopAsked, m.attempt)
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	if m.err != nil {
		if platform.HasReason(m.err, platform.StaleClaim) {
			claimLost{id: m.id, session: m.session, again: true}.handle(c)
		}
		return
	}
	ref, attempt, bound := c.findAttempt(m.attempt)
	if bound {
		c.attemptEnded(u, ref, attempt, *m.status)
	}
}
