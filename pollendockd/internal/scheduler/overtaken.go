package scheduler

import (
	"time"

	"pollendock.example/cell/site"
)

// This file recognizes answers to holds that were overtaken by later ones: several holds of
// a worker may be in progress, and an answer may be delayed.

// overtaken reports whether an answer, to a request that was sent at the given time, was made
// before one that has been processed. Its lists may show runs whose ends have been read, and
// less progress.
func (wk *worker) overtaken(h *site.HoldReply, sentAt time.Time) bool {
	if h.Boot != wk.boot {
		return sentAt.Before(wk.bootAt)
	}
	if !sentAt.Before(wk.clockAt) {
		return false
	}
	// Answers within one tick of the clock differ by the ends that they list.
	return h.Clock < wk.clock || h.Clock == wk.clock && lastNumber(h.Ended) < wk.seen
}

// dropOvertaken leaves an overtaken answer unused.
func (l *leadership) dropOvertaken(e *holdDone, now time.Time) {
	l.s.deps.Counts.Count("worker_answers_overtaken", 1)
	if e.regular {
		e.wk.holdAt = now
	}
}
