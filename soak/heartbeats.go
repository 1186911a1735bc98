package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/platform"
)

// registrations is what the store holds of the workers.
type registrations struct {
	c       *cell
	entries map[string]*site.Upstream
	// changesOnly is set if an entry is rewritten only if more than its clock has changed.
	changesOnly bool
	// heardAt is when the store last heard of a worker.
	heardAt map[string]time.Time
}

const (
	heartbeatTimeout = 200 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after which the store removes the entry
	// of a worker.
	missedHeartbeats = 3
	// shrinkNotice is how long starts may rely on a capacity that has shrunk. While the worker
	// cannot say so, the bound is the sum of the contact and heartbeat intervals.
	shrinkNotice = time.Second
	// outageInterval is the longest time between two outages of the list of workers.
	outageInterval = 6 * time.Second
	// slowRead delays the answers of a slow list, but not beyond the timeout of its readers.
	slowRead = 400 * time.Millisecond
)

// listOutages are the ways in which workers shrink unnoticed.
var listOutages = []fault{
	{"list of workers unresponsive", storeOutage(func(c *cell, on bool) { c.serverStore.SetSilent(on) })},
	{"list of workers unavailable", storeOutage(func(c *cell, on bool) { c.serverStore.SetUnavailable(on) })},
	{"list of workers slow", storeOutage(func(c *cell, on bool) {
		if on {
			c.serverStore.SetReadDelay(slowRead)
		} else {
			c.serverStore.SetReadDelay(0)
		}
	})},
	{"store unresponsive for one entry", func(c *cell, r *rand.Rand) {
		withStoreFault(c, r, loseAll)
	}},
}

// injectShrinks lets workers shrink during outages of the list. Its draws are apart from those
// of the other faults.
func (c *cell) injectShrinks(r *rand.Rand, end time.Time) {
	for {
		time.Sleep(time.Duration(r.Int64N(int64(outageInterval))))
		if time.Now().After(end) {
			return
		}
		outage := &listOutages[r.IntN(len(listOutages))]
		fmt.Printf("%s left, workers shrink beside: %s\n", time.Until(end).Round(time.Millisecond), outage.name)
		c.shrinkDuring(outage, r)
	}
}

// shrinkDuring lets half of the workers shrink as an outage begins, and grow again some time
// after its end.
func (c *cell) shrinkDuring(outage *fault, r *rand.Rand) {
	c.fleet.SetShrinkNotice(c.bounds.Contact + c.bounds.Heartbeat)
	for i := range len(c.workers) {
		if r.IntN(2) > 0 {
			continue
		}
		smaller := c.workerCapacity()
		smaller.MilliCPU = smaller.MilliCPU * int64(1+r.IntN(3)) / 4
		c.fleet.Worker(workerName(i)).SetCapacity(smaller)
	}
	outage.inject(c, r)
	time.Sleep(c.bounds.Contact + c.bounds.Heartbeat)
	c.fleet.SetShrinkNotice(shrinkNotice)
	sleepFaultDuration(r)
	for id := range c.workers {
		c.fleet.Worker(id).SetCapacity(c.workerCapacity())
	}
}

// runHeartbeats publishes the workers' state to the store at regular intervals.
// With even seeds entries are rewritten only after a change.
func (c *cell) runHeartbeats(seed uint64) {
	g := &registrations{c: c, entries: map[string]*site.Upstream{}, heardAt: map[string]time.Time{}, changesOnly: seed%2 == 0}
	ticker := time.NewTicker(c.bounds.Heartbeat)
	defer ticker.Stop()
	for c.ctx.Err() == nil {
		g.update()
		<-ticker.C
	}
}

// update writes the entries that are due, and removes those of workers that have left or
// have been cut off for missedHeartbeats.
// What the store does not accept in time is left to the next heartbeat.
func (g *registrations) update() {
	ctx, cancel := context.WithTimeout(g.c.ctx, heartbeatTimeout)
	defer cancel()
	list, err := g.c.fleet.Next(ctx)
	if err != nil {
		return
	}
	present := map[string]bool{}
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		if !g.c.isCutOff(u.ID) {
			g.heardAt[u.ID] = time.Now()
			g.publish(ctx, u)
		}
		present[u.ID] = time.Since(g.heardAt[u.ID]) < missedHeartbeats*g.c.bounds.Heartbeat
	}
	for id := range g.entries {
		if present[id] {
			continue
		}
		if _, err := g.c.serverStore.Append(ctx, []site.Entry{{Key: id}}); err == nil {
			delete(g.entries, id)
		}
	}
}

// publish writes the entry of a worker.
func (g *registrations) publish(ctx context.Context, u *site.Upstream) {
	u.Addr = netip.MustParseAddrPort(g.c.workers[u.ID])
	if old := g.entries[u.ID]; old != nil && g.changesOnly {
		same := *u
		same.Clock = old.Clock
		if reflect.DeepEqual(&same, old) {
			return
		}
	}
	value, err := platform.EncodeUpstream(u)
	if err != nil {
		panic(err)
	}
	if _, err := g.c.serverStore.Append(ctx, []site.Entry{{Key: u.ID, Value: value}}); err == nil {
		g.entries[u.ID] = u
	}
}
