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
	// demand describes the lookups of a team at this VM.
	demand struct {
		// size is the componentwise maximum of the lookup sizes that have needed
		// a larger allocation since this incarnation began.
		size resource.Vector
		// pendingIncreases counts the allocation increases that are not in the
		// log yet.
		pendingIncreases int
		// lastRefusedAt is when the team's limit last left no room for an
		// increase.
		lastRefusedAt time.Time
	}
)

const (
	// lookupsPerIncrease is the number of lookups that one increase makes room
	// for.
	lookupsPerIncrease = 2
	// maxPendingIncreases bounds the pending increases of a team.
	maxPendingIncreases = 16
	// refusalBackoff is the delay before the next increase after the team's
	// limit left no room for one.
	refusalBackoff = 200 * time.Millisecond
	// peakWindow is how long an allocation is kept at the peak usage.
	// contendedPeakWindow applies instead while durable work of the team is
	// waiting for the same limit.
	peakWindow          = 20 * time.Second
	contendedPeakWindow = 2 * time.Second
	// minLimitToReserves is the minimum ratio of a team's limit to the sum of
	// its reserves.
	minLimitToReserves = 4
)

// ensureAllocation requests a larger allocation on one of this VM's workers with
// free capacity, unless enough increases are pending. It returns false if no
// pending increase can help the lookup.
//
// An allocation is the part of a team's limit that its lookups may use on one
// worker.
func (c *control) ensureAllocation(l *lookup, now time.Time) bool {
	if !c.joined || c.stopping || c.e.appender.Down() {
		return false
	}
	d := c.demandFor(l.Team)
	d.size = d.size.Max(l.Size)
	// Each pending increase covers lookupsPerIncrease waiting lookups.
	covered := d.pendingIncreases*lookupsPerIncrease >= len(c.lookups[l.Team].list)
	if covered || d.pendingIncreases >= maxPendingIncreases {
		return true
	}
	if now.Sub(d.lastRefusedAt) < refusalBackoff {
		return false
	}
	return c.requestIncrease(l.Team, l.Size, l.avoidWorker, now)
}

func (c *control) demandFor(team string) *demand {
	d := c.demands[team]
	if d == nil {
		d = &demand{}
		c.demands[team] = d
	}
	return d
}

// requestIncrease requests capacity for lookupsPerIncrease lookups on the worker
// with the most free slots other than avoidWorker. It returns false if no worker
// has room.
func (c *control) requestIncrease(team string, size resource.Vector, avoidWorker string, now time.Time) bool {
	var best *upstream
	for _, u := range c.upstreams {
		if !c.usable(u, now) || u.id == avoidWorker || !size.Fits(c.available(u)) {
			continue
		}
		if best == nil || c.available(u).Slots > c.available(best).Slots {
			best = u
		}
	}
	if best == nil {
		return false
	}
	d := c.demandFor(team)
	delta := size.Scale(min(lookupsPerIncrease, size.Count(c.available(best), lookupsPerIncrease)))
	d.pendingIncreases++
	best.pending = best.pending.Add(delta)
	s := best.session
	r := c.newRecord()
	r.Allocation = &ledger.Allocation{Worker: best.id, Team: team, Delta: delta}
	c.submit(r, true, func(_ int64, result ledger.ApplyResult) {
		d.pendingIncreases--
		c.dirty = true
		if best.session == s {
			best.pending = best.pending.Sub(delta)
			c.updateAllocationSum(best)
		}
		if result.Code == code.OK && !size.Fits(result.Granted) {
			d.lastRefusedAt = time.Now()
		}
	})
	return true
}

// updateAllocationSum recomputes the sum of the allocations on a worker.
func (c *control) updateAllocationSum(u *upstream) {
	u.allocated = allocationSum(c.state.Workers[u.id])
}

