package scheduler

import (
	"slices"
	"time"

	"pollendock.example/cell/job"
)

// This file records the jobs that runs were decided for some time ago, and that have not begun: their workers
// do not answer. From the record all VMs count them as waiting.

// unbegunJobs is what was recorded of them.
type unbegunJobs struct {
	// recorded holds their ids in ascending order, checkedAt is when they were determined.
	recorded  []string
	checkedAt time.Time
}

const (
	unbegunInterval = 500 * time.Millisecond
	// unbegunAge is how long ago a run was decided of which no answer is expected any more.
	unbegunAge = time.Second
)

// addUnbegunJobs adds the record to a batch that goes out anyway, if it has changed.
func (l *leadership) addUnbegunJobs(b *batch, now time.Time) error {
	u := &l.unbegun
	if now.Sub(u.checkedAt) < unbegunInterval {
		return nil
	}
	u.checkedAt = now
	ids := l.unbegunIDs(now)
	if slices.Equal(ids, u.recorded) {
		return nil
	}
	e, err := job.UnbegunJobsEntry(&job.UnbegunJobs{Jobs: ids})
	if err != nil {
		return err
	}
	u.recorded = ids
	b.entries = append(b.entries, e)
	return nil
}

// unbegunIDs returns the ids of the jobs that have not begun, at most as many as a record names.
func (l *leadership) unbegunIDs(now time.Time) []string {
	decided := map[string]bool{}
	for _, wk := range l.workers {
		for _, r := range wk.runs {
			if !r.tj.begun && r.tj.state.Started && !r.tj.state.Phase.Final() && now.Sub(r.decidedAt) >= unbegunAge {
				decided[r.tj.id] = true
			}
		}
	}
	ids := make([]string, 0, len(decided))
	for id := range decided {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(len(ids), job.MaxUnbegunJobs)]
}
