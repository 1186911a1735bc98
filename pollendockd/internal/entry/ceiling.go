package entry

import (
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
)

type (
	// demand is what a team's lookups have needed at this VM lately.
	demand struct {
		// size is the greatest size of a lookup.
		size resource.Vector
		// asking counts the rises on their way.
		asking int
		// refusedAt is when the limit last left nothing for a rise.
		refusedAt time.Time
	}
)

const (
	// riseTasks is the number of lookups that one rise makes room for.
	riseTasks = 2
	// maxAsking bounds the rises of a team on their way.
	maxAsking = 16
	// refusedWait is the time between rises that the limit refuses.
	refusedWait = 200 * time.Millisecond
	// peakWindow is how long a peak keeps its ceiling; peakShort is used while
	// durable work of the team waits for the same limit.
	peakWindow = 20 * time.Second
	peakShort  = 2 * time.Second
	// reservePart is the least ratio of a team's limit to its reserves.
	reservePart = 4
)

// raiseCeiling asks for a part of the team's limit, so that lookups can run on
// one of this VM's workers with physical room. False means that no rise is on
// its way that could help the lookup.
func (c *control) raiseCeiling(l *lookup, now time.Time) bool {
	if !c.joined || c.stopping || c.e.appender.Down() {
		return false
	}
	d := c.demandOf(l.Team)
	d.size = d.size.Max(l.Size)
	// Rises on their way cover riseTasks waiting lookups each.
	covered := d.asking*riseTasks >= len(c.lookups[l.Team].list)
	if covered || d.asking >= maxAsking {
		return true
	}
	if now.Sub(d.refusedAt) < refusedWait {
		return false
	}
	return c.askRise(l.Team, l.Size, l.avoid, now)
}

func (c *control) demandOf(team string) *demand {
	d := c.demands[team]
	if d == nil {
		d = &demand{}
		c.demands[team] = d
	}
	return d
}

// askRise asks for room for riseTasks lookups on the worker with the most room,
// other than the one to avoid. False means that no worker has room.
func (c *control) askRise(team string, size resource.Vector, avoid string, now time.Time) bool {
	var best *upstream
	for _, u := range c.upstreams {
		if !u.usable(now) || u.id == avoid || !size.Fits(c.room(u)) {
			continue
		}
		if best == nil || c.room(u).Slots > c.room(best).Slots {
			best = u
		}
	}
	if best == nil {
		return false
	}
	d := c.demandOf(team)
	delta := size.Scale(min(riseTasks, size.Count(c.room(best), riseTasks)))
	d.asking++
	best.pending = best.pending.Add(delta)
	s := best.session
	r := c.newRecord()
	r.Allocation = &ledger.Allocation{Worker: best.id, Team: team, Delta: delta}
	c.submit(r, true, func(_ int64, effect ledger.ApplyResult) {
		d.asking--
		c.dirty = true
		if best.session == s {
			best.pending = best.pending.Sub(delta)
			c.sumCeilings(best)
		}
		if effect.Code == code.OK && !size.Fits(effect.Granted) {
			d.refusedAt = time.Now()
		}
	})
	return true
}

// sumCeilings renews the sum of the ceilings on a worker.
func (c *control) sumCeilings(u *upstream) {
	u.ceilings = sumCeilingsOf(c.state.Workers[u.id])
}

// adjustCeilings gives back what the peak of the last window did not need, but
// for the reserve of the policy.
func (c *control) adjustCeilings(u *upstream, now time.Time) {
	window := peakWindow
	if c.limitWanted(u) {
		window = peakShort
	}
	if now.Sub(u.peakAt) < window || !c.joined || c.e.appender.Down() {
		return
	}
	u.peakAt = now
	w := c.state.Workers[u.id]
	for team, ceiling := range w.Allocations {
		need := u.peak[team].Max(u.lookupUse[team])
		c.lowerCeiling(u, team, ceiling.Sub(need))
	}
	u.peak = map[string]resource.Vector{}
}

// limitWanted reports whether durable work waits for what a ceiling holds.
func (c *control) limitWanted(u *upstream) bool {
	for team := range c.state.Workers[u.id].Allocations {
		if c.state.WaitingCount(team) > 0 {
			return true
		}
	}
	return false
}

func (c *control) lowerCeiling(u *upstream, team string, spare resource.Vector) {
	spare = spare.Sub(c.reserveOf(team)).Max(resource.Vector{})
	if spare.IsZero() || !u.falling[team].IsZero() {
		return
	}
	u.falling[team] = spare
	s := u.session
	r := c.newRecord()
	r.Allocation = &ledger.Allocation{Worker: u.id, Team: team, Delta: spare.Scale(-1), Decrease: true}
	c.submit(r, true, func(int64, ledger.ApplyResult) {
		if u.session == s {
			delete(u.falling, team)
			c.sumCeilings(u)
		}
	})
}

// reserveOf is the part of a team's limit that each worker keeps for its
// lookups, so that they need not wait for the log. Teams whose reserve over all
// workers would take more than a quarter of their limit keep none.
func (c *control) reserveOf(team string) resource.Vector {
	d := c.demands[team]
	if d == nil {
		return resource.Vector{}
	}
	tasks := c.state.Document.Policy(config.Lookup).ReserveTasks
	mine := int64(0)
	for _, u := range c.upstreams {
		if u.phase == home {
			mine++
		}
	}
	if mine == 0 {
		return resource.Vector{}
	}
	each := d.size.Scale((tasks + mine - 1) / mine)
	cell := each.Scale(int64(len(c.state.Workers)))
	if !cell.Scale(reservePart).Fits(c.state.Document.Teams[team].Limit) {
		return resource.Vector{}
	}
	return each
}

// addLookup counts a running lookup on a worker.
func (u *upstream) addLookup(attempt, team string, size resource.Vector) {
	u.lookups[attempt] = runningLookup{team, size}
	u.lookupLoad = u.lookupLoad.Add(size)
	u.lookupUse[team] = u.lookupUse[team].Add(size)
	u.peak[team] = u.peak[team].Max(u.lookupUse[team])
}

// dropLookup ends the count of a lookup.
func (u *upstream) dropLookup(attempt string) {
	r, running := u.lookups[attempt]
	if !running {
		return
	}
	delete(u.lookups, attempt)
	u.lookupLoad = u.lookupLoad.Sub(r.size)
	u.lookupUse[r.team] = u.lookupUse[r.team].Sub(r.size)
}

// lookupSeen handles a lookup that the worker reports. One that this VM runs is
// settled by its own goroutine; one of an earlier home only holds room.
func (c *control) lookupSeen(u *upstream, t platform.TaskStatus) {
	if t.State == platform.Running || c.running[t.Attempt] != nil {
		return
	}
	u.dropLookup(t.Attempt)
	u.forget = append(u.forget, t.Attempt)
	c.dirty = true
}
