package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// pass is what one round over the waiting steps has found out.
	pass struct {
		now     time.Time
		catalog *site.Catalog
		// settled is set once the leader has heard of most workers.
		settled bool
		// usable holds the workers that take new runs, by service.
		usable map[string][]*worker
		// full holds sizes for which no worker of a service has room.
		full map[string][]resource.Vector
		// unspoken is the processor time that is free and that no step earlier
		// in turn is about to ask for, by service.
		unspoken map[string]int64
		// held is room that is held back for gangs earlier in turn.
		held  map[*worker]held
		gangs int
		// gangEnds is when running gangs should end, from now.
		gangEnds map[gangKey]time.Duration
		// saved is what gangs wait for within their team's limit, by team.
		saved map[string][]saving
	}

	// gangKey names the gang of a step.
	gangKey struct {
		w    *work
		step int
	}

	// obstacle is what a step waits for.
	obstacle int

	// held is room at a worker that a gang is expected to take.
	held struct {
		size resource.Vector
		in   time.Duration
	}
)

const (
	// noObstacle steps have been started whole.
	noObstacle obstacle = iota
	// asking steps wait for the advisor.
	asking
	// noRoom steps find no worker with room.
	noRoom
	// teamLimit steps wait for other work of their team to end.
	teamLimit
	// behindOthers steps leave what is free to those before them.
	behindOthers
	// reserved gangs have room held back, unreserved ones wait for that.
	reserved
	unreserved
)

// String returns the name in log lines.
func (o obstacle) String() string {
	switch o {
	case asking:
		return "advice"
	case noRoom:
		return "room"
	case teamLimit:
		return "team limit"
	case behindOthers:
		return "room that others ask about"
	case reserved:
		return "held room"
	case unreserved:
		return "room to hold"
	}
	return "nothing"
}

const (
	// placeGap is the least time between two passes, and passShare the most of
	// the time that passes may take: a deep queue must not keep the leader from
	// its leases and appends.
	placeGap  = 4 * time.Millisecond
	passShare = 4
	// overduePerPass bounds the steps of jobs that nobody waits for any more
	// that a pass looks at. There may be a thousand after a burst.
	overduePerPass = 16
	// A new leader places no gangs until settledPart of the workers have answered
	// it, for settleLimit at most.
	settledPart = 0.8
	settleLimit = 300 * time.Millisecond
	// bookLimit is how old the last reading of the records may be for new
	// starts, so that a cancel is known.
	bookLimit = 1500 * time.Millisecond
	// spareCandidates widens queries beyond what should just suffice.
	spareCandidates = 1.6
	leastCandidates = 4
)

// placeAll decides on the waiting tasks of all jobs, in the order in which they
// are to be served.
func (l *leadership) placeAll(now time.Time) {
	if l.handedOver != nil || l.flush.failing || now.Sub(l.s.listedAt) > listLimit || !l.s.deps.Follower.Fresh(bookLimit) {
		return
	}
	catalog := l.s.deps.Catalog()
	if catalog == nil {
		return
	}
	p := &pass{now: now, catalog: catalog, settled: l.settled(now), usable: map[string][]*worker{}, full: map[string][]resource.Vector{}, unspoken: map[string]int64{}, held: map[*worker]held{}, gangEnds: map[gangKey]time.Duration{}, saved: map[string][]saving{}}
	for _, at := range l.workers {
		if at.usable(now) {
			p.usable[at.up.Service] = append(p.usable[at.up.Service], at)
			p.unspoken[at.up.Service] += max(0, at.free().MilliCPU)
		}
	}
	steps := l.waitingSteps(p)
	timely := len(steps) - l.waiting[placement.Overdue]
	l.obstacles = map[obstacle]int{}
	for _, ws := range steps[:timely] {
		why := l.placeStep(p, ws)
		if ws.turn.Rank == placement.InTime {
			l.obstacles[why]++
		}
		l.noteWait(ws, why)
	}
	l.placeOverdue(p, steps[timely:])
	l.held = p.held
	l.placeCost = time.Since(now)
}

// noteWait keeps what a step waits for, and logs it when the job can no longer
// be in time.
func (l *leadership) noteWait(ws *waitingStep, why obstacle) {
	w := ws.w
	if ws.turn.Rank < placement.Late {
		w.waitsFor = why
		return
	}
	if w.missed {
		return
	}
	w.missed = true
	spec := &w.sub.Steps[ws.step]
	_ = level.Info(l.s.deps.Logger).Log("msg", "job cannot be in time any more", "job", w.id, "step", ws.step, "queue", w.sub.Queue,
		"waitedFor", w.waitsFor, "tasks", spec.Count, "gang", spec.Gang, "size", spec.Size,
		"ageMs", time.Since(w.acceptedAt).Milliseconds(), "allowedMs", w.allowed.Milliseconds())
}

// settled reports whether a new leader has heard of most workers. Before that
// gangs would ask about the few that have answered, in vain, and keep the VMs that
// ask from serving lookups.
func (l *leadership) settled(now time.Time) bool {
	if l.settledOnce || now.Sub(l.since) >= settleLimit {
		return true
	}
	listed, answered := 0, 0
	for _, at := range l.workers {
		if !at.listed {
			continue
		}
		listed++
		if at.boot != 0 {
			answered++
		}
	}
	l.settledOnce = listed > 0 && float64(answered) >= settledPart*float64(listed)
	return l.settledOnce
}

