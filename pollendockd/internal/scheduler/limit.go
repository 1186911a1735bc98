package scheduler

import (
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
)

// limitReservation is the part of a team's limit that a gang waits for.
type limitReservation struct {
	size resource.Vector
	// latestStart is the latest start of the gang.
	latestStart time.Time
}

// lowPriorityShare is the share of a team's limit that work below the first priority
// may use while other work is running.
const lowPriorityShare = 0.9

// withinLimit returns how many of n tasks the team's limit allows. Work below the first
// priority leaves part of the limit to work of the first priority. Otherwise a lookup
// would have to wait for a batch task of its own team to end.
func (l *leadership) withinLimit(p *pass, ws *waitingStep, size resource.Vector, n int) int {
	tj := ws.tj
	team := p.catalog.Team(tj.sub.Team)
	if team == nil {
		return n
	}
	use := l.teamUse[tj.sub.Team].Add(p.reservedLimitFor(ws))
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
// all that it needs.
func (p *pass) reserveLimit(ws *waitingStep, size resource.Vector) {
	team := p.catalog.Team(ws.tj.sub.Team)
	spec := &ws.tj.sub.Steps[ws.step]
	if !spec.Gang || ws.sortKey.Rank != placement.InTime || team == nil {
		return
	}
	total := size.Scale(int64(spec.Count))
	if team.Limit.MilliCPU > 0 && float64(total.MilliCPU) > lowPriorityShare*float64(team.Limit.MilliCPU) {
		return
	}
	p.limitReservations[team.Name] = append(p.limitReservations[team.Name], limitReservation{total, ws.sortKey.LatestStart})
}

// reservedLimitFor returns what a step leaves to gangs of its team that must start
// earlier.
func (p *pass) reservedLimitFor(ws *waitingStep) resource.Vector {
	var total resource.Vector
	for _, s := range p.limitReservations[ws.tj.sub.Team] {
		if ws.sortKey.LatestStart.After(s.latestStart) {
			total = total.Add(s.size)
		}
	}
	return total
}
