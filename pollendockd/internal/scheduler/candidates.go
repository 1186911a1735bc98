package scheduler

import (
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
)

// unplaceable is a size for which no worker has capacity. With fitsReserved set some is reserved for
// gangs, but tasks that end after endsIn may not use it.
type unplaceable struct {
	size         resource.Vector
	fitsReserved bool
	endsIn       time.Duration
}

// workerStates returns the workers on which tasks of the step may be placed now. For a
// step that needs advice these are the few with a ticket, so that a pass does not
// iterate over all workers for each waiting step.
func (l *leadership) workerStates(p *pass, ws *waitingStep, req placement.Request, service string, answers *stepAdvice) []placement.WorkerState {
	if answers == nil {
		return l.allWorkerStates(p, ws, req.Size, service)
	}
	var workerStates []placement.WorkerState
	for id := range answers.tickets {
		wk := l.workers[id]
		if wk == nil || wk.upstream.Service != service || !wk.usable(p.now) || !answers.hasValidTicket(wk, p.now) || !p.isolation.admits(wk, ws) {
			continue
		}
		if free := p.free(wk, ws); req.Size.Fits(free) {
			workerStates = append(workerStates, l.workerState(ws, wk, free))
		}
	}
	return workerStates
}

// allWorkerStates returns all workers with capacity for a step that needs no advice.
func (l *leadership) allWorkerStates(p *pass, ws *waitingStep, size resource.Vector, service string) []placement.WorkerState {
	var workerStates []placement.WorkerState
	for _, wk := range p.withCapacity(ws, size, service) {
		workerStates = append(workerStates, l.workerState(ws, wk, p.free(wk, ws)))
	}
	return workerStates
}

// withCapacity returns the workers that have the step's label and capacity for a task.
// It notes the size if no worker has capacity for it.
func (p *pass) withCapacity(ws *waitingStep, size resource.Vector, service string) []*worker {
	label := ws.tj.sub.Steps[ws.step].Label
	var list []*worker
	fits, fitsReserved := false, false
	for _, wk := range p.usable[service] {
		if !p.isolation.admits(wk, ws) {
			continue
		}
		if !size.Fits(p.free(wk, ws)) {
			fitsReserved = fitsReserved || size.Fits(wk.free())
			continue
		}
		fits = true
		if wk.upstream.HasLabel(label) {
			list = append(list, wk)
		}
	}
	if !fits && !ws.isolated {
		p.unplaceable[service] = append(p.unplaceable[service], unplaceable{size, fitsReserved, ws.endsIn(1)})
	}
	return list
}

func (l *leadership) workerState(ws *waitingStep, wk *worker, free resource.Vector) placement.WorkerState {
	return placement.WorkerState{
		Worker: wk.id, Rack: wk.upstream.Rack, Free: free, Tasks: l.tasksOn(wk, ws), Suspect: l.isSuspect(ws, wk),
		Reserved: len(l.heldCapacity[wk]) > 0, Slowness: l.slowness(wk),
	}
}

// fitsEmpty reports whether the worker has the step's label, and capacity for a task once it runs
// nothing.
func (ws *waitingStep) fitsEmpty(wk *worker) bool {
	spec := &ws.tj.sub.Steps[ws.step]
	return wk.upstream.HasLabel(spec.Label) && spec.Size.Fits(wk.upstream.Capacity)
}

// candidates returns the workers with enough capacity that the advisor has to be asked
// about.
func (l *leadership) candidates(p *pass, m *demand, answers *stepAdvice) []*worker {
	var list []*worker
	for _, wk := range p.withCapacity(m.ws, m.req.Size, m.service) {
		if !answers.refused[wk.id] && (m.req.Gang || !answers.hasValidTicket(wk, p.now)) {
			list = append(list, wk)
		}
	}
	return list
}

// isFull reports whether the pass has found that no worker has capacity for a task of the step.
func (p *pass) isFull(ws *waitingStep, service string) bool {
	for _, u := range p.unplaceable[service] {
		if u.holdsFor(ws, p.now) {
			return true
		}
	}
	return false
}

// holdsFor reports whether there is no capacity for the tasks of a step further back in the order,
// either.
func (u *unplaceable) holdsFor(ws *waitingStep, now time.Time) bool {
	switch {
	case !u.size.Fits(ws.tj.sub.Steps[ws.step].Size):
		return false
	case u.fitsReserved:
		return u.endsIn <= ws.endsIn(1) && !ws.mayUseReserved(now)
	}
	return true
}

// tasksOn counts the tasks of the step on a worker, if the step limits them.
func (l *leadership) tasksOn(wk *worker, ws *waitingStep) int {
	if ws.tj.sub.Steps[ws.step].PerWorker == 0 {
		return 0
	}
	n := 0
	for key := range wk.runs {
		if key.task.Job == ws.tj.id && key.task.Step == ws.step {
			n++
		}
	}
	return n
}

// isSuspect reports whether a task of the step has failed on the worker, or the
// worker's last run failed.
func (l *leadership) isSuspect(ws *waitingStep, wk *worker) bool {
	if wk.failures > 0 {
		return true
	}
	for name, id := range ws.tj.avoid {
		if id == wk.id && name.Step == ws.step {
			return true
		}
	}
	return false
}
