package scheduler

import (
	"math"
	"slices"
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// reservation is where a gang can start earliest.
type reservation struct {
	step int
	// at is when the reservation was computed, in the time from then until the start.
	at     time.Time
	places []placement.Reservation
	in     time.Duration
	// askMore is set if the gang has to know of more workers.
	askMore bool
	// hasRoom is set if the gang would fit now but for the capacity reserved for others.
	hasRoom bool
}

// overdueTurn is the time in which capacity may be reserved for an overdue gang.
type overdueTurn struct {
	step  int
	until time.Time
}

const (
	// overdueTurnTime is how long the turn of an overdue gang lasts.
	overdueTurnTime = 6 * time.Second
	// maxReservationAge is how long a reservation is kept. Recomputing reservations
	// takes most of a pass in a full cell.
	maxReservationAge = 80 * time.Millisecond
	// A pass reserves capacity for at most minHeldGangs gangs, or one gang per
	// workersPerHeldGang workers if that is more.
	minHeldGangs       = 6
	workersPerHeldGang = 24
	// gangCandidateFactor makes the first query of a gang larger than the expected
	// need.
	gangCandidateFactor = 3
	// A gang queries more workers if it could start on the ones it knows only after
	// more than askMoreAfter.
	askMoreAfter = time.Second
	// estimateMargin is applied to the estimates of work that may run in reserved
	// capacity until the gang needs it.
	estimateMargin = 1.3
	// minRemaining is used for runs that should have ended already.
	minRemaining = 200 * time.Millisecond
	// minProgress is the progress from which the end of a run is extrapolated.
	minProgress = 8
	// askLead is how long before its start a gang queries for tickets, in addition to
	// the time that the answer takes.
	askLead = 250 * time.Millisecond
)

// spansWorkers reports whether a gang needs more than any single worker can hold.
func (p *pass) spansWorkers(service string, n placement.Request) bool {
	if !n.Gang {
		return false
	}
	for _, wk := range p.usable[service] {
		if n.Size.Scale(int64(n.Count)).Fits(wk.upstream.Capacity) {
			return false
		}
	}
	return true
}

// free returns the capacity of a worker that tasks of a step may use, less what queries
// under way have claimed.
func (p *pass) free(wk *worker, ws *waitingStep) resource.Vector {
	free := p.unreserved(wk, ws)
	free.MilliCPU -= p.claimedCPU[wk]
	return free
}

// unreserved returns the free capacity of a worker that is not reserved for gangs that the
// pass considered before a step. Capacity reserved for a gang may be used by work that is
// expected to end before the gang starts. Gangs that the pass considers later do not count:
// workers for queries are chosen when all of them have their reservations, and these would
// keep the capacity from the step in pass after pass.
func (p *pass) unreserved(wk *worker, ws *waitingStep) resource.Vector {
	free := wk.free()
	held := p.heldCapacity[wk]
	if len(held) == 0 {
		return free
	}
	endsIn := ws.endsIn(p.timeFactor(wk))
	for _, h := range held {
		if (ws.position == 0 || h.holder.position < ws.position) && endsIn > h.in && !ws.outwaits(h.holder, p.now) {
			free = free.Sub(h.size)
		}
	}
	return free
}

// unclaimedFor returns the free processor time of a service that a step may query for: also
// what is reserved for gangs that are expected to start after the end of its tasks.
func (p *pass) unclaimedFor(ws *waitingStep, service string) int64 {
	free := p.unclaimedCPU[service]
	endsIn := ws.endsIn(1)
	for _, r := range p.reservedCPU[service] {
		if endsIn <= r.in {
			free += r.milliCPU
		}
	}
	return free
}

// endsIn returns a cautious estimate of when tasks of the step would end if they started now,
// where they take timeFactor times as long as on an average worker.
func (ws *waitingStep) endsIn(timeFactor float64) time.Duration {
	if ws.tj.sub.Steps[ws.step].Endless {
		return math.MaxInt64
	}
	return time.Duration(estimateMargin * timeFactor * float64(ws.tj.forecast.tasks[ws.step]))
}

// reservedByNone returns the free capacity of a worker that is reserved for none of the gangs
// that the pass has considered.
func (p *pass) reservedByNone(wk *worker) resource.Vector {
	free := wk.free()
	for _, h := range p.heldCapacity[wk] {
		free = free.Sub(h.size)
	}
	return free
}

// timeFactor returns how much longer than elsewhere tasks take on the worker.
func (p *pass) timeFactor(wk *worker) float64 {
	return p.speeds.timeFactor(wk.id, wk.boot)
}

// reserve reserves capacity for a gang that does not fit now, and queries for its
// tickets in time for its start.
func (l *leadership) reserve(p *pass, ws *waitingStep, req placement.Request, service string, a *site.Advice) waitReason {
	limit := max(minHeldGangs, len(p.usable[service])/workersPerHeldGang)
	if p.gangs >= limit || ws.sortKey.Rank == placement.Overdue && !l.takeTurn(p, ws, limit) {
		return l.waitUnreserved(p, ws, req, service, a, limit)
	}
	r := ws.tj.reservation
	if r == nil || r.step != ws.step || p.now.Sub(r.at) >= maxReservationAge {
		r = l.findReservation(p, ws, req, service, a)
		ws.tj.reservation = r
	}
	if r.askMore && !ws.tj.adviceOf(ws.step).asking {
		l.want(p, demand{ws: ws, req: req, service: service, settings: a, kind: toReserve})
	}
	if len(r.places) == 0 {
		return unreserved
	}
	p.gangs++
	in := max(0, r.in-p.now.Sub(r.at))
	chosen := l.holdCapacity(p, ws, req, service, r.places, in)
	if a != nil && !r.askMore && l.shouldAsk(ws, chosen, p.now, in, a) {
		l.want(p, demand{ws: ws, req: req, service: service, settings: a, kind: toRenew, renew: chosen})
	}
	return reserved
}

// hasTurn reports whether it is the turn of an overdue gang to have capacity reserved.
func (ws *waitingStep) hasTurn(now time.Time) bool {
	t := ws.tj.turn
	return !ws.isolated && t.step == ws.step && now.Before(t.until)
}

// takeTurn gives an overdue gang a turn to have capacity reserved, if it is not its turn
// already and less than limit gangs have theirs. Without reservations such gangs wait for
// ever while smaller work takes each piece of capacity; with one for each of them, none
// would start.
func (l *leadership) takeTurn(p *pass, ws *waitingStep, limit int) bool {
	if ws.hasTurn(p.now) {
		return true
	}
	if l.overdueTurns >= limit {
		return false
	}
	l.overdueTurns++
	ws.tj.turn = overdueTurn{step: ws.step, until: p.now.Add(overdueTurnTime)}
	return true
}

// yieldTurn ends the turn of an overdue gang that can make no use of it: one that waits for
// its team's limit, or one without room for which none can be reserved and which has no
// worker left to ask about.
func (l *leadership) yieldTurn(p *pass, ws *waitingStep) {
	if !ws.hasTurn(p.now) || ws.why != teamLimit && (ws.why != unreserved || ws.turnIsOfUse()) {
		return
	}
	ws.tj.turn = overdueTurn{}
	l.overdueTurns--
}

// turnIsOfUse reports whether a gang without reserved capacity may start in its turn.
func (ws *waitingStep) turnIsOfUse() bool {
	r, a := ws.tj.reservation, ws.tj.advice[ws.step]
	return ws.hasRoom() || r != nil && r.askMore || a != nil && a.asking
}

// hasRoom reports whether the gang of the step would fit now but for the capacity reserved
// for others.
func (ws *waitingStep) hasRoom() bool {
	r := ws.tj.reservation
	return r != nil && r.step == ws.step && r.hasRoom
}

// waitUnreserved queries for a gang for which no capacity may be reserved. One that is likely to fit
// now on workers that the advisor allows needs nothing but answers, whoever else has a reservation.
func (l *leadership) waitUnreserved(p *pass, ws *waitingStep, req placement.Request, service string, a *site.Advice, limit int) waitReason {
	if a != nil && l.likelyFits(p, ws, req, service) {
		return l.waitForAdvice(p, ws, req, service, a)
	}
	l.askAhead(p, ws, req, service, a, limit)
	return unreserved
}

// likelyFits reports whether a gang is expected to fit on the workers that the advisor allows, as
// of maxReservationAge ago at most.
func (l *leadership) likelyFits(p *pass, ws *waitingStep, req placement.Request, service string) bool {
	f := &ws.tj.adviceOf(ws.step).fits
	if p.now.Sub(f.at) >= maxReservationAge {
		allowedShare := l.queueStatsOf(ws.tj.sub.Queue).allowedShare()
		*f = fitFinding{l.wouldFit(p, ws, req, service, allowedShare), p.now}
	}
	return f.likely
}

// wouldFit reports whether a gang would fit now on the workers that the advisor has not refused, if
// it allows a share of those that it has not been asked about.
func (l *leadership) wouldFit(p *pass, ws *waitingStep, req placement.Request, service string, allowedShare float64) bool {
	answers := ws.tj.adviceOf(ws.step)
	expected := 0.0
	for _, wk := range p.withCapacity(ws, req.Size, service) {
		if answers.refused[wk.id] {
			continue
		}
		state := l.workerState(ws, wk, p.free(wk, ws))
		fit := float64(placement.FitCount(req, &state))
		if !answers.known(wk) {
			fit *= allowedShare
		}
		expected += fit
		if expected >= float64(req.Count) {
			return true
		}
	}
	return false
}

// askAhead queries for the next gangs in the order, up to a limit, so that they know
// where they may run when gangs before them start. Without that the capacity that becomes
// free meanwhile, while the answer takes a second or more, goes to other work.
func (l *leadership) askAhead(p *pass, ws *waitingStep, req placement.Request, service string, a *site.Advice, limit int) {
	if a == nil || p.gangsAhead >= limit {
		return
	}
	p.gangsAhead++
	answers := ws.tj.adviceOf(ws.step)
	if len(answers.tickets) == 0 && !answers.asking {
		l.want(p, demand{ws: ws, req: req, service: service, settings: a, kind: toReserve})
	}
}

// shouldAsk reports whether a gang that is expected to start after the given delay has
// to query for tickets now. Without the check, a waiting gang queries again and again
// although its tickets are valid at its start, and keeps the VMs from the queries of
// others.
func (l *leadership) shouldAsk(ws *waitingStep, chosen []*worker, now time.Time, in time.Duration, a *site.Advice) bool {
	answers := ws.tj.adviceOf(ws.step)
	lead := askLead + a.Base + time.Duration(len(chosen))*a.PerUpstream
	return !answers.asking && in <= lead && !answers.allHaveTickets(chosen, now.Add(in))
}

// findReservation computes where a gang can start earliest.
func (l *leadership) findReservation(p *pass, ws *waitingStep, req placement.Request, service string, a *site.Advice) *reservation {
	eligible, unknown := l.workersToReserve(p, ws, service, a)
	r := &reservation{step: ws.step, at: p.now, hasRoom: l.fitsNow(ws, req, eligible)}
	forecasts := l.workerForecasts(p, eligible, ws)
	ok := false
	if r.hasRoom {
		r.places, r.in, ok = l.reserveNow(p, ws, req, eligible, forecasts)
	}
	if !ok {
		r.places, r.in, ok = l.reserveBest(ws, req, forecasts)
	}
	r.askMore = unknown > 0 && (!ok || r.in > askMoreAfter)
	return r
}

// fitsNow reports whether a gang fits into the free capacity of the workers, whatever it is
// reserved for.
func (l *leadership) fitsNow(ws *waitingStep, req placement.Request, workers []*worker) bool {
	fit := 0
	for _, wk := range workers {
		fit += placement.FitCount(req, &placement.WorkerState{Free: wk.free(), Tasks: l.tasksOn(wk, ws)})
	}
	return fit >= req.Count
}

// reserveNow reserves capacity for a gang that can start now if it also uses what is reserved
// for gangs that start after it has ended.
func (l *leadership) reserveNow(p *pass, ws *waitingStep, req placement.Request, workers []*worker, forecasts []placement.WorkerForecast) ([]placement.Reservation, time.Duration, bool) {
	now := slices.Clone(forecasts)
	for i, wk := range workers {
		now[i].Free = p.unreserved(wk, ws)
		now[i].Releases = nil
	}
	return l.reserveBest(ws, req, now)
}

// workersToReserve returns the workers on which capacity may be reserved for a gang, and how
// many others the advisor has not been asked about.
func (l *leadership) workersToReserve(p *pass, ws *waitingStep, service string, a *site.Advice) (eligible []*worker, unknown int) {
	var answers *stepAdvice
	if a != nil {
		answers = ws.tj.adviceOf(ws.step)
	}
	for _, wk := range p.usable[service] {
		switch {
		case !p.isolation.admits(wk, ws) || !ws.fitsEmpty(wk):
		case answers == nil:
			eligible = append(eligible, wk)
		case answers.refused[wk.id]:
		case answers.known(wk):
			eligible = append(eligible, wk)
		default:
			unknown++
		}
	}
	return eligible, unknown
}

// holdCapacity reserves the capacity that a gang is expected to use.
func (l *leadership) holdCapacity(p *pass, ws *waitingStep, req placement.Request, service string, places []placement.Reservation, in time.Duration) []*worker {
	var chosen []*worker
	cpu := int64(0)
	for _, r := range places {
		wk := l.workers[r.Worker]
		if wk == nil || !wk.usable(p.now) {
			continue
		}
		chosen = append(chosen, wk)
		size := req.Size.Scale(int64(r.Tasks))
		cpu += min(size.MilliCPU, max(0, wk.free().MilliCPU))
		p.heldCapacity[wk] = append(p.heldCapacity[wk], heldCapacity{size, in, ws})
	}
	p.unclaimedCPU[service] -= cpu
	p.reservedCPU[service] = append(p.reservedCPU[service], reservedCPU{cpu, in})
	return chosen
}

// reserveBest avoids slow workers for a gang, since all members would wait for the
// slowest one, unless the delay is longer than the time saved.
func (l *leadership) reserveBest(ws *waitingStep, req placement.Request, forecasts []placement.WorkerForecast) ([]placement.Reservation, time.Duration, bool) {
	places, in, ok := placement.Reserve(req, forecasts)
	var fast []placement.WorkerForecast
	for i := range forecasts {
		if forecasts[i].Slowness <= 0 {
			fast = append(fast, forecasts[i])
		}
	}
	if !ok || len(fast) == len(forecasts) {
		return places, in, ok
	}
	fastPlaces, fastIn, fastOK := placement.Reserve(req, fast)
	if !fastOK {
		return places, in, ok
	}
	perFactor := float64(ws.tj.forecast.tasks[ws.step])
	saving := time.Duration(perFactor * (l.slowestFactor(places) - l.slowestFactor(fastPlaces)))
	if fastIn <= in+saving {
		return fastPlaces, fastIn, true
	}
	return places, in, ok
}

// slowestFactor returns the time factor of the slowest of the workers.
func (l *leadership) slowestFactor(places []placement.Reservation) float64 {
	slowest := 0.0
	for _, r := range places {
		slowest = max(slowest, l.timeFactor(l.workers[r.Worker]))
	}
	return slowest
}

// workerForecasts returns what is free on workers now, and when the rest will be.
func (l *leadership) workerForecasts(p *pass, workers []*worker, ws *waitingStep) []placement.WorkerForecast {
	forecasts := make([]placement.WorkerForecast, 0, len(workers))
	for _, wk := range workers {
		f := placement.WorkerForecast{WorkerState: placement.WorkerState{
			Worker: wk.id, Rack: wk.upstream.Rack, Free: p.reservedByNone(wk), Tasks: l.tasksOn(wk, ws), Slowness: l.slowness(wk),
		}}
		for _, r := range wk.runs {
			step := &r.tj.sub.Steps[r.task.Step]
			if !step.Endless {
				f.Releases = append(f.Releases, placement.Release{Worker: wk.id, Delay: l.releaseIn(p, r), Size: step.Size})
			}
		}
		forecasts = append(forecasts, f)
	}
	return forecasts
}

// releaseIn returns the time until the capacity of a run is expected to become free.
// Members of a gang end together, with the slowest one: those that have finished their
// share keep their capacity until then.
func (l *leadership) releaseIn(p *pass, r *run) time.Duration {
	if !r.tj.sub.Steps[r.task.Step].Gang || len(r.tj.state.Steps) == 0 {
		return r.remaining(p.now, p.expected(r))
	}
	key := gangKey{r.tj, r.task.Step}
	if in, known := p.gangEnds[key]; known {
		return in
	}
	in := minRemaining
	for i := range r.tj.state.Steps[key.step] {
		name := site.TaskID{Job: r.tj.id, Step: key.step, Index: i}
		if member := l.findRun(&r.tj.state.Steps[key.step][i], name); member != nil {
			in = max(in, member.remaining(p.now, p.expected(member)))
		}
	}
	p.gangEnds[key] = in
	return in
}

// expected is the expected duration of the run on its worker.
func (p *pass) expected(r *run) time.Duration {
	return time.Duration(float64(r.predictedTime()) * p.timeFactor(r.wk))
}

// predictedTime is the predicted duration of the run on a worker of average speed. It is 0
// for an unrecorded run, whose job has no forecast.
func (r *run) predictedTime() time.Duration {
	if r.task.Step >= len(r.tj.forecast.tasks) {
		return 0
	}
	return r.tj.forecast.tasks[r.task.Step]
}

// remaining estimates the time until a run ends. It extrapolates from the progress made
// under observation, if that is enough. The progress made before does not count, since
// a new leader that finds runs halfway through would otherwise take them for twice as
// fast as they are.
func (r *run) remaining(now time.Time, estimate time.Duration) time.Duration {
	if made := r.percent - r.initialPercent; made >= minProgress && r.percentAt.After(r.confirmedAt) {
		left := r.percentAt.Sub(r.confirmedAt) * time.Duration(fullProgress-r.percent) / time.Duration(made)
		return max(minRemaining, left-now.Sub(r.percentAt))
	}
	since := r.confirmedAt
	if since.IsZero() {
		since = r.decidedAt
	}
	left := estimate * time.Duration(fullProgress-r.initialPercent) / fullProgress
	return max(minRemaining, left-now.Sub(since))
}
