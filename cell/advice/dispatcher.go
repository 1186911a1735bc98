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
		// Idle is set if that step's job has had no run for long. It counts as work that can
		// complete in time.
		Idle bool
	}

	// slowUse is the use of the routes by slow queries: how many routes they keep busy, of how many
	// that are usable, and how many they may while no quick query waits.
	slowUse struct {
		busy, usable, limit int
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
// arrive, and one in idleSlowDivisor while those of idle jobs wait.
const (
	minSlowDivisor  = 4
	idleSlowDivisor = 2
)

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
	u := d.slowUse(now)
	next := -1
	for i := range demands {
		if demands[i].Slow && !u.allows(&demands[i]) {
			continue
		}
		if next < 0 || d.before(&demands[i], &demands[next], u) {
			next = i
		}
	}
	return next, through, next >= 0
}

// before reports whether a is served before b.
func (d *Dispatcher) before(a, b *Demand, u slowUse) bool {
	keyA, keyB := a.key(), b.key()
	if keyA.Rank != keyB.Rank {
		return keyA.Rank < keyB.Rank
	}
	if a.Slow && !b.Slow {
		return u.underShare(a)
	}
	if b.Slow && !a.Slow {
		return !u.underShare(b)
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
	return keyA.Before(&keyB)
}

// slowUse returns the use of the routes by slow queries.
func (d *Dispatcher) slowUse(now time.Time) slowUse {
	_, busy := d.routes.Busy()
	return slowUse{busy: busy, usable: d.routes.usable(now), limit: d.slowLimit(now)}
}

// allows reports whether a slow query may be sent.
func (u slowUse) allows(m *Demand) bool {
	return u.busy < u.limit || u.underShare(m)
}

// underShare reports whether slow queries use less than the routes that are for those like this
// one, however many quick ones wait.
func (u slowUse) underShare(m *Demand) bool {
	if m.Idle {
		return u.busy < u.usable/idleSlowDivisor
	}
	return u.busy < u.usable/minSlowDivisor
}

// key returns the key by which the demand is served.
func (m *Demand) key() placement.SortKey {
	key := m.SortKey
	if m.Idle {
		key.Rank = placement.InTime
	}
	return key
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
