package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

// This file handles tasks of which a start request may be executed late, though their run has ended or
// was barred: a worker has left the request unanswered while it answered others. If its process restarts,
// nothing keeps the next one from executing the request before the leader hears of it. Until that is no
// longer possible
//
//   - such a task starts again on that worker only, where a restart ends its other run, and
//   - the end of such a task is not acknowledged, since no start may follow one that is.
//
// A request that needs a ticket is executed by no later incarnation, and one after which the worker has
// answered nothing was lost with its process. A worker that answers and can't take the task is not waited
// for: it would have to restart in the time that is left.

// leftStart tells which worker may execute a start of a task late, and until when.
type leftStart struct {
	// worker is the id, "" if an earlier leader has sent the request and it is not known to which one.
	worker string
	until  time.Time
	// renewedUntil is until when the lease of a run that it has begun by then may be prolonged.
	renewedUntil time.Time
	// blockedSince is since when that worker answers and can't take the task, which waits; zero for never.
	// elsewhere is set once the task starts on another one for that.
	blockedSince time.Time
	elsewhere    bool
}

const (
	// maxBlockedTime is how long a task waits for a worker that answers and can't take it: callers count 3 s.
	maxBlockedTime = 1500 * time.Millisecond
	// leftStartsGauge is the gauge of tasks of which a start may be executed late.
	leftStartsGauge = "left_starts"
)

// noteLeftStarts notes the start requests that the present incarnation of a worker has left unanswered,
// as it has answered a later request.
func (l *leadership) noteLeftStarts(wk *worker, now time.Time) {
	for key, starts := range wk.lateStarts.unanswered {
		for i := range starts {
			s := &starts[i]
			if s.boot != wk.boot || s.ticketed || now.Sub(s.sentAt) < startTimeout {
				continue
			}
			l.leave(key.task, leftStart{worker: wk.id, until: s.sentAt.Add(maxRequestDelay)})
		}
	}
}

// leave notes that a worker may execute a start of a task late.
func (l *leadership) leave(t site.TaskID, left leftStart) {
	before := l.leftStarts[t]
	left.until = later(left.until, before.until)
	left.renewedUntil = later(left.renewedUntil, before.renewedUntil)
	if left.worker == before.worker {
		left.blockedSince, left.elsewhere = before.blockedSince, before.elsewhere
	}
	l.leftStarts[t] = left
}

// leaveInherited notes the same for the start of a run of an earlier leader that ends. If its worker has
// listed it, its start was executed, but may have been sent again if the records name it.
func (l *leadership) leaveInherited(r *run, now time.Time) {
	if r.startAttempts > 0 || r.listed && !l.answeredStarts.excepted[r.task] || l.startNeedsTicket(r) {
		return
	}
	if !r.startsAnswered && now.Before(r.inheritedStartUntil()) {
		l.leaveStartOf(r)
	}
}

// leaveStartOf notes that the start of an earlier leader's run may be executed late. A later incarnation of its
// worker is told not to.
func (l *leadership) leaveStartOf(r *run) {
	until := r.inheritedStartUntil()
	if r.wk.lateStarts.pending(r.key()) {
		return
	}
	r.wk.lateStarts.sent(r.key(), lateStart{sentAt: until.Add(-maxRequestDelay), boot: r.boot})
	l.leave(r.task, leftStart{worker: r.wk.id, until: until, renewedUntil: l.inheritedRenewalUntil(r)})
}

// inheritLeftStarts notes the starts of which earlier leaders have recorded that they may be executed late,
// though their runs have ended. The records go on to name them. The starts of runs that have not ended are
// noted when they do.
func (l *leadership) inheritLeftStarts() {
	for name, since := range l.s.deps.View.ExceptedSince() {
		r := l.endedRun(&name, since)
		if r == nil || l.startNeedsTicket(r) {
			continue
		}
		l.inheritRenewals(r)
		if l.startedAt.Before(l.longestLeaseFrom(later(r.inheritedStartUntil(), l.inheritedRenewalUntil(r)))) {
			l.answeredStarts.add(r)
			l.leaveStartOf(r)
		}
	}
}

// endedRun returns a run of an earlier leader that has ended by the records, nil for any other. Its start was
// sent by the time since.
func (l *leadership) endedRun(name *job.RunName, since time.Time) *run {
	j := l.s.deps.View.Job(name.Job)
	if j == nil || j.Submission == nil || j.State == nil {
		return nil
	}
	// The records of the job may have changed since.
	tj := newTrackedJob(name.Job, j.Submission, j)
	tj.inheritedAt, tj.inheritedDelay = since, l.inheritedStartDelay()
	wk := &worker{}
	if name.Step < len(tj.state.Steps) && name.Index < len(tj.state.Steps[name.Step]) {
		t := &tj.state.Steps[name.Step][name.Index]
		if t.Status == job.Dispatched && t.Run == name.Run {
			return nil
		}
		wk = l.workerOf(t.Worker)
	}
	return &run{task: taskOf(name), number: name.Run, tj: tj, wk: wk, stage: inherited, decidedAt: l.startedAt}
}

