package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/advice"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

type (
	// adviceQueue holds the steps that need advice, as of the last pass. A step that
	// waits for its turn claims no capacity, and its workers are chosen when a route
	// to the advisor is free for it.
	adviceQueue struct {
		dispatcher *advice.Dispatcher
		demands    []demand
		// pass is the last pass. free is the number of routes that were free when it
		// began.
		pass *pass
		free int
		// routeFree is set once an answer has come since the last queries were sent.
		routeFree bool
		// previousPassAt is the time of the pass before.
		previousPassAt time.Time
		// answered are the queries since the last pass. They keep their claims until the
		// next one has placed the tasks.
		answered []*query
		// routesUpdatedAt is when the list of VMs was read.
		routesUpdatedAt time.Time
	}

	// demand is a step that needs advice.
	demand struct {
		ws       *waitingStep
		req      placement.Request
		service  string
		settings *site.Advice
		kind     demandKind
		// slow is set if the queue's calls are slow ones, mayStart if the step is likely to start
		// once it has its answer.
		slow, mayStart bool
		// renew holds the workers whose tickets are to be renewed.
		renew []*worker
	}

	// demandKind is why a step needs advice.
	demandKind int

	// query is one question to the advisor, with the expected time of its answer.
	query struct {
		tj      *trackedJob
		step    int
		kind    demandKind
		workers []string
		boots   map[string]int64
		takes   time.Duration
		valid   time.Duration
		// cpuPerWorker is the processor time that the step is expected to use at each
		// of the workers.
		cpuPerWorker int64
		// wantedSince is when the step first needed the answer, sentAt when a VM became
		// free for it.
		wantedSince time.Time
		sentAt      time.Time
		// waitedSince is since when the step has waited in this term, passes why it waited in
		// those since its last query, for the log.
		waitedSince time.Time
		passes      string
		through     string
		incarnation string
	}

	// stepAdvice is what the advisor has answered about a step.
	stepAdvice struct {
		asking bool
		// wantedSince is when the step began to wait for its turn, wantedAt the last pass
		// that listed it.
		wantedSince time.Time
		wantedAt    time.Time
		// unplaceable is set if there was no worker to ask about when the step's turn
		// came last.
		unplaceable bool
		// query is the one in progress, if asking is set.
		query *query
		// tickets are for workers that may run the step. Refused workers may not run
		// it, not even after a restart.
		tickets map[string]ticket
		refused map[string]bool
		// wait is how passes left the step since its last query, if it is a gang.
		wait gangWait
		// fits is what was found about the room for it last, if it is a gang.
		fits fitFinding
	}

	// fitFinding is whether a gang was expected to fit at a time.
	fitFinding struct {
		likely bool
		at     time.Time
	}

	// ticket permits the step on one incarnation of a worker until it expires.
	ticket struct {
		text  string
		boot  int64
		until time.Time
	}

	// adviceReport counts the pending queries and those in progress, for the report on the cell.
	adviceReport struct {
		waiting, waitingSlow   int
		underWay, underWaySlow int
		resting                int
		// longestWait is how long a step has waited for its turn.
		longestWait time.Duration
	}

	adviceDone struct {
		l       *leadership
		q       *query
		tickets []site.Ticket
		err     error
	}
)

const (
	// toPlace demands are for tasks that can start as soon as they have tickets.
	toPlace demandKind = iota
	// toReserve demands are for workers on which to reserve capacity for a gang.
	toReserve
	// toRenew demands are for tickets of workers with reserved capacity.
	toRenew
	// toRestart demands are for tasks that start again unless their workers answer.
	toRestart
)

const (
	// ticketMargin is subtracted from a ticket's lifetime to cover the delivery of the
	// start request.
	ticketMargin = 250 * time.Millisecond
	// adviceTimeoutSlack is how much longer than expected an answer may take.
	adviceTimeoutSlack = 900 * time.Millisecond
	// slowQueryShare is the share of the shortest objective, of all queues that need
	// advice, from which the typical query of a queue counts as slow: a step that waits
	// for such a query to end has lost that much of its objective.
	slowQueryShare = 0.25
	// maxRoutesAge is the maximum age of the list of VMs.
	maxRoutesAge = 200 * time.Millisecond
	// maxQueryWorkers limits the workers in a query.
	maxQueryWorkers = 100
)

