package intake

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

type (
	// Counter counts what an operator reads.
	Counter interface {
		Count(name string, n int64)
		Gauge(name string, n int64)
	}

	// Ledger holds the accounts of all connections, and decides which of them to shed.
	Ledger struct {
		limits Limits
		logger log.Logger
		counts Counter

		mu       sync.Mutex
		accounts map[*account]struct{}
		// held is the sum of the charges, and leaving that of connections that have been shed and
		// whose goroutines have not ended.
		held, leaving int64
		// lastLog is when a shed connection was last logged, and unlogged the number since then.
		lastLog  time.Time
		unlogged int
	}

	// group is the connections of a listener.
	group struct {
		name  string
		limit int
		open  int
		// rpc is set if the connections carry calls of peers.
		rpc bool
	}

	// account is what a connection holds.
	account struct {
		group *group
		// base is charged for the connection itself, charge with what it has sent.
		base, charge int64
		// since is when the connection, its request or its idle time began.
		since time.Time
		// handling is set from the end of a request to its answer.
		handling bool
		// proven is set once a call of a peer has been answered.
		proven bool
		// closed is set once the account has been removed, and leaving if its connection has been
		// shed and its goroutine has not ended.
		closed, leaving bool
		close           func()
	}

	// cause is why a connection is shed.
	cause string
)

const (
	tooManyConnections cause = "connections"
	tooMuchMemory      cause = "memory"

	// logInterval is the least time between two lines on shed connections.
	logInterval = time.Second

	// A goroutine whose connection is closed ends after the line that it works on.
	leaverPause     = time.Millisecond
	maxLeaverPauses = 100
)

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits, logger log.Logger, counts Counter) *Ledger {
	return &Ledger{limits: limits, logger: logger, counts: counts, accounts: map[*account]struct{}{}}
}

// open adds a connection. If its listener is full, the connection of the listener that has held
// most for longest is shed. It reports false if that one is the new connection.
func (l *Ledger) open(a *account) bool {
	l.mu.Lock()
	l.accounts[a] = struct{}{}
	l.held += a.charge
	a.group.open++
	a.since = time.Now()
	shed := l.balance(a)
	l.counts.Gauge("client_bytes", l.held)
	alive := !a.closed
	l.mu.Unlock()
	closeAll(shed)
	return alive
}

// add charges n bytes to a connection. It reports false if the connection has been shed.
func (l *Ledger) add(a *account, n int64) bool {
	l.mu.Lock()
	if a.closed {
		l.mu.Unlock()
		return false
	}
	a.charge += n
	l.held += n
	shed := l.balance(a)
	alive := !a.closed
	l.mu.Unlock()
	closeAll(shed)
	return alive
}

// begin starts the wait for what the client sends next, with nothing held of what it sent before.
func (l *Ledger) begin(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.closed {
		return
	}
	l.held -= a.charge - a.base
	a.charge, a.handling, a.since = a.base, false, time.Now()
}

// endCall does the same after the answer to a call of a peer.
func (l *Ledger) endCall(a *account) {
	l.begin(a)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.proven = true
}

// setHandling marks the time in which a connection is not shed. It reports false if it has been.
func (l *Ledger) setHandling(a *account, handling bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.handling, a.since = handling, time.Now()
	return !a.closed
}

// remove removes a connection that has been closed.
func (l *Ledger) remove(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(a)
	if a.leaving {
		a.leaving = false
		l.leaving -= a.charge
	}
}

// awaitLeavers waits while the connections that have been shed still hold much: a crowd that comes
// again at once would else hold all that it has ever sent.
func (l *Ledger) awaitLeavers() {
	for range maxLeaverPauses {
		l.mu.Lock()
		leaving := l.leaving
		l.mu.Unlock()
		if leaving <= l.limits.ClientBytes/2 {
			return
		}
		time.Sleep(leaverPause)
	}
}

// balance removes connections until the limits hold, and returns them. Since ordinary callers
// hold little for a short time, they go last; a connection whose request is being handled stays.
func (l *Ledger) balance(latest *account) []*account {
	var shed []*account
	now := time.Now()
	for latest.group.open > latest.group.limit {
		shed = append(shed, l.shed(latest, now, tooManyConnections))
	}
	for l.held > l.limits.ClientBytes && !latest.closed {
		shed = append(shed, l.shed(latest, now, tooMuchMemory))
	}
	return shed
}

// shed removes the connection that is to go for a cause; the latest if there is none.
func (l *Ledger) shed(latest *account, now time.Time, why cause) *account {
	victim := l.heaviest(latest.group, now, why)
	if victim == nil {
		victim = latest
	}
	l.report(victim, now, why)
	l.drop(victim)
	victim.leaving = true
	l.leaving += victim.charge
	return victim
}

// heaviest returns the connection with the largest product of what it holds and for how long, nil
// if none holds anything but those whose requests are being handled. Known peers go last.
func (l *Ledger) heaviest(of *group, now time.Time, why cause) *account {
	var heaviest *account
	most := -1.
	for a := range l.accounts {
		n := a.yields(of, why)
		if a.handling || n == 0 {
			continue
		}
		weight := float64(n) * now.Sub(a.since).Seconds()
		if heaviest == nil || (heaviest.proven && !a.proven) || (heaviest.proven == a.proven && weight > most) {
			heaviest, most = a, weight
		}
	}
	return heaviest
}

// yields returns the bytes by which a connection is weighed when a listener needs room. Of other
// listeners' connections only what they hold beside themselves counts, so that a quiet peer or a
// check of readiness is not closed for a crowd of callers; unless it is an unknown peer.
func (a *account) yields(to *group, why cause) int64 {
	switch {
	case a.group == to:
		return a.charge
	case why == tooManyConnections:
		return 0
	case a.group.rpc && !a.proven:
		return a.charge
	}
	return a.charge - a.base
}

func (l *Ledger) drop(a *account) {
	if a.closed {
		return
	}
	a.closed = true
	a.group.open--
	l.held -= a.charge
	delete(l.accounts, a)
}

// report counts a shed connection, and logs one from time to time.
func (l *Ledger) report(a *account, now time.Time, why cause) {
	l.counts.Count("connections_shed_"+string(why), 1)
	l.unlogged++
	if now.Sub(l.lastLog) < logInterval {
		return
	}
	_ = level.Warn(l.logger).Log("msg", "connection shed", "listener", a.group.name, "cause", string(why), "bytes", a.charge,
		"ageMs", now.Sub(a.since).Milliseconds(), "handling", a.handling, "open", a.group.open, "limit", a.group.limit,
		"heldBytes", l.held, "limitBytes", l.limits.ClientBytes, "shedSince", l.unlogged)
	l.lastLog, l.unlogged = now, 0
}

func closeAll(accounts []*account) {
	for _, a := range accounts {
		a.close()
	}
}
