package scheduler

import (
	"time"

	"pollendock.example/cell/site"
)

// This file tells which workers may hold a longer lease than leaders grant. The end of a lease is
// a time on the worker's clock, which begins anew with each incarnation and may show anything then: it tells
// nothing of the incarnation's age. A renewal or start request that was sent to an earlier incarnation and is executed
// by a later one whose clock is behind grants up to the longest lease to all that runs there. Only the leader
// knows about the incarnations of its workers, so that the record of answered starts excepts the runs on
// such a worker.

// maxMisdirection is how long after its begin an incarnation may execute requests with a time on the
// clock of an earlier one: leaders send them until maxAnswerAge after that one's last answer, which
// may have been under way for as long as a hold.
const maxMisdirection = maxAnswerAge + holdWait + holdTimeout + maxRequestDelay

// misdirectedLeaseEnd is when all leases have ended, on the clock of an incarnation that has given
// its first answer in this term, that it may grant to requests that were sent to an earlier one. It
// is 0 if there are none. The answer shows that it refuses requests of earlier leaders from then on,
// so that a worker which this leader has not known before executes no more of them.
func (l *leadership) misdirectedLeaseEnd(wk *worker, first *site.HoldReply) time.Duration {
	last := first.Clock
	switch {
	case wk.boot != 0:
		last += inWorkerTime(maxMisdirection)
	case l.term.Epoch == initialEpoch || l.settled.boots[wk.id] == first.Boot:
		return 0
	}
	return last + l.s.opt.Bounds.MaxLease
}

// noteMisdirectedRenewal notes the lease that an incarnation has granted by its answer to a renewal which
// was on its way when the incarnation answered for the first time.
func (l *leadership) noteMisdirectedRenewal(e *holdDone) {
	if e.renews && e.sentAt.Before(e.wk.bootAt) {
		e.wk.leaseEnd = max(e.wk.leaseEnd, e.reply.Clock+l.s.opt.Bounds.MaxLease)
	}
}

// inheritedLeaseEnd is when all leases have ended, on the worker's clock, that earlier leaders may
// have renewed until its first answer in this term.
func (l *leadership) inheritedLeaseEnd(wk *worker, firstClock time.Duration, now time.Time) time.Duration {
	longest := firstClock + l.s.opt.Bounds.MaxLease
	if !l.leasesAreShort(now) {
		return longest
	}
	return min(longest, max(firstClock+l.leaseLength()+leaseMargin, wk.misdirectedLeaseEnd))
}

// mayHoldUnrecordedLease reports whether the run may hold a longer lease than its leader has granted, and
// a later leader doesn't know until when from the records.
func (l *leadership) mayHoldUnrecordedLease(r *run, now time.Time) bool {
	if now.Before(l.longestLeaseFrom(r.misdirectedUntil)) {
		return true
	}
	return r.wk.mayHoldLongLease(now) && !l.settled.records(r.wk.id, r.wk.boot)
}

// mayHoldLongLease reports whether the incarnation that has answered last may hold a lease that it
// has granted to a request to an earlier one, or may yet do so.
func (wk *worker) mayHoldLongLease(now time.Time) bool {
	return wk.slowestClock(now) < wk.misdirectedLeaseEnd
}

// mayGrantLongLease reports whether that incarnation may yet grant one.
func (l *leadership) mayGrantLongLease(wk *worker, now time.Time) bool {
	return wk.slowestClock(now) < wk.misdirectedLeaseEnd-l.s.opt.Bounds.MaxLease
}

// slowestClock is what the worker's clock shows at least.
func (wk *worker) slowestClock(now time.Time) time.Duration {
	return wk.clock + time.Duration(float64(now.Sub(wk.clockAt))*minClockRate)
}

// noteExecution notes whether a start request was executed by another incarnation than the one by whose
// clock it grants a lease. One whose clock is not behind grants no longer lease than was meant.
func (e *startDone) noteExecution(now time.Time) {
	passed := time.Duration(float64(e.sentAt.Sub(e.lastAnsweredAt)) * minClockRate)
	if e.clock > e.lastClock+passed-clockResolution {
		return
	}
	// The leader renews leases by the old clock until it knows of the later incarnation.
	e.r.misdirectedUntil = now.Add(maxMisdirection)
}
