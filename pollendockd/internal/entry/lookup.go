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
	"pollendock.example/pollendockd/internal/pause"
)

type (
	// verdict is what is known of a lookup's attempt at the worker.
	verdict int

	// attemptRun is one attempt of a lookup on its way.
	attemptRun struct {
		l       *lookup
		u       *upstream
		session *session
		id      string
		lease   time.Duration
		// provenBy is when the attempt has certainly ended, even if the worker
		// never answers again.
		provenBy time.Time
		start    platform.StartRequest
	}

	// lookupSettled ends an attempt of which the end is certain.
	lookupSettled struct {
		a       *attemptRun
		verdict verdict
		status  *platform.TaskStatus
		reason  platform.Reason
	}
)

const (
	// verdictRan means that the worker gave a whole result.
	verdictRan verdict = iota
	// verdictNotRun means that the attempt never started.
	verdictNotRun
	// verdictStopped means that it started and has ended without a result.
	verdictStopped
	// verdictOpen means that nothing is known, but the answer is due.
	verdictOpen
)

const (
	lookupPrefix = "L!"
	// watchedWithin is the age of the last watch beyond which a worker gets no
	// lookups, since it might refuse them as late.
	watchedWithin = startWithin - 300*time.Millisecond
	stopTries     = 2
	stopTimeout   = 700 * time.Millisecond
	tracerName    = "pollendockd/entry"
)

func isLookup(attempt string) bool {
	return strings.HasPrefix(attempt, lookupPrefix)
}

// chooseForLookup returns the own worker with the most free slots for the
// lookup among those with room under the team's ceiling.
func (c *control) chooseForLookup(l *lookup, now time.Time) *upstream {
	var best *upstream
	bestSlots := int64(-1)
	for _, u := range c.upstreams {
		if !u.usable(now) || now.Sub(u.watchedAt) > watchedWithin || u.id == l.avoid || !l.Size.Fits(c.lookupRoom(u, l.Team)) {
			continue
		}
		slots := c.state.Workers[u.id].Capacity.Slots - c.state.Load(u.id).Slots - u.lookupLoad.Slots
		if slots > bestSlots {
			best, bestSlots = u, slots
		}
	}
	return best
}

// runLookup starts an attempt.
func (c *control) runLookup(u *upstream, l *lookup, now time.Time) {
	c.attemptCount++
	lease := max(minLookupLease, leaseFactor*l.ExpectedRun, l.lease)
	lease = min(lease, l.Deadline.Sub(now))
	a := &attemptRun{
		l: l, u: u, session: u.session, lease: lease,
		id: fmt.Sprintf("%s%s/%d", lookupPrefix, c.inc, c.attemptCount),
	}
	// The worker refuses the start once startWithin has passed since it took
	// the watch, and it took the watch before watchedAt.
	span := time.Duration(float64(startWithin+lease)*clockRate) + settleMargin
	a.provenBy = u.watchedAt.Add(span)
	a.start = platform.StartRequest{
		Token: u.session.token, Attempt: a.id, Team: l.Team, Size: l.Size, Payload: l.Payload,
		Lease: lease, Fixed: true, AfterWatch: u.watchNumber, Within: startWithin, Wait: lease,
	}
	l.tries++
	u.addLookup(a.id, l.Team, l.Size)
	c.running[a.id] = a
	worker := u.worker
	c.e.spawn(func() { c.e.carryLookup(a, worker) })
}

// carryLookup sends the start and settles the attempt.
func (e *Entry) carryLookup(a *attemptRun, w platform.Worker) {
	ctx, span := otel.Tracer(tracerName).Start(a.l.ctx, "worker.start",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("worker", a.u.id), attribute.String("attempt", a.id)))
	defer span.End()
	// The attempt is settled also if the caller goes away.
	ctx = context.WithoutCancel(ctx)
	status, err := w.Start(ctx, &a.start)
	if r := refusalOf(err); r != nil {
		e.post(lookupSettled{a, verdictNotRun, nil, r.Reason})
		return
	}
	if err == nil && whole(status) {
		e.post(lookupSettled{a, verdictRan, status, ""})
		return
	}
	e.settleLookup(ctx, a, w)
}

// settleLookup finds out what became of an attempt whose answer did not come
// whole, by stopping it over another connection.
func (e *Entry) settleLookup(ctx context.Context, a *attemptRun, w platform.Worker) {
	for range stopTries {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		status, err := w.Stop(ctx, &platform.StopRequest{Token: a.start.Token, Attempt: a.id})
		cancel()
		if err != nil {
			continue
		}
		e.post(lookupSettled{a, verdictOf(status), status, ""})
		return
	}
	if a.provenBy.After(a.l.Deadline) {
		e.post(lookupSettled{a, verdictOpen, nil, ""})
	}
	pause.For(ctx, time.Until(a.provenBy))
	e.post(lookupSettled{a, verdictStopped, nil, ""})
}

func verdictOf(t *platform.TaskStatus) verdict {
	switch {
	case t.State == platform.NeverStarted:
		return verdictNotRun
	case whole(t):
		return verdictRan
	}
	return verdictStopped
}

// whole reports whether a task ended and its data matches its digest.
func whole(t *platform.TaskStatus) bool {
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
	if m.verdict == verdictOpen {
		l.answer(Outcome{Code: code.MayHaveRun, Detail: "the worker does not answer", RetryAfter: retryAfterBusy})
		return
	}
	c.closeAttempt(m.a)
	switch m.verdict {
	case verdictRan:
		c.lookupRan(u, l, m.status)
	case verdictNotRun:
		c.lookupNotRun(u, l, m.reason)
	default:
		u.noteFailure(time.Now())
		l.avoid = u.id
		l.started = true
		l.attempts++
		l.lease = time.Until(l.Deadline)
		c.requeue(l)
	}
}

// answerOverdue gives the final answer for attempts that are open at their
// deadline. They are settled all the same.
func (c *control) answerOverdue(now time.Time) {
	for _, a := range c.running {
		if !a.l.answered && now.Sub(a.l.Deadline) > settleMargin {
			a.l.answer(Outcome{Code: code.MayHaveRun, Detail: "the worker has not answered by the deadline"})
		}
	}
}

// closeAttempt frees what the attempt held.
func (c *control) closeAttempt(a *attemptRun) {
	delete(c.running, a.id)
	if a.u.session == a.session {
		a.u.dropLookup(a.id)
		a.u.forget = append(a.u.forget, a.id)
	}
	c.dirty = true
}

func (c *control) lookupRan(u *upstream, l *lookup, t *platform.TaskStatus) {
	if t.Failed {
		u.noteFailure(time.Now())
		l.avoid = u.id
		l.started = true
		l.attempts++
		if l.attempts < c.maxLookupAttempts() {
			c.requeue(l)
			return
		}
		l.answer(Outcome{Code: code.TaskFailed, Detail: "the task failed", Data: t.Data, Digest: t.Digest})
		return
	}
	u.noteSuccess()
	l.answer(Outcome{Code: code.OK, Data: t.Data, Digest: t.Digest})
}

func (c *control) maxLookupAttempts() int64 {
	return c.state.Document.Policy(config.Lookup).MaxAttempts
}

func (c *control) lookupNotRun(u *upstream, l *lookup, reason platform.Reason) {
	switch reason {
	case platform.StartFailed, platform.Unreachable:
		u.noteFailure(time.Now())
		l.avoid = u.id
	case platform.StaleClaim:
		// The watch finds out soon; until then nothing more goes there.
		u.restUntil = time.Now().Add(watchWait)
	}
	c.requeue(l)
}
