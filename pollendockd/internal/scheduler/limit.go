package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// limitReservation is the part of a team's limit that a gang waits for.
	limitReservation struct {
		// size is what the gang needs of the limit beyond what runs release until its start.
		size resource.Vector
		// in is the expected time until the gang can start.
		in time.Duration
		// latestStart is the latest start of the gang.
		latestStart time.Time
	}

	// idleLimit is a span in which gangs reserve a team's limit and the team uses less than half
	// of it.
	idleLimit struct {
		since time.Time
		// reservedAt is the last pass with a reservation.
		reservedAt time.Time
	}
)

const (
	// lowPriorityShare is the share of a team's limit that work below the first priority
	// may use while other work is running.
	lowPriorityShare = 0.9
	// maxLimitIdle is how long reservations may keep half of a team's limit idle.
	maxLimitIdle = 2 * time.Second
	// maxLimitIdleOfIdleJob is the same for one task of a job without a run.
	maxLimitIdleOfIdleJob = time.Second
	// maxReservationGap is how long such a span lasts without a reservation. A gang that fits into
	// what the team uses at one moment has none, and has one again in the next.
	maxReservationGap = time.Second
)

// startableWithinLimit returns how many of the step's tasks the team's limit allows, less what gangs
// have reserved of it. A job that has been idle for long may start one task, or its gang, once
// half of the limit has been idle for maxLimitIdleOfIdleJob.
func (l *leadership) startableWithinLimit(p *pass, ws *waitingStep, size resource.Vector) int {
	n := l.withinLimit(p, ws, size, l.reservedLimitFor(p, ws))
	least := ws.smallestStart()
	if n >= least || !ws.keptIdle(p.now) || l.limitIdleFor(p, ws.tj.sub.Team) < maxLimitIdleOfIdleJob {
		return n
	}
	return min(least, l.withinLimit(p, ws, size, resource.Vector{}))
}

// limitIdleFor returns for how long reservations have kept half of a team's limit idle.
func (l *leadership) limitIdleFor(p *pass, team string) time.Duration {
	s, idle := l.idleLimits[team]
	if !idle {
		return 0
	}
	return p.now.Sub(s.since)
}

// withinLimit returns how many of the step's tasks the team's limit allows beside its use and
// what is reserved. Work below the first priority leaves part of the limit to work of the first
// priority. Otherwise a lookup would have to wait for a batch task of its own team to end.
func (l *leadership) withinLimit(p *pass, ws *waitingStep, size, reserved resource.Vector) int {
	tj := ws.tj
	n := len(ws.tasks)
	team := p.catalog.Team(tj.sub.Team)
	if team == nil {
		return n
	}
	use := l.teamUse[tj.sub.Team].Add(reserved)
	share := 1.0
	if tj.sub.Priority > 0 && use.MilliCPU > 0 {
		share = lowPriorityShare
	}
	for _, c := range []struct{ limit, use, size int64 }{
		{team.Limit.MilliCPU, use.MilliCPU, size.MilliCPU},
		{team.Limit.MemoryMB, use.MemoryMB, size.MemoryMB},
		{team.Limit.Accelerators, use.Accelerators, size.Accelerators},
	} {
		if c.limit > 0 && c.size > 0 {
			n = min(n, int(max(0, int64(share*float64(c.limit))-c.use)/c.size))
		}
	}
	return n
}

// reserveLimit reserves capacity that becomes free within the team's limit for a gang
// that can still meet its deadline. Otherwise small tasks of the same team, which can
// wait longer, would take each piece as it becomes free, and the gang would never get
// all that it needs. What is free at the gang's start besides is left to others.
func (l *leadership) reserveLimit(p *pass, ws *waitingStep, size resource.Vector) {
	team := p.catalog.Team(ws.tj.sub.Team)
	spec := &ws.tj.sub.Steps[ws.step]
	if !spec.Gang || ws.sortKey.Rank != placement.InTime || team == nil {
		return
	}
	total := size.Scale(int64(spec.Count))
	if team.Limit.MilliCPU > 0 && float64(total.MilliCPU) > lowPriorityShare*float64(team.Limit.MilliCPU) {
		return
	}
	released, in, ok := l.releaseWithin(p, team, total)
	if !ok {
		return
	}
	needed := total.Sub(released).Max(resource.Vector{})
	p.limitReservations[team.Name] = append(p.limitReservations[team.Name], limitReservation{needed, in, ws.sortKey.LatestStart})
}

