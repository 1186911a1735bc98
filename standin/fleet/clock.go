package fleet

import "time"

// This file simulates the workers' clocks. Each incarnation begins a clock of its own, which tells
// nothing of the incarnation's age, and goes as slow as a worker's clock may.

// ClockOrigin returns what the clock of an incarnation shows when it begins. The first incarnation of
// a worker is number 1.
type ClockOrigin func(id string, incarnation int) time.Duration

const (
	// firstOrigin is what the clock of a worker's first incarnation begins with. Each later one begins
	// originStep earlier, so that the end of a lease on an earlier incarnation's clock is far in its
	// future.
	firstOrigin = 1000 * time.Hour
	originStep  = time.Hour
	// clockRate is the rate of the clocks.
	clockRate = 0.98
)

func descendingOrigin(_ string, incarnation int) time.Duration {
	return firstOrigin - time.Duration(incarnation)*originStep
}

// SetClockOrigin sets with what the clocks of incarnations begin that start from then on.
func (f *Fleet) SetClockOrigin(fn ClockOrigin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clockOrigin = fn
}

// startClock begins the clock of a new incarnation.
func (w *Worker) startClock() {
	w.incarnation++
	w.clockOrigin = w.fleet.clockOrigin(w.upstream.ID, w.incarnation)
}

// Clock returns the time on the worker's clock.
func (w *Worker) Clock() time.Duration {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.clock(time.Now())
}

func (w *Worker) clock(now time.Time) time.Duration {
	return w.clockOrigin + time.Duration(float64(now.Sub(w.boot))*clockRate)
}
