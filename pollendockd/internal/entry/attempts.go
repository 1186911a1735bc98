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
	// startDone carries the result of starting a durable attempt.
	startDone struct {
		id      string
		session *session
		ref     ledger.TaskRef
		attempt int64
		status  *platform.TaskStatus
		err     error
	}

	// stopDone carries the result of stopping a durable attempt.
	stopDone struct {
		id      string
		session *session
		attempt string
		status  *platform.TaskStatus
		err     error
	}
)

const (
	attemptIDParts = 3
)

// startDispatched starts the tasks of a dispatch that are placed on this VM's
// workers.
func (c *control) startDispatched(d *ledger.Dispatch) {
	c.dropReservations(d.Job)
	j := c.state.Jobs[d.Job]
	for _, p := range d.Placements {
		u := c.upstreams[p.Worker]
		if u == nil || u.session == nil || c.state.Workers[p.Worker].Home != c.incarnation {
			continue
		}
		if u.phase != owned && u.phase != releasing {
			// The claim is not in the log yet. Once it is, the attempt is
			// settled as not run, since it is not in the inventory.
			continue
		}
		ref := ledger.TaskRef{Job: d.Job, Task: p.Task}
		if u.phase == releasing || !(resource.Vector{}).Fits(c.available(u)) {
			c.settleAttempt(u, ref, p.Attempt, ledger.NotRun, nil, "no room at the home")
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
		ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		defer cancel()
		status, err := u.client.Start(ctx, r)
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
		// The watch reports the end of the attempt.
	case refusal == nil:
		// Whether the attempt started is unknown. A new claim invalidates the
		// start request, and its inventory shows the result.
		claimLost{id: m.id, session: m.session, reclaim: true}.handle(c)
	case refusal.Reason == platform.StaleClaim:
		claimLost{id: m.id, session: m.session, reclaim: true}.handle(c)
	default:
		if refusal.Reason != platform.WorkerFull {
			u.recordFailure(time.Now())
		}
		c.settleAttempt(u, m.ref, m.attempt, ledger.NotRun, nil, refusal.Error())
	}
}

// settleAttempt appends the outcome of an attempt to the log, once.
func (c *control) settleAttempt(u *upstream, ref ledger.TaskRef, attempt int64, endKind ledger.EndKind, result *ledger.Result, reason string) {
	id := ledger.AttemptID(ref.Job, ref.Task, attempt)
	if c.settling[id] || !c.joined {
		return
	}
	c.settling[id] = true
	s := u.session
	r := c.newRecord()
	r.Settle = &ledger.Settle{Job: ref.Job, Task: ref.Task, Attempt: attempt, EndKind: endKind, Result: result, Reason: reason}
	c.submit(r, false, func(_ int64, applied ledger.ApplyResult) {
		delete(c.settling, id)
		delete(c.stopsInFlight, id)
		c.dirty = true
		if u.session == s && applied.Code == code.OK {
			u.toForget = append(u.toForget, id)
		}
	})
}

// findAttempt parses an attempt ID. It reports whether the log has that attempt
// as the current, dispatched one of its task.
func (c *control) findAttempt(id string) (ledger.TaskRef, int64, bool) {
	parts := strings.Split(id, "/")
	if len(parts) != attemptIDParts {
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
		c.settleAttempt(u, ref, attempt, ledger.NotRun, nil, "barred before its start")
	case platform.Halted:
		c.settleAttempt(u, ref, attempt, ledger.Stopped, nil, "stopped")
	case platform.LeaseExpired:
		c.settleAttempt(u, ref, attempt, ledger.Vanished, nil, "the lease ran out")
	}
}

func (c *control) attemptFinished(u *upstream, ref ledger.TaskRef, attempt int64, t platform.TaskStatus) {
	if !isIntact(&t) {
		// The result was truncated in transit. It is read again after a new
		// claim.
		level.Warn(c.e.deps.Logger).Log("msg", "task result does not match its digest; reading it again", "attempt", t.Attempt)
		claimLost{id: u.id, session: u.session, reclaim: true}.handle(c)
		return
	}
	result := &ledger.Result{Code: code.OK, Data: t.Data, Digest: t.Digest}
	if t.Failed {
		result.Code = code.TaskFailed
		u.recordFailure(time.Now())
	} else {
		u.recordSuccess()
	}
	c.settleAttempt(u, ref, attempt, ledger.Finished, result, "")
}

// stopMarkedAttempts stops the attempts that must not continue: canceled ones,
// those above a lowered limit, the remaining tasks of a broken gang, and
// idempotent services on a leaving worker.
func (c *control) stopMarkedAttempts(u *upstream) {
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
	if c.stopsInFlight[id] || c.settling[id] {
		return
	}
	c.stopsInFlight[id] = true
	s := u.session
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		defer cancel()
		status, err := u.client.Stop(ctx, &platform.StopRequest{Token: s.token, Attempt: id})
		c.e.post(stopDone{u.id, s, id, status, err})
	})
}

func (m stopDone) handle(c *control) {
	delete(c.stopsInFlight, m.attempt)
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	if m.err != nil {
		if platform.HasReason(m.err, platform.StaleClaim) {
			claimLost{id: m.id, session: m.session, reclaim: true}.handle(c)
		}
		return
	}
	ref, attempt, bound := c.findAttempt(m.attempt)
	if bound {
		c.attemptEnded(u, ref, attempt, *m.status)
	}
}
