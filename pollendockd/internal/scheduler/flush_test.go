package scheduler

import (
	"testing"
	"time"
)

// TestRepeatGap: an append is repeated soon where only its answer was lost, but
// not on a stream that is slow: the repeats would keep it so busy that nothing is
// answered in time.
func TestRepeatGap(t *testing.T) {
	for _, c := range []struct {
		name        string
		usual, call time.Duration
		attempts    int
		want        time.Duration
	}{
		{"quick stream", 8 * time.Millisecond, 7 * time.Millisecond, 1, 150 * time.Millisecond},
		{"quick stream, second time", 8 * time.Millisecond, 7 * time.Millisecond, 2, 300 * time.Millisecond},
		{"appends take long", 60 * time.Millisecond, 7 * time.Millisecond, 1, 360 * time.Millisecond},
		{"slow of late", 8 * time.Millisecond, 200 * time.Millisecond, 1, 2400 * time.Millisecond},
		{"slow, second time", 8 * time.Millisecond, 200 * time.Millisecond, 2, 2500 * time.Millisecond},
		{"nothing known", 0, 0, 1, 150 * time.Millisecond},
	} {
		f := flushState{usual: c.usual, attempts: c.attempts}
		if got := f.repeatGap(c.call); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestExpectedWait: a record waits for the append under way and for its own.
func TestExpectedWait(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		usual time.Duration
		busy  bool
		age   time.Duration
		want  time.Duration
	}{
		{"idle", 10 * time.Millisecond, false, 0, 10 * time.Millisecond},
		{"just sent", time.Second, true, 0, 2 * time.Second},
		{"nearly done", time.Second, true, 900 * time.Millisecond, 1100 * time.Millisecond},
		{"later than usual", time.Second, true, 3 * time.Second, time.Second},
	} {
		f := flushState{usual: c.usual, sentAt: now.Add(-c.age)}
		if c.busy {
			f.sent = &batch{}
		}
		if got := f.expectedWait(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
