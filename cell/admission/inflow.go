package admission

import (
	"math"
	"time"
)

type (
	// Inflow measures the demand of offered work per second. It uses two
	// exponentially decaying averages, of which the lower one counts: a short peak
	// does not yet show in the long average, and the end of a long one shows in the
	// short average first.
	Inflow struct {
		short, long decayingSum
	}

	// decayingSum is a sum of demands that decays exponentially.
	decayingSum struct {
		sum Demand
		at  time.Time
	}
)

const (
	// shortWindow and longWindow are the time constants of the averages.
	shortWindow = time.Second
	longWindow  = 4 * time.Second
)

// Add counts work that was offered at the given time.
func (i *Inflow) Add(now time.Time, d Demand) {
	i.short.add(now, d, shortWindow)
	i.long.add(now, d, longWindow)
}

// PerSecond returns the demand per second.
func (i *Inflow) PerSecond(now time.Time) Demand {
	short, long := i.short.perSecond(now, shortWindow), i.long.perSecond(now, longWindow)
	return Demand{
		MilliCPU:   min(short.MilliCPU, long.MilliCPU),
		MemoryMB:   min(short.MemoryMB, long.MemoryMB),
		QuickCalls: min(short.QuickCalls, long.QuickCalls),
		SlowCalls:  min(short.SlowCalls, long.SlowCalls),
	}
}

func (s *decayingSum) add(now time.Time, d Demand, window time.Duration) {
	s.sum = s.decayed(now, window).Add(d)
	s.at = now
}

func (s *decayingSum) perSecond(now time.Time, window time.Duration) Demand {
	return s.decayed(now, window).Scale(1 / window.Seconds())
}

func (s *decayingSum) decayed(now time.Time, window time.Duration) Demand {
	elapsed := max(0, now.Sub(s.at))
	return s.sum.Scale(math.Exp(-float64(elapsed) / float64(window)))
}