// releaseWithin returns how soon the runs of a team are expected to leave enough of its
// limit for a gang, and what those that end until then use. It reports false if too
// many of them have no end.
func (l *leadership) releaseWithin(p *pass, team *site.Team, total resource.Vector) (released resource.Vector, in time.Duration, ok bool) {
	use := l.teamUse[team.Name]
	for _, r := range l.teamReleases(p, team.Name) {
		if r.Delay > in && fitsLimit(use.Add(total), team.Limit) {
			break
		}
		use = use.Sub(r.Size)
		released = released.Add(r.Size)
		in = r.Delay
	}
	return released, in, fitsLimit(use.Add(total), team.Limit)
}

// fitsLimit reports whether a use is within a limit. A component of 0 is no limit.
func fitsLimit(use, limit resource.Vector) bool {
	return (limit.MilliCPU == 0 || use.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMB == 0 || use.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || use.Accelerators <= limit.Accelerators)
}

// teamReleases returns the runs of a team that are expected to end, the first one first.
func (l *leadership) teamReleases(p *pass, team string) []placement.Release {
	if p.teamReleases == nil {
		p.teamReleases = l.releasesByTeam(p)
	}
	return p.teamReleases[team]
}

func (l *leadership) releasesByTeam(p *pass) map[string][]placement.Release {
	byTeam := map[string][]placement.Release{}
	for _, wk := range l.workers {
		for _, r := range wk.runs {
			step := &r.tj.sub.Steps[r.task.Step]
			if step.Endless {
				continue
			}
			team := r.tj.sub.Team
			byTeam[team] = append(byTeam[team], placement.Release{Worker: wk.id, Delay: l.releaseIn(p, r), Size: step.Size})
		}
	}
	for _, releases := range byTeam {
		slices.SortFunc(releases, func(a, b placement.Release) int { return cmp.Compare(a.Delay, b.Delay) })
	}
	return byTeam
}

// reservedLimitFor returns what a step leaves to gangs of its team that must start
// earlier. It leaves nothing to a gang that is expected to start only after the step's
// tasks have ended, nor if reservations have kept half of the limit idle for too long.
func (l *leadership) reservedLimitFor(p *pass, ws *waitingStep) resource.Vector {
	var total resource.Vector
	if l.limitIdleFor(p, ws.tj.sub.Team) >= maxLimitIdle {
		return total
	}
	spec := &ws.tj.sub.Steps[ws.step]
	expected := time.Duration(estimateMargin * float64(ws.tj.forecast.tasks[ws.step]))
	for _, s := range p.limitReservations[ws.tj.sub.Team] {
		endsBefore := !spec.Endless && expected <= s.in
		if !endsBefore && ws.sortKey.LatestStart.After(s.latestStart) {
			total = total.Add(s.size)
		}
	}
	return total
}

// watchIdleLimits notes since when teams with reservations use less than half of their
// limit.
func (l *leadership) watchIdleLimits(p *pass) {
	idle := map[string]idleLimit{}
	for name, s := range l.idleLimits {
		if p.now.Sub(s.reservedAt) <= maxReservationGap {
			idle[name] = s
		}
	}
	for name := range p.limitReservations {
		s, before := idle[name]
		if !before {
			s.since = p.now
		}
		s.reservedAt = p.now
		idle[name] = s
	}
	for name := range idle {
		use := l.teamUse[name]
		if team := p.catalog.Team(name); team == nil || !fitsLimit(use.Add(use), team.Limit) {
			delete(idle, name)
		}
	}
	l.idleLimits = idle
}
