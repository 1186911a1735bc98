package placement

import (
	"slices"
	"testing"
	"time"
)

// TestShortestQuery checks how many workers the query of a gang names.
func TestShortestQuery(t *testing.T) {
	places := func(n, tasks int, chance float64) []Place {
		return slices.Repeat([]Place{{tasks, chance}}, n)
	}
	for _, c := range []struct {
		name            string
		count           int
		places          []Place
		base, perWorker time.Duration
		least, most     int
	}{
		{"known workers", 6, places(8, 3, 1), 390 * time.Millisecond, 5 * time.Millisecond, 2, 2},
		{"a long call", 6, places(48, 3, 0.3), 390 * time.Millisecond, 5 * time.Millisecond, 13, 20},
		{"a long time for each worker", 6, places(48, 3, 0.3), 5 * time.Millisecond, 100 * time.Millisecond, 2, 8},
		{"known workers suffice but for one", 6, append(places(1, 3, 1), places(40, 3, 0.3)...), 390 * time.Millisecond, 5 * time.Millisecond, 8, 14},
		{"too few", 6, places(1, 3, 0.3), 390 * time.Millisecond, 5 * time.Millisecond, 0, 0},
		{"none", 2, nil, time.Second, time.Second, 0, 0},
	} {
		if n := ShortestQuery(c.count, c.places, c.base, c.perWorker); n < c.least || n > c.most {
			t.Errorf("%s: %d workers, want %d to %d", c.name, n, c.least, c.most)
		}
	}
}
