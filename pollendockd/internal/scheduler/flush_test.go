package scheduler

import (
	"testing"
	"time"
)

// TestRetryInterval checks that an append is retried soon if only its answer was lost,
// but not on a slow stream, which the retries would keep so busy that nothing is
// answered in time.
func TestRetryInterval(t *testing.T) {
	for _, c := range []struct {
		name          string
		latency, call time.Duration
		attempts      int
		want          time.Duration
	}{
		{"quick stream", 8 * time.Millisecond, 7 * time.Millisecond, 1, 150 * time.Millisecond},
		{"quick stream, second attempt", 8 * time.Millisecond, 7 * time.Millisecond, 2, 300 * time.Millisecond},
		{"slow appends", 60 * time.Millisecond, 7 * time.Millisecond, 1, 360 * time.Millisecond},
		{"slow reads", 8 * time.Millisecond, 200 * time.Millisecond, 1, 2400 * time.Millisecond},
		{"slow reads, second attempt", 8 * time.Millisecond, 200 * time.Millisecond, 2, 2500 * time.Millisecond},
		{"no measurements", 0, 0, 1, 150 * time.Millisecond},
	} {
		f := flushState{latency: c.latency, attempts: c.attempts}
		if got := f.retryInterval(c.call); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestExpectedWait checks that a record is expected to wait for the append in progress
// and for its own.
func TestExpectedWait(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		latency time.Duration
		busy    bool
		age     time.Duration
		want    time.Duration
	}{
		{"idle", 10 * time.Millisecond, false, 0, 10 * time.Millisecond},
		{"just sent", time.Second, true, 0, 2 * time.Second},
		{"nearly done", time.Second, true, 900 * time.Millisecond, 1100 * time.Millisecond},
		{"later than usual", time.Second, true, 3 * time.Second, time.Second},
	} {
		f := flushState{latency: c.latency, sentAt: now.Add(-c.age)}
		if c.busy {
			f.sent = &batch{}
		}
		if got := f.expectedWait(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
