package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	// outcome is what is known about a lookup attempt.
	outcome int

	// lookupAttempt is one attempt of a lookup at a worker.
	lookupAttempt struct {
		l       *lookup
		u       *upstream
		session *session
		id      string
		lease   time.Duration
		// endedBy is when the attempt has certainly ended, even if the worker
		// never answers again.
		endedBy time.Time
		start   platform.StartRequest
	}

	// lookupSettled reports the outcome of an attempt.
	lookupSettled struct {
		a       *lookupAttempt
		outcome outcome
		status  *platform.TaskStatus
		reason  platform.Reason
	}
)

const (
	// outcomeRan means that the worker returned an intact result.
	outcomeRan outcome = iota
	// outcomeNotRun means that the attempt never started.
	outcomeNotRun
	// outcomeStopped means that the attempt may have started and has ended
	// without a usable result.
	outcomeStopped
	// outcomeUnknown means that the outcome is still unknown, but the caller is
	// due an answer.
	outcomeUnknown
)

const (
	lookupIDPrefix = "L!"
	// maxWatchAge is the maximum age of the last watch for a worker to get
	// lookups. With an older one the worker might refuse the start as too late.
	maxWatchAge  = lookupStartWindow - 300*time.Millisecond
	maxStopTries = 2
	stopTimeout  = 700 * time.Millisecond
	tracerName   = "pollendockd/entry"
)

func isLookup(attempt string) bool {
	return strings.HasPrefix(attempt, lookupIDPrefix)
}

// chooseLookupWorker returns the worker of this VM with the most free slots
// among those with room within the team's allocation.
func (c *control) chooseLookupWorker(l *lookup, now time.Time) *upstream {
	var best *upstream
	bestSlots := int64(-1)
	for _, u := range c.upstreams {
		if !c.usable(u, now) || now.Sub(u.watchedAt) > maxWatchAge || u.id == l.avoidWorker || !c.admitsLookup(u, now) || !l.Size.Fits(c.lookupCapacity(u, l.Team)) {
			continue
		}
		slots := c.state.Workers[u.id].Capacity.Slots - c.state.Load(u.id).Slots - u.lookupLoad.Slots
		if slots > bestSlots {
			best, bestSlots = u, slots
		}
	}
	return best
}

// startAttempt starts a lookup on a worker.
func (c *control) startAttempt(u *upstream, l *lookup, now time.Time) {
	c.attemptCount++
	lease := max(minLookupLease, lookupLeaseFactor*l.ExpectedRun, l.lease)
	lease = min(lease, l.Deadline.Sub(now))
	a := &lookupAttempt{
		l: l, u: u, session: u.session, lease: lease,
		id: fmt.Sprintf("%s%s/%d", lookupIDPrefix, c.incarnation, c.attemptCount),
	}
	// The worker refuses the start once lookupStartWindow has passed since it
	// received the watch, which was before watchedAt.
	span := time.Duration(float64(lookupStartWindow+lease)*maxClockRate) + leaseExpiryMargin
	a.endedBy = u.watchedAt.Add(span)
	a.start = platform.StartRequest{
		Token: u.session.token, Attempt: a.id, Team: l.Team, Size: l.Size, Payload: l.Payload,
		Lease: lease, Fixed: true, AfterWatch: u.watchNumber, Within: lookupStartWindow, Wait: lease,
	}
	l.startsSent++
	u.addLookup(a.id, l.Team, l.Size)
	c.runningAttempts[a.id] = a
	client := u.client
	c.e.spawn(func() { c.e.executeAttempt(a, client) })
}

// executeAttempt sends the start request and settles the attempt.
func (e *Entry) executeAttempt(a *lookupAttempt, w platform.Worker) {
	ctx, span := otel.Tracer(tracerName).Start(a.l.ctx, "worker.start",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("worker", a.u.id), attribute.String("attempt", a.id)))
	defer span.End()
	// The attempt must be settled even if the caller disconnects.
	ctx = context.WithoutCancel(ctx)
	status, err := w.Start(ctx, &a.start)
	if r := refusalOf(err); r != nil {
		e.post(lookupSettled{a, outcomeNotRun, nil, r.Reason})
		return
	}
	if err == nil && isIntact(status) {
		e.post(lookupSettled{a, outcomeRan, status, ""})
		return
	}
	e.resolveAttempt(ctx, a, w)
}

