package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
)

type (
	// finding is why a step waited when a pass last considered it.
	finding struct {
		why waitReason
		at  time.Time
	}

	// reasonCounts counts steps by the reason why they wait.
	reasonCounts [numWaitReasons]int

	// teamReport is the use of a team's limit and the steps that wait for it.
	teamReport struct {
		name    string
		waiting int
		limited int
	}
)

// maxTeamsLogged limits the teams in a report, those with the most limited steps first.
const maxTeamsLogged = 4

// noteFinding saves why a step waits after a pass has considered it. A later pass may have no
// time for the step, which is no reason of its own.
func (ws *waitingStep) noteFinding(now time.Time, why waitReason) {
	if ws.tj.findings == nil {
		ws.tj.findings = map[waitKey]finding{}
	}
	ws.tj.findings[ws.key()] = finding{why, now}
}

// lastFinding returns why the step waited when a pass last considered it, or when its turn to
// query came after that. Its why is laterPass if none of this term has considered it.
func (ws *waitingStep) lastFinding() finding {
	f, known := ws.tj.findings[ws.key()]
	if !known {
		return finding{why: laterPass}
	}
	if a := ws.tj.advice[ws.step]; f.why == asking && a != nil && a.unplaceable && !a.asking {
		f.why = noWorkerToAsk
	}
	return f
}

// countMissed counts the steps that can no longer meet their deadline by their last finding.
func countMissed(steps []*waitingStep) reasonCounts {
	var counts reasonCounts
	for _, ws := range steps {
		if ws.sortKey.Rank >= placement.Late {
			counts[ws.lastFinding().why]++
		}
	}
	return counts
}

// reportTeams logs the use and the limit of the teams that have steps waiting for their limit.
func (l *leadership) reportTeams(p *pass, steps []*waitingStep) {
	byName := map[string]*teamReport{}
	for _, ws := range steps {
		name := ws.tj.sub.Team
		if byName[name] == nil {
			byName[name] = &teamReport{name: name}
		}
		byName[name].waiting++
		if ws.lastFinding().why == teamLimit {
			byName[name].limited++
		}
	}
	var limited []*teamReport
	for _, r := range byName {
		if r.limited > 0 {
			limited = append(limited, r)
		}
	}
	slices.SortFunc(limited, func(a, b *teamReport) int {
		return cmp.Or(cmp.Compare(b.limited, a.limited), cmp.Compare(a.name, b.name))
	})
	for _, r := range limited[:min(len(limited), maxTeamsLogged)] {
		_ = level.Info(l.s.deps.Logger).Log("msg", "team at its limit", "team", r.name, "use", l.teamUse[r.name], "limit", p.teamLimit(r.name),
			"reservedByGangs", len(p.limitReservations[r.name]),
			"reserved", p.reservedLimit(r.name), "halfIdleMs", millisSince(p.now, l.idleLimits[r.name].since), "limited", r.limited, "waiting", r.waiting, "teams", len(limited))
	}
}

// reservedLimit returns what gangs have reserved of a team's limit.
func (p *pass) reservedLimit(name string) resource.Vector {
	var total resource.Vector
	for _, r := range p.limitReservations[name] {
		total = total.Add(r.size)
	}
	return total
}

// teamLimit returns the limit of a team, zero if there is none.
func (p *pass) teamLimit(name string) resource.Vector {
	if team := p.catalog.Team(name); team != nil {
		return team.Limit
	}
	return resource.Vector{}
}

// logStarved logs a step that waits beside free capacity.
func (l *leadership) logStarved(p *pass, ws *waitingStep, waited time.Duration, room int, counts obstacleCounts) {
	spec := &ws.tj.sub.Steps[ws.step]
	service, _ := l.serviceOf(p, ws.tj)
	found := ws.lastFinding()
	fields := []any{
		"msg", "step waits beside free capacity", "job", ws.tj.id, "step", ws.step, "queue", ws.tj.sub.Queue,
		"tasks", spec.Count, "waiting", ws.tj.countWaiting(ws.step, ws.isolated), "gang", spec.Gang, "size", spec.Size, "isolated", ws.isolated, "vacated", ws.vacated,
		"rank", ws.sortKey.Rank, "waitedMs", waited.Milliseconds(), "idleMs", ws.tj.idleFor(p.now).Milliseconds(), "room", room, "waitsFor", ws.why, "found", found.why, "foundMs", millisSince(p.now, found.at),
		"team", ws.tj.sub.Team, "teamUse", l.teamUse[ws.tj.sub.Team], "teamLimit", p.teamLimit(ws.tj.sub.Team),
		"roomToAsk", l.roomToAsk(p, ws, service), "gangsReserved", p.gangs, "gangsAhead", p.gangsAhead, "overdueTurns", l.overdueTurns,
		"unclaimedMilliCpu", p.unclaimedCPU[service], "turnMs", max(0, ws.tj.turn.until.Sub(p.now).Milliseconds()), "passedOver", counts.String(),
	}
	fields = append(fields, l.reservationFields(p, ws)...)
	if a := ws.tj.advice[ws.step]; a != nil {
		fields = append(fields, "asking", a.asking, "validTickets", a.countValid(p.now), "knownWorkers", len(a.tickets), "refusedWorkers", len(a.refused),
			"wantedMs", millisSince(p.now, a.wantedSince), "noWorkerToAsk", a.unplaceable, "passes", a.wait.sinceLastQuery())
	}
	_ = level.Warn(l.s.deps.Logger).Log(fields...)
}

// roomToAsk returns the room for tasks of a step on workers that it has no answer for.
func (l *leadership) roomToAsk(p *pass, ws *waitingStep, service string) string {
	answers := ws.tj.advice[ws.step]
	var unknown []*worker
	for _, wk := range p.usable[service] {
		if answers == nil || !answers.hasAnswer(wk.id) {
			unknown = append(unknown, wk)
		}
	}
	return l.roomOn(p, ws, unknown)
}

// roomOn returns how many tasks of a step fit into the free capacity of the workers: whatever it
// is reserved for, and without what is reserved before it.
func (l *leadership) roomOn(p *pass, ws *waitingStep, workers []*worker) string {
	spec := &ws.tj.sub.Steps[ws.step]
	req := placement.Request{Count: spec.Count, Size: spec.Size, PerWorker: spec.PerWorker}
	free, unreserved := 0, 0
	for _, wk := range workers {
		onIt := l.tasksOn(wk, ws)
		free += placement.FitCount(req, &placement.WorkerState{Free: wk.free(), Tasks: onIt})
		unreserved += placement.FitCount(req, &placement.WorkerState{Free: p.free(wk, ws), Tasks: onIt})
	}
	return fmt.Sprintf("%d/%d", free, unreserved)
}

// millisSince returns how long ago a time was, in milliseconds; -1 for none.
func millisSince(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// countValid counts the tickets that have not expired.
func (a *stepAdvice) countValid(now time.Time) int {
	n := 0
	for _, t := range a.tickets {
		if now.Before(t.until) {
			n++
		}
	}
	return n
}