func (d *adviceQueue) init() {
	d.dispatcher = advice.NewDispatcher()
}

// String returns the name used in log lines.
func (k demandKind) String() string {
	switch k {
	case toReserve:
		return "reserve"
	case toRenew:
		return "renew"
	case toRestart:
		return "restart"
	}
	return "place"
}

// healthy reports whether the VM is not in backoff after a failed query.
func (d *adviceQueue) healthy(name string, now time.Time) bool {
	return d.dispatcher.Routes().Healthy(name, now)
}

func (tj *trackedJob) adviceOf(step int) *stepAdvice {
	if tj.advice[step] == nil {
		tj.advice[step] = &stepAdvice{tickets: map[string]ticket{}, refused: map[string]bool{}}
	}
	return tj.advice[step]
}

func (tj *trackedJob) dropTicket(step int, worker string) {
	delete(tj.adviceOf(step).tickets, worker)
}

// beginPass prepares for the demands of a pass.
func (l *leadership) beginPass(p *pass) {
	d := &l.advice
	l.updateRoutes(p.now)
	for _, q := range d.answered {
		l.releaseQuery(q)
	}
	d.answered = nil
	if d.pass != nil {
		d.previousPassAt = d.pass.now
	}
	d.pass = p
	d.free = d.dispatcher.FreeRoutes(p.now)
}

// updateRoutes reads the list of VMs, which seldom changes.
func (l *leadership) updateRoutes(now time.Time) {
	d := &l.advice
	if now.Sub(d.routesUpdatedAt) < maxRoutesAge {
		return
	}
	members := l.s.deps.View.Members()
	vms := make([]advice.VM, 0, len(members))
	for name := range members {
		vms = append(vms, advice.VM{Name: name, Incarnation: members[name].Incarnation})
	}
	d.dispatcher.Routes().Set(vms)
	d.routesUpdatedAt = now
}

// want queues a demand. It reports whether the query is about to be sent, so that steps
// further back in the order leave it the capacity.
func (l *leadership) want(p *pass, m demand) bool {
	d := &l.advice
	answers := m.ws.tj.adviceOf(m.ws.step)
	if answers.wantedSince.IsZero() || !answers.wantedAt.Equal(d.previousPassAt) {
		answers.wantedSince = p.now
	}
	answers.wantedAt = p.now
	m.mayStart = !m.req.Gang || l.likelyFits(p, m.ws, m.req, m.service)
	d.demands = append(d.demands, m)
	return len(d.demands) <= d.free
}

// typicalQueryTime is the expected time of a query as a job's objective allows for.
func typicalQueryTime(a *site.Advice) time.Duration {
	return a.Base + typicalQueryWorkers*a.PerUpstream
}

// isSlow reports whether the typical query of a queue is slow for the other queues.
func isSlow(c *site.Catalog, a *site.Advice) bool {
	shortest := c.ShortestObjective()
	return shortest > 0 && float64(typicalQueryTime(a)) >= slowQueryShare*float64(shortest)
}

// dispatch sends queries for as many demands as there are routes for.
func (l *leadership) dispatch(now time.Time) {
	d := &l.advice
	d.routeFree = false
	if d.pass == nil || len(d.demands) == 0 {
		return
	}
	l.updateRoutes(now)
	list := make([]advice.Demand, len(d.demands))
	for i := range d.demands {
		m := &d.demands[i]
		m.slow = isSlow(d.pass.catalog, m.settings)
		list[i] = advice.Demand{
			Queue: m.ws.tj.sub.Queue, SortKey: m.ws.sortKey, Slow: m.slow, Reserved: m.kind == toRenew || m.ws.isolated, MayStart: m.mayStart,
			Idle: m.mayStart && m.req.Gang && m.ws.keptIdle(now),
		}
		if m.ws.isolated {
			// Workers stay empty until the answer arrives, however late the job is.
			list[i].SortKey.Rank = placement.InTime
		}
	}
	for began := time.Now(); l.since(began) < maxPassTime; {
		i, through, ok := d.dispatcher.Next(now, list)
		if !ok {
			return
		}
		if q := l.newQuery(&d.demands[i], now); q != nil {
			d.dispatcher.Sent(&list[i], through, q.takes)
			l.sendQuery(q, through)
		}
		list = slices.Delete(list, i, i+1)
		d.demands = slices.Delete(d.demands, i, i+1)
	}
}

