package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file handles runs that a worker lists although the records do not have them.

// maxStrangers limits the unknown runs of a worker that are logged.
const maxStrangers = 20

// adoptUnrecorded tracks a run that is no longer in the records, and stops it. Its task is not
// started again before it has ended. It returns nil for a run of a task that the records do not have.
func (l *leadership) adoptUnrecorded(wk *worker, key runKey) *run {
	tj := l.jobs[key.task.Job]
	if tj == nil {
		j := l.s.deps.View.Job(key.task.Job)
		if j == nil {
			l.logStranger(wk, key)
			return nil
		}
		sub := *j.Submission
		for len(j.State.Steps) == 0 && len(sub.Steps) <= key.task.Step {
			// Task sizes are not kept for jobs that have ended.
			sub.Steps = append(sub.Steps, job.Step{})
		}
		tj = newTrackedJob(key.task.Job, &sub, j)
	}
	if !tj.hasTask(key.task) {
		l.logStranger(wk, key)
		return nil
	}
	now := time.Now()
	r := &run{task: key.task, number: key.number, tj: tj, boot: wk.boot, decidedAt: now, stopWanted: true, unrecorded: true}
	r.confirm(now)
	l.bind(r, wk)
	l.logRun(r, "run is not in the records; stopping it")
	return r
}

// hasTask reports whether the job may have the task. The tasks of a job that has ended are
// not kept.
func (tj *trackedJob) hasTask(t site.TaskID) bool {
	if t.Occurrence != 0 || t.Step >= len(tj.sub.Steps) {
		return false
	}
	return len(tj.state.Steps) == 0 || t.Step < len(tj.state.Steps) && t.Index < len(tj.state.Steps[t.Step])
}

// logStranger logs a run of a task that the records do not have, once for each run as long
// as there are few.
func (l *leadership) logStranger(wk *worker, key runKey) {
	if wk.strangers[key] || len(wk.strangers) >= maxStrangers {
		return
	}
	if wk.strangers == nil {
		wk.strangers = map[runKey]bool{}
	}
	wk.strangers[key] = true
	l.s.deps.Counts.Count("strange_runs", 1)
	_ = level.Error(l.s.deps.Logger).Log("msg", "worker runs a task that is not in the records", "worker", wk.id, "boot", wk.boot,
		"job", key.task.Job, "step", key.task.Step, "index", key.task.Index, "run", key.number)
}
