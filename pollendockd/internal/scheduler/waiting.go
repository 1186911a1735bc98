package scheduler

import (
	"sort"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

// waitingStep is a step with tasks that may be placed now.
type waitingStep struct {
	tj      *trackedJob
	step    int
	tasks   []int
	sortKey placement.SortKey
	// isolated is set for the suspects among the tasks, which wait as a step of their
	// own.
	isolated bool
	// vacated is set if an isolated step may start: a worker is kept free for it, or it may start
	// beside others.
	vacated bool
	// position is the step's place in the order in which the pass considered the steps; 0
	// if it has not considered it.
	position int
	// besideSettled is set if an isolated step may start beside runs that have worked well past
	// their start, since it has waited for long.
	besideSettled bool
	// besideOthers is set if an isolated step may start where any other job runs, as the others do.
	besideOthers bool
	// why is why the step waits after the pass.
	why waitReason
}

const (
	// patienceFactor is how many times the expected time of the rest of its job a
	// patient step can wait.
	patienceFactor = 1.8
	// endlessStartLimit is how long an endless task may wait to start, or to start again.
	// By its estimate it could wait for as long as it runs.
	endlessStartLimit = time.Second
	// maxIdleTime is how long a job without a run leaves free capacity to steps before it in the order.
	maxIdleTime = 1500 * time.Millisecond
	// maxReservedIdleTime is how long it leaves capacity to gangs that have it reserved.
	maxReservedIdleTime = 2 * time.Second
)

// waitingSteps returns the steps with tasks to place, in scheduling order.
func (l *leadership) waitingSteps(p *pass) []*waitingStep {
	var steps []*waitingStep
	l.waiting = map[placement.Rank]int{}
	l.limitedSteps = 0
	for _, tj := range l.jobs {
		if tj.state.Phase.Final() {
			continue
		}
		for step := range tj.state.Steps {
			for _, isolated := range []bool{false, true} {
				if !tj.anyWaiting(step, isolated) || !tj.state.Ready(tj.sub, step) {
					continue
				}
				ws := &waitingStep{tj: tj, step: step, sortKey: l.sortKeyOf(p, tj, step), isolated: isolated}
				if tj.sub.Steps[step].Endless {
					ws.sortKey.Rank = placement.InTime
					ws.sortKey.LatestStart = ws.waitsSince(p.now).Add(endlessStartLimit)
				}
				l.waiting[ws.sortKey.Rank]++
				steps = append(steps, ws)
			}
		}
	}
	sort.Slice(steps, func(a, b int) bool { return steps[a].sortKey.Before(&steps[b].sortKey) })
	return steps
}

// sortKeyOf computes the position of a step in the scheduling order.
func (l *leadership) sortKeyOf(p *pass, tj *trackedJob, step int) placement.SortKey {
	if p.now.Sub(tj.forecast.at) > maxForecastAge {
		l.updateForecast(tj, p.now)
	}
	remaining := tj.forecast.criticalPaths[step]
	return placement.SortKey{
		Rank:        placement.RankAt(p.now, tj.acceptedAt, tj.timeLimit, remaining, tj.overRate),
		Priority:    tj.sub.Priority,
		LatestStart: tj.acceptedAt.Add(tj.timeLimit - remaining),
		Order:       tj.order,
		Step:        step,
	}
}

// patient reports whether the step can wait for long, relative to the expected time of
// the rest of its job. A gang is never patient, since all of it would take as long as
// its slowest member.
func (ws *waitingStep) patient(now time.Time) bool {
	if ws.tj.sub.Steps[ws.step].Gang {
		return false
	}
	slack := ws.sortKey.LatestStart.Sub(now)
	return slack > time.Duration(patienceFactor*float64(ws.tj.forecast.criticalPaths[ws.step]))
}

// mayUseReserved reports whether the job has had no run for so long that the step may use what is
// reserved for gangs of some other jobs.
func (ws *waitingStep) mayUseReserved(now time.Time) bool {
	return ws.tj.idleFor(now) >= maxReservedIdleTime
}

// outwaits reports whether the step may use what is reserved for a gang whose job has had no run for
// less long. The turn of an overdue gang is its own.
func (ws *waitingStep) outwaits(holder *waitingStep, now time.Time) bool {
	return ws.mayUseReserved(now) && holder.sortKey.Rank != placement.Overdue && ws.tj.idleFor(now) > holder.tj.idleFor(now)
}

// keptIdle reports whether the job has had no run for so long that one of the step's tasks may use
// capacity that is free but left to others.
func (ws *waitingStep) keptIdle(now time.Time) bool {
	return ws.tj.idleFor(now) >= maxIdleTime
}

// awaitsStart reports whether a pass may start a task as a suspect, or as another.
func (tj *trackedJob) awaitsStart(step, index int, isolated bool) bool {
	return tj.awaitsAnyStart(step, index) && tj.suspected(step, index) == isolated &&
		!tj.hasOwnWorker(site.TaskID{Job: tj.id, Step: step, Index: index})
}

// awaitsAnyStart reports whether a task is to be started. One that is taken to crash its workers
// is not, though its job may not be given up yet, nor one of which an unrecorded run may still be
// at work.
func (tj *trackedJob) awaitsAnyStart(step, index int) bool {
	if tj.state.Steps[step][index].Status != job.Waiting {
		return false
	}
	t := site.TaskID{Job: tj.id, Step: step, Index: index}
	if tj.crashes != nil && tj.crashesOf(t).Verdict == job.Poison {
		return false
	}
	return !tj.runsUnrecorded(t)
}

// anyWaiting reports whether the step has a task to start: a suspect or another.
func (tj *trackedJob) anyWaiting(step int, isolated bool) bool {
	if isolated && tj.crashes == nil {
		return false
	}
	for i := range tj.state.Steps[step] {
		if tj.awaitsStart(step, i, isolated) {
			return true
		}
	}
	return false
}

// countWaiting returns the number of tasks of a step that wait: its suspects or the
// others.
func (tj *trackedJob) countWaiting(step int, isolated bool) int {
	n := 0
	for i := range tj.state.Steps[step] {
		if tj.awaitsStart(step, i, isolated) {
			n++
		}
	}
	return n
}

// waitingTasks returns the tasks of a step that are to be started: its suspects or the
// others. For a gang these are all tasks or none.
func (tj *trackedJob) waitingTasks(step int, isolated bool) []int {
	var tasks []int
	for i := range tj.state.Steps[step] {
		if tj.awaitsStart(step, i, isolated) {
			tasks = append(tasks, i)
		}
	}
	if tj.sub.Steps[step].Gang && len(tasks) < len(tj.state.Steps[step]) {
		return nil
	}
	return tasks
}

// runsUnrecorded reports whether a run of the task that is not in the records may still be at
// work. Of a gang that of any member counts.
func (tj *trackedJob) runsUnrecorded(t site.TaskID) bool {
	return tj.unrecordedRuns[tj.representative(t)] > 0
}