// expireLeftStarts forgets the starts that can no longer be executed, once no run of them can be at work.
func (l *leadership) expireLeftStarts(now time.Time) {
	for t, left := range l.leftStarts {
		if now.Before(left.until) || l.mayHaveExecuted(left, now) {
			continue
		}
		delete(l.leftStarts, t)
		l.placeNeeded = true
	}
}

// noteBlocked notes that a task waits which its worker could not take in a pass.
func (l *leadership) noteBlocked(t site.TaskID, now time.Time) {
	left := l.leftStarts[t]
	wk := l.workers[left.worker]
	switch {
	case wk == nil || wk.boot == 0 || wk.holdFails > 0 || now.Sub(wk.clockAt) > maxAnswerAge:
		left.blockedSince, left.elsewhere = time.Time{}, false
	case left.blockedSince.IsZero():
		left.blockedSince = now
		left.elsewhere = wk.evacuated
	default:
		left.elsewhere = wk.evacuated || now.Sub(left.blockedSince) >= maxBlockedTime
	}
	l.leftStarts[t] = left
}

// mayHaveExecuted reports whether the worker may run a task whose start it has executed just before that was
// no longer possible, and which it has not listed yet.
func (l *leadership) mayHaveExecuted(left leftStart, now time.Time) bool {
	leasesFrom := later(left.until, left.renewedUntil)
	if wk := l.workers[left.worker]; wk != nil {
		if wk.boot != 0 && wk.holdFails == 0 && !wk.clockAskedAt.Before(left.until) {
			return false
		}
		leasesFrom = later(leasesFrom, wk.lateHolds.renewals.until)
	}
	return now.Before(l.longestLeaseFrom(leasesFrom))
}

// noteListed notes which runs an answer lists.
func (l *leadership) noteListed(wk *worker, h *site.HoldReply, now time.Time) {
	for i := range h.Running {
		l.noteExecuted(wk.runs[runKey{h.Running[i].Task, h.Running[i].Run}], now)
	}
	for i := range h.Ended {
		l.noteExecuted(wk.runs[runKey{h.Ended[i].Task, h.Ended[i].Run}], now)
	}
}

// noteExecuted notes that a worker has listed a run, nil for one that is not known. If its start request
// was sent once, that was executed.
func (l *leadership) noteExecuted(r *run, now time.Time) {
	if r == nil {
		return
	}
	r.listed = true
	if r.startAttempts != 1 || len(r.unansweredStarts) == 0 {
		return
	}
	r.wk.lateStarts.answered(r.key(), r.unansweredStarts[0])
	r.unansweredStarts = nil
	l.closeStart(r, now)
}

// keptAck is the end of a task that is not acknowledged while a start of it may be executed late.
type keptAck struct {
	number int64
	task   site.TaskID
}

// keepAck keeps an end from being acknowledged if no start may follow it, but one may be executed late.
func (l *leadership) keepAck(wk *worker, e *site.RunEnd) {
	if _, left := l.leftStarts[e.Task]; !left || e.Kind != site.Done && e.Kind != site.Failed {
		return
	}
	l.s.deps.Counts.Count("acks_kept_for_late_starts", 1)
	wk.keptAcks = append(wk.keptAcks, keptAck{e.Number, e.Task})
}

// dropKeptAcks forgets the ends that may be acknowledged now. A worker keeps those behind the first one
// that may not.
func (l *leadership) dropKeptAcks(wk *worker) {
	for len(wk.keptAcks) > 0 {
		if _, left := l.leftStarts[wk.keptAcks[0].task]; left {
			return
		}
		wk.keptAcks = wk.keptAcks[1:]
	}
}

// hasOwnWorker reports whether a task may start on one worker only. The pass over the steps leaves it out.
func (tj *trackedJob) hasOwnWorker(t site.TaskID) bool {
	left, found := tj.leftStarts[t]
	return found && !left.elsewhere
}

// placeLeft starts tasks again on the workers that may execute an earlier start of theirs. If their queue has got
// an advisor meanwhile they wait until that is over.
func (l *leadership) placeLeft(p *pass) {
	for t := range l.leftStarts {
		tj := l.jobs[t.Job]
		if tj == nil || !tj.hasTask(t) || tj.state.Phase.Final() || !tj.awaitsAnyStart(t.Step, t.Index) || !tj.state.Ready(tj.sub, t.Step) {
			continue
		}
		if _, advice := l.serviceOf(p, tj); advice != nil {
			continue
		}
		ws := &waitingStep{
			tj: tj, step: t.Step, tasks: []int{t.Index}, sortKey: l.sortKeyOf(p, tj, t.Step), isolated: tj.suspected(t.Step, t.Index),
		}
		if tj.sub.Steps[t.Step].Gang {
			l.placeLeftGang(p, ws)
		} else if wk := l.workerOfLeft(p, ws, t.Index); wk != nil && l.startableWithinLimit(p, ws, tj.sub.Steps[t.Step].Size) > 0 {
			l.planLeft(p, ws, t.Index, wk)
		}
		if tj.awaitsAnyStart(t.Step, t.Index) {
			l.noteBlocked(t, p.now)
		}
	}
}

