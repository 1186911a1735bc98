package scheduler

import "time"

// This file finds runs that make no progress.

const (
	// A run is stopped if it has made no progress for minStallTimeout, for
	// stallEstimateShare of its estimate, for stallPercentFactor times its time per
	// percent of progress, and for the time that a restart would have to repeat. Each is
	// doubled with every such stop of the task, at most maxStallShift times. A worker
	// takes no new runs if none of its runs has made progress for
	// stuckNumerator/stuckDenominator of that time.
	minStallTimeout    = 2500 * time.Millisecond
	stallEstimateShare = 0.1
	stallPercentFactor = 4
	maxStallShift      = 10
	stuckNumerator     = 3
	stuckDenominator   = 5
	// fullProgress is the progress of a task that has finished its share of the work.
	fullProgress = 100
)

// watchProgress looks for stalled tasks. They are stopped in order to run elsewhere,
// and a worker on which all tasks are stalled gets no new runs. Time in which the
// worker did not answer does not count: it may have been paused, and its tasks
// continue.
func (l *leadership) watchProgress(wk *worker, now time.Time) {
	progressAt := time.Time{}
	progressing := false
	for _, r := range wk.runs {
		if r.stage != running || r.tj.sub.Steps[r.task.Step].Endless {
			continue
		}
		if r.percent >= fullProgress {
			// A gang member that has finished its share waits for the others.
			progressing = true
			continue
		}
		last := later(later(r.percentAt, r.confirmedAt), wk.reachableSince)
		progressAt = later(progressAt, last)
		stallTimeout := r.stallTimeout()
		progressing = progressing || now.Sub(last) < stallTimeout*stuckNumerator/stuckDenominator
		if now.Sub(last) >= stallTimeout && !r.stopWanted && !r.tj.state.Phase.Final() {
			r.stopWanted = true
			r.tj.avoid[r.task] = wk.id
			r.tj.stallStops[r.task]++
			l.logRun(r, "run makes no progress; stopping it", "percent", r.percent, "stillMs", now.Sub(last).Milliseconds())
		}
	}
	wk.stalledSince = progressAt
	if progressing {
		wk.stalledSince = time.Time{}
	}
}

// stallTimeout is how long a run may go without progress. It grows with the time that
// the run takes per percent, and with each stop of the task, so that a task that takes
// a hundred times its estimate still completes. It is at least the time that a restart
// would have to repeat: a run that has stood still for less may well continue sooner
// than another one catches up.
func (r *run) stallTimeout() time.Duration {
	p := max(minStallTimeout, time.Duration(float64(r.tj.sub.Steps[r.task.Step].Estimate)*stallEstimateShare))
	if made := r.percent - r.initialPercent; made > 0 && r.percentAt.After(r.confirmedAt) {
		perPercent := r.percentAt.Sub(r.confirmedAt) / time.Duration(made)
		p = max(p, stallPercentFactor*perPercent, perPercent*time.Duration(r.unsavedPercent()))
	}
	return p << min(r.tj.stallStops[r.task], maxStallShift)
}

// unsavedPercent is the progress that a restart would lose: all that the newest
// checkpoint does not hold. A gang resumes from the checkpoint of any member.
func (r *run) unsavedPercent() int {
	kept := r.tj.checkpoints[r.tj.representative(r.task)]
	switch {
	case kept.text == "":
		return r.percent
	case kept.run < r.number:
		// The run has resumed from it and saved nothing since.
		return r.percent - r.initialPercent
	}
	return max(0, r.percent-kept.percent)
}
