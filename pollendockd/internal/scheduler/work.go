package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

type (
	// work is the leader's copy of a job.
	work struct {
		id    string
		sub   *job.Submission
		state *job.State
		order int64
		// acceptedAt is by the clock of this VM.
		acceptedAt time.Time
		// allowed is the time that the job may take.
		allowed  time.Duration
		forecast forecast
		// past is what the runs of each step have shown in this term.
		past []stepPast
		// waitsFor is what the job's last step that was not placed waits for, and
		// missed is set once the job cannot be in time any more.
		waitsFor obstacle
		missed   bool
		// begun is set once a run of the job has begun, or may have in an earlier
		// term. The state says so from the decision on.
		begun bool
		// pending is set until the job's record has been read back.
		pending bool
		// beyond is set for a job beyond what its team is owed.
		beyond bool
		// reservation is the room that was last held for a gang of the job.
		reservation *reservation
		// advice holds what the advisor said of each step.
		advice []*stepAdvice
		// checkpoints holds the newest one of each task; gangs use that of
		// their first task.
		checkpoints map[site.TaskID]string
		// avoid names the worker on which a task failed last.
		avoid map[site.TaskID]string
		// stills counts the runs of a task that were stopped as standing still.
		stills map[site.TaskID]int
		dirty  bool
		// outlined is set once only an outline of the submission is kept.
		outlined bool
	}

	// run is one start of a task, from the decision until its end is certain.
	run struct {
		task   site.TaskID
		number int64
		w      *work
		at     *worker
		stage  stage
		ticket string
		// decidedAt, sentAt and confirmedAt are local times of the decision,
		// the order and its answer.
		decidedAt   time.Time
		sentAt      time.Time
		confirmedAt time.Time
		// sends counts how often the order was sent.
		sends int
		// stopped is set once the worker has answered a stop.
		stopWanted bool
		stopBusy   bool
		stopAt     time.Time
		stopped    bool
		// settledAfter is the local time after which a hold must have been sent
		// for its list to tell whether the run exists.
		settledAfter time.Time
		// percent and percentAt are the newest progress and when it changed.
		percent   int
		percentAt time.Time
		// foundAt is the progress at which the run was found at its worker.
		foundAt int
	}

	// runKey names a run.
	runKey struct {
		task   site.TaskID
		number int64
	}

	// stage is how far a run has come.
	stage int
)

const (
	// planned runs are not durable yet.
	planned stage = iota
	// starting runs have an order under way.
	starting
	// running runs were confirmed by the worker.
	running
	// unsettled runs were ordered, and it is not known whether they exist or
	// will.
	unsettled
	// inherited runs were ordered in an earlier term.
	inherited
)

// newWork returns the leader's copy of a job in the book.
func newWork(id string, sub *job.Submission, j *job.Job) *work {
	return &work{
		id: id, sub: sub, state: j.State.Clone(), order: j.Order, acceptedAt: j.AcceptedAt,
		advice:      make([]*stepAdvice, len(sub.Steps)),
		past:        make([]stepPast, len(sub.Steps)),
		checkpoints: map[site.TaskID]string{},
		avoid:       map[site.TaskID]string{},
		stills:      map[site.TaskID]int{},
		begun:       j.State.MayHaveStarted(),
	}
}

// readJob takes over what the book says of a job that is new here, and a cancel.
func (l *leadership) readJob(id string) {
	j := l.s.deps.View.Job(id)
	if j == nil {
		return
	}
	w := l.works[id]
	if w == nil {
		if j.Submission.IsSummary() || j.State.Phase.Final() && !j.State.AnyDispatched() {
			return
		}
		w = newWork(id, j.Submission, j)
		l.works[id] = w
		l.assess(w)
		l.inherit(w)
		l.place = true
	}
	if w.pending {
		w.pending = false
		w.order = j.Order
	}
	if j.State.Phase.Final() && !j.State.AnyDispatched() && !w.dirty {
		// What ended here has been read back: the job can be left to the book.
		delete(l.works, id)
		return
	}
	if j.Canceled && !w.state.Phase.Final() {
		l.finish(w, job.Canceled, "the team canceled it")
	}
}

