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
	// adviceDesk has queries answered by way of the entry VMs, one at a time
	// through each, since the advisor serves a VM's calls in turn.
	adviceDesk struct {
		queries []*query
		// names are the entry VMs, as of namedAt.
		names   []string
		namedAt time.Time
		through map[string]*channel
	}

	// channel is an entry VM by way of which the advisor is asked.
	channel struct {
		busy bool
		slow bool
		// restUntil is set after a failure.
		restUntil time.Time
		rest      time.Duration
	}

	// query is one question, and how long its answer should take.
	query struct {
		w       *work
		step    int
		turn    placement.SortKey
		workers []string
		boots   map[string]int64
		takes   time.Duration
		valid   time.Duration
		// share is the processor time that the step is expected to take at each
		// of the workers.
		share int64
		// askedAt is when the step asked, sentAt when a VM was free for it.
		askedAt time.Time
		sentAt  time.Time
	}

	// stepAdvice is what the advisor has said of a step.
	stepAdvice struct {
		asking bool
		// spoken is the processor time that the tasks asked for will take.
		spoken int64
		// tickets are for workers that may run the step; refused workers may
		// not, in any life.
		tickets map[string]ticket
		refused map[string]bool
	}

	// ticket lets the step run in one life of a worker, until a time.
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
	// ticketMargin is taken off a ticket's life for the way of the order.
	ticketMargin = 250 * time.Millisecond
	// adviceSlack is how much longer than expected an answer may take.
	adviceSlack = 900 * time.Millisecond
	// slowQuery marks queries that may not take all VMs, so that quick ones
	// need not wait behind them.
	slowQuery = 300 * time.Millisecond
	// One in slowPart VMs at most has a slow query: after a change of leader all
	// waiting gangs ask at once, for a second and more each.
	slowPart   = 2
	adviceRest = time.Second
	// namesAge is how old the list of VMs to ask through may be.
	namesAge      = 200 * time.Millisecond
	maxAdviceRest = 20 * time.Second
	// maxNamed bounds the workers in a query.
	maxNamed = 100
)

func (d *adviceDesk) init() {
	d.through = map[string]*channel{}
}

// sound reports whether the VM answered its last query.
func (d *adviceDesk) sound(name string, now time.Time) bool {
	c := d.through[name]
	return c == nil || !now.Before(c.restUntil)
}

func (w *work) adviceOf(step int) *stepAdvice {
	if w.advice[step] == nil {
		w.advice[step] = &stepAdvice{tickets: map[string]ticket{}, refused: map[string]bool{}}
	}
	return w.advice[step]
}

func (w *work) dropTicket(step int, worker string) {
	delete(w.adviceOf(step).tickets, worker)
}

// takes reports whether a step of that rank may ask now. Work on which its
// caller has given up asks only while nobody else waits in the same line: after a
// burst there may be a thousand such jobs. Quick and slow queries wait in lines of
// their own, since slow ones wait for their part of the VMs while others are free.
func (d *adviceDesk) takes(r placement.Rank, a *site.Advice) bool {
	if r != placement.Overdue {
		return true
	}
	slow := a.Base+usualQuery*a.PerUpstream >= slowQuery
	for _, q := range d.queries {
		if q.slow() == slow {
			return false
		}
	}
	return true
}

// slow reports whether the query may not take all VMs.
func (q *query) slow() bool {
	return q.takes >= slowQuery
}

// ask queues a query about workers of which the step may need some. It is
// expected to take the processor time of take there, which other steps leave to
// it: steps that ask at the same time would else all be given the same rooms.
func (l *leadership) ask(ws *waitingStep, workers []*worker, take int64, a *site.Advice, now time.Time) {
	w := ws.w
	if len(workers) > maxNamed {
		workers = workers[:maxNamed]
	}
	q := &query{
		w: w, step: ws.step, turn: ws.turn, boots: map[string]int64{}, valid: a.TicketLifetime,
		share: take / int64(len(workers)),
		takes: a.Base + time.Duration(len(workers))*a.PerUpstream, askedAt: now,
	}
	for _, at := range workers {
		q.workers = append(q.workers, at.id)
		q.boots[at.id] = at.boot
		at.spoken += q.share
	}
	w.adviceOf(ws.step).asking = true
	d := &l.advice
	i := sort.Search(len(d.queries), func(i int) bool { return q.turn.Before(&d.queries[i].turn) })
	d.queries = slices.Insert(d.queries, i, q)
	l.sendQueries(now)
}

// memberNames returns the names of the entry VMs, which seldom change.
func (l *leadership) memberNames(now time.Time) []string {
	d := &l.advice
	if len(d.names) > 0 && now.Sub(d.namedAt) < namesAge {
		return d.names
	}
	members := l.s.deps.View.Members()
	d.names = make([]string, 0, len(members))
	d.namedAt = now
	for name := range members {
		d.names = append(d.names, name)
	}
	sort.Strings(d.names)
	return d.names
}