// newQuery chooses the workers for a demand, or returns nil if there are none that the
// step could use. It claims the processor time that the step needs on them, which other
// steps then leave free. Without that, steps that query at the same time would all be
// given the same capacity.
func (l *leadership) newQuery(m *demand, now time.Time) *query {
	tj, step := m.ws.tj, m.ws.step
	answers := tj.adviceOf(step)
	if tj.state.Phase.Final() || answers.asking {
		return nil
	}
	workers, cpu := l.workersToName(m)
	answers.unplaceable = len(workers) == 0
	if answers.unplaceable {
		l.noteNoCapacity(m.ws)
		return nil
	}
	if len(workers) > maxQueryWorkers {
		workers = workers[:maxQueryWorkers]
	}
	q := &query{
		tj: tj, step: step, kind: m.kind, boots: map[string]int64{}, valid: m.settings.TicketLifetime,
		cpuPerWorker: cpu / int64(len(workers)),
		takes:        m.settings.Base + time.Duration(len(workers))*m.settings.PerUpstream,
		wantedSince:  answers.wantedSince, sentAt: now,
	}
	for _, wk := range workers {
		q.workers = append(q.workers, wk.id)
		q.boots[wk.id] = wk.boot
		*q.claim(wk) += q.cpuPerWorker
	}
	answers.asking = true
	answers.query = q
	q.waitedSince = m.ws.waitsSince(now)
	q.passes = answers.wait.sinceLastQuery()
	answers.wait = gangWait{ahead: len(l.advice.demands) - 1}
	return q
}

// noteNoCapacity corrects the reason why a step waits, once its turn to query has come. Gangs
// keep theirs: they wait for a reservation.
func (l *leadership) noteNoCapacity(ws *waitingStep) {
	if ws.sortKey.Rank != placement.InTime || ws.why != asking {
		return
	}
	ws.why = noCapacity
	ws.tj.lastReason = noCapacity
	l.waitReasons[asking]--
	l.waitReasons[noCapacity]++
	l.noteCrowding(l.advice.pass, ws)
}

// claim returns the worker's total of claims that includes those of this query.
func (q *query) claim(wk *worker) *int64 {
	if q.kind == toReserve {
		return &wk.gangClaimedCPU
	}
	return &wk.claimedCPU
}

// releaseQuery releases the processor time that a query has claimed.
func (l *leadership) releaseQuery(q *query) {
	q.tj.adviceOf(q.step).asking = false
	for _, id := range q.workers {
		if wk := l.workers[id]; wk != nil && wk.boot == q.boots[id] {
			*q.claim(wk) -= q.cpuPerWorker
		}
	}
}

func (l *leadership) sendQuery(q *query, through string) {
	q.through = through
	q.incarnation = l.advice.dispatcher.Routes().Incarnation(through)
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, q.takes+adviceTimeoutSlack)
		defer cancel()
		tickets, err := l.s.deps.Advisor.Advise(ctx, through, &AdviceQuery{Job: q.tj.id, Step: q.step, Workers: q.workers})
		return adviceDone{l, q, tickets, err}
	})
}

