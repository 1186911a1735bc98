package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestUnreachableWorkerIsNotStalled guards against stopping runs of a worker that was
// paused for some seconds. They were taken for stalled as soon as the worker answered
// again and reported the same progress as before. Only time in which the worker answers
// may count.
func TestUnreachableWorkerIsNotStalled(t *testing.T) {
	for _, c := range []struct {
		name     string
		fails    int // holds without an answer
		wantStop bool
	}{
		{"always reachable", 0, true},
		{"unreachable for a while", 3, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := &leadership{s: New(Options{}, Deps{Logger: log.NewNopLogger()})}
			wk := &worker{runs: map[runKey]*run{}}
			tj := &trackedJob{
				sub:   &job.Submission{Steps: []job.Step{{Count: 1, Estimate: time.Second}}},
				state: &job.State{}, avoid: map[site.TaskID]string{}, stallStops: map[site.TaskID]int{},
			}
			r := &run{tj: tj, wk: wk, stage: running, confirmedAt: time.Now()}
			wk.runs[r.key()] = r
			time.Sleep(minStallTimeout)
			wk.holdFails = c.fails
			wk.recordAnswer(time.Now())
			l.watchProgress(wk, time.Now())
			if r.stopWanted != c.wantStop {
				t.Errorf("%s: stop wanted %v, want %v", c.name, r.stopWanted, c.wantStop)
			}
		})
	}
}
