package scheduler

import (
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
)

// saving is the part of a team's limit that a gang waits for.
type saving struct {
	size resource.Vector
	// latestStart is the gang's.
	latestStart time.Time
}

// batchPart is the part of a team's limit that work of a later priority may
// take beside other work.
const batchPart = 0.9

// withinLimit returns how many of n tasks the team's limit allows. Work that is
// not of the first priority leaves a part of the limit to work that is: a lookup
// would else wait for a batch task of its own team to end.
func (l *leadership) withinLimit(p *pass, ws *waitingStep, size resource.Vector, n int) int {
	w := ws.w
	team := p.catalog.Team(w.sub.Team)
	if team == nil {
		return n
	}
	use := l.teamUse[w.sub.Team].Add(p.savedFor(ws))
	part := 1.0
	if w.sub.Priority > 0 && use.MilliCPU > 0 {
		part = batchPart
	}
	for _, c := range []struct{ limit, use, size int64 }{
		{team.Limit.MilliCPU, use.MilliCPU, size.MilliCPU},
		{team.Limit.MemoryMB, use.MemoryMB, size.MemoryMB},
		{team.Limit.Accelerators, use.Accelerators, size.Accelerators},
	} {
		if c.limit > 0 && c.size > 0 {
			n = min(n, int(max(0, int64(part*float64(c.limit))-c.use)/c.size))
		}
	}
	return n
}

// save keeps what becomes free within the team's limit for a gang that still
// can be in time. Small tasks of the same team, which can wait longer, would else
// take each piece as it becomes free, and the gang would never find all of it.
func (p *pass) save(ws *waitingStep, size resource.Vector) {
	team := p.catalog.Team(ws.w.sub.Team)
	spec := &ws.w.sub.Steps[ws.step]
	if !spec.Gang || ws.turn.Rank != placement.InTime || team == nil {
		return
	}
	whole := size.Scale(int64(spec.Count))
	if team.Limit.MilliCPU > 0 && float64(whole.MilliCPU) > batchPart*float64(team.Limit.MilliCPU) {
		return
	}
	p.saved[team.Name] = append(p.saved[team.Name], saving{whole, ws.turn.LatestStart})
}

// savedFor returns what a step leaves to gangs of its team that cannot wait as
// long as it can.
func (p *pass) savedFor(ws *waitingStep) resource.Vector {
	var total resource.Vector
	for _, s := range p.saved[ws.w.sub.Team] {
		if ws.turn.LatestStart.After(s.latestStart) {
			total = total.Add(s.size)
		}
	}
	return total
}