// sendQueries gives waiting queries to the VMs that are free.
func (l *leadership) sendQueries(now time.Time) {
	d := &l.advice
	var names []string
	slow := 0
	for _, name := range l.memberNames(now) {
		c := d.through[name]
		if c == nil {
			c = &channel{}
			d.through[name] = c
		}
		if c.busy && c.slow {
			slow++
		}
		if !c.busy && !now.Before(c.restUntil) {
			names = append(names, name)
		}
	}
	var waiting []*query
	for _, q := range d.queries {
		switch {
		case q.w.state.Phase.Final():
			l.closeQuery(q)
		case len(names) == 0 || q.slow() && slow >= max(1, len(d.names)/slowPart):
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

// closeQuery frees what a query held.
func (l *leadership) closeQuery(q *query) {
	q.w.adviceOf(q.step).asking = false
	for _, id := range q.workers {
		if at := l.workers[id]; at != nil && at.boot == q.boots[id] {
			at.spoken -= q.share
		}
	}
}

func (l *leadership) sendQuery(q *query, through string) {
	c := l.advice.through[through]
	c.busy = true
	c.slow = q.slow()
	q.sentAt = time.Now()
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, q.takes+adviceSlack)
		defer cancel()
		tickets, err := l.s.deps.Advisor.Advise(ctx, through, &AdviceQuery{Job: q.w.id, Step: q.step, Workers: q.workers})
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
	l.place = true
	defer l.sendQueries(now)
	if e.err != nil {
		c.rest = min(max(2*c.rest, adviceRest), maxAdviceRest)
		c.restUntil = now.Add(c.rest)
		_ = level.Warn(s.deps.Logger).Log("msg", "no advice", "job", q.w.id, "step", q.step, "through", e.through, "err", e.err)
		l.advice.queries = append([]*query{q}, l.advice.queries...)
		return
	}
	c.rest = 0
	l.closeQuery(q)
	advice := q.w.adviceOf(q.step)
	q.w.reservation = nil
	for _, id := range q.workers {
		advice.refused[id] = true
	}
	for _, t := range e.tickets {
		delete(advice.refused, t.Upstream)
		advice.tickets[t.Upstream] = ticket{t.Ticket, q.boots[t.Upstream], now.Add(q.valid - ticketMargin)}
	}
	l.learnedOf(q.w.sub.Queue).noteAdvice(len(q.workers), len(e.tickets))
	s.deps.Counts.Time("advice", now.Sub(q.askedAt))
	_ = level.Info(s.deps.Logger).Log("msg", "advised", "job", q.w.id, "step", q.step, "through", e.through,
		"asked", len(q.workers), "good", len(e.tickets), "tookMs", now.Sub(q.askedAt).Milliseconds(), "callMs", now.Sub(q.sentAt).Milliseconds())
}

// anyValid reports whether a ticket can still be used.
func (a *stepAdvice) anyValid(now time.Time) bool {
	for _, t := range a.tickets {
		if now.Before(t.until) {
			return true
		}
	}
	return false
}

func (a *stepAdvice) allows(at *worker, now time.Time) bool {
	t, known := a.tickets[at.id]
	return known && t.boot == at.boot && now.Before(t.until)
}

// allAllowed reports whether the step has tickets for all of the workers that can
// still be used at a time.
func (a *stepAdvice) allAllowed(workers []*worker, at time.Time) bool {
	for _, w := range workers {
		if !a.allows(w, at) {
			return false
		}
	}
	return true
}

// considerAsking asks about as many workers as should suffice for the tasks
// that are left, if they have the room.
func (l *leadership) considerAsking(p *pass, ws *waitingStep, need placement.Request, candidates []*worker, rooms []placement.WorkerState, a *site.Advice) obstacle {
	if len(candidates) == 0 {
		return noRoom
	}
	q := placement.QueryParams{AllowedFraction: l.learnedOf(ws.w.sub.Queue).part(), CapacityFactor: spareCandidates, MinWorkers: leastCandidates}
	if need.Gang {
		for i := range rooms {
			q.FittingTasks += placement.FitCount(need, &rooms[i])
		}
	}
	named, expected := placement.SelectForQuery(need, q, l.candidateRooms(p, ws, candidates))
	if need.Gang && expected < float64(need.Count) {
		// The gang would hardly fit, and its tickets would run out before there
		// is room.
		return noRoom
	}
	l.ask(ws, l.workersOf(named), int64(need.Count)*need.Size.MilliCPU, a, p.now)
	return asking
}

// candidateRooms returns what queries under way leave at workers.
func (l *leadership) candidateRooms(p *pass, ws *waitingStep, workers []*worker) []placement.Candidate {
	said := ws.w.adviceOf(ws.step)
	candidates := make([]placement.Candidate, 0, len(workers))
	for _, at := range workers {
		free := p.free(at, ws)
		free.MilliCPU -= at.spoken
		candidates = append(candidates, placement.Candidate{WorkerState: l.room(ws, at, free), PreviouslyAllowed: said.known(at)})
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

// known reports whether the step may run at the worker, once the ticket has
// been renewed.
func (a *stepAdvice) known(at *worker) bool {
	_, known := a.tickets[at.id]
	return known
}