// resolveAttempt determines the outcome of an attempt without an intact answer
// by stopping it over another connection.
func (e *Entry) resolveAttempt(ctx context.Context, a *lookupAttempt, w platform.Worker) {
	for range maxStopTries {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		status, err := w.Stop(ctx, &platform.StopRequest{Token: a.start.Token, Attempt: a.id})
		cancel()
		if err != nil {
			continue
		}
		e.post(lookupSettled{a, outcomeOf(status), status, ""})
		return
	}
	if a.endedBy.After(a.l.Deadline) {
		e.post(lookupSettled{a, outcomeUnknown, nil, ""})
	}
	sleep.For(ctx, time.Until(a.endedBy))
	e.post(lookupSettled{a, outcomeStopped, nil, ""})
}

func outcomeOf(t *platform.TaskStatus) outcome {
	switch {
	case t.State == platform.NeverStarted:
		return outcomeNotRun
	case isIntact(t):
		return outcomeRan
	}
	return outcomeStopped
}

// isIntact reports whether a task ended and its data matches its digest.
func isIntact(t *platform.TaskStatus) bool {
	return t.State == platform.Ended && api.Digest(t.Data) == t.Digest
}

func refusalOf(err error) *platform.Refusal {
	if r, ok := err.(*platform.Refusal); ok {
		return r
	}
	return nil
}

func (m lookupSettled) handle(c *control) {
	l, u := m.a.l, m.a.u
	if m.outcome == outcomeUnknown {
		l.answer(LookupResult{Code: code.MayHaveRun, Detail: "the worker does not answer", RetryAfter: retryAfterBusy})
		return
	}
	c.closeAttempt(m.a)
	switch m.outcome {
	case outcomeRan:
		c.lookupRan(u, l, m.status)
	case outcomeNotRun:
		c.lookupNotRun(u, l, m.reason)
	default:
		u.recordFailure(time.Now())
		l.avoidWorker = u.id
		l.started = true
		l.attempts++
		l.lease = time.Until(l.Deadline)
		c.requeue(l)
	}
}

// answerOverdue gives the final answer for attempts that are still open after
// their deadline. The attempts are settled later.
func (c *control) answerOverdue(now time.Time) {
	for _, a := range c.runningAttempts {
		if !a.l.answered && now.Sub(a.l.Deadline) > leaseExpiryMargin {
			a.l.answer(LookupResult{Code: code.MayHaveRun, Detail: "the worker has not answered by the deadline"})
		}
	}
}

// closeAttempt releases the resources of an attempt.
func (c *control) closeAttempt(a *lookupAttempt) {
	delete(c.runningAttempts, a.id)
	if a.u.session == a.session {
		a.u.removeLookup(a.id)
		a.u.toForget = append(a.u.toForget, a.id)
	}
	c.dirty = true
}

func (c *control) lookupRan(u *upstream, l *lookup, t *platform.TaskStatus) {
	if t.Failed {
		u.recordFailure(time.Now())
		l.avoidWorker = u.id
		l.started = true
		l.attempts++
		if l.attempts < c.maxLookupAttempts() {
			c.requeue(l)
			return
		}
		l.answer(LookupResult{Code: code.TaskFailed, Detail: "the task failed", Data: t.Data, Digest: t.Digest})
		return
	}
	u.recordSuccess()
	l.answer(LookupResult{Code: code.OK, Data: t.Data, Digest: t.Digest})
}

func (c *control) maxLookupAttempts() int64 {
	return c.state.Document.Policy(config.Lookup).MaxAttempts
}

func (c *control) lookupNotRun(u *upstream, l *lookup, reason platform.Reason) {
	switch reason {
	case platform.StartFailed, platform.Unreachable:
		u.recordFailure(time.Now())
		l.avoidWorker = u.id
	case platform.StaleClaim:
		// The next watch detects the stale claim. Until then the worker gets no
		// work.
		u.backoffUntil = time.Now().Add(watchPollTimeout)
	}
	c.requeue(l)
}
