package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
)

// This file bounds how long after the append of its dispatch a start request is sent. A later leader
// counts from when it read the dispatch, which may be before the leader that sends the request learns
// that the append has succeeded: its process may stand still meanwhile, or the answer may take long. A
// run whose dispatch is too old then is given up unsent. While appends take long the bound is longer,
// and a record says so, which is durable before the dispatches for which it is used.

type (
	// startDelays is what a leader knows of the delays of start requests.
	startDelays struct {
		// recorded is the bound in the record, from its append on until that of its removal, 0 if
		// there is none.
		recorded time.Duration
		// lateAt is when start requests were last due later than shortStartDelay after the append.
		lateAt time.Time
	}

	// dispatchAge is the age up to which a start request may be sent.
	dispatchAge struct {
		// appendedAt is when the append of the dispatch was sent for the first time.
		appendedAt time.Time
		limit      time.Duration
	}
)

const (
	shortStartDelay = maxStartAttempts * startTimeout
	// longStartDelay is for appends that take as long as an attempt may.
	longStartDelay = timeoutIntervals * maxRetryInterval
	// longDelayPeriod is how long the longer bound is used after it was needed last.
	longDelayPeriod = 30 * time.Second
)

// allows reports whether a start request may be sent now.
func (a dispatchAge) allows(now time.Time) bool {
	return within(a.limit, now, a.appendedAt, a.appendedAt.Round(0))
}

// usesLong reports whether start requests may be sent later than shortStartDelay.
func (d *startDelays) usesLong(now time.Time) bool {
	return !d.lateAt.IsZero() && now.Sub(d.lateAt) < longDelayPeriod
}

// addStartDelay adds the record to a batch if it is needed, or its removal, and sets for how long after
// the append the start requests of the batch may be sent.
func (l *leadership) addStartDelay(b *batch, now time.Time) error {
	d := &l.startDelays
	b.dispatchAge.limit = shortStartDelay
	switch {
	case d.usesLong(now):
		b.dispatchAge.limit = longStartDelay
		return l.recordLongDelay(b)
	case d.recorded > 0 && now.Sub(later(d.lateAt, l.startedAt)) >= l.longDelayMatters():
		d.recorded = 0
		b.entries = append(b.entries, job.StartDelayRemovalEntry())
	}
	return nil
}

func (l *leadership) recordLongDelay(b *batch) error {
	if l.startDelays.recorded >= longStartDelay {
		return nil
	}
	e, err := job.StartDelayEntry(&job.StartDelay{Delay: longStartDelay})
	if err != nil {
		return err
	}
	l.startDelays.recorded = longStartDelay
	b.entries = append(b.entries, e)
	return nil
}

// longDelayMatters is how long after the last late start requests the record stays: until all that were
// sent under the longer bound can no longer be executed, and the leases have expired that they were granted.
func (l *leadership) longDelayMatters() time.Duration {
	executable := longDelayPeriod + longStartDelay + maxRequestDelay
	return expiry(time.Time{}.Add(executable), l.s.opt.Bounds.MaxLease).Sub(time.Time{})
}

// noteStartDelay notes whether the start requests of a batch that has become durable are late.
func (l *leadership) noteStartDelay(b *batch, now time.Time) {
	short := dispatchAge{b.dispatchAge.appendedAt, shortStartDelay}
	if len(b.starts) == 0 || short.allows(now) {
		return
	}
	l.startDelays.lateAt = now
	if b.dispatchAge.allows(now) {
		return
	}
	l.s.deps.Counts.Count("starts_given_up_late", int64(len(b.starts)))
	_ = level.Warn(l.s.deps.Logger).Log("msg", "dispatches became durable too late for their start requests", "epoch", l.term.Epoch,
		"starts", len(b.starts), "ageMs", now.Sub(b.dispatchAge.appendedAt).Milliseconds(), "limitMs", b.dispatchAge.limit.Milliseconds())
}

// inheritedStartDelay is how much later than maxInheritedStartDelay a start of an earlier leader may be
// executed.
func (l *leadership) inheritedStartDelay() time.Duration {
	return max(0, l.s.deps.View.StartDelay()-shortStartDelay)
}