// workerOfLeft returns the worker on which a task may start that is left out of the pass; nil if it may
// not start now.
func (l *leadership) workerOfLeft(p *pass, ws *waitingStep, index int) *worker {
	wk := l.workers[l.leftStarts[site.TaskID{Job: ws.tj.id, Step: ws.step, Index: index}].worker]
	if wk == nil || !wk.usable(p.now) || !p.isolation.admits(wk, ws) || !ws.tj.sub.Steps[ws.step].Size.Fits(p.free(wk, ws)) {
		return nil
	}
	return wk
}

func (l *leadership) planLeft(p *pass, ws *waitingStep, index int, wk *worker) {
	t := site.TaskID{Job: ws.tj.id, Step: ws.step, Index: index}
	if left, found := l.leftStarts[t]; found {
		left.blockedSince, left.elsewhere = time.Time{}, false
		l.leftStarts[t] = left
	}
	service, _ := l.serviceOf(p, ws.tj)
	p.unclaimedCPU[service] -= ws.tj.sub.Steps[ws.step].Size.MilliCPU
	if ws.isolated {
		p.isolation.holders[wk] = ws.tj
	}
	l.planRun(ws, index, wk, p.now)
}

// placeLeftGang starts a gang again some of whose members may start on one worker only.
func (l *leadership) placeLeftGang(p *pass, ws *waitingStep) {
	spec := &ws.tj.sub.Steps[ws.step]
	service, _ := l.serviceOf(p, ws.tj)
	ws.tasks = ws.tasks[:0]
	own := map[int]*worker{}
	for i := range spec.Count {
		if !ws.tj.awaitsAnyStart(ws.step, i) {
			return
		}
		ws.tasks = append(ws.tasks, i)
		if !ws.tj.hasOwnWorker(site.TaskID{Job: ws.tj.id, Step: ws.step, Index: i}) {
			continue
		}
		if own[i] = l.workerOfLeft(p, ws, i); own[i] == nil {
			return
		}
	}
	if l.startableWithinLimit(p, ws, spec.Size) < spec.Count {
		return
	}
	chosen, ok := l.chooseBeside(p, ws, own, service)
	if !ok {
		return
	}
	for _, i := range ws.tasks {
		wk := own[i]
		if wk == nil {
			wk, chosen = chosen[0], chosen[1:]
		}
		l.planLeft(p, ws, i, wk)
	}
}

// chooseBeside returns workers for the members of a gang that have none of their own. It reports false if there are
// not enough, or if one of the others has no capacity for all that it has to run.
func (l *leadership) chooseBeside(p *pass, ws *waitingStep, own map[int]*worker, service string) ([]*worker, bool) {
	spec := &ws.tj.sub.Steps[ws.step]
	onWorker := map[string]int64{}
	for _, wk := range own {
		onWorker[wk.id]++
		if !spec.Size.Scale(onWorker[wk.id]).Fits(p.free(wk, ws)) {
			return nil, false
		}
	}
	states := l.allWorkerStates(p, ws, spec.Size, service)
	for i := range states {
		n := onWorker[states[i].Worker]
		states[i].Free = states[i].Free.Sub(spec.Size.Scale(n))
		states[i].Tasks += int(n)
	}
	req := placement.Request{
		Count: spec.Count - len(own), Size: spec.Size, Gang: true, OneRack: spec.OneRack, Rack: spec.Rack, PerWorker: spec.PerWorker,
	}
	if req.Count == 0 {
		return nil, true
	}
	var chosen []*worker
	for _, id := range placement.Choose(req, states) {
		chosen = append(chosen, l.workers[id])
	}
	return chosen, len(chosen) == req.Count
}

// countLeftStarts sets the gauge, and logs how many there are.
func (l *leadership) countLeftStarts() {
	kept := 0
	for _, wk := range l.workers {
		if len(wk.keptAcks) > 0 {
			kept++
		}
	}
	l.s.deps.Counts.Gauge(leftStartsGauge, int64(len(l.leftStarts)))
	if len(l.leftStarts) > 0 {
		_ = level.Info(l.s.deps.Logger).Log("msg", "start requests may be executed late", "epoch", l.term.Epoch, "tasks", len(l.leftStarts), "workersKeepingEnds", kept)
	}
}
