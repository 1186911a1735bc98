package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestSilenceIsNoStandstill: the work of a worker that was paused for some seconds was
// taken for work that stands still, and stopped as soon as the worker answered again
// with the progress of before. Only time in which it answers tells of that.
func TestSilenceIsNoStandstill(t *testing.T) {
	for _, c := range []struct {
		name     string
		fails    int // holds without an answer
		wantStop bool
	}{
		{"answers all along", 0, true},
		{"was silent", 3, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := &leadership{s: New(Options{}, Deps{Logger: log.NewNopLogger()})}
			at := &worker{runs: map[runKey]*run{}}
			w := &work{
				sub:   &job.Submission{Steps: []job.Step{{Count: 1, Estimate: time.Second}}},
				state: &job.State{}, avoid: map[site.TaskID]string{}, stills: map[site.TaskID]int{},
			}
			r := &run{w: w, at: at, stage: running, confirmedAt: time.Now()}
			at.runs[r.key()] = r
			time.Sleep(stillLimit)
			at.holdFails = c.fails
			at.noteAnswer(time.Now())
			l.watchProgress(at, time.Now())
			if r.stopWanted != c.wantStop {
				t.Errorf("%s: to be stopped %v, want %v", c.name, r.stopWanted, c.wantStop)
			}
		})
	}
}