func (e adviceDone) handle(s *Scheduler) {
	l, q := e.l, e.q
	if !l.current() {
		return
	}
	now := time.Now()
	l.placeNeeded = true
	l.advice.routeFree = true
	l.advice.answered = append(l.advice.answered, q)
	if e.err != nil {
		l.advice.dispatcher.Routes().Failed(q.through, q.incarnation, now)
		q.tj.adviceOf(q.step).wantedAt = l.advice.pass.now
		s.deps.Counts.Count("advice_failures", 1)
		_ = level.Warn(s.deps.Logger).Log("msg", "query to the advisor failed", "job", q.tj.id, "step", q.step, "through", q.through, "err", e.err)
		return
	}
	l.advice.dispatcher.Answered(now, q.through, now.Sub(q.sentAt))
	answers := q.tj.adviceOf(q.step)
	q.tj.reservation = nil
	asked, allowed := answers.countFirst(q.workers, e.tickets)
	l.queueStatsOf(q.tj.sub.Queue).recordAdvice(len(q.workers), asked, allowed)
	for _, id := range q.workers {
		answers.refused[id] = true
	}
	for _, t := range e.tickets {
		delete(answers.refused, t.Upstream)
		answers.tickets[t.Upstream] = ticket{t.Ticket, q.boots[t.Upstream], now.Add(q.valid - ticketMargin)}
	}
	answers.wait.answered = true
	answers.fits = fitFinding{}
	s.deps.Counts.Time("advice", now.Sub(q.wantedSince))
	s.deps.Counts.Time("advice_call", now.Sub(q.sentAt))
	fields := []any{
		"msg", "advised", "job", q.tj.id, "step", q.step, "queue", q.tj.sub.Queue, "through", q.through, "kind", q.kind,
		"asked", len(q.workers), "good", len(e.tickets), "tookMs", now.Sub(q.wantedSince).Milliseconds(), "callMs", now.Sub(q.sentAt).Milliseconds(),
	}
	if q.tj.sub.Steps[q.step].Gang {
		fields = append(fields, "waitedMs", millisSince(now, q.waitedSince), "termAgeMs", millisSince(now, l.startedAt), "alsoWanted", answers.wait.ahead, "passes", q.passes)
	}
	_ = level.Info(s.deps.Logger).Log(fields...)
}

// report counts the queries.
func (d *adviceQueue) report(now time.Time) adviceReport {
	var r adviceReport
	r.underWay, r.underWaySlow = d.dispatcher.Routes().Busy()
	r.resting = d.dispatcher.Routes().Resting(now)
	r.waiting = len(d.demands)
	for i := range d.demands {
		m := &d.demands[i]
		if m.slow {
			r.waitingSlow++
		}
		r.longestWait = max(r.longestWait, now.Sub(m.ws.tj.adviceOf(m.ws.step).wantedSince))
	}
	return r
}

// anyValidTicket reports whether a ticket has not expired.
func (a *stepAdvice) anyValidTicket(now time.Time) bool {
	for _, t := range a.tickets {
		if now.Before(t.until) {
			return true
		}
	}
	return false
}

func (a *stepAdvice) hasValidTicket(wk *worker, now time.Time) bool {
	t, known := a.tickets[wk.id]
	return known && t.boot == wk.boot && now.Before(t.until)
}

// allHaveTickets reports whether the step has a ticket for each of the workers that is
// still valid at a given time.
func (a *stepAdvice) allHaveTickets(workers []*worker, at time.Time) bool {
	for _, wk := range workers {
		if !a.hasValidTicket(wk, at) {
			return false
		}
	}
	return true
}

// countFirst returns how many of the workers in a query have never been asked about before, and how
// many of these are allowed.
func (a *stepAdvice) countFirst(workers []string, tickets []site.Ticket) (asked, allowed int) {
	first := map[string]bool{}
	for _, id := range workers {
		if !a.hasAnswer(id) {
			first[id] = true
		}
	}
	for _, t := range tickets {
		if first[t.Upstream] {
			allowed++
		}
	}
	return len(first), allowed
}

// hasAnswer reports whether the advisor has allowed or refused the worker before.
func (a *stepAdvice) hasAnswer(worker string) bool {
	_, allowed := a.tickets[worker]
	return allowed || a.refused[worker]
}

// known reports whether the step may run on the worker once the ticket has been
// renewed.
func (a *stepAdvice) known(wk *worker) bool {
	_, known := a.tickets[wk.id]
	return known
}
