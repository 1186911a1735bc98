package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Counts records counters and durations by name.
type Counts struct {
	Scope tally.Scope
}

// timeBuckets range from 1 ms to about 33 s.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Count adds n to a counter.
func (c Counts) Count(name string, n int64) {
	c.Scope.Counter(name).Inc(n)
}

// Time records a duration in a histogram.
func (c Counts) Time(name string, d time.Duration) {
	c.Scope.Histogram(name, timeBuckets).RecordDuration(d)
}