// placeOverdue looks at the overdue steps that have tickets, which would run
// out before their next turn. Of the others it looks at some, and at the next
// ones in the next pass: the first ones may be such that can never run.
func (l *leadership) placeOverdue(p *pass, steps []*waitingStep) {
	var rest []*waitingStep
	for _, ws := range steps {
		if a := ws.w.advice[ws.step]; a != nil && a.anyValid(p.now) {
			l.placeStep(p, ws)
			continue
		}
		rest = append(rest, ws)
	}
	for range min(overduePerPass, len(rest)) {
		l.overdueAt++
		l.placeStep(p, rest[l.overdueAt%len(rest)])
	}
}

// placeStep starts what it can of a step, and returns what the rest waits for.
func (l *leadership) placeStep(p *pass, ws *waitingStep) obstacle {
	w := ws.w
	spec := &w.sub.Steps[ws.step]
	service, advice := l.serviceOf(p, w)
	if !spec.Gang && p.isFull(service, spec.Size) {
		return noRoom
	}
	var said *stepAdvice
	if advice != nil {
		said = w.adviceOf(ws.step)
	}
	if said != nil && !spec.Gang && said.asking && !said.anyValid(p.now) {
		p.unspoken[service] -= said.spoken
		return asking
	}
	if spec.Gang && !p.settled {
		return noRoom
	}
	ws.tasks = w.waitingTasks(ws.step)
	need := placement.Request{
		Count: l.withinLimit(p, ws, spec.Size, len(ws.tasks)),
		Size:  spec.Size, Gang: spec.Gang, OneRack: spec.OneRack, Rack: spec.Rack, PerWorker: spec.PerWorker,
		PreferSlow: ws.patient(p.now),
	}
	if need.Count == 0 || spec.Gang && need.Count < len(ws.tasks) {
		l.limited++
		p.save(ws, need.Size)
		return teamLimit
	}
	rooms := l.rooms(p, ws, need, service, said)
	chosen := placement.Choose(need, rooms)
	for i, id := range chosen {
		l.plan(ws, ws.tasks[i], l.workers[id], p.now)
	}
	p.unspoken[service] -= int64(len(chosen)) * spec.Size.MilliCPU
	if len(chosen) == need.Count {
		return noObstacle
	}
	if p.isHeavy(service, need) && ws.turn.Rank == placement.InTime {
		return l.reserve(p, ws, need, service, advice)
	}
	if said == nil {
		return noRoom
	}
	need.Count -= len(chosen)
	return l.waitForAdvice(p, ws, need, rooms, service, advice)
}

// serviceOf returns the workers that run a job, and its queue's advice.
func (l *leadership) serviceOf(p *pass, w *work) (string, *site.Advice) {
	q := p.catalog.Queue(w.sub.Queue)
	switch {
	case q == nil:
		return w.sub.Service, nil
	case l.s.deps.Advisor == nil:
		return q.Service, nil
	}
	return q.Service, q.Advice
}

// waitForAdvice asks for what is left of a step. A step further back would ask
// in vain: what is free goes to those before it, and its tickets would run out
// meanwhile.
func (l *leadership) waitForAdvice(p *pass, ws *waitingStep, need placement.Request, rooms []placement.WorkerState, service string, advice *site.Advice) obstacle {
	said := ws.w.adviceOf(ws.step)
	why := asking
	switch {
	case said.asking:
	case p.unspoken[service] <= 0 || !l.advice.takes(ws.turn.Rank, advice):
		return behindOthers
	default:
		candidates := l.candidates(p, ws, need.Size, service, said)
		why = l.considerAsking(p, ws, need, candidates, rooms, advice)
	}
	if said.asking {
		said.spoken = int64(need.Count) * need.Size.MilliCPU
		p.unspoken[service] -= said.spoken
	}
	return why
}

// plan binds a task to a worker. The order follows once that is durable.
func (l *leadership) plan(ws *waitingStep, index int, at *worker, now time.Time) {
	w := ws.w
	t := &w.state.Steps[ws.step][index]
	t.Status = job.Dispatched
	t.Run = l.nextRun(w, ws.step, index)
	t.Worker = at.id
	t.Boot = at.boot
	r := &run{
		task: site.TaskID{Job: w.id, Step: ws.step, Index: index}, number: t.Run, w: w, stage: planned, decidedAt: now,
	}
	if a := w.advice[ws.step]; a != nil {
		r.ticket = a.tickets[at.id].text
	}
	l.bind(r, at)
	if !w.state.Started {
		w.state.Started = true
		l.s.deps.Counts.Time("wait_"+w.sub.Queue, now.Sub(w.acceptedAt))
	}
	if w.state.Phase == job.Queued {
		w.state.Phase = job.Running
	}
	l.touch(w)
	l.flush.starts = append(l.flush.starts, r)
	l.logRun(r, "run decided", "team", w.sub.Team, "rank", ws.turn.Rank, "beyond", w.beyond,
		"slackMs", ws.turn.LatestStart.Sub(now).Milliseconds(), "free", at.free())
}

// nextRun numbers the next start of a task. The members of a gang share it.
func (l *leadership) nextRun(w *work, step, index int) int64 {
	tasks := w.state.Steps[step]
	if !w.sub.Steps[step].Gang {
		return tasks[index].Run + 1
	}
	if index > 0 {
		// The first member was planned just before, with the gang's number.
		return tasks[0].Run
	}
	highest := int64(0)
	for i := range tasks {
		highest = max(highest, tasks[i].Run)
	}
	return highest + 1
}
