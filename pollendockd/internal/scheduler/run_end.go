package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file applies the ends of runs to their jobs.

// endRun records the confirmed end of a run.
func (l *leadership) endRun(r *run, how site.EndKind, why string) {
	if r.crashed && (how == site.LeaseExpired || how == site.NotRun) {
		how = site.Crashed
	}
	l.leaveInherited(r, time.Now())
	l.unbind(r)
	l.logRun(r, "run ended", append([]any{"how", how, "why", why}, r.lapseFields(l, how, time.Now())...)...)
	l.s.deps.Counts.Count("ends_"+how.String(), 1)
	tj := r.tj
	t := r.recordedTask()
	if t == nil {
		return
	}
	l.recordRun(r, how, time.Now())
	l.touch(tj)
	t.Boot = 0
	if tj.state.Phase.Final() {
		t.Status = job.Released
		t.Worker = ""
		l.trim(tj)
		return
	}
	if how == site.Failed {
		tj.avoid[r.task] = r.wk.id
	}
	if how == site.Crashed {
		l.recordCrash(r)
	}
	if tj.sub.Steps[r.task.Step].Gang {
		l.concludeGangTask(tj, r, t, how)
	} else {
		l.concludeTask(tj, r, t, how)
	}
	tj.begun = tj.begun || r.hasBegun(how)
	tj.backToQueue()
	if how == site.Done && tj.state.StepDone(r.task.Step) {
		l.recordStep(tj, r.task.Step)
	}
	l.afterEnd(tj)
}

// hasBegun reports whether a run that has ended is known to have begun.
func (r *run) hasBegun(how site.EndKind) bool {
	switch how {
	case site.NotRun:
		return false
	case site.Crashed:
		return r.scene.Begun
	case site.LeaseExpired:
		// Its worker may never have executed a start request that got no answer.
		return r.listed || r.startsAnswered || !r.confirmedAt.IsZero()
	}
	return true
}

// recordedTask returns the task of a run that is its current one by the records, else nil.
func (r *run) recordedTask() *job.Task {
	steps := r.tj.state.Steps
	if len(steps) == 0 {
		return nil
	}
	t := &steps[r.task.Step][r.task.Index]
	if t.Status != job.Dispatched || t.Run != r.number {
		return nil
	}
	return t
}

// backToQueue returns a job to the queue if no run of it has begun after all. While the
// stream is unavailable tickets expire, and a hundred planned runs may be refused at
// once.
func (tj *trackedJob) backToQueue() {
	if tj.begun || tj.state.Phase != job.Running || tj.state.AnyDispatched() {
		return
	}
	tj.state.Started = false
	tj.state.Phase = job.Queued
}

// afterSuccess returns the status of a task that has ended successfully: one that lasts starts again.
func (tj *trackedJob) afterSuccess(step int) job.Status {
	if tj.sub.Steps[step].Endless {
		return job.Waiting
	}
	return job.Succeeded
}

func (l *leadership) concludeTask(tj *trackedJob, r *run, t *job.Task, how site.EndKind) {
	switch {
	case how == site.Done:
		t.Status = tj.afterSuccess(r.task.Step)
		t.Worker = ""
		return
	case how == site.Failed && !tj.sub.Steps[r.task.Step].Endless:
		t.Failures++
		t.FailedRun = t.Run
		if t.Failures >= tj.sub.MaxAttempts {
			t.Status = job.Released
			l.finish(tj, job.Failed, "a task failed too often")
			return
		}
	}
	t.Status = job.Waiting
	if tj.crashesOf(r.task).Verdict == job.Poison {
		l.condemn(tj, r.task)
	}
}

// concludeGangTask applies the end of one member to the whole gang: a success is that of all
// members, and any other end stops the rest before the gang may be restarted.
func (l *leadership) concludeGangTask(tj *trackedJob, r *run, t *job.Task, how site.EndKind) {
	tasks := tj.state.Steps[r.task.Step]
	if how == site.Done {
		status := tj.afterSuccess(r.task.Step)
		for i := range tasks {
			tasks[i].Status = status
			tasks[i].Worker = ""
			tasks[i].Boot = 0
		}
		return
	}
	t.Status = job.Interrupted
	first := &tasks[0]
	if how == site.Failed && first.FailedRun != r.number {
		first.Failures++
		first.FailedRun = r.number
	}
	open := false
	for i := range tasks {
		if tasks[i].Status != job.Dispatched {
			continue
		}
		open = true
		name := site.TaskID{Job: tj.id, Step: r.task.Step, Index: i}
		if other := l.findRun(&tasks[i], name); other != nil {
			other.stopWanted = true
		}
	}
	if open {
		return
	}
	if first.Failures >= tj.sub.MaxAttempts && !tj.sub.Steps[r.task.Step].Endless {
		for i := range tasks {
			tasks[i].Status = job.Released
		}
		l.finish(tj, job.Failed, "a gang failed too often")
		return
	}
	for i := range tasks {
		tasks[i].Status = job.Waiting
	}
	if tj.crashesOf(r.task).Verdict == job.Poison {
		l.condemn(tj, r.task)
	}
}

// findRun returns the run of a dispatched task.
func (l *leadership) findRun(t *job.Task, name site.TaskID) *run {
	wk := l.workers[t.Worker]
	if wk == nil {
		return nil
	}
	return wk.runs[runKey{name, t.Run}]
}

// afterEnd completes the job if no tasks are left.
func (l *leadership) afterEnd(tj *trackedJob) {
	l.placeNeeded = true
	if !tj.state.Phase.Final() && tj.state.AllDone() {
		l.finish(tj, job.Completed, "all tasks are done")
	}
}

// finish puts a job into its final phase and stops its remaining runs.
func (l *leadership) finish(tj *trackedJob, p job.Phase, why string) {
	tj.state.Phase = p
	tj.state.EndedAt = time.Now()
	l.touch(tj)
	_ = level.Info(l.s.deps.Logger).Log("msg", "job ended", "job", tj.id, "team", tj.sub.Team, "phase", p, "why", why,
		"ageMs", time.Since(tj.acceptedAt).Milliseconds(), "allowedMs", tj.timeLimit.Milliseconds(), "queue", tj.sub.Queue)
	l.s.deps.Counts.Count("jobs_"+p.String(), 1)
	l.s.deps.Counts.Time("job_"+tj.sub.Queue, time.Since(tj.acceptedAt))
	for step, tasks := range tj.state.Steps {
		for i := range tasks {
			t := &tasks[i]
			if t.Status != job.Dispatched {
				continue
			}
			name := site.TaskID{Job: tj.id, Step: step, Index: i}
			if r := l.findRun(t, name); r != nil {
				r.stopWanted = true
			}
		}
	}
	l.trim(tj)
}

// trim removes the tasks of a job that has ended, once none of them runs. They are kept if
// one was started again: by them any later leader tells that the end of an earlier run, whose
// worker may have been away since, must not be acknowledged.
func (l *leadership) trim(tj *trackedJob) {
	if tj.state.Phase.Final() && !tj.state.AnyDispatched() && !tj.state.AnyRestarted() {
		tj.state.Steps = nil
	}
}
