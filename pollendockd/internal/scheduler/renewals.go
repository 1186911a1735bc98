package scheduler

import (
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file bounds the leases that earlier leaders may have granted to a worker that has not
// answered this one. A leader may reach a worker that is cut off from the stream, and so
// from the list, too. Leaders of earlier versions renew for streamTimeout without the stream,
// and are not trusted to keep leases below the maximum. Those that append a record keep to
// renewTimeout and to lease.

// renewalOverlap is how long before the end of the last lease the next one is granted at the
// latest.
const renewalOverlap = time.Second

// initialEpoch is the epoch of the first leader of a cell.
const initialEpoch = 1

// renewTimeout is how long a leader renews leases without a successful append: runs outlive
// outages of the stream of streamTimeout.
func (l *leadership) renewTimeout() time.Duration {
	return streamTimeout - l.leaseLength() + renewalOverlap
}

func (l *leadership) leaseLength() time.Duration {
	return min(lease, l.s.opt.Bounds.MaxLease-leaseMargin)
}

// renewalsEntry returns the record that the leader of an epoch keeps to renewTimeout. It goes with the
// record of the term, so that a term in which nothing was appended leaves it, too.
func (s *Scheduler) renewalsEntry(epoch int64) (site.Entry, error) {
	r := &job.EpochRange{Epoch: epoch, FirstEpoch: epoch}
	if h := s.deps.View.Renewals(); h.ReachesTo(epoch - 1) {
		r.FirstEpoch = h.FirstEpoch
	}
	return job.RenewalsEntry(r)
}

// predecessorKeepsTerms reports whether the leader of the term before this one has appended the
// record.
func (l *leadership) predecessorKeepsTerms() bool {
	own := l.renewals.ReachesTo(l.term.Epoch) && l.renewals.FirstEpoch < l.term.Epoch
	return own || l.renewals.ReachesTo(l.term.Epoch-1)
}

// renewalsEnd is when all leases have expired that leaders may have granted whose last appends
// were before the given time.
func (l *leadership) renewalsEnd(at time.Time) time.Time {
	longest := l.longestLeaseFrom(at.Add(streamTimeout))
	if !l.predecessorKeepsTerms() {
		return longest
	}
	renewable := at.Add(l.renewTimeout())
	if l.othersRenewUntil.Before(renewable) && !l.othersRenewUntil.IsZero() {
		renewable = l.othersRenewUntil
	}
	end := expiry(renewable, l.leaseLength()+leaseMargin)
	if l.renewals.FirstEpoch != initialEpoch {
		end = later(end, l.longestLeaseFrom(l.renewals.Since.Add(streamTimeout)))
	}
	if end.Before(longest) {
		return end
	}
	return longest
}

// leasesAreShort reports whether all leaders that may have granted leases that still last keep to
// leaseLength.
func (l *leadership) leasesAreShort(now time.Time) bool {
	if !l.predecessorKeepsTerms() {
		return false
	}
	return l.renewals.FirstEpoch == initialEpoch || !now.Before(l.longestLeaseFrom(l.renewals.Since.Add(streamTimeout)))
}

// expiry is when a lease of that length has expired for certain that a worker grants at the given
// time.
func expiry(at time.Time, length time.Duration) time.Time {
	return at.Add(inWorkerTime(length) + lapseSlack)
}

// inWorkerTime is how long a time on the slowest clock of a worker may take.
func inWorkerTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}
