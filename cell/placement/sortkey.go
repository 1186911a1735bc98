package placement

import "time"

type (
	// SortKey is the sort key of a pending step.
	SortKey struct {
		// Rank takes precedence over the other fields; see RankAt.
		Rank Rank
		// Priority is the priority of the queue; 0 is the highest.
		Priority int
		// LatestStart is the latest start of the step at which the job can still
		// complete in time.
		LatestStart time.Time
		// Order is the position of the job in the order of acceptance.
		Order int64
		Step  int
	}

	// Rank classifies a step by the value that completing its job still has for
	// the caller.
	Rank int

	// RateMeter tells which jobs of a team exceed the team's guaranteed rate. When
	// one team sends a multiple of its usual load, jobs of the other teams take
	// precedence over the excess. The algorithm is GCRA, a leaky bucket that
	// needs a single time stamp.
	RateMeter struct {
		nextConforming time.Time
	}
)

const (
	// InTime means that the job can still complete in time.
	InTime Rank = iota
	// Surplus means the same, but the job exceeds its team's guaranteed rate.
	Surplus
	// Late means that the job will miss its time, but still has value for the
	// caller.
	Late
	// Overdue means that the caller is assumed to have given up on the job.
	Overdue
)

const (
	// OverdueFactor is the multiple of its allowed time up to which a job still has
	// value for the caller.
	OverdueFactor = 3
	// burstWindow is how far ahead of its guaranteed rate a team may get.
	burstWindow = 2 * time.Second
)

// Before reports whether k is served before o. Work that can complete in time
// precedes work that cannot: late work has little value, and running it first
// would make more work late.
func (k *SortKey) Before(o *SortKey) bool {
	if k.Rank != o.Rank {
		return k.Rank < o.Rank
	}
	if k.Priority != o.Priority {
		return k.Priority < o.Priority
	}
	if !k.LatestStart.Equal(o.LatestStart) {
		return k.LatestStart.Before(o.LatestStart)
	}
	if k.Order != o.Order {
		return k.Order < o.Order
	}
	return k.Step < o.Step
}

// RankAt returns the rank of a job that has to complete within allowed of its
// acceptance and whose remaining work takes remaining. overRate says that the
// job exceeds its team's guaranteed rate.
func RankAt(now, accepted time.Time, allowed, remaining time.Duration, overRate bool) Rank {
	end := now.Add(remaining)
	switch {
	case end.After(accepted.Add(OverdueFactor * allowed)):
		return Overdue
	case end.After(accepted.Add(allowed)):
		return Late
	case overRate:
		return Surplus
	}
	return InTime
}

// CountJob counts a job and reports whether it exceeds the rate of perSecond jobs a
// second. A rate of 0 means no limit. Jobs that exceed the rate do not consume
// it.
func (m *RateMeter) CountJob(accepted time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	if m.Exceeded(accepted) {
		return true
	}
	if m.nextConforming.Before(accepted) {
		m.nextConforming = accepted
	}
	m.nextConforming = m.nextConforming.Add(time.Duration(float64(time.Second) / perSecond))
	return false
}

// Exceeded reports whether a job that is accepted at the given time would exceed the
// rate. It does not count the job.
func (m *RateMeter) Exceeded(accepted time.Time) bool {
	return m.nextConforming.Sub(accepted) > burstWindow
}
