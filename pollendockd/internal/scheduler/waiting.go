package scheduler

import (
	"sort"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
)

// waitingStep is a step of which tasks may be placed now.
type waitingStep struct {
	w     *work
	step  int
	tasks []int
	turn  placement.SortKey
}

// patientTimes is how many times its own time a patient step can wait.
const patientTimes = 1.8

// waitingSteps returns the steps to be served, in the order of their turns.
func (l *leadership) waitingSteps(p *pass) []*waitingStep {
	var steps []*waitingStep
	l.waiting = map[placement.Rank]int{}
	l.limited = 0
	for _, w := range l.works {
		if w.state.Phase.Final() {
			continue
		}
		for step := range w.state.Steps {
			if w.anyWaiting(step) && w.state.Ready(w.sub, step) {
				ws := &waitingStep{w: w, step: step, turn: l.turnOf(p, w, step)}
				l.waiting[ws.turn.Rank]++
				steps = append(steps, ws)
			}
		}
	}
	sort.Slice(steps, func(a, b int) bool { return steps[a].turn.Before(&steps[b].turn) })
	return steps
}

// turnOf works out when a step is to be served.
func (l *leadership) turnOf(p *pass, w *work, step int) placement.SortKey {
	if p.now.Sub(w.forecast.at) > forecastAge {
		l.foresee(w, p.now)
	}
	remaining := w.forecast.chains[step]
	return placement.SortKey{
		Rank:        placement.RankAt(p.now, w.acceptedAt, w.allowed, remaining, w.beyond),
		Priority:    w.sub.Priority,
		LatestStart: w.acceptedAt.Add(w.allowed - remaining),
		Order:       w.order,
		Step:        step,
	}
}

// patient reports whether the step can wait for a good while, against the time
// that its job takes from there on. A gang is never: all of it would take as long
// as its slowest member.
func (ws *waitingStep) patient(now time.Time) bool {
	if ws.w.sub.Steps[ws.step].Gang {
		return false
	}
	slack := ws.turn.LatestStart.Sub(now)
	return slack > time.Duration(patientTimes*float64(ws.w.forecast.chains[ws.step]))
}

// anyWaiting reports whether a task of the step is to be started.
func (w *work) anyWaiting(step int) bool {
	for i := range w.state.Steps[step] {
		if w.state.Steps[step][i].Status == job.Waiting {
			return true
		}
	}
	return false
}

// waitingTasks returns the tasks of a step that are to be started; of a gang
// all or none.
func (w *work) waitingTasks(step int) []int {
	var tasks []int
	for i := range w.state.Steps[step] {
		if w.state.Steps[step][i].Status == job.Waiting {
			tasks = append(tasks, i)
		}
	}
	if w.sub.Steps[step].Gang && len(tasks) < len(w.state.Steps[step]) {
		return nil
	}
	return tasks
}
