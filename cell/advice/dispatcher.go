// Package advice decides which query goes to the advisor next, and through which VM. It
// does no I/O and reads no clock.
//
// The advisor serves the calls of a VM one at a time, so its time is scarce when many
// steps need advice at once, in particular when some queues have calls that take a
// hundred times as long as those of others.
package advice

import (
	"time"

	"pollendock.example/cell/placement"
)

type (
	// Demand is a step that needs advice. The workers to ask about are chosen only when
	// its turn comes.
	Demand struct {
		Queue   string
		SortKey placement.SortKey
		// Slow is set if the queue's calls take so long that those of other queues
		// cannot wait behind them.
		Slow bool
		// Reserved is set if capacity is reserved until the step has its tickets.
		Reserved bool
		// MayStart is set if the step is likely to start once it has its answer. Others only learn
		// where they may run.
		MayStart bool
	}

	// Dispatcher assigns demands to the routes to the advisor.
	Dispatcher struct {
		routes Routes
		shares shares
		// quick is the load by quick queries of work that can complete in time. No route
		// is kept for other quick queries: they would keep slow ones of such work waiting.
		quick arrivals
	}
)

// Slow queries may use at least one in minSlowDivisor routes, however many quick ones
// arrive.
const minSlowDivisor = 4

// NewDispatcher returns a dispatcher without routes.
func NewDispatcher() *Dispatcher {
	return &Dispatcher{routes: Routes{byName: map[string]*route{}}, shares: shares{used: map[string]time.Duration{}}}
}

// Routes returns the state of the routes.
func (d *Dispatcher) Routes() *Routes {
	return &d.routes
}

// Next returns the index of the demand to serve next and the route for it; false if none
// can be served now. Work that can complete in time precedes work that cannot. Quick
// queries precede slow ones, and enough routes stay without slow queries that quick
// ones do not wait behind them. Among queues of the same speed the one that has used
// the least of the advisor's time is next. Within a queue, steps that may start precede
// those that only learn where they may run.
func (d *Dispatcher) Next(now time.Time, demands []Demand) (int, string, bool) {
	through, free := d.routes.free(now)
	if !free {
		return 0, "", false
	}
	_, slow := d.routes.Busy()
	slowAllowed := slow < d.slowLimit(now)
	slowFirst := slow < d.routes.usable(now)/minSlowDivisor
	next := -1
	for i := range demands {
		if demands[i].Slow && !slowAllowed {
			continue
		}
		if next < 0 || d.before(&demands[i], &demands[next], slowFirst) {
			next = i
		}
	}
	return next, through, next >= 0
}

// before reports whether a is served before b.
func (d *Dispatcher) before(a, b *Demand, slowFirst bool) bool {
	if a.SortKey.Rank != b.SortKey.Rank {
		return a.SortKey.Rank < b.SortKey.Rank
	}
	if a.Slow != b.Slow {
		return a.Slow == slowFirst
	}
	if a.Queue != b.Queue {
		if startA, startB := d.shares.start(a.Queue), d.shares.start(b.Queue); startA != startB {
			return startA < startB
		}
	}
	if a.Queue == b.Queue && a.Reserved != b.Reserved {
		return a.Reserved
	}
	if a.Queue == b.Queue && a.MayStart != b.MayStart {
		return a.MayStart
	}
	return a.SortKey.Before(&b.SortKey)
}

// Sent notes that the query for a demand has been sent and is expected to take that
// long.
func (d *Dispatcher) Sent(m *Demand, through string, takes time.Duration) {
	d.routes.sent(through, m)
	d.shares.charge(m.Queue, takes)
}

// Answered notes the answer to a query that has kept its route busy for that long.
func (d *Dispatcher) Answered(now time.Time, through string, took time.Duration) {
	p := d.routes.byName[through]
	p.busy = false
	p.backoff = 0
	if !p.slow && p.inTime {
		d.quick.count(now, took)
	}
}

// FreeRoutes returns how many queries could be sent now.
func (d *Dispatcher) FreeRoutes(now time.Time) int {
	return d.routes.countFree(now)
}

// Capacity returns how many queries can be in progress at a time, and how many of these
// may be slow.
func (d *Dispatcher) Capacity(now time.Time) (total, slow int) {
	return d.routes.usable(now), d.slowLimit(now)
}

// slowLimit is how many routes may be busy with slow queries.
func (d *Dispatcher) slowLimit(now time.Time) int {
	usable := d.routes.usable(now)
	return max(1, usable/minSlowDivisor, usable-d.quick.routesNeeded(now))
}
