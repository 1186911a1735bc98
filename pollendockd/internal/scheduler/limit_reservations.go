package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// This file reserves parts of a team's limit for steps that need more of it than is free at a time.

type (
	// limitReservation is the part of a team's limit that a gang, or a task of a job that has been idle
	// for long, waits for.
	limitReservation struct {
		// holder is the step that waits.
		holder gangKey
		// size is what it needs of the limit beyond what runs release until its start, total all that it
		// needs.
		size, total resource.Vector
		// in is the expected time until it can start.
		in time.Duration
		// latestStart is its latest start, priority that of its queue.
		latestStart time.Time
		priority    int
		// starved is set for a job that is not overdue and has been idle for so long that it gets a turn: then
		// nothing starts which it would have to wait for.
		starved, hasTurn bool
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
	// maxLimitIdle is how long reservations may keep half of a team's limit idle.
	maxLimitIdle = 2 * time.Second
	// maxLimitIdleOfIdleJob is the same for one task of a job without a run.
	maxLimitIdleOfIdleJob = time.Second
	// maxReservationGap is how long such a span lasts without a reservation. A gang that fits into
	// what the team uses at one moment has none, and has one again in the next.
	maxReservationGap = time.Second
)

// limitIdleFor returns for how long reservations have kept half of a team's limit idle.
func (l *leadership) limitIdleFor(p *pass, team string) time.Duration {
	s, idle := l.idleLimits[team]
	if !idle {
		return 0
	}
	return p.now.Sub(s.since)
}

// reserveLimit reserves capacity that becomes free within the team's limit for a gang
// that can still meet its deadline, or for the least that a job starts which has been idle for long.
// Otherwise small tasks of the same team, which can wait longer, would take each piece as it becomes free,
// and it would never get all that it needs. What is free at its start besides is left to others.
func (l *leadership) reserveLimit(p *pass, ws *waitingStep, size resource.Vector) {
	team := p.catalog.Team(ws.tj.sub.Team)
	spec := &ws.tj.sub.Steps[ws.step]
	inTime := spec.Gang && ws.sortKey.Rank == placement.InTime
	if !inTime && !ws.keptIdle(p.now) || team == nil {
		return
	}
	total := size.Scale(int64(ws.smallestStart()))
	if team.Limit.MilliCPU > 0 && float64(total.MilliCPU) > lowPriorityShare*float64(team.Limit.MilliCPU) && !ws.keptIdle(p.now) {
		return
	}
	released, in, ok := l.releaseWithin(p, team, total)
	if !ok {
		return
	}
	needed := total.Sub(released).Max(resource.Vector{})
	p.limitReservations[team.Name] = append(p.limitReservations[team.Name], limitReservation{
		holder: gangKey{ws.tj, ws.step}, size: needed, total: total, in: in, latestStart: ws.sortKey.LatestStart, priority: ws.tj.sub.Priority,
		starved: ws.mayUseReserved(p.now) && ws.sortKey.Rank < placement.Overdue,
	})
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

// reservedLimitFor returns what a step leaves to others of its team that must start
// earlier. It leaves nothing to one that is expected to start only after the step's
// tasks have ended, unless it is that one's turn, nor in the turn of one of a lower priority, nor if
// reservations have kept half of the limit idle for too long.
func (l *leadership) reservedLimitFor(p *pass, ws *waitingStep) resource.Vector {
	var total resource.Vector
	if l.limitIdleFor(p, ws.tj.sub.Team) >= maxLimitIdle {
		return total
	}
	spec := &ws.tj.sub.Steps[ws.step]
	expected := time.Duration(estimateMargin * float64(ws.tj.forecast.tasks[ws.step]))
	for _, s := range l.limitReservationsOf(p, ws.tj.sub.Team) {
		endsBefore := !spec.Endless && expected <= s.in && !s.hasTurn
		if s.hasTurn && ws.tj.sub.Priority < s.priority || s.holder == (gangKey{ws.tj, ws.step}) {
			continue
		}
		if !endsBefore && ws.sortKey.LatestStart.After(s.latestStart) {
			total = total.Add(s.size)
		}
	}
	return total
}

// limitReservationsOf returns the reservations of a team's limit: those of this pass, and that of the step
// whose turn it is, which the pass may not have reached yet.
func (l *leadership) limitReservationsOf(p *pass, team string) []limitReservation {
	turn, found := l.limitTurns[team]
	if !found {
		return p.limitReservations[team]
	}
	list := []limitReservation{turn}
	for _, s := range p.limitReservations[team] {
		if s.holder != turn.holder {
			list = append(list, s)
		}
	}
	return list
}

// passLimitTurns gives the turn to the starved step of each team that must start first, until the next pass.
func (l *leadership) passLimitTurns(p *pass) {
	l.limitTurns = map[string]limitReservation{}
	for team, list := range p.limitReservations {
		for _, s := range list {
			if first, found := l.limitTurns[team]; s.starved && (!found || s.latestStart.Before(first.latestStart)) {
				s.size, s.hasTurn = s.total, true
				l.limitTurns[team] = s
			}
		}
	}
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
