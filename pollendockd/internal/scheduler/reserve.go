package scheduler

import (
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// reservation is where a gang was found to start soonest.
type reservation struct {
	step   int
	at     time.Time
	places []placement.Reservation
	in     time.Duration
}

const (
	// reservationAge is for how long a reservation is kept: to work them out
	// anew takes most of a pass in a full cell.
	reservationAge = 80 * time.Millisecond
	// A pass holds room back for leastHeldGangs, or for one gang for every
	// workersPerHeldGang workers.
	leastHeldGangs     = 6
	workersPerHeldGang = 24
	// gangSpare widens the first query of a gang beyond what should just
	// suffice.
	gangSpare = 3
	// A gang whose room among the workers that it knows is farther away than
	// askMoreAfter asks about more.
	askMoreAfter = time.Second
	// estimateSlack widens the estimates of work that may run in held room
	// until the gang takes it.
	estimateSlack = 1.3
	// leastRemaining is taken for runs that should have ended.
	leastRemaining = 200 * time.Millisecond
	// leastPercent is the progress from which a run's end is worked out.
	leastPercent = 8
	// askLead is how long before its start a gang asks for tickets, besides the
	// time that the answer takes.
	askLead = 250 * time.Millisecond
	// slowCosts is the part of its time by which a gang with a slow worker takes
	// longer.
	slowCosts = 0.25
)

// isHeavy reports whether a gang takes more than one worker can hold.
func (p *pass) isHeavy(service string, n placement.Request) bool {
	if !n.Gang {
		return false
	}
	for _, at := range p.usable[service] {
		if n.Size.Scale(int64(n.Count)).Fits(at.up.Capacity) {
			return false
		}
	}
	return true
}

// free returns the room at a worker for tasks of a step: what is held for a
// gang may be used by work that should end before.
func (p *pass) free(at *worker, ws *waitingStep) resource.Vector {
	free := at.free()
	h, isHeld := p.held[at]
	takes := ws.w.forecast.tasks[ws.step]
	if !isHeld || time.Duration(estimateSlack*float64(takes)) <= h.in && !ws.w.sub.Steps[ws.step].Endless {
		return free
	}
	return free.Sub(h.size)
}

// reserve holds room back for a gang that does not fit now, and asks for its
// tickets in time for its start.
func (l *leadership) reserve(p *pass, ws *waitingStep, need placement.Request, service string, a *site.Advice) obstacle {
	if p.gangs >= max(leastHeldGangs, len(p.usable[service])/workersPerHeldGang) {
		return unreserved
	}
	r := ws.w.reservation
	if r == nil || r.step != ws.step || p.now.Sub(r.at) >= reservationAge {
		r = l.findReservation(p, ws, need, service, a)
		ws.w.reservation = r
	}
	if len(r.places) == 0 {
		return unreserved
	}
	p.gangs++
	in := max(0, r.in-p.now.Sub(r.at))
	chosen := l.holdRoom(p, need, service, r.places, in)
	if a != nil && l.asksNow(ws, chosen, p.now, in, a) {
		l.ask(ws, chosen, 0, a, p.now)
	}
	return reserved
}

// asksNow reports whether a gang that should start in a time has to ask for tickets
// now. It used to ask again and again while it waited, with tickets that were good
// for its start, and kept the VMs from the queries of others.
func (l *leadership) asksNow(ws *waitingStep, chosen []*worker, now time.Time, in time.Duration, a *site.Advice) bool {
	said := ws.w.adviceOf(ws.step)
	lead := askLead + a.Base + time.Duration(len(chosen))*a.PerUpstream
	return !said.asking && in <= lead && !said.allAllowed(chosen, now.Add(in))
}

// findReservation works out where a gang can start soonest.
func (l *leadership) findReservation(p *pass, ws *waitingStep, need placement.Request, service string, a *site.Advice) *reservation {
	spec := &ws.w.sub.Steps[ws.step]
	var outlooks []placement.WorkerForecast
	var unknown []*worker
	var said *stepAdvice
	if a != nil {
		said = ws.w.adviceOf(ws.step)
	}
	for _, at := range p.usable[service] {
		if !at.up.HasLabel(spec.Label) || !need.Size.Fits(at.up.Capacity) || said != nil && said.refused[at.id] {
			continue
		}
		if said != nil && !said.known(at) {
			unknown = append(unknown, at)
			continue
		}
		outlooks = append(outlooks, l.outlook(p, at, ws))
	}
	places, in, ok := l.reserveBest(ws, need, outlooks)
	if len(unknown) > 0 && !said.asking && (!ok || in > askMoreAfter) {
		l.askForGang(p, ws, need, unknown, a)
	}
	if !ok {
		places = nil
	}
	return &reservation{step: ws.step, at: p.now, places: places, in: in}
}

// holdRoom holds back what a gang is expected to take.
func (l *leadership) holdRoom(p *pass, need placement.Request, service string, places []placement.Reservation, in time.Duration) []*worker {
	var chosen []*worker
	for _, r := range places {
		at := l.workers[r.Worker]
		if at == nil || !at.usable(p.now) {
			continue
		}
		chosen = append(chosen, at)
		h := p.held[at]
		size := need.Size.Scale(int64(r.Tasks))
		p.unspoken[service] -= min(size.MilliCPU, max(0, at.free().MilliCPU))
		p.held[at] = held{h.size.Add(size), max(h.in, in)}
	}
	return chosen
}

// reserveBest keeps a gang off slow workers, at which all of it would wait for
// the slowest member, unless that takes longer than it saves.
func (l *leadership) reserveBest(ws *waitingStep, need placement.Request, outlooks []placement.WorkerForecast) ([]placement.Reservation, time.Duration, bool) {
	places, in, ok := placement.Reserve(need, outlooks)
	var sound []placement.WorkerForecast
	for i := range outlooks {
		if !outlooks[i].Slow {
			sound = append(sound, outlooks[i])
		}
	}
	if !ok || len(sound) == len(outlooks) {
		return places, in, ok
	}
	soundPlaces, soundIn, soundOK := placement.Reserve(need, sound)
	saves := time.Duration(slowCosts * float64(ws.w.forecast.tasks[ws.step]))
	if soundOK && soundIn <= in+saves {
		return soundPlaces, soundIn, true
	}
	return places, in, ok
}

// askForGang asks about workers that the step does not know, the emptiest first
// and as many as should have the room. Each takes the advisor's time, and that
// of a large gang's answer would else be a second or more.
func (l *leadership) askForGang(p *pass, ws *waitingStep, need placement.Request, unknown []*worker, a *site.Advice) {
	q := placement.QueryParams{AllowedFraction: l.learnedOf(ws.w.sub.Queue).part(), CapacityFactor: gangSpare, MinWorkers: leastCandidates, EmptiestFirst: true}
	named, _ := placement.SelectForQuery(need, q, l.candidateRooms(p, ws, unknown))
	l.ask(ws, l.workersOf(named), int64(need.Count)*need.Size.MilliCPU, a, p.now)
}

// outlook returns what is free at a worker, and when the rest will be.
func (l *leadership) outlook(p *pass, at *worker, ws *waitingStep) placement.WorkerForecast {
	o := placement.WorkerForecast{WorkerState: placement.WorkerState{
		Worker: at.id, Rack: at.up.Rack, Free: at.free().Sub(p.held[at].size), Tasks: l.tasksThere(at, ws), Slow: l.slow(at),
	}}
	for _, r := range at.runs {
		step := &r.w.sub.Steps[r.task.Step]
		if step.Endless {
			continue
		}
		o.Releases = append(o.Releases, placement.Release{Worker: at.id, Delay: l.releaseOf(p, r), Size: step.Size})
	}
	return o
}

// releaseOf returns when the room of a run should become free. Members of a gang
// end together, with the slowest: those that are done with their part keep their
// room until then.
func (l *leadership) releaseOf(p *pass, r *run) time.Duration {
	if !r.w.sub.Steps[r.task.Step].Gang || len(r.w.state.Steps) == 0 {
		return r.remaining(p.now, r.expected())
	}
	key := gangKey{r.w, r.task.Step}
	if in, known := p.gangEnds[key]; known {
		return in
	}
	in := leastRemaining
	for i := range r.w.state.Steps[key.step] {
		name := site.TaskID{Job: r.w.id, Step: key.step, Index: i}
		if member := l.findRun(&r.w.state.Steps[key.step][i], name); member != nil {
			in = max(in, member.remaining(p.now, member.expected()))
		}
	}
	p.gangEnds[key] = in
	return in
}

// expected is the time that the run should take.
func (r *run) expected() time.Duration {
	if r.task.Step < len(r.w.forecast.tasks) {
		return r.w.forecast.tasks[r.task.Step]
	}
	// A stray run, of a job that is not in the records any more.
	return 0
}

// remaining works out when a run should end, from the progress that it has made
// while it was watched, if that is enough. A new leader finds runs that are halfway
// through, and would else take them for twice as fast as they are.
func (r *run) remaining(now time.Time, estimate time.Duration) time.Duration {
	if made := r.percent - r.foundAt; made >= leastPercent && r.percentAt.After(r.confirmedAt) {
		left := r.percentAt.Sub(r.confirmedAt) * time.Duration(allDone-r.percent) / time.Duration(made)
		return max(leastRemaining, left-now.Sub(r.percentAt))
	}
	since := r.confirmedAt
	if since.IsZero() {
		since = r.decidedAt
	}
	left := estimate * time.Duration(allDone-r.foundAt) / allDone
	return max(leastRemaining, left-now.Sub(since))
}
