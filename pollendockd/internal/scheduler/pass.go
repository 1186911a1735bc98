package scheduler

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// pass is the state of one scheduling pass over the waiting steps.
	pass struct {
		now time.Time
		// startedAt is when it began to place tasks.
		startedAt time.Time
		// since is how long ago a time is: time.Since outside of tests.
		since   func(time.Time) time.Duration
		catalog *site.Catalog
		speeds  *speedTable
		// workersKnown is set once the leader has heard from most workers.
		workersKnown bool
		// usable holds the workers that accept new runs, by service.
		usable map[string][]*worker
		// unplaceable holds sizes for which no worker of a service has capacity.
		unplaceable map[string][]unplaceable
		// unclaimedCPU is the free processor time that no step earlier in the order is
		// about to query for, nor has reserved, by service.
		unclaimedCPU map[string]int64
		// reservedCPU is the free processor time that gangs earlier in the order have
		// reserved, by service.
		reservedCPU map[string][]reservedCPU
		// claimedCPU is the processor time that steps earlier in the order have queries
		// under way for.
		claimedCPU map[*worker]int64
		// considered counts the steps that the pass has tried to place.
		considered int
		// heldCapacity is the capacity reserved for gangs, in the order of the gangs.
		heldCapacity map[*worker][]heldCapacity
		// gangs counts the gangs with reserved capacity.
		gangs int
		// gangsAhead counts the gangs that are next to have capacity reserved.
		gangsAhead int
		// gangEnds is the expected time until running gangs end.
		gangEnds map[gangKey]time.Duration
		// limitReservations is what gangs wait for within their team's limit, by team.
		limitReservations map[string][]limitReservation
		// teamReleases holds the runs that are expected to end, by team; nil until needed.
		teamReleases map[string][]placement.Release
		isolation    isolation
	}

	// gangKey identifies the gang of a step.
	gangKey struct {
		tj   *trackedJob
		step int
	}

	// waitReason is why a step waits.
	waitReason int

	// reservedCPU is free processor time of a service that a gang is expected to use.
	reservedCPU struct {
		milliCPU int64
		// in is the time until the gang is expected to start.
		in time.Duration
	}

	// heldCapacity is the capacity of a worker that a gang is expected to use.
	heldCapacity struct {
		size resource.Vector
		// in is the time until the gang is expected to start.
		in time.Duration
		// position is that of the gang's step in the pass.
		position int
	}
)

const (
	// notWaiting steps have been started in full.
	notWaiting waitReason = iota
	// asking steps wait for the advisor.
	asking
	// noCapacity steps find no worker with enough capacity.
	noCapacity
	// teamLimit steps wait for other work of their team to end.
	teamLimit
	// behindOthers steps leave the free capacity to steps before them.
	behindOthers
	// reserved gangs have capacity reserved, unreserved ones wait for a reservation.
	reserved
	unreserved
	// laterPass steps are overdue, and their turn comes in one of the next passes.
	laterPass
	// noWorkerToAsk steps had their turn to query, and no worker to query about.
	noWorkerToAsk
	numWaitReasons
)

// String returns the name used in log lines.
func (o waitReason) String() string {
	switch o {
	case asking:
		return "advice"
	case noCapacity:
		return "room"
	case teamLimit:
		return "team limit"
	case behindOthers:
		return "room claimed by other queries"
	case reserved:
		return "reserved room"
	case unreserved:
		return "room to reserve"
	case laterPass:
		return "a later pass"
	case noWorkerToAsk:
		return "a worker to ask about"
	}
	return "nothing"
}

const (
	// minPassInterval is the minimum time between two passes. The interval is also at
	// least passCostFactor times the duration of the last pass, so that a long queue
	// does not keep the leader from its leases and appends.
	minPassInterval = 4 * time.Millisecond
	passCostFactor  = 4
	// maxPassTime limits a pass, and again the choice of workers for queries at its end.
	// Meanwhile the leader appends nothing, and after leaderTimeout others campaign.
	maxPassTime = 60 * time.Millisecond
	// overduePerPass limits the overdue steps, whose callers have given up, that a pass
	// considers. There may be a thousand after a burst.
	overduePerPass = 16
	// A new leader places no gangs until knownWorkersShare of the workers have answered
	// it, for at most workersKnownTimeout.
	knownWorkersShare   = 0.8
	workersKnownTimeout = 300 * time.Millisecond
	// maxViewAge is the maximum age of the last read of the records at which runs are
	// started, so that cancellations are known.
	maxViewAge = 1500 * time.Millisecond
	// candidateFactor makes queries larger than the expected need.
	candidateFactor = 1.6
	minCandidates   = 4
)