// assess notes what the catalog says of the job's queue and team now.
func (l *leadership) assess(w *work) {
	l.foresee(w, time.Now())
	catalog := l.s.deps.Catalog()
	if catalog == nil {
		return
	}
	if team := catalog.Team(w.sub.Team); team != nil {
		m := l.meters[team.Name]
		if m == nil {
			m = &placement.RateMeter{}
			l.meters[team.Name] = m
		}
		w.beyond = m.CountJob(w.acceptedAt, team.Weight)
	}
}

// inherit makes runs of the tasks that an earlier leader dispatched.
func (l *leadership) inherit(w *work) {
	for step, tasks := range w.state.Steps {
		broken := false
		for i := range tasks {
			broken = broken || tasks[i].Status == job.Interrupted
		}
		for i := range tasks {
			t := &tasks[i]
			if t.Status != job.Dispatched {
				continue
			}
			r := &run{
				task: site.TaskID{Job: w.id, Step: step, Index: i}, number: t.Run, w: w,
				stage: inherited, decidedAt: l.since, settledAfter: l.since,
				stopWanted: broken || w.state.Phase.Final(),
			}
			l.bind(r, l.workerOf(t.Worker))
		}
	}
}

// bind counts a run against its worker and its team.
func (l *leadership) bind(r *run, at *worker) {
	r.at = at
	size := r.w.sub.Steps[r.task.Step].Size
	at.runs[r.key()] = r
	at.used = at.used.Add(size)
	l.teamUse[r.w.sub.Team] = l.teamUse[r.w.sub.Team].Add(size)
}

// unbind frees what a run held, once its end is certain.
func (l *leadership) unbind(r *run) {
	if r.at.runs[r.key()] != r {
		return
	}
	size := r.w.sub.Steps[r.task.Step].Size
	delete(r.at.runs, r.key())
	r.at.used = r.at.used.Sub(size)
	l.teamUse[r.w.sub.Team] = l.teamUse[r.w.sub.Team].Sub(size)
	l.place = true
}

// endRun records the certain end of a run.
func (l *leadership) endRun(r *run, how site.EndKind, why string) {
	l.unbind(r)
	l.logRun(r, "run ended", "how", how, "why", why)
	l.s.deps.Counts.Count("ends_"+how.String(), 1)
	w := r.w
	if len(w.state.Steps) == 0 {
		return
	}
	t := &w.state.Steps[r.task.Step][r.task.Index]
	if t.Status != job.Dispatched || t.Run != r.number {
		return
	}
	l.noteRun(r, how, time.Now())
	l.touch(w)
	t.Worker = ""
	t.Boot = 0
	if w.state.Phase.Final() {
		t.Status = job.Released
		l.trim(w)
		return
	}
	if how == site.Failed {
		w.avoid[r.task] = r.at.id
	}
	if w.sub.Steps[r.task.Step].Gang {
		l.concludeGangTask(w, r, t, how)
	} else {
		l.concludeTask(w, r, t, how)
	}
	if how != site.NotRun {
		w.begun = true
	}
	w.backToQueue()
	if how == site.Done && w.state.StepDone(r.task.Step) {
		l.noteStep(w, r.task.Step)
	}
	l.afterEnd(w)
}

// backToQueue makes a job a waiting one again of which no run has begun after
// all. While the stream is away tickets run out, and a hundred decided runs may be
// refused at once.
func (w *work) backToQueue() {
	if w.begun || w.state.Phase != job.Running || w.state.AnyDispatched() {
		return
	}
	w.state.Started = false
	w.state.Phase = job.Queued
}

func (l *leadership) concludeTask(w *work, r *run, t *job.Task, how site.EndKind) {
	endless := w.sub.Steps[r.task.Step].Endless
	switch {
	case how == site.Done && !endless:
		t.Status = job.Succeeded
		return
	case how == site.Failed && !endless:
		t.Failures++
		t.FailedRun = t.Run
		if t.Failures >= w.sub.MaxAttempts {
			t.Status = job.Released
			l.finish(w, job.Failed, "a task failed too often")
			return
		}
	}
	t.Status = job.Waiting
}

