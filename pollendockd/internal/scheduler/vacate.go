package scheduler

import (
	"slices"
	"time"

	"pollendock.example/cell/crash"
	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// This file chooses the workers that are kept free of new runs for suspects, and decides which
// suspects may start beside other runs because they would wait for too long.

// vacateRank orders workers by how soon a suspect is likely to start there.
type vacateRank struct {
	// ticketed is set if a task of the step can start there now, othersTicket if one of
	// another step that the worker was kept free for can.
	ticketed, othersTicket bool
	// allowed is set if the step is known to be allowed on the worker, and needs
	// several such workers; empty if no other job runs there; own if it was kept free
	// for the same job, chosen if it was kept free for any job.
	allowed, empty, own, chosen bool
	// services is set if tasks that last run there.
	services bool
	emptyIn  time.Duration
	id       string
}

const (
	// maxSuspectWait is how long a suspect may wait behind those that came later, and how long it
	// waits for an empty worker if it may start beside settled runs.
	maxSuspectWait = 4 * time.Second
	// maxBystanderWait is how long a suspect waits for an empty worker that may start beside any
	// run: callers count 3 s, in which it has to query, too.
	maxBystanderWait = 1200 * time.Millisecond
	// emptyInStep is the difference between two expected times that counts when a worker
	// is chosen, since they are rough.
	emptyInStep = 500 * time.Millisecond
)

// vacateWorkers chooses the workers that get no new runs until the suspects that wait
// have run there. A worker that was chosen before is kept unless another is likely to be
// empty sooner: one that has returned from a crash, or that a suspect has just left.
func (l *leadership) vacateWorkers(p *pass, steps []*waitingStep) {
	l.limitSuspects(p)
	for _, ws := range suspectsInTurn(steps, p.now) {
		ws.noteWait(p.now)
		l.vacateFor(p, ws)
	}
	for service, workers := range p.usable {
		for _, wk := range workers {
			if p.isolation.holders[wk] != nil || p.isolation.vacated[wk] != nil {
				p.unclaimedCPU[service] -= max(0, wk.free().MilliCPU)
			}
		}
	}
	l.vacated = p.isolation.vacated
}

// suspectsInTurn returns the steps of suspects in the order in which they get workers:
// those first that one more crash proves to be poison, since they start only once more; then
// those that have waited for maxSuspectWait, the longest wait first, and the others in
// scheduling order. A gang needs several workers that become free one by one, and would
// never get them while others that can still complete in time take each of them.
func suspectsInTurn(steps []*waitingStep, now time.Time) []*waitingStep {
	var decisive, long, others []*waitingStep
	for _, ws := range steps {
		switch {
		case !ws.isolated:
		case ws.nextCrashDecides():
			decisive = append(decisive, ws)
		case now.Sub(ws.waitsSince(now)) >= maxSuspectWait:
			long = append(long, ws)
		default:
			others = append(others, ws)
		}
	}
	slices.SortStableFunc(long, func(a, b *waitingStep) int {
		return a.waitsSince(now).Compare(b.waitsSince(now))
	})
	return slices.Concat(decisive, long, others)
}

// nextCrashDecides reports whether one more crash at its start proves a task of the step to be
// poison.
func (ws *waitingStep) nextCrashDecides() bool {
	for _, i := range ws.tj.waitingTasks(ws.step, ws.isolated) {
		if ws.tj.crashesOf(site.TaskID{Step: ws.step, Index: i}).Early >= crash.EarlyCount-1 {
			return true
		}
	}
	return false
}

// vacateFor chooses workers until one can hold a task of the step, or all of its gang.
func (l *leadership) vacateFor(p *pass, ws *waitingStep) {
	spec := &ws.tj.sub.Steps[ws.step]
	service, advice := l.serviceOf(p, ws.tj)
	for wk, holder := range p.isolation.holders {
		ws.vacated = ws.vacated || holder == ws.tj && spec.Size.Fits(wk.free())
	}
	if ws.vacated {
		return
	}
	missing := 1
	if spec.Gang {
		missing = spec.Count
	}
	if !p.relaxAfterWait(ws, service, missing) {
		return
	}
	if spec.Gang && advice != nil && !l.knowsWorkers(p, ws, service, advice) {
		return
	}
	if ws.besideOthers && !ws.besideSettled {
		// It leaves the workers to suspects that need them.
		return
	}
	limit := p.isolation.limits[service]
	if p.isolation.taken+len(p.isolation.vacated) == 0 {
		// A gang may need more than the share, and would never start.
		limit = len(p.usable[service])
	}
	for missing > 0 {
		wk := l.bestToVacate(p, ws, service, limit)
		if wk == nil {
			return
		}
		ws.vacated = true
		p.isolation.vacated[wk] = ws.tj
		missing -= mostOn(spec, wk, missing)
	}
}

// relaxAfterWait lets a step that has waited for maxBystanderWait start beside other runs, if it
// may, and beside settled ones after maxSuspectWait. It reports whether workers may be kept free
// for the step: until then not if those without services do not suffice.
func (p *pass) relaxAfterWait(ws *waitingStep, service string, missing int) bool {
	waited := p.now.Sub(ws.waitsSince(p.now))
	if p.workersKnown && waited >= maxBystanderWait && ws.likelyBystander() {
		ws.besideOthers, ws.vacated = true, true
	}
	long := p.workersKnown && waited >= maxSuspectWait
	ws.besideSettled = long
	return long || p.mayBecomeVacant(ws, service, missing)
}

// likelyBystander reports whether the tasks of the step have seen one crash at most, and none at
// their start. After another crash they run where no other job does. Those that last see many in
// their time, and are given up for crashes at their start only.
func (ws *waitingStep) likelyBystander() bool {
	endless := ws.tj.sub.Steps[ws.step].Endless
	for _, i := range ws.tj.waitingTasks(ws.step, ws.isolated) {
		if c := ws.tj.crashesOf(site.TaskID{Step: ws.step, Index: i}); c.Early > 0 || c.Count > 1 && !endless {
			return false
		}
	}
	return true
}

// clearedAtStart reports whether other jobs may run beside each waiting task of the step once it has
// survived its start.
func (ws *waitingStep) clearedAtStart() bool {
	for _, i := range ws.tj.waitingTasks(ws.step, ws.isolated) {
		if !ws.tj.clearedAtStart(site.TaskID{Step: ws.step, Index: i}) {
			return false
		}
	}
	return true
}

// mayBecomeVacant reports whether the workers without services hold so many tasks of the step once
// they are empty.
func (p *pass) mayBecomeVacant(ws *waitingStep, service string, missing int) bool {
	spec := &ws.tj.sub.Steps[ws.step]
	for _, wk := range p.usable[service] {
		if missing > 0 && !wk.runsService(ws.tj) && ws.allowedOn(wk) {
			missing -= mostOn(spec, wk, missing)
		}
	}
	return missing <= 0
}

// allowedOn reports whether the tasks of the step may run on the worker, as far as is known, once
// it is empty.
func (ws *waitingStep) allowedOn(wk *worker) bool {
	answers := ws.tj.advice[ws.step]
	return ws.fitsEmpty(wk) && (answers == nil || !answers.refused[wk.id])
}

// mayVacate reports whether the worker can become vacant for the step.
func (ws *waitingStep) mayVacate(wk *worker) bool {
	return ws.allowedOn(wk) && (ws.besideSettled || !wk.runsService(ws.tj))
}

// mostOn returns how many tasks of a step a worker holds where nothing but services runs, at most
// limit.
func mostOn(spec *job.Step, wk *worker, limit int) int {
	req := placement.Request{Count: limit, Size: spec.Size, PerWorker: spec.PerWorker}
	return placement.FitCount(req, &placement.WorkerState{Free: wk.upstream.Capacity.Sub(wk.servicesUse())})
}

// servicesUse is what the tasks that last use on the worker.
func (wk *worker) servicesUse() resource.Vector {
	var use resource.Vector
	for key, r := range wk.runs {
		if step := &r.tj.sub.Steps[key.task.Step]; step.Endless {
			use = use.Add(step.Size)
		}
	}
	return use
}

// knowsWorkers reports whether the advisor has named enough workers for a gang. If not it
// queries for more, if there are any: vacating workers that do not suffice would only
// idle them.
func (l *leadership) knowsWorkers(p *pass, ws *waitingStep, service string, advice *site.Advice) bool {
	spec := &ws.tj.sub.Steps[ws.step]
	answers := ws.tj.adviceOf(ws.step)
	known, unknown := 0, 0
	for _, wk := range p.usable[service] {
		switch {
		case !ws.mayVacate(wk):
		case answers.known(wk):
			known += mostOn(spec, wk, spec.Count)
		default:
			unknown++
		}
	}
	if known >= spec.Count {
		return true
	}
	if unknown > 0 && !answers.asking {
		req := placement.Request{Count: spec.Count, Size: spec.Size, Gang: true}
		l.want(p, demand{ws: ws, req: req, service: service, settings: advice, kind: toReserve})
	}
	return false
}

// bestToVacate returns the worker that is likely to be free of other jobs first, nil if
// there is none or suspects have as many as they may take. While no other job waits, a suspect that
// needs a worker for its start only may also take one that is empty.
func (l *leadership) bestToVacate(p *pass, ws *waitingStep, service string, limit int) *worker {
	iso := &p.isolation
	limited := iso.taken+len(iso.vacated) >= limit
	if limited && (l.crowdingCPU[service] > 0 || !ws.clearedAtStart()) {
		return nil
	}
	var best *worker
	var bestRank vacateRank
	for _, wk := range p.usable[service] {
		if iso.holders[wk] != nil || iso.vacated[wk] != nil {
			continue
		}
		rank, possible := l.rankToVacate(p, ws, wk)
		if !possible || limited && !rank.empty {
			continue
		}
		if best == nil || rank.before(&bestRank) {
			best, bestRank = wk, rank
		}
	}
	return best
}

// emptyIn returns the expected time until a worker runs nothing but services.
func (p *pass) emptyIn(wk *worker) time.Duration {
	in, known := p.isolation.emptyIn[wk]
	if known {
		return in
	}
	for _, r := range wk.runs {
		if !r.tj.sub.Steps[r.task.Step].Endless {
			in = max(in, r.remaining(p.now, p.expected(r)))
		}
	}
	p.isolation.emptyIn[wk] = in
	return in
}

// rankToVacate returns the rank of a worker, and whether it can become vacant for the step.
func (l *leadership) rankToVacate(p *pass, ws *waitingStep, wk *worker) (vacateRank, bool) {
	if !ws.mayVacate(wk) {
		return vacateRank{}, false
	}
	spec := &ws.tj.sub.Steps[ws.step]
	rank := vacateRank{
		services: wk.runsService(ws.tj), empty: wk.vacantFor(ws) && spec.Size.Fits(wk.free()), own: l.vacated[wk] == ws.tj, chosen: l.vacated[wk] != nil, emptyIn: p.emptyIn(wk), id: wk.id,
	}
	if answers := ws.tj.advice[ws.step]; answers != nil {
		rank.allowed = spec.Gang && answers.known(wk)
		rank.ticketed = rank.empty && answers.hasValidTicket(wk, p.now)
	}
	rank.othersTicket = rank.chosen && !rank.own && l.vacated[wk].hasValidTicket(wk, p.now)
	return rank, true
}

// hasValidTicket reports whether a step of the job has a ticket for the worker.
func (tj *trackedJob) hasValidTicket(wk *worker, now time.Time) bool {
	for _, a := range tj.advice {
		if a != nil && a.hasValidTicket(wk, now) {
			return true
		}
	}
	return false
}

func (a *vacateRank) before(b *vacateRank) bool {
	switch {
	case a.ticketed != b.ticketed:
		return a.ticketed
	case a.allowed != b.allowed:
		return a.allowed
	case a.services != b.services:
		return b.services
	case a.empty != b.empty:
		return a.empty
	case a.othersTicket != b.othersTicket:
		return b.othersTicket
	case a.emptyIn/emptyInStep != b.emptyIn/emptyInStep:
		return a.emptyIn < b.emptyIn
	case a.own != b.own:
		return a.own
	case a.chosen != b.chosen:
		return a.chosen
	case a.emptyIn != b.emptyIn:
		return a.emptyIn < b.emptyIn
	}
	return a.id < b.id
}
