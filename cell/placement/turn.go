package placement

import "time"

type (
	// Turn is what decides when a waiting step is served.
	Turn struct {
		// Rank comes first; see RankAt.
		Rank Rank
		// Priority is the queue's; 0 comes first.
		Priority int
		// LatestStart is when the step has to start for the job to be complete
		// in time.
		LatestStart time.Time
		// Order is that of the job's acceptance.
		Order int64
		Step  int
	}

	// Rank says what a caller still gains if the step is served now.
	Rank int

	// Meter tells which jobs of a team are beyond the number a second that it
	// is owed. It answers the load of one team that sends many times its usual:
	// the others' jobs then go first.
	Meter struct {
		next time.Time
	}
)

const (
	// InTime steps can make their job complete in time.
	InTime Rank = iota
	// Surplus steps can as well, but their team has sent more than it is owed.
	Surplus
	// Late steps cannot, but their caller still gains something.
	Late
	// Overdue steps belong to a job on which its caller has given up.
	Overdue
)

const (
	// lateTimes is how many times its time a job may take and still be worth
	// something.
	lateTimes = 3
	// burst is how much of its future due a team may use at once.
	burst = 2 * time.Second
)

// Before orders turns. Work that can still be in time goes before work that
// cannot, which is worth little and would make more work late.
func (t *Turn) Before(o *Turn) bool {
	if t.Rank != o.Rank {
		return t.Rank < o.Rank
	}
	if t.Priority != o.Priority {
		return t.Priority < o.Priority
	}
	if !t.LatestStart.Equal(o.LatestStart) {
		return t.LatestStart.Before(o.LatestStart)
	}
	if t.Order != o.Order {
		return t.Order < o.Order
	}
	return t.Step < o.Step
}

// RankAt ranks a job that was accepted at a time, is to be complete within
// allowed, and has remaining work of the given length.
func RankAt(now, accepted time.Time, allowed, remaining time.Duration, beyond bool) Rank {
	done := now.Add(remaining)
	switch {
	case done.After(accepted.Add(lateTimes * allowed)):
		return Overdue
	case done.After(accepted.Add(allowed)):
		return Late
	case beyond:
		return Surplus
	}
	return InTime
}

// Take counts a job that was accepted at a time and reports whether it is
// beyond perSecond. A team without a figure is never beyond it.
func (m *Meter) Take(accepted time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	if m.next.Before(accepted) {
		m.next = accepted
	}
	if m.next.Sub(accepted) > burst {
		return true
	}
	m.next = m.next.Add(time.Duration(float64(time.Second) / perSecond))
	return false
}
