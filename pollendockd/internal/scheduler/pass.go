package scheduler

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

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
		// holder is the gang's step.
		holder *waitingStep
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
	l.placeLeft(p)
	l.placeInOrder(p, steps[:onTime])
	l.placeOverdue(p, steps[onTime:])
	l.noteGangs(p, steps)
	l.checkStarvation(p, steps)
	l.heldCapacity = p.heldCapacity
	l.watchIdleLimits(p)
	l.passLimitTurns(p)
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

// queueOf returns the queue of a job. If operators have removed it, or there is no catalog yet, its settings
// are those recorded when jobs were accepted. It returns nil if they were not.
func (l *leadership) queueOf(catalog *site.Catalog, tj *trackedJob) *site.Queue {
	if catalog != nil && catalog.Queue(tj.sub.Queue) != nil {
		return catalog.Queue(tj.sub.Queue)
	}
	q := l.s.deps.View.Queue(tj.sub.Queue)
	if q != nil {
		q.Service = tj.sub.Service
	}
	return q
}