// placeAll places the waiting tasks of all jobs, in scheduling order.
func (l *leadership) placeAll(now time.Time) {
	l.advice.demands = l.advice.demands[:0]
	if l.handoverDone != nil || l.flush.failing || now.Sub(l.s.listedAt) > maxListAge || !l.s.deps.Follower.Fresh(maxViewAge) {
		return
	}
	catalog := l.s.deps.Catalog()
	if catalog == nil || l.catalogTooOld() {
		return
	}
	l.markEvacuated(catalog)
	p := l.newPass(now, catalog)
	for _, wk := range l.workers {
		if wk.usable(now) {
			p.usable[wk.upstream.Service] = append(p.usable[wk.upstream.Service], wk)
			p.unclaimedCPU[wk.upstream.Service] += max(0, wk.free().MilliCPU)
		}
	}
	l.beginPass(p)
	steps := l.waitingSteps(p)
	l.vacateWorkers(p, steps)
	onTime := len(steps) - l.waiting[placement.Overdue]
	l.waitReasons = map[waitReason]int{}
	l.crowdingCPU = map[string]int64{}
	p.startedAt = time.Now()
	l.placeInOrder(p, steps[:onTime])
	l.placeOverdue(p, steps[onTime:])
	l.noteGangs(p, steps)
	l.checkStarvation(p, steps)
	l.heldCapacity = p.heldCapacity
	l.watchIdleLimits(p)
	l.updateLoad(p, steps[:onTime])
	l.prepareRestarts(p)
	// dispatch counts the claims in worker.claimedCPU instead.
	clear(p.claimedCPU)
	l.dispatch(now)
	l.passTime = time.Since(now)
}

// placeInOrder places the steps that are not overdue, in scheduling order. A pass that
// takes too long to reach all of them spends half of its time on the first ones, and
// continues where the last pass ended.
func (l *leadership) placeInOrder(p *pass, steps []*waitingStep) {
	next := 0
	for ; next < len(steps) && !p.spent(maxPassTime/2); next++ {
		l.placeNext(p, steps[next])
	}
	resumed := next
	if l.passCursor < len(steps) {
		resumed = max(next, l.passCursor)
	}
	last := resumed
	for ; last < len(steps) && (last == resumed || !p.spent(maxPassTime)); last++ {
		l.placeNext(p, steps[last])
	}
	l.passCursor = last
	for i := next; i < len(steps); i++ {
		if i < resumed || i >= last {
			steps[i].why = laterPass
		}
	}
}

// placeNext places a step that is not overdue, and notes why the rest of it waits.
func (l *leadership) placeNext(p *pass, ws *waitingStep) {
	why := l.placeStep(p, ws)
	ws.noteFinding(p.now, why)
	if ws.sortKey.Rank == placement.InTime {
		l.waitReasons[why]++
	}
	l.recordWait(ws, why)
	ws.why = why
	l.noteCrowding(p, ws)
}

// spent reports whether the pass has taken longer than a part of the time that it may take.
func (p *pass) spent(limit time.Duration) bool {
	return p.since(p.startedAt) >= limit
}

// newPass returns the state of a pass that has looked at no step yet.
func (l *leadership) newPass(now time.Time, catalog *site.Catalog) *pass {
	return &pass{
		since:             l.since,
		now:               now,
		catalog:           catalog,
		speeds:            l.s.speeds,
		workersKnown:      l.workersKnown(now),
		usable:            map[string][]*worker{},
		unplaceable:       map[string][]unplaceable{},
		unclaimedCPU:      map[string]int64{},
		reservedCPU:       map[string][]reservedCPU{},
		claimedCPU:        map[*worker]int64{},
		heldCapacity:      map[*worker][]heldCapacity{},
		gangEnds:          map[gangKey]time.Duration{},
		limitReservations: map[string][]limitReservation{},
		isolation:         l.newIsolation(),
	}
}

// recordWait saves why a step waits, and logs the reason when the job can no longer
// meet its deadline.
func (l *leadership) recordWait(ws *waitingStep, why waitReason) {
	tj := ws.tj
	if ws.sortKey.Rank < placement.Late {
		tj.lastReason = why
		tj.seenInTime = true
		return
	}
	if tj.missed {
		return
	}
	tj.missed = true
	spec := &tj.sub.Steps[ws.step]
	_ = level.Info(l.s.deps.Logger).Log("msg", "job can no longer meet its deadline", "job", tj.id, "step", ws.step, "queue", tj.sub.Queue,
		"waitedFor", tj.lastReason, "seenInTime", tj.seenInTime, "termAgeMs", time.Since(l.startedAt).Milliseconds(), "tasks", spec.Count, "gang", spec.Gang, "size", spec.Size,
		"ageMs", time.Since(tj.acceptedAt).Milliseconds(), "allowedMs", tj.timeLimit.Milliseconds())
}

