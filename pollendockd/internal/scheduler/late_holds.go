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
// happen.

// lateHolds holds until when holds without an answer may still be executed.
type lateHolds struct {
	// acksUntil is the time of those that acknowledge ends.
	acksUntil time.Time
	// brokenAt is when the last one of them was sent whose connection broke. It was lost with
	// the process of the worker, unless that answers again.
	brokenAt time.Time
}

// failed notes that a hold got no answer.
func (h *lateHolds) failed(e *holdDone) {
	var refusal *site.RefusalError
	switch {
	case errors.As(e.err, &refusal) || !e.acks:
	case errors.Is(e.err, context.DeadlineExceeded):
		h.acksUntil = later(h.acksUntil, e.sentAt.Add(maxRequestDelay))
	default:
		h.brokenAt = e.sentAt
	}
}

// answered notes an answer, which is the first one of an incarnation if restarted is set.
func (h *lateHolds) answered(restarted bool) {
	if !restarted && !h.brokenAt.IsZero() {
		h.acksUntil = later(h.acksUntil, h.brokenAt.Add(maxRequestDelay))
	}
	h.brokenAt = time.Time{}
}

// awaitLateAcks keeps new runs away from a new incarnation while it may execute acknowledgements
// that were sent to an earlier one.
func (l *leadership) awaitLateAcks(wk *worker, now time.Time) {
	wk.startsAfter = wk.lateHolds.acksUntil
	if now.Before(wk.startsAfter) {
		l.s.deps.Counts.Count("workers_held_for_late_acks", 1)
		_ = level.Info(l.s.deps.Logger).Log("msg", "starts held: the worker may still execute acknowledgements that were sent to an earlier incarnation",
			"worker", wk.id, "boot", wk.boot, "forMs", wk.startsAfter.Sub(now).Milliseconds())
	}
}

// ackable returns the number of the end up to which a hold acknowledges all. A worker that does
// not answer gets no acknowledgements: each might be executed late.
func (wk *worker) ackable() int64 {
	if wk.holdFails > 0 {
		return 0
	}
	return wk.acked
}
