package scheduler

import (
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

// This file places one step in a pass: it starts what it can, and queries for the rest.

// placeStep starts as many tasks of a step as it can, and returns why the rest waits.
func (l *leadership) placeStep(p *pass, ws *waitingStep) waitReason {
	p.considered++
	ws.position = p.considered
	tj := ws.tj
	spec := &tj.sub.Steps[ws.step]
	service, advice := l.serviceOf(p, tj)
	if ws.isolated && !ws.vacated || !spec.Gang && !ws.isolated && p.isFull(ws, service) {
		return noCapacity
	}
	var answers *stepAdvice
	if advice != nil {
		answers = tj.adviceOf(ws.step)
	}
	if answers != nil && !spec.Gang && answers.asking && !answers.anyValidTicket(p.now) {
		l.holdClaim(p, service, answers)
		return asking
	}
	if spec.Gang && !p.workersKnown {
		return noCapacity
	}
	ws.tasks = tj.waitingTasks(ws.step, ws.isolated)
	if len(ws.tasks) == 0 {
		// Some members of a gang may not start yet.
		return noCapacity
	}
	req := placement.Request{
		Count: l.startableWithinLimit(p, ws, spec.Size),
		Size:  spec.Size, Gang: spec.Gang, OneRack: spec.OneRack, Rack: spec.Rack, PerWorker: spec.PerWorker,
		PreferSlow: ws.patient(p.now),
	}
	if req.Count == 0 || spec.Gang && req.Count < len(ws.tasks) {
		l.limitedSteps++
		l.reserveLimit(p, ws, req.Size)
		return teamLimit
	}
	wanted := req.Count
	req.Count = l.startableNow(p, ws, req, service, answers != nil)
	if req.Count == 0 {
		return behindOthers
	}
	started := l.startTasks(p, ws, req, service, answers)
	if started == req.Count {
		if req.Count < wanted {
			return behindOthers
		}
		return notWaiting
	}
	if p.spansWorkers(service, req) && ws.mayReserve() {
		return l.reserve(p, ws, req, service, advice)
	}
	if answers == nil {
		return noCapacity
	}
	req.Count -= started
	if spec.Gang && !ws.isolated {
		return l.gangAdvice(p, ws, req, service, advice)
	}
	return l.waitForAdvice(p, ws, req, service, advice)
}

// startableNow returns how many of the requested tasks may start: fewer for a step that can wait, but
// one at least if its job has been idle for long.
func (l *leadership) startableNow(p *pass, ws *waitingStep, req placement.Request, service string, advised bool) int {
	n := req.Count
	if advised && !ws.isolated && ws.patient(p.now) {
		n = l.patientCount(p, req, service)
	}
	if n == 0 && ws.keptIdle(p.now) {
		return 1
	}
	return n
}

// startTasks starts as many of the requested tasks as there are workers for, and returns their number.
func (l *leadership) startTasks(p *pass, ws *waitingStep, req placement.Request, service string, answers *stepAdvice) int {
	chosen := placement.Choose(req, l.workerStates(p, ws, req, service, answers))
	for i, id := range chosen {
		wk := l.workers[id]
		l.planRun(ws, ws.tasks[i], wk, p.now)
		if ws.isolated {
			p.isolation.holders[wk] = ws.tj
		}
	}
	cpu := int64(len(chosen)) * req.Size.MilliCPU
	if !ws.isolated {
		p.unclaimedCPU[service] -= cpu
	}
	if !ws.patient(p.now) && !req.Gang {
		l.headroomOf(service).Count(p.now, cpu)
	}
	return len(chosen)
}

// gangAdvice queries for a gang without reserved capacity, if it could fit on the workers
// that the advisor has not refused.
func (l *leadership) gangAdvice(p *pass, ws *waitingStep, req placement.Request, service string, advice *site.Advice) waitReason {
	if !ws.tj.adviceOf(ws.step).asking && p.unclaimedFor(ws, service) > 0 && !l.wouldFit(p, ws, req, service, 1) {
		return noCapacity
	}
	return l.waitForAdvice(p, ws, req, service, advice)
}

// patientCount returns how many tasks of a step that can wait may start now: as many as
// fit into what steps earlier in the order leave, less the headroom for urgent tasks.
func (l *leadership) patientCount(p *pass, req placement.Request, service string) int {
	headroom := l.headroomOf(service).Needed(p.now, p.catalog.ShortestObjective())
	free := p.unclaimedCPU[service] - headroom
	return int(min(int64(req.Count), max(0, free)/max(1, req.Size.MilliCPU)))
}

func (l *leadership) headroomOf(service string) *placement.Headroom {
	h := l.headroom[service]
	if h == nil {
		h = &placement.Headroom{}
		l.headroom[service] = h
	}
	return h
}

// waitForAdvice queues the remaining tasks of a step for a query. For a step further
// back in the order a query would be useless if the free capacity goes to the steps
// before it, as its tickets would expire meanwhile. A step that found no worker to ask
// about at its last turn leaves the capacity to them: it may be unable to use any of it.
func (l *leadership) waitForAdvice(p *pass, ws *waitingStep, req placement.Request, service string, advice *site.Advice) waitReason {
	answers := ws.tj.adviceOf(ws.step)
	needed := int64(req.Count) * req.Size.MilliCPU
	switch {
	case answers.asking:
		l.holdClaim(p, service, answers)
	case ws.isolated:
		l.want(p, demand{ws: ws, req: req, service: service, settings: advice, kind: toPlace})
	case p.unclaimedFor(ws, service) <= 0 && !l.mayOvertake(p, ws, req, service):
		return behindOthers
	case l.want(p, demand{ws: ws, req: req, service: service, settings: advice, kind: toPlace}) && !answers.unplaceable:
		p.unclaimedCPU[service] -= needed
	}
	return asking
}

// mayOvertake reports whether a step may query though steps before it claim all free capacity: one of
// a job that has been idle for long, if it is a gang only where that is likely to fit all the same.
func (l *leadership) mayOvertake(p *pass, ws *waitingStep, req placement.Request, service string) bool {
	return ws.keptIdle(p.now) && (!req.Gang || l.likelyFits(p, ws, req, service))
}

// holdClaim reserves the capacity that a query under way has claimed. Steps further back
// in the order that have tickets already would otherwise take it within the time of a
// call, and lookups would query in vain while the cell is full.
func (l *leadership) holdClaim(p *pass, service string, answers *stepAdvice) {
	q := answers.query
	if q.kind == toReserve {
		return
	}
	p.unclaimedCPU[service] -= q.cpuPerWorker * int64(len(q.workers))
	for _, id := range q.workers {
		if wk := l.workers[id]; wk != nil {
			p.claimedCPU[wk] += q.cpuPerWorker
		}
	}
}

// planRun assigns a task to a worker. The start request is sent once the assignment is
// durable.
func (l *leadership) planRun(ws *waitingStep, index int, wk *worker, now time.Time) {
	tj := ws.tj
	t := &tj.state.Steps[ws.step][index]
	t.Status = job.Dispatched
	t.Run = l.nextRun(tj, ws.step, index)
	t.Worker = wk.id
	t.Boot = wk.boot
	r := &run{
		task: site.TaskID{Job: tj.id, Step: ws.step, Index: index}, number: t.Run, tj: tj, boot: wk.boot, stage: planned, decidedAt: now,
		isolated: ws.isolated,
	}
	if a := tj.advice[ws.step]; a != nil {
		r.ticket = a.tickets[wk.id].text
	}
	l.bind(r, wk)
	if !tj.state.Started {
		tj.state.Started = true
		l.s.deps.Counts.Time("wait_"+tj.sub.Queue, now.Sub(tj.acceptedAt))
	}
	if tj.state.Phase == job.Queued {
		tj.state.Phase = job.Running
	}
	l.touch(tj)
	l.flush.starts = append(l.flush.starts, r)
	l.logRun(r, "run decided", "team", tj.sub.Team, "rank", ws.sortKey.Rank, "beyond", tj.overRate,
		"slackMs", ws.sortKey.LatestStart.Sub(now).Milliseconds(), "free", wk.free(), "isolated", ws.isolated)
}

// nextRun returns the run number for the next start of a task. The members of a gang
// share it.
func (l *leadership) nextRun(tj *trackedJob, step, index int) int64 {
	tasks := tj.state.Steps[step]
	if !tj.sub.Steps[step].Gang {
		return tasks[index].Run + 1
	}
	if index > 0 {
		// The first member was planned just before, with the number of the gang.
		return tasks[0].Run
	}
	highest := int64(0)
	for i := range tasks {
		highest = max(highest, tasks[i].Run)
	}
	return highest + 1
}
