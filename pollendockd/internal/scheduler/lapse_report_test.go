package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/site"
)

// TestLapseFieldsTellInheritedRunsFromOwn guards against log lines from which nobody can tell whether a dead worker's run waited as one whose start may be executed late.
func TestLapseFieldsTellInheritedRunsFromOwn(t *testing.T) {
	now := time.Now()
	const age = 20 * time.Second
	lateStart := maxStartAttempts*startTimeout + maxRequestDelay
	for _, c := range []struct {
		name string
		run  run
		how  site.EndKind
		// want holds the expected fields, nil for a run without any.
		want map[string]any
	}{
		{"inherited", run{stage: inherited}, site.LeaseExpired,
			map[string]any{"inherited": 1, "startsAnswered": 0, "lastDispatchMs": age.Milliseconds(), "startableUntilMs": (age - lateStart).Milliseconds()}},
		{"inherited and found on its worker", run{stage: running, confirmedAt: now}, site.Crashed,
			map[string]any{"inherited": 1, "startsAnswered": 1}},
		{"own, answered", run{stage: running, startAttempts: 1, decidedAt: now.Add(-time.Second), confirmedAt: now}, site.Crashed,
			map[string]any{"inherited": 0, "startsAnswered": 1, "lastDispatchMs": int64(1000), "startableUntilMs": int64(-1)}},
		{"end listed by its worker", run{stage: running, startAttempts: 1}, site.Done, nil},
		{"own that never began", run{stage: unconfirmed, startAttempts: 1}, site.NotRun, nil},
	} {
		l := &leadership{s: &Scheduler{opt: Options{Bounds: site.Bounds{MaxLease: 10 * time.Second}}}}
		r := c.run
		r.wk = &worker{boot: 1}
		r.tj = &trackedJob{inheritedAt: now.Add(-age)}
		got := map[string]any{}
		if fields := r.lapseFields(l, c.how, now); fields != nil {
			for i := 0; i < len(fields); i += 2 {
				got[fields[i].(string)] = fields[i+1]
			}
		}
		if (len(got) == 0) != (c.want == nil) {
			t.Errorf("%s: got fields %v", c.name, got)
		}
		for name, want := range c.want {
			if got[name] != want {
				t.Errorf("%s: got %s=%v, want %v", c.name, name, got[name], want)
			}
		}
	}
}
