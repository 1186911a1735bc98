package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

// This file queries for tickets for tasks whose worker does not answer, so that they can start
// elsewhere as soon as its leases have expired. It answers the death of many workers at once: their
// tasks would all begin to query then, one after the other through the same few VMs.

type (
	// restart is a step with tasks that start again unless their workers answer.
	restart struct {
		ws *waitingStep
		// at is when the last of their runs has certainly ended.
		at time.Time
	}

	// restartKey identifies a restart. Suspects are isolated.
	restartKey struct {
		tj       *trackedJob
		step     int
		isolated bool
	}
)

// ticketReserve is how long the tickets for a restart are valid beyond its expected time.
const ticketReserve = 500 * time.Millisecond

// queryLead is how long before tasks can start their query goes out: their tickets come as early as
// they can without expiring first, so that there is time for a turn and for a second query.
func queryLead(a *site.Advice, workers float64) time.Duration {
	takes := a.Base + time.Duration(workers*float64(a.PerUpstream))
	return takes + max(0, a.TicketLifetime-ticketMargin-ticketReserve)
}

// prepareRestarts queries for the steps that are about to start again. It keeps the workers for which
// they have tickets from the queries of each other.
func (l *leadership) prepareRestarts(p *pass) {
	for _, r := range l.restarts(p) {
		service, a := l.serviceOf(p, r.ws.tj)
		if a == nil {
			continue
		}
		answers := r.ws.tj.adviceOf(r.ws.step)
		req := r.ws.request()
		lead := queryLead(a, l.queueStatsOf(r.ws.tj.sub.Queue).workersPerQuery())
		if answers.asking || r.at.Sub(p.now) > lead || l.claimTicketed(p, r, req) >= req.Count {
			continue
		}
		l.want(p, demand{ws: r.ws, req: req, service: service, settings: a, kind: toRestart})
	}
}

// request returns the request for the tasks of the step.
func (ws *waitingStep) request() placement.Request {
	spec := &ws.tj.sub.Steps[ws.step]
	return placement.Request{
		Count: len(ws.tasks), Size: spec.Size, Gang: spec.Gang, OneRack: spec.OneRack, Rack: spec.Rack, PerWorker: spec.PerWorker,
	}
}

// claimTicketed returns how many tasks of a restart fit on workers whose tickets are valid when it is
// due, and keeps those that it needs from other suspects.
func (l *leadership) claimTicketed(p *pass, r *restart, req placement.Request) int {
	answers := r.ws.tj.adviceOf(r.ws.step)
	fit := 0
	for _, id := range slices.Sorted(maps.Keys(answers.tickets)) {
		wk := l.workers[id]
		if fit >= req.Count {
			break
		}
		if wk == nil || !wk.usable(p.now) || !answers.hasValidTicket(wk, r.at) || !p.isolation.admits(wk, r.ws) {
			continue
		}
		state := l.workerState(r.ws, wk, p.free(wk, r.ws))
		n := placement.FitCount(req, &state)
		if n > 0 && r.ws.isolated {
			p.isolation.vacated[wk] = r.ws.tj
		}
		fit += n
	}
	return fit
}

// restarts returns the steps with tasks on workers that do not answer, in scheduling order. Those of
// a worker that has not announced its end are taken for suspects. They are once the list tells that it
// has crashed, unless another task had just begun there.
func (l *leadership) restarts(p *pass) []*restart {
	found := map[restartKey]*restart{}
	for _, wk := range l.workers {
		if !wk.unreachable || len(wk.runs) == 0 {
			continue
		}
		at := later(p.now, later(l.lapseAt(wk), l.lateLeaseEnd(wk)))
		for _, r := range wk.runs {
			if !l.restartsAt(r, at) {
				continue
			}
			key := restartKey{r.tj, r.task.Step, !wk.upstream.Draining || r.tj.suspected(r.task.Step, r.task.Index)}
			if found[key] == nil {
				ws := &waitingStep{tj: r.tj, step: r.task.Step, isolated: key.isolated, sortKey: l.sortKeyOf(p, r.tj, r.task.Step)}
				found[key] = &restart{ws: ws}
			}
			found[key].add(r, at)
		}
	}
	list := make([]*restart, 0, len(found))
	for _, r := range found {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ws.sortKey.Before(&list[b].ws.sortKey) })
	return list
}

// restartsAt reports whether the task of a run can start again once the leases of its worker have
// expired at the given time.
func (l *leadership) restartsAt(r *run, at time.Time) bool {
	return r.stage != planned && r.stage != starting && !l.mayRunLater(r, at) && r.recordedTask() != nil &&
		!r.tj.state.Phase.Final() && !r.tj.runsUnrecorded(r.task)
}

// add adds the task of a run that has ended by the given time, or all tasks of its gang.
func (r *restart) add(lost *run, at time.Time) {
	r.at = later(r.at, at)
	if !lost.tj.sub.Steps[lost.task.Step].Gang {
		r.ws.tasks = append(r.ws.tasks, lost.task.Index)
		return
	}
	r.ws.tasks = r.ws.tasks[:0]
	for i := range lost.tj.state.Steps[lost.task.Step] {
		r.ws.tasks = append(r.ws.tasks, i)
	}
}