// releaseUnusedAllocations decreases each allocation to the peak usage in the
// last window plus the reserve that the policy sets.
func (c *control) releaseUnusedAllocations(u *upstream, now time.Time) {
	window := peakWindow
	if c.limitContended(u) || c.evacuated(u) {
		window = contendedPeakWindow
	}
	if now.Sub(u.peakSince) < window || !c.joined || c.e.appender.Down() {
		return
	}
	u.peakSince = now
	w := c.state.Workers[u.id]
	for team, allocation := range w.Allocations {
		need := u.peak[team].Max(u.lookupUse[team])
		c.decreaseAllocation(u, team, allocation.Sub(need))
	}
	u.peak = map[string]resource.Vector{}
}

// limitContended reports whether a team with an allocation on the worker has
// durable work waiting, which may need the same limit.
func (c *control) limitContended(u *upstream) bool {
	for team := range c.state.Workers[u.id].Allocations {
		if c.state.WaitingCount(team) > 0 {
			return true
		}
	}
	return false
}

func (c *control) decreaseAllocation(u *upstream, team string, spare resource.Vector) {
	if !c.evacuated(u) {
		spare = spare.Sub(c.lookupReserve(team))
	}
	spare = spare.Max(resource.Vector{})
	if spare.IsZero() || !u.pendingDecreases[team].IsZero() {
		return
	}
	u.pendingDecreases[team] = spare
	s := u.session
	r := c.newRecord()
	r.Allocation = &ledger.Allocation{Worker: u.id, Team: team, Delta: spare.Scale(-1), Decrease: true}
	c.submit(r, true, func(int64, ledger.ApplyResult) {
		if u.session == s {
			delete(u.pendingDecreases, team)
			c.updateAllocationSum(u)
		}
	})
}

// lookupReserve returns the part of a team's limit that each worker keeps for
// its lookups, so that they can start without waiting for the log. A team keeps
// no reserve if the reserves on all workers would take more than a quarter of
// its limit.
func (c *control) lookupReserve(team string) resource.Vector {
	d := c.demands[team]
	if d == nil {
		return resource.Vector{}
	}
	tasks := c.state.Document.Policy(config.Lookup).ReserveTasks
	ownedCount := int64(0)
	for _, u := range c.upstreams {
		if u.phase == owned {
			ownedCount++
		}
	}
	if ownedCount == 0 {
		return resource.Vector{}
	}
	perWorker := d.size.Scale((tasks + ownedCount - 1) / ownedCount)
	total := perWorker.Scale(int64(len(c.state.Workers)))
	if !total.Scale(minLimitToReserves).Fits(c.state.Document.Teams[team].Limit) {
		return resource.Vector{}
	}
	return perWorker
}

// addLookup adds a running lookup to the usage of a worker.
func (u *upstream) addLookup(attempt, team string, size resource.Vector) {
	u.lookups[attempt] = runningLookup{team, size}
	u.lookupLoad = u.lookupLoad.Add(size)
	u.lookupUse[team] = u.lookupUse[team].Add(size)
	u.peak[team] = u.peak[team].Max(u.lookupUse[team])
}

// removeLookup removes a lookup from the usage of a worker.
func (u *upstream) removeLookup(attempt string) {
	r, running := u.lookups[attempt]
	if !running {
		return
	}
	delete(u.lookups, attempt)
	u.lookupLoad = u.lookupLoad.Sub(r.size)
	u.lookupUse[r.team] = u.lookupUse[r.team].Sub(r.size)
}

// handleReportedLookup handles a lookup that the worker reports. Lookups started
// by this VM are settled by their own goroutine. Those started by an earlier
// owner only occupy capacity.
func (c *control) handleReportedLookup(u *upstream, t platform.TaskStatus) {
	if t.State == platform.Running || c.runningAttempts[t.Attempt] != nil {
		return
	}
	u.removeLookup(t.Attempt)
	u.toForget = append(u.toForget, t.Attempt)
	c.dirty = true
}
