package scheduler

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

type (
	// adviceQueue sends queries to the advisor through the entry VMs, one at a time
	// through each VM, since the advisor serves the calls of a VM sequentially.
	adviceQueue struct {
		queries []*query
		// names are the entry VMs, as of namesUpdatedAt.
		names          []string
		namesUpdatedAt time.Time
		// through holds the route through each VM, by VM name.
		through map[string]*advisorRoute
	}

	// advisorRoute is the state of the path to the advisor through one entry VM.
	advisorRoute struct {
		busy bool
		slow bool
		// backoffUntil is set after a failure.
		backoffUntil time.Time
		backoff      time.Duration
	}

	// query is one question to the advisor, with the expected time of its answer.
	query struct {
		tj      *trackedJob
		step    int
		sortKey placement.SortKey
		workers []string
		boots   map[string]int64
		takes   time.Duration
		valid   time.Duration
		// cpuPerWorker is the processor time that the step is expected to use at each
		// of the workers.
		cpuPerWorker int64
		// askedAt is when the query was queued, sentAt when a VM became free for it.
		askedAt time.Time
		sentAt  time.Time
	}

	// stepAdvice is what the advisor has answered about a step.
	stepAdvice struct {
		asking bool
		// claimedCPU is the processor time that the tasks asked about will use.
		claimedCPU int64
		// tickets are for workers that may run the step. Refused workers may not run
		// it, not even after a restart.
		tickets map[string]ticket
		refused map[string]bool
	}

	// ticket permits the step on one incarnation of a worker until it expires.
	ticket struct {
		text  string
		boot  int64
		until time.Time
	}

	adviceDone struct {
		l       *leadership
		q       *query
		through string
		tickets []site.Ticket
		err     error
	}
)

const (
	// ticketMargin is subtracted from a ticket's lifetime to cover the delivery of the
	// start request.
	ticketMargin = 250 * time.Millisecond
	// adviceTimeoutSlack is how much longer than expected an answer may take.
	adviceTimeoutSlack = 900 * time.Millisecond
	// slowQueryTime is the expected time from which a query counts as slow. Slow
	// queries may not use all VMs, so that quick ones do not wait behind them.
	slowQueryTime = 300 * time.Millisecond
	// At most one in slowQueryDivisor VMs runs a slow query: after a change of leader
	// all waiting gangs query at once, each for a second or more.
	slowQueryDivisor = 2
	adviceBackoff    = time.Second
	// maxNamesAge is the maximum age of the cached list of VMs.
	maxNamesAge      = 200 * time.Millisecond
	maxAdviceBackoff = 20 * time.Second
	// maxQueryWorkers limits the workers in a query.
	maxQueryWorkers = 100
)

func (d *adviceQueue) init() {
	d.through = map[string]*advisorRoute{}
}

// healthy reports whether the VM is not in backoff after a failed query.
func (d *adviceQueue) healthy(name string, now time.Time) bool {
	c := d.through[name]
	return c == nil || !now.Before(c.backoffUntil)
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

// takes reports whether a step of that rank may query now. Overdue jobs, whose
// callers have given up, may query only while no other query of the same speed is
// waiting: after a burst there may be a thousand such jobs. Quick and slow queries are
// considered separately, since slow ones wait for their share of the VMs while other
// VMs are free.
func (d *adviceQueue) takes(r placement.Rank, a *site.Advice) bool {
	if r != placement.Overdue {
		return true
	}
	slow := a.Base+typicalQueryWorkers*a.PerUpstream >= slowQueryTime
	for _, q := range d.queries {
		if q.slow() == slow {
			return false
		}
	}
	return true
}

// slow reports whether the query counts as slow, so that it may not use all VMs.
func (q *query) slow() bool {
	return q.takes >= slowQueryTime
}

// ask queues a query about workers, some of which the step may need. It claims the
// processor time cpu on them, which other steps then leave free. Without that, steps
// that query at the same time would all be given the same capacity.
func (l *leadership) ask(ws *waitingStep, workers []*worker, cpu int64, a *site.Advice, now time.Time) {
	tj := ws.tj
	if len(workers) > maxQueryWorkers {
		workers = workers[:maxQueryWorkers]
	}
	q := &query{
		tj: tj, step: ws.step, sortKey: ws.sortKey, boots: map[string]int64{}, valid: a.TicketLifetime,
		cpuPerWorker: cpu / int64(len(workers)),
		takes:        a.Base + time.Duration(len(workers))*a.PerUpstream, askedAt: now,
	}
	for _, wk := range workers {
		q.workers = append(q.workers, wk.id)
		q.boots[wk.id] = wk.boot
		wk.claimedCPU += q.cpuPerWorker
	}
	tj.adviceOf(ws.step).asking = true
	d := &l.advice
	i := sort.Search(len(d.queries), func(i int) bool { return q.sortKey.Before(&d.queries[i].sortKey) })
	d.queries = slices.Insert(d.queries, i, q)
	l.sendQueries(now)
}

// memberNames returns the names of the entry VMs. The list is cached because it seldom
// changes.
func (l *leadership) memberNames(now time.Time) []string {
	d := &l.advice
	if len(d.names) > 0 && now.Sub(d.namesUpdatedAt) < maxNamesAge {
		return d.names
	}
	members := l.s.deps.View.Members()
	d.names = make([]string, 0, len(members))
	d.namesUpdatedAt = now
	for name := range members {
		d.names = append(d.names, name)
	}
	sort.Strings(d.names)
	return d.names
}

// sendQueries assigns waiting queries to free VMs.
func (l *leadership) sendQueries(now time.Time) {
	d := &l.advice
	var names []string
	slow := 0
	for _, name := range l.memberNames(now) {
		c := d.through[name]
		if c == nil {
			c = &advisorRoute{}
			d.through[name] = c
		}
		if c.busy && c.slow {
			slow++
		}
		if !c.busy && !now.Before(c.backoffUntil) {
			names = append(names, name)
		}
	}
	var waiting []*query
	for _, q := range d.queries {
		switch {
		case q.tj.state.Phase.Final():
			l.releaseQuery(q)
		case len(names) == 0 || q.slow() && slow >= max(1, len(d.names)/slowQueryDivisor):
			waiting = append(waiting, q)
		default:
			if q.slow() {
				slow++
			}
			l.sendQuery(q, names[0])
			names = names[1:]
		}
	}
	d.queries = waiting
}

// releaseQuery releases the processor time that a query has claimed.
func (l *leadership) releaseQuery(q *query) {
	q.tj.adviceOf(q.step).asking = false
	for _, id := range q.workers {
		if wk := l.workers[id]; wk != nil && wk.boot == q.boots[id] {
			wk.claimedCPU -= q.cpuPerWorker
		}
	}
}

func (l *leadership) sendQuery(q *query, through string) {
	c := l.advice.through[through]
	c.busy = true
	c.slow = q.slow()
	q.sentAt = time.Now()
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, q.takes+adviceTimeoutSlack)
		defer cancel()
		tickets, err := l.s.deps.Advisor.Advise(ctx, through, &AdviceQuery{Job: q.tj.id, Step: q.step, Workers: q.workers})
		return adviceDone{l, q, through, tickets, err}
	})
}

