package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Counts records counters, gauges and durations by name.
type Counts struct {
	Scope tally.Scope
}

// timeBuckets range from 1 ms to about 33 s.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Count adds n to a counter.
func (c Counts) Count(name string, n int64) {
	c.Scope.Counter(name).Inc(n)
}

// Gauge sets the current value of a gauge.
func (c Counts) Gauge(name string, n int64) {
	c.Scope.Gauge(name).Update(float64(n))
}

// Time records a duration in a histogram.
func (c Counts) Time(name string, d time.Duration) {
	c.Scope.Histogram(name, timeBuckets).RecordDuration(d)
}
