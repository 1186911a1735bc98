package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

// This file handles holds that are executed late, by a later incarnation of their worker. It
// numbers its ends from 1 again, so that it takes the acknowledgement of an earlier one's ends
// for one of its own, and forgets ends that nobody has read. So it gets no runs while that can
// happen. Its clock starts anew, too, so that an old end of a lease is far in its future, and it
// grants the longest lease. So its runs count as lapsed later.

type (
	// lateHolds holds until when holds without an answer may still be executed.
	lateHolds struct {
		acks, renewals lateRequests
	}

	// lateRequests are requests of one kind that got no answer.
	lateRequests struct {
		// until is when none of them can be executed any more.
		until time.Time
		// brokenAt is when the last one was sent whose connection broke. It was lost with the
		// process of the worker, unless that answers again.
		brokenAt time.Time
	}
)

// failed notes that a request got no answer. The present incarnation has answered first at bootAt.
func (r *lateRequests) failed(sentAt, bootAt time.Time, err error) {
	var refusal *site.RefusalError
	switch {
	case errors.As(err, &refusal):
	case errors.Is(err, context.DeadlineExceeded):
		r.until = later(r.until, sentAt.Add(maxRequestDelay))
	case sentAt.Before(bootAt):
		// The connection was one to the process that has ended.
	default:
		r.brokenAt = sentAt
	}
}

// answered notes an answer to another request, which is the first one of an incarnation if
// restarted is set.
func (r *lateRequests) answered(restarted bool) {
	if !restarted && !r.brokenAt.IsZero() {
		r.until = later(r.until, r.brokenAt.Add(maxRequestDelay))
	}
	r.brokenAt = time.Time{}
}

// pending reports whether a hold without an answer may still be executed.
func (h *lateHolds) pending(now time.Time) bool {
	return h.acks.pending(now) || h.renewals.pending(now)
}

func (r *lateRequests) pending(now time.Time) bool {
	return now.Before(r.until) || !r.brokenAt.IsZero() && now.Sub(r.brokenAt) < maxRequestDelay
}

// failed notes that a hold got no answer.
func (h *lateHolds) failed(e *holdDone) {
	if e.acked > 0 {
		h.acks.failed(e.sentAt, e.wk.bootAt, e.err)
	}
	if e.renews {
		h.renewals.failed(e.sentAt, e.wk.bootAt, e.err)
	}
}

func (h *lateHolds) answered(restarted bool) {
	h.acks.answered(restarted)
	h.renewals.answered(restarted)
}

// lateLeaseEnd is when the leases have expired that the present incarnation has granted, or may
// grant, to requests that were sent to an earlier one.
func (l *leadership) lateLeaseEnd(wk *worker) time.Time {
	return l.longestLeaseFrom(wk.renewedUntil)
}

// longestLeaseFrom is when the longest lease has expired that a worker grants at the given time.
func (l *leadership) longestLeaseFrom(at time.Time) time.Time {
	return expiry(at, l.s.opt.Bounds.MaxLease)
}

// noteUnansweredHold notes that a hold got no answer. If another incarnation has answered
// meanwhile, that one may execute it.
func (l *leadership) noteUnansweredHold(e *holdDone, now time.Time) {
	e.wk.lateHolds.failed(e)
	if e.sentAt.Before(e.wk.bootAt) {
		l.awaitLateHolds(e.wk, now)
	}
}

// awaitLateHolds keeps new runs away from a new incarnation while it may execute acknowledgements
// that were sent to an earlier one, and notes until when it may grant leases to those.
func (l *leadership) awaitLateHolds(wk *worker, now time.Time) {
	wk.startsAfter = wk.lateHolds.acks.until
	wk.renewedUntil = later(wk.lateHolds.renewals.until, wk.lateStarts.until())
	if now.Before(wk.startsAfter) {
		l.s.deps.Counts.Count("workers_held_for_late_acks", 1)
		_ = level.Info(l.s.deps.Logger).Log("msg", "starts held: the worker may still execute acknowledgements that were sent to an earlier incarnation",
			"worker", wk.id, "boot", wk.boot, "forMs", wk.startsAfter.Sub(now).Milliseconds())
	}
}

// ackable returns the number of the end up to which a hold acknowledges all, 0 if it acknowledges
// none: each acknowledgement without an answer might be executed late. So a worker that does not
// answer gets none, and one that has answered a number does not get it again.
func (wk *worker) ackable() int64 {
	if wk.holdFails > 0 || wk.acked <= wk.ackAnswered {
		return 0
	}
	return wk.acked
}

// acknowledged notes that the worker has answered a hold. One that was sent to an earlier
// incarnation has acknowledged ends of that one.
func (wk *worker) acknowledged(e *holdDone) {
	if !e.sentAt.Before(wk.bootAt) {
		wk.ackAnswered = max(wk.ackAnswered, e.acked)
	}
}