// workersKnown reports whether a new leader has heard from most workers. Before that,
// gangs would query in vain about the few workers that have answered, and keep the VMs
// that they query through from serving lookups.
func (l *leadership) workersKnown(now time.Time) bool {
	if l.workersKnownOnce || now.Sub(l.startedAt) >= workersKnownTimeout {
		return true
	}
	listed, answered := 0, 0
	for _, wk := range l.workers {
		if !wk.listed {
			continue
		}
		listed++
		if wk.boot != 0 {
			answered++
		}
	}
	l.workersKnownOnce = listed > 0 && float64(answered) >= knownWorkersShare*float64(listed)
	return l.workersKnownOnce
}

// placeOverdue considers all overdue steps that have tickets, which would expire before
// their next turn, suspects, which have workers kept free, and first of all gangs whose
// turn it is to have capacity reserved. Of the others it considers a few, and continues
// with the next ones in the next pass, since the first ones may be unplaceable.
func (l *leadership) placeOverdue(p *pass, steps []*waitingStep) {
	l.overdueTurns = 0
	var turns, ready, rest []*waitingStep
	for _, ws := range steps {
		switch {
		case ws.hasTurn(p.now):
			l.overdueTurns++
			turns = append(turns, ws)
		case ws.isolated || ws.hasTicket(p.now):
			ready = append(ready, ws)
		default:
			ws.why = laterPass
			rest = append(rest, ws)
		}
	}
	for _, ws := range slices.Concat(roomFirst(turns), ready) {
		if p.spent(maxPassTime) {
			ws.why = laterPass
			continue
		}
		l.placeOverdueStep(p, ws)
	}
	for range min(overduePerPass, len(rest)) {
		if p.spent(maxPassTime) {
			break
		}
		l.overdueCursor++
		l.placeOverdueStep(p, rest[l.overdueCursor%len(rest)])
	}
	for _, ws := range steps {
		l.noteCrowding(p, ws)
	}
}

// placeOverdueStep places an overdue step, and notes why the rest of it waits.
func (l *leadership) placeOverdueStep(p *pass, ws *waitingStep) {
	ws.why = l.placeStep(p, ws)
	ws.noteFinding(p.now, ws.why)
	l.yieldTurn(p, ws)
}

// roomFirst orders the gangs in their turn: those that fit now precede those that wait for
// capacity, which would keep it from them.
func roomFirst(turns []*waitingStep) []*waitingStep {
	slices.SortStableFunc(turns, func(a, b *waitingStep) int {
		switch {
		case a.hasRoom() == b.hasRoom():
			return 0
		case a.hasRoom():
			return -1
		}
		return 1
	})
	return turns
}

// mayReserve reports whether capacity may be reserved for the step, if it is a gang: one that
// can be done in time, or an overdue one in its turn, unless it is a suspect.
func (ws *waitingStep) mayReserve() bool {
	return ws.sortKey.Rank == placement.InTime || ws.sortKey.Rank == placement.Overdue && !ws.isolated
}

// hasTicket reports whether the step may start on a worker now.
func (ws *waitingStep) hasTicket(now time.Time) bool {
	a := ws.tj.advice[ws.step]
	return a != nil && a.anyValidTicket(now)
}

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
	if answers != nil && !ws.isolated && ws.patient(p.now) {
		req.Count = l.patientCount(p, req, service)
	}
	if req.Count == 0 && ws.keptIdle(p.now) {
		req.Count = 1
	}
	if req.Count == 0 {
		return behindOthers
	}
	workerStates := l.workerStates(p, ws, req, service, answers)
	chosen := placement.Choose(req, workerStates)
	for i, id := range chosen {
		l.planRun(ws, ws.tasks[i], l.workers[id], p.now)
		if ws.isolated {
			p.isolation.holders[l.workers[id]] = tj
		}
	}
	if !ws.isolated {
		p.unclaimedCPU[service] -= int64(len(chosen)) * spec.Size.MilliCPU
	}
	if !ws.patient(p.now) && !spec.Gang {
		l.headroomOf(service).Count(p.now, int64(len(chosen))*spec.Size.MilliCPU)
	}
	if len(chosen) == req.Count {
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
	req.Count -= len(chosen)
	if spec.Gang && !ws.isolated {
		return l.gangAdvice(p, ws, req, service, advice)
	}
	return l.waitForAdvice(p, ws, req, service, advice)
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

// serviceOf returns the service that runs a job, and the advice settings of its queue.
func (l *leadership) serviceOf(p *pass, tj *trackedJob) (string, *site.Advice) {
	q := l.queueOf(p.catalog, tj)
	switch {
	case q == nil:
		return tj.sub.Service, nil
	case l.s.deps.Advisor == nil:
		return q.Service, nil
	}
	return q.Service, q.Advice
}

// queueOf returns the queue of a job. If operators have removed it, its settings are those
// recorded when jobs were accepted. It returns nil if they were not.
func (l *leadership) queueOf(catalog *site.Catalog, tj *trackedJob) *site.Queue {
	if q := catalog.Queue(tj.sub.Queue); q != nil {
		return q
	}
	q := l.s.deps.View.Queue(tj.sub.Queue)
	if q != nil {
		q.Service = tj.sub.Service
	}
	return q
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
