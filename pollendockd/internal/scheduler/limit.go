package scheduler

import (
	"math"

	"pollendock.example/cell/resource"
)

const (
	// lowPriorityShare is the share of a team's limit that work below the first priority
	// may use while other work is running. A job that has been idle for long may start one task, or
	// its gang, beyond it: what fits into the limit may need more than that.
	lowPriorityShare = 0.9
	wholeLimit       = 1.0
)

// startableWithinLimit returns how many of the step's tasks the team's limit allows, less what others
// have reserved of it. A job that has been idle for long may start one task, or its gang, within the whole
// limit, and within what is reserved, too, once half of the limit has been idle for maxLimitIdleOfIdleJob.
func (l *leadership) startableWithinLimit(p *pass, ws *waitingStep, size resource.Vector) int {
	reserved := l.reservedLimitFor(p, ws)
	n := l.withinLimit(p, ws, size, reserved, l.limitShare(ws, reserved))
	least := ws.smallestStart()
	if n >= least || !ws.keptIdle(p.now) {
		return n
	}
	if l.limitIdleFor(p, ws.tj.sub.Team) >= maxLimitIdleOfIdleJob {
		reserved = resource.Vector{}
	}
	return max(n, min(least, l.withinLimit(p, ws, size, reserved, wholeLimit)))
}

// limitShare returns the share of the team's limit that a step may use. Work below the first priority leaves
// part of it to work of the first priority. Otherwise a lookup would have to wait for a batch task of its own
// team to end.
func (l *leadership) limitShare(ws *waitingStep, reserved resource.Vector) float64 {
	if ws.tj.sub.Priority > 0 && l.teamUse[ws.tj.sub.Team].Add(reserved).MilliCPU > 0 {
		return lowPriorityShare
	}
	return wholeLimit
}

// withinLimit returns how many of the step's tasks a share of the team's limit allows beside its use and
// what is reserved. Of accelerators, which are few, the share is rounded up.
func (l *leadership) withinLimit(p *pass, ws *waitingStep, size, reserved resource.Vector, share float64) int {
	tj := ws.tj
	n := len(ws.tasks)
	team := p.catalog.Team(tj.sub.Team)
	if team == nil {
		return n
	}
	use := l.teamUse[tj.sub.Team].Add(reserved)
	for _, c := range []struct{ limit, usable, use, size int64 }{
		{team.Limit.MilliCPU, int64(share * float64(team.Limit.MilliCPU)), use.MilliCPU, size.MilliCPU},
		{team.Limit.MemoryMB, int64(share * float64(team.Limit.MemoryMB)), use.MemoryMB, size.MemoryMB},
		{team.Limit.Accelerators, int64(math.Ceil(share * float64(team.Limit.Accelerators))), use.Accelerators, size.Accelerators},
	} {
		if c.limit > 0 && c.size > 0 {
			n = min(n, int(max(0, c.usable-c.use)/c.size))
		}
	}
	return n
}

// fitsLimit reports whether a use is within a limit. A component of 0 is no limit.
func fitsLimit(use, limit resource.Vector) bool {
	return (limit.MilliCPU == 0 || use.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMB == 0 || use.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || use.Accelerators <= limit.Accelerators)
}
