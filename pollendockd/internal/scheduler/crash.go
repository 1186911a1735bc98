package scheduler

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// probation is how long a run has to be known to work on its worker until it counts
	// as having survived its start.
	probation = time.Second
	// maxLoggedRuns limits the runs that a log line names.
	maxLoggedRuns = 8
)

// endedWithoutNotice returns why the incarnation of a worker that no longer answers is
// taken to have crashed, and the incarnation that has followed it, 0 for none. The reason
// is "" if it may still run behind a partition, or has announced its end.
func (wk *worker) endedWithoutNotice() (alive int64, evidence string) {
	switch {
	case wk.listed && wk.boot != 0 && wk.upstream.Boot > wk.boot:
		return wk.upstream.Boot, "a later incarnation is listed"
	case !wk.listed && !wk.upstream.Draining:
		return 0, "no longer listed"
	}
	return 0, ""
}

// markCrashed notes the runs that may have been at work when an incarnation of their
// worker crashed: all but those that were decided for the incarnation that is alive.
func (l *leadership) markCrashed(wk *worker, alive int64, evidence string) {
	var early, survivors []*run
	for _, r := range wk.runList() {
		if r.stage == planned || r.crashed || r.boot == alive {
			continue
		}
		r.crashed = true
		if r.survivedStart() {
			survivors = append(survivors, r)
		} else {
			early = append(early, r)
		}
	}
	if len(early)+len(survivors) == 0 {
		return
	}
	l.s.deps.Counts.Count("worker_crashes", 1)
	_ = level.Warn(l.s.deps.Logger).Log("msg", "worker crashed", "worker", wk.id, "boot", wk.boot, "evidence", evidence,
		"lastAnswerMs", time.Since(wk.clockAt).Milliseconds(), "survivors", len(survivors), "early", len(early), "earlyRuns", runNames(early))
}

// survivedStart reports whether the run is known to have worked for the time of
// probation. A gang works only once all members are present, which its progress shows.
func (r *run) survivedStart() bool {
	if r.confirmedAt.IsZero() || r.tj.sub.Steps[r.task.Step].Gang && r.percent == r.initialPercent {
		return false
	}
	return r.wk.clockAt.Sub(r.confirmedAt) >= probation
}

// runNames returns the names of the first runs for a log line.
func runNames(runs []*run) string {
	text := ""
	for i, r := range runs[:min(len(runs), maxLoggedRuns)] {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%s.%d.%d/%d", r.task.Job, r.task.Step, r.task.Index, r.number)
	}
	return text
}
