package scheduler

import (
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
)

// rooms returns the workers on which tasks of the step may be placed now. Of a
// step that needs advice these are the few with a ticket, so that a pass does
// not go through all workers for each of the steps that wait.
func (l *leadership) rooms(p *pass, ws *waitingStep, need placement.Request, service string, said *stepAdvice) []placement.WorkerState {
	if said == nil {
		return l.anyRooms(p, ws, need.Size, service)
	}
	var rooms []placement.WorkerState
	for id := range said.tickets {
		at := l.workers[id]
		if at == nil || at.up.Service != service || !at.usable(p.now) || !said.allows(at, p.now) {
			continue
		}
		if free := p.free(at, ws); need.Size.Fits(free) {
			rooms = append(rooms, l.room(ws, at, free))
		}
	}
	return rooms
}

// anyRooms returns all workers with room for a step that needs no advice.
func (l *leadership) anyRooms(p *pass, ws *waitingStep, size resource.Vector, service string) []placement.WorkerState {
	var rooms []placement.WorkerState
	for _, at := range p.withRoom(ws, size, service) {
		rooms = append(rooms, l.room(ws, at, p.free(at, ws)))
	}
	return rooms
}

// withRoom returns the workers that have the step's label and room for a task,
// and notes a size for which no worker has.
func (p *pass) withRoom(ws *waitingStep, size resource.Vector, service string) []*worker {
	label := ws.w.sub.Steps[ws.step].Label
	var list []*worker
	fits := false
	for _, at := range p.usable[service] {
		if !size.Fits(p.free(at, ws)) {
			continue
		}
		fits = true
		if at.up.HasLabel(label) {
			list = append(list, at)
		}
	}
	if !fits {
		p.full[service] = append(p.full[service], size)
	}
	return list
}

func (l *leadership) room(ws *waitingStep, at *worker, free resource.Vector) placement.WorkerState {
	return placement.WorkerState{
		Worker: at.id, Rack: at.up.Rack, Free: free, Tasks: l.tasksThere(at, ws), Suspect: l.doubtful(ws, at),
		Reserved: l.held[at].size.MilliCPU > 0, Slow: l.slow(at),
	}
}

// candidates returns the workers with room about which the advisor has to be
// asked.
func (l *leadership) candidates(p *pass, ws *waitingStep, size resource.Vector, service string, said *stepAdvice) []*worker {
	var list []*worker
	for _, at := range p.withRoom(ws, size, service) {
		if !said.refused[at.id] && !said.allows(at, p.now) {
			list = append(list, at)
		}
	}
	return list
}

// isFull reports whether a task at most as large has found no room in the pass.
func (p *pass) isFull(service string, size resource.Vector) bool {
	for _, full := range p.full[service] {
		if full.Fits(size) {
			return true
		}
	}
	return false
}

// tasksThere counts the tasks of the step that a worker has, where that matters.
func (l *leadership) tasksThere(at *worker, ws *waitingStep) int {
	if ws.w.sub.Steps[ws.step].PerWorker == 0 {
		return 0
	}
	n := 0
	for key := range at.runs {
		if key.task.Job == ws.w.id && key.task.Step == ws.step {
			n++
		}
	}
	return n
}

// doubtful reports whether a task of the step has failed at the worker, or the
// worker's last run failed.
func (l *leadership) doubtful(ws *waitingStep, at *worker) bool {
	if at.failures > 0 {
		return true
	}
	for name, id := range ws.w.avoid {
		if id == at.id && name.Step == ws.step {
			return true
		}
	}
	return false
}