// concludeGangTask keeps the gang together: one good end is the end of all, and
// any other end stops the rest before the gang may start anew.
func (l *leadership) concludeGangTask(w *work, r *run, t *job.Task, how site.EndKind) {
	tasks := w.state.Steps[r.task.Step]
	if how == site.Done {
		for i := range tasks {
			tasks[i].Status = job.Succeeded
			tasks[i].Worker = ""
			tasks[i].Boot = 0
		}
		return
	}
	t.Status = job.Interrupted
	first := &tasks[0]
	if how == site.Failed && first.FailedRun != r.number {
		first.Failures++
		first.FailedRun = r.number
	}
	open := false
	for i := range tasks {
		if tasks[i].Status != job.Dispatched {
			continue
		}
		open = true
		name := site.TaskID{Job: w.id, Step: r.task.Step, Index: i}
		if other := l.findRun(&tasks[i], name); other != nil {
			other.stopWanted = true
		}
	}
	if open {
		return
	}
	if first.Failures >= w.sub.MaxAttempts && !w.sub.Steps[r.task.Step].Endless {
		for i := range tasks {
			tasks[i].Status = job.Released
		}
		l.finish(w, job.Failed, "a gang failed too often")
		return
	}
	for i := range tasks {
		tasks[i].Status = job.Waiting
	}
}

// findRun returns the run of a dispatched task.
func (l *leadership) findRun(t *job.Task, name site.TaskID) *run {
	at := l.workers[t.Worker]
	if at == nil {
		return nil
	}
	return at.runs[runKey{name, t.Run}]
}

// confirm notes that the worker has said that it has the run.
func (r *run) confirm(now time.Time) {
	r.stage = running
	r.confirmedAt = now
	r.percentAt = now
	// A list that was asked for in this instant may not have the run yet.
	r.settledAfter = now.Add(time.Nanosecond)
}

// toldBy reports whether a list that was asked for at a time tells if the run
// exists.
func (r *run) toldBy(sentAt time.Time) bool {
	return !r.settledAfter.IsZero() && !sentAt.Before(r.settledAfter)
}

func (r *run) key() runKey {
	return runKey{r.task, r.number}
}

// afterEnd completes the job if nothing is left to do.
func (l *leadership) afterEnd(w *work) {
	l.place = true
	if !w.state.Phase.Final() && w.state.AllDone() {
		l.finish(w, job.Completed, "all tasks are done")
	}
}

// finish gives a job its final state and stops what still runs of it.
func (l *leadership) finish(w *work, p job.Phase, why string) {
	w.state.Phase = p
	w.state.EndedAt = time.Now()
	l.touch(w)
	_ = level.Info(l.s.deps.Logger).Log("msg", "job ended", "job", w.id, "team", w.sub.Team, "phase", p, "why", why,
		"ageMs", time.Since(w.acceptedAt).Milliseconds(), "allowedMs", w.allowed.Milliseconds(), "queue", w.sub.Queue)
	l.s.deps.Counts.Count("jobs_"+p.String(), 1)
	l.s.deps.Counts.Time("job_"+w.sub.Queue, time.Since(w.acceptedAt))
	for step, tasks := range w.state.Steps {
		for i := range tasks {
			t := &tasks[i]
			if t.Status != job.Dispatched {
				continue
			}
			name := site.TaskID{Job: w.id, Step: step, Index: i}
			if r := l.findRun(t, name); r != nil {
				r.stopWanted = true
			}
		}
	}
	l.trim(w)
}

// trim drops the tasks of a job that has ended once none of them runs.
func (l *leadership) trim(w *work) {
	if w.state.Phase.Final() && !w.state.AnyDispatched() {
		w.state.Steps = nil
	}
}

// touch has the job's state written with the next append.
func (l *leadership) touch(w *work) {
	if !w.dirty {
		w.dirty = true
		l.flush.dirty = append(l.flush.dirty, w)
	}
}

func (l *leadership) logRun(r *run, msg string, more ...any) {
	fields := []any{"msg", msg, "job", r.task.Job, "step", r.task.Step, "index", r.task.Index, "run", r.number, "worker", r.at.id,
		"ageMs", time.Since(r.decidedAt).Milliseconds()}
	_ = level.Info(l.s.deps.Logger).Log(append(fields, more...)...)
}
