package scheduler

import (
	"time"

	"pollendock.example/cell/site"
)

// This file logs what the wait for the runs of a worker that does not answer consisted of.

// lapseFields returns the log fields that say what held the end of a worker's runs back: how long
// ago the first and the last dispatch was read, a late start could be executed last, the last
// lease ended, and earlier leaders stopped renewing leases. shortLeasesFrom is the epoch from which on all
// leaders before this one have recorded that they keep to short leases, 0 if the last one has not. An
// age is -1 if there is no such time.
func (l *leadership) lapseFields(wk *worker, runs []*run, now time.Time) []any {
	var first, last, startable, lateLeases time.Time
	inheritedRuns, answered := 0, 0
	for _, r := range runs {
		at := r.dispatchedAt()
		if first.IsZero() || at.Before(first) {
			first = at
		}
		last = later(last, at)
		startable = later(startable, l.startableUntil(r))
		if r.startAttempts == 0 {
			inheritedRuns++
		}
		if !r.confirmedAt.IsZero() || r.startsAnswered {
			answered++
		}
	}
	if !wk.renewedUntil.IsZero() {
		lateLeases = l.lateLeaseEnd(wk)
	}
	shortLeasesFrom := int64(0)
	if l.predecessorKeepsTerms() {
		shortLeasesFrom = l.renewals.FirstEpoch
	}
	return []any{
		"inherited", inheritedRuns, "startsAnswered", answered,
		"firstDispatchMs", millisSince(now, first), "lastDispatchMs", millisSince(now, last),
		"startableUntilMs", millisSince(now, startable), "leasesUntilMs", millisSince(now, l.lapseAt(wk)),
		"lateLeasesUntilMs", millisSince(now, lateLeases), "renewableUntilMs", millisSince(now, wk.lateHolds.renewals.until),
		"longLeasesUntilMs", millisSince(now, l.longLeasesEnd(wk)), "silentMs", millisSince(now, wk.silence.since), "maxLeaseMs", l.s.opt.Bounds.MaxLease.Milliseconds(),
		"othersRenewMs", millisSince(now, l.othersRenewUntil), "shortLeasesFrom", shortLeasesFrom,
	}
}

// lapseFields returns the log fields for one run whose end no worker has listed.
func (r *run) lapseFields(l *leadership, how site.EndKind, now time.Time) []any {
	if how != site.LeaseExpired && how != site.Crashed && (how != site.NotRun || r.stage != inherited) {
		return nil
	}
	return l.lapseFields(r.wk, []*run{r}, now)
}

// dispatchedAt is when this leader decided the run, or read the decision of an earlier one.
func (r *run) dispatchedAt() time.Time {
	if r.startAttempts == 0 {
		return r.tj.inheritedAt
	}
	return r.decidedAt
}
