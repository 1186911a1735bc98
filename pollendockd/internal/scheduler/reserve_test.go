package scheduler

import (
	"testing"
	"time"
)

// TestRemaining: the end of a run follows from the progress that it has made since
// it was found. A new leader took runs that it found halfway for nearly done, and
// held half of the workers for gangs that were to start at once, for seconds.
func TestRemaining(t *testing.T) {
	const estimate = 4 * time.Second
	now := time.Now()
	for _, c := range []struct {
		name             string
		found, percent   int
		watched, changed time.Duration // before now
		want             time.Duration
	}{
		{"just started", 0, 0, 0, 0, 4 * time.Second},
		{"no progress seen yet", 0, 0, time.Second, time.Second, 3 * time.Second},
		{"half of it in a second", 0, 50, time.Second, 0, time.Second},
		{"the same, told 0.2 s ago", 0, 50, 1200 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond},
		{"found halfway", 50, 50, 0, 0, 2 * time.Second},
		{"found halfway, ten points in a second", 50, 60, time.Second, 0, 4 * time.Second},
		{"found halfway, three points", 50, 53, 500 * time.Millisecond, 0, 1500 * time.Millisecond},
		{"longer than thought", 0, 0, 9 * time.Second, 9 * time.Second, leastRemaining},
	} {
		r := &run{
			foundAt: c.found, percent: c.percent, decidedAt: now.Add(-c.watched),
			confirmedAt: now.Add(-c.watched), percentAt: now.Add(-c.changed),
		}
		if got := r.remaining(now, estimate); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