func (e adviceDone) handle(s *Scheduler) {
	l, q := e.l, e.q
	if !l.current() {
		return
	}
	now := time.Now()
	c := l.advice.through[e.through]
	c.busy = false
	l.placeNeeded = true
	defer l.sendQueries(now)
	if e.err != nil {
		c.backoff = min(max(2*c.backoff, adviceBackoff), maxAdviceBackoff)
		c.backoffUntil = now.Add(c.backoff)
		_ = level.Warn(s.deps.Logger).Log("msg", "query to the advisor failed", "job", q.tj.id, "step", q.step, "through", e.through, "err", e.err)
		l.advice.queries = append([]*query{q}, l.advice.queries...)
		return
	}
	c.backoff = 0
	l.releaseQuery(q)
	advice := q.tj.adviceOf(q.step)
	q.tj.reservation = nil
	for _, id := range q.workers {
		advice.refused[id] = true
	}
	for _, t := range e.tickets {
		delete(advice.refused, t.Upstream)
		advice.tickets[t.Upstream] = ticket{t.Ticket, q.boots[t.Upstream], now.Add(q.valid - ticketMargin)}
	}
	l.queueStatsOf(q.tj.sub.Queue).recordAdvice(len(q.workers), len(e.tickets))
	s.deps.Counts.Time("advice", now.Sub(q.askedAt))
	_ = level.Info(s.deps.Logger).Log("msg", "advised", "job", q.tj.id, "step", q.step, "through", e.through,
		"asked", len(q.workers), "good", len(e.tickets), "tookMs", now.Sub(q.askedAt).Milliseconds(), "callMs", now.Sub(q.sentAt).Milliseconds())
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

// maybeAsk queries the advisor about as many workers as should suffice for the
// remaining tasks, if they have the capacity.
func (l *leadership) maybeAsk(p *pass, ws *waitingStep, req placement.Request, candidates []*worker, workerStates []placement.WorkerState, a *site.Advice) waitReason {
	if len(candidates) == 0 {
		return noCapacity
	}
	q := placement.QueryParams{AllowedFraction: l.queueStatsOf(ws.tj.sub.Queue).allowedShare(), CapacityFactor: candidateFactor, MinWorkers: minCandidates}
	if req.Gang {
		for i := range workerStates {
			q.FittingTasks += placement.FitCount(req, &workerStates[i])
		}
	}
	ids, expected := placement.SelectForQuery(req, q, l.queryCandidates(p, ws, candidates))
	if req.Gang && expected < float64(req.Count) {
		// The gang is unlikely to fit, and its tickets would expire before there is
		// capacity.
		return noCapacity
	}
	l.ask(ws, l.workersOf(ids), int64(req.Count)*req.Size.MilliCPU, a, p.now)
	return asking
}

// queryCandidates returns the candidates for a query, with their free capacity less
// what pending queries have claimed.
func (l *leadership) queryCandidates(p *pass, ws *waitingStep, workers []*worker) []placement.Candidate {
	answers := ws.tj.adviceOf(ws.step)
	candidates := make([]placement.Candidate, 0, len(workers))
	for _, wk := range workers {
		free := p.free(wk, ws)
		free.MilliCPU -= wk.claimedCPU
		candidates = append(candidates, placement.Candidate{WorkerState: l.workerState(ws, wk, free), PreviouslyAllowed: answers.known(wk)})
	}
	return candidates
}

func (l *leadership) workersOf(ids []string) []*worker {
	list := make([]*worker, 0, len(ids))
	for _, id := range ids {
		list = append(list, l.workers[id])
	}
	return list
}

// known reports whether the step may run on the worker once the ticket has been
// renewed.
func (a *stepAdvice) known(wk *worker) bool {
	_, known := a.tickets[wk.id]
	return known
}
