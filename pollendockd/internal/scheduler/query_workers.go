package scheduler

import (
	"math"
	"slices"

	"pollendock.example/cell/placement"
)

// restartCandidateFactor is candidateFactor for tasks to restart.
const restartCandidateFactor = 3

// renewalExtraTime is how much longer a renewal may take, as a share of the time of an
// empty query, to name workers without reserved capacity.
const renewalExtraTime = 0.3

// workersToName returns the workers to name in the query for a demand, and the processor
// time that the step will use on them.
func (l *leadership) workersToName(m *demand) ([]*worker, int64) {
	needed := int64(m.req.Count) * m.req.Size.MilliCPU
	switch m.kind {
	case toRenew:
		return l.workersToRenew(m), 0
	case toReserve:
		return l.workersForGang(m), needed
	}
	return l.workersForTasks(m), needed
}

// workersToRenew returns the workers with reserved capacity, and some others that the
// step may run on, the emptiest first: until the answer arrives, capacity may have
// become free elsewhere than expected.
func (l *leadership) workersToRenew(m *demand) []*worker {
	p := l.advice.pass
	answers := m.ws.tj.adviceOf(m.ws.step)
	var chosen, others []*worker
	for _, wk := range m.renew {
		if wk.usable(p.now) {
			chosen = append(chosen, wk)
		}
	}
	for id := range answers.tickets {
		wk := l.workers[id]
		if wk != nil && wk.usable(p.now) && wk.upstream.Service == m.service && p.isolation.admits(wk, m.ws) && !slices.Contains(chosen, wk) {
			others = append(others, wk)
		}
	}
	extra := int(renewalExtraTime * float64(m.settings.Base) / float64(max(1, m.settings.PerUpstream)))
	q := placement.QueryParams{AllowedFraction: 1, CapacityFactor: math.Inf(1), EmptiestFirst: true}
	ids, _ := placement.SelectForQuery(m.req, q, l.queryCandidates(m, others))
	return append(chosen, l.workersOf(ids[:min(len(ids), extra)])...)
}

// workersForTasks returns as many workers as should suffice for the remaining tasks of a
// step, if they have the capacity. For a gang it names all workers anew: tickets from two
// answers might not be valid at the same time. Suspects need workers of their own: the emptiest ones
// first, which no other query has claimed.
func (l *leadership) workersForTasks(m *demand) []*worker {
	p := l.advice.pass
	answers := m.ws.tj.adviceOf(m.ws.step)
	candidates := l.candidates(p, m, answers)
	if len(candidates) == 0 {
		return nil
	}
	q := placement.QueryParams{AllowedFraction: l.queueStatsOf(m.ws.tj.sub.Queue).allowedShare(), CapacityFactor: m.candidateFactor(), MinWorkers: minCandidates, OnlyFitting: !m.req.Gang, EmptiestFirst: m.ws.isolated}
	ids, expected := placement.SelectForQuery(m.req, q, l.queryCandidates(m, candidates))
	if !m.req.Gang {
		return l.workersOf(ids)
	}
	if expected < float64(m.req.Count) {
		return l.workersToLearn(m)
	}
	return l.workersOf(l.enoughForGang(m, q, ids, candidates))
}

// candidateFactor makes the query larger than the expected need. Tasks to restart have waited for so
// long that a second query would be one too many.
func (m *demand) candidateFactor() float64 {
	if m.kind == toRestart {
		return restartCandidateFactor
	}
	return candidateFactor
}

// enoughForGang adds workers to those named for a gang, as many as make the time until enough of
// them are allowed shortest. A gang that is a task short has to query again.
func (l *leadership) enoughForGang(m *demand, q placement.QueryParams, named []string, candidates []*worker) []string {
	q.CapacityFactor, q.OnlyFitting = math.Inf(1), true
	list := l.queryCandidates(m, candidates)
	all, _ := placement.SelectForQuery(m.req, q, list)
	places := placement.PlacesOf(m.req, q.AllowedFraction, all[:min(len(all), maxQueryWorkers)], list)
	n := placement.ShortestQuery(m.req.Count, places, m.settings.Base, m.settings.PerUpstream)
	if n <= len(named) {
		return named
	}
	return all[:n]
}

// workersToLearn returns workers to ask about for a gang that is unlikely to fit on those
// that the advisor will allow. Only an answer can tell: with the expected share of allowed
// workers alone it would never ask. As each worker is asked about once, it soon knows.
// Gangs of suspects learn before workers are kept free for them.
func (l *leadership) workersToLearn(m *demand) []*worker {
	if m.ws.isolated {
		return nil
	}
	m.kind = toReserve
	return l.workersForGang(m)
}

// workersForGang returns workers that the step has no answer for, the emptiest first
// and as many as are likely to suffice. Each worker in a query takes the advisor's
// time, and the answer for a large gang would otherwise take a second or more.
func (l *leadership) workersForGang(m *demand) []*worker {
	p := l.advice.pass
	answers := m.ws.tj.adviceOf(m.ws.step)
	var unknown []*worker
	for _, wk := range p.usable[m.service] {
		if wk.usable(p.now) && (m.ws.isolated || p.isolation.admits(wk, m.ws)) && m.ws.fitsEmpty(wk) && !answers.hasAnswer(wk.id) {
			unknown = append(unknown, wk)
		}
	}
	q := placement.QueryParams{AllowedFraction: l.queueStatsOf(m.ws.tj.sub.Queue).allowedShare(), CapacityFactor: gangCandidateFactor, MinWorkers: minCandidates, EmptiestFirst: true}
	ids, _ := placement.SelectForQuery(m.req, q, l.queryCandidates(m, unknown))
	return l.workersOf(ids)
}

// queryCandidates returns the candidates for a query, with their free capacity less
// what pending queries have claimed.
func (l *leadership) queryCandidates(m *demand, workers []*worker) []placement.Candidate {
	p, ws := l.advice.pass, m.ws
	answers := ws.tj.adviceOf(ws.step)
	candidates := make([]placement.Candidate, 0, len(workers))
	for _, wk := range workers {
		free := p.free(wk, ws)
		free.MilliCPU -= wk.claimedCPU
		if m.kind == toReserve {
			free.MilliCPU -= wk.gangClaimedCPU
		}
		candidates = append(candidates, placement.Candidate{WorkerState: l.workerState(ws, wk, free), PreviouslyAllowed: answers.known(wk)})
	}
	return candidates
}

func (l *leadership) workersOf(ids []string) []*worker {
	list := make([]*worker, 0, len(ids))
	for _, id := range ids {
		list = append(list, l.workers[id])
	}
	return list
}
