package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

// This file grants leases to workers that answer, and ends the runs of those that have not answered for so long
// that all their leases have expired.

const (
	lease = 4500 * time.Millisecond
	// maxAnswerAge is the maximum age of a worker's last answer for a lease renewal.
	maxAnswerAge = 2 * time.Second
	// minStartLease is how long the lease of a run lasts at least. A worker that has none as long
	// gets a new one with the start request.
	minStartLease = 2800 * time.Millisecond
	// leaseMargin keeps leases below the maximum that a worker grants.
	leaseMargin = 500 * time.Millisecond
	// minClockRate is the slowest rate of a worker's clock.
	minClockRate = 0.98
	// clockResolution is the unit in which workers tell their clocks.
	clockResolution = time.Millisecond
	// lapseSlack covers the worker's delay in killing lapsed runs.
	lapseSlack = 150 * time.Millisecond
)

// nextLease returns the end of a lease that begins now, and records it as sent. A worker that has left a
// call without an answer gets no later end than it may have been sent: that call may have been
// executed, so each later end postpones the time at which all runs have certainly lapsed. It returns 0,
// which renews nothing, for a worker that may get no lease.
func (l *leadership) nextLease(wk *worker, now time.Time) time.Duration {
	if !l.mayLease(wk, now) {
		return 0
	}
	if wk.leftCallUnanswered() {
		return l.grantedLease(wk, now)
	}
	end := wk.clockNow(now) + l.leaseLength()
	wk.leaseEnd = max(wk.leaseEnd, end)
	return end
}

// leftCallUnanswered reports whether the worker has left a hold or a start request without an answer since
// its last one.
func (wk *worker) leftCallUnanswered() bool {
	return wk.holdFails > 0 || wk.startUnanswered
}

// grantedLease returns the end of the lease that the worker has been sent since its last answer, which it
// may not have received, or 0 if that is past.
func (l *leadership) grantedLease(wk *worker, now time.Time) time.Duration {
	end := min(wk.leaseEnd, wk.clock+l.leaseLength())
	if end <= wk.clockNow(now) {
		return 0
	}
	return end
}

// startLease returns the end of the lease for a run to start, 0 if it may get none. It is the one
// that the worker has, unless that ends soon: a start request to a worker that is dead then does
// not postpone the end of its other runs.
func (l *leadership) startLease(wk *worker, now time.Time) time.Duration {
	if !l.mayLease(wk, now) {
		return 0
	}
	clock := wk.clockNow(now)
	if end := min(wk.leaseEnd, clock+l.leaseLength()); end >= clock+minStartLease && wk.hasStarted() {
		return end
	}
	if wk.leftCallUnanswered() {
		return 0
	}
	return l.nextLease(wk, now)
}

// hasStarted reports whether a run there has been sent its start request.
func (wk *worker) hasStarted() bool {
	for _, r := range wk.runs {
		if r.stage != planned {
			return true
		}
	}
	return false
}

// mayLease reports whether a worker may be sent the end of a lease: it has answered within
// maxAnswerAge, and the term may renew its leases. A later incarnation takes any end of a lease for a
// renewal.
func (l *leadership) mayLease(wk *worker, now time.Time) bool {
	return l.mayRenewFor(wk, now) && wk.boot != 0 && now.Sub(wk.clockAt) <= maxAnswerAge && !wk.refusesConnections &&
		l.mayRenewBesideStarts(wk, now)
}

// lapseAt is when no run requested earlier can still be running on the worker, if it
// does not answer until then.
func (l *leadership) lapseAt(wk *worker) time.Time {
	if wk.boot == 0 {
		return l.inheritedLapseAt(wk)
	}
	return expiry(wk.clockAt, max(0, wk.leaseEnd-wk.clock))
}

// lapseIfDue ends the runs of a worker that has not answered for so long that all its
// leases have expired.
func (l *leadership) lapseIfDue(wk *worker, now time.Time) {
	if len(wk.runs) == 0 || now.Before(later(l.lapseAt(wk), l.lateLeaseEnd(wk))) {
		return
	}
	if !l.listRead() && now.Sub(l.startedAt) < maxListAge || l.mayBeUnlisted(wk, now) {
		// The list tells whether the worker has crashed.
		return
	}
	if alive, evidence := l.endedWithoutNotice(wk); evidence != "" {
		l.markCrashed(wk, alive, evidence)
	}
	lapsed := l.lapsedRuns(wk, now)
	if len(lapsed) == 0 {
		return
	}
	fields := []any{"msg", "all leases of the worker have expired", "worker", wk.id, "boot", wk.boot, "runs", len(lapsed),
		"epoch", l.term.Epoch, "dataCentre", wk.upstream.DataCentre, "listed", wk.listed, "termAgeMs", now.Sub(l.startedAt).Milliseconds(),
		"clockMs", wk.clock.Milliseconds(), "clockAgeMs", millisSince(now, wk.clockAt), "leaseEndMs", wk.leaseEnd.Milliseconds()}
	_ = level.Warn(l.s.deps.Logger).Log(append(fields, l.lapseFields(wk, lapsed, now)...)...)
	for _, r := range lapsed {
		l.giveUpUnread(r)
		l.endRun(r, site.LeaseExpired, "the worker did not answer before its leases expired")
	}
}

// mayBeUnlisted reports whether the entry of a worker that does not answer may yet be removed
// because the worker has ended: that takes entryHeartbeats.
func (l *leadership) mayBeUnlisted(wk *worker, now time.Time) bool {
	if wk.holdFails == 0 || !wk.listed || wk.upstream.Draining || !wk.answersAsListed() || wk.refusesConnections {
		return false
	}
	wait := min(entryHeartbeats*l.s.opt.Bounds.Heartbeat+entryDelay, maxUnlistedWait)
	return l.s.opt.Bounds.Heartbeat > 0 && now.Sub(wk.failedAt) < wait
}

// lapsedRuns returns the runs that have ended with their leases and cannot start again.
func (l *leadership) lapsedRuns(wk *worker, now time.Time) []*run {
	var runs []*run
	for _, r := range wk.runs {
		if r.stage != planned && r.stage != starting && !l.mayRunLater(r, now) {
			runs = append(runs, r)
		}
	}
	return runs
}
