package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/crash"
	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

type (
	// trackedJob is the leader's copy of a job.
	trackedJob struct {
		id    string
		sub   *job.Submission
		state *job.State
		order int64
		// acceptedAt is a time on the clock of this VM.
		acceptedAt time.Time
		// timeLimit is the time that the job may take.
		timeLimit time.Duration
		forecast  forecast
		// history holds statistics of the runs of each step in this term.
		history []stepStats
		// lastReason is why the job's last unplaced step waits. missed is set once the
		// job can no longer meet its deadline.
		lastReason waitReason
		missed     bool
		// seenInTime is set once a pass of this term has considered the job in time.
		seenInTime bool
		// begun is set once a run of the job has begun, or may have begun in an earlier
		// term. In the state it is set from the placement decision on.
		begun bool
		// pending is set until the job's record has been read back.
		pending bool
		// overRate is set for a job that exceeds its team's guaranteed rate, as
		// placement.RateMeter counts it.
		overRate bool
		// reservation is the last reservation for a gang of the job.
		reservation *reservation
		turn        overdueTurn
		// advice holds the advisor's answers for each step.
		advice []*stepAdvice
		// checkpoints holds the newest checkpoint of each task. A gang uses that of its
		// first task.
		checkpoints map[site.TaskID]checkpoint
		// avoid names the worker on which a task failed last.
		avoid map[site.TaskID]string
		// stallStops counts how often a task was stopped for lack of progress.
		stallStops map[site.TaskID]int
		// unrecordedRuns counts the runs of a task that workers have though the records have
		// given them up. Those of a gang count with its first task.
		unrecordedRuns map[site.TaskID]int
		// leftStarts holds the tasks of all jobs of which a start may be executed late.
		leftStarts map[site.TaskID]leftStart
		// runs is the number of runs that hold capacity. idleSince is since when there are none.
		runs      int
		idleSince time.Time
		// waits holds since when the steps wait that have no run.
		waits map[waitKey]*stepWait
		// findings holds why the steps waited when a pass last considered them.
		findings map[waitKey]finding
		// crashes is nil while no worker has crashed under a task of the job.
		crashes *job.Crashes
		// doubtfulCrashes are those of them that may have been none.
		doubtfulCrashes *job.DoubtfulCrashes
		// inheritedAt is when this VM read the state that the leader began with.
		inheritedAt time.Time
		// inheritedDelay is how much later than usual earlier leaders may have sent start requests.
		inheritedDelay time.Duration
		// dirty is set if the state is to be stored, crashesDirty if the crashes are, too.
		dirty        bool
		crashesDirty bool
		// summarized is set once only a summary of the submission is stored.
		summarized bool
	}

	// run is one execution of a task, from the placement decision until its end is
	// certain.
	run struct {
		task   site.TaskID
		number int64
		tj     *trackedJob
		wk     *worker
		// boot is the incarnation of the worker that the run was decided for.
		boot   int64
		stage  stage
		ticket string
		// decidedAt, sentAt and confirmedAt are local times of the decision, the start
		// request and its answer.
		decidedAt   time.Time
		sentAt      time.Time
		confirmedAt time.Time
		// worksSince is since when at the latest it has worked, once that is confirmed.
		worksSince  time.Time
		dispatchAge dispatchAge
		// renewalsNamed is set once a record says that the lease of the worker may have been
		// renewed while a start request could be executed late, othersRenewed if that is one of
		// an earlier leader.
		renewalsNamed, othersRenewed bool
		// startAttempts counts how often the start request was sent.
		startAttempts int
		// unansweredStarts holds when the start requests were sent that got no answer.
		unansweredStarts []time.Time
		// misdirectedUntil is until when an incarnation may execute requests that were sent to
		// an earlier one and that has answered the run's start instead of it.
		misdirectedUntil time.Time
		// listed is set once its worker has listed the run.
		listed bool
		// startsAnswered is set if the records say that all start requests of earlier leaders
		// were answered.
		startsAnswered bool
		// stopWanted is set if the run is to be stopped, stopped once the worker has
		// confirmed the stop.
		stopWanted bool
		stopBusy   bool
		stopAt     time.Time
		stopped    bool
		stoppedAt  time.Time
		// unrecorded is set if the records have given the run up.
		unrecorded bool
		// isolated is set for a suspect: until it is cleared no other job starts on its
		// worker.
		isolated bool
		// probedAt is when the worker's lists were last requested in order to clear the
		// run, released whether a pass knows that it is cleared.
		probedAt time.Time
		released bool
		// crashed is set if that incarnation has crashed while the run may have been at
		// work.
		crashed bool
		// crashDoubtful is set if nothing shows that its process has ended.
		crashDoubtful bool
		// scene is what was known of the run at that time.
		scene crash.Scene
		// listValidAfter is the local time after which a hold must have been sent for
		// its lists to be conclusive about the run.
		listValidAfter time.Time
		// percent is the latest progress, percentAt the time at which it changed.
		percent   int
		percentAt time.Time
		// initialPercent is the progress at which the run was found on its worker.
		initialPercent int
	}

	// checkpoint is saved progress of a task, as of the given progress of a run.
	checkpoint struct {
		text    string
		run     int64
		percent int
	}

	// runKey identifies a run.
	runKey struct {
		task   site.TaskID
		number int64
	}

	// stage is how far a run has progressed.
	stage int
)

const (
	// planned runs are not durable yet.
	planned stage = iota
	// starting runs have a start request in progress.
	starting
	// running runs have been confirmed by the worker.
	running
	// unconfirmed runs have been requested, but it is unknown whether they exist or
	// will exist.
	unconfirmed
	// inherited runs were dispatched in an earlier term.
	inherited
)

// newTrackedJob returns the leader's copy of a job in the view.
func newTrackedJob(id string, sub *job.Submission, j *job.Job) *trackedJob {
	return &trackedJob{
		id: id, sub: sub, state: j.State.Clone(), order: j.Order, acceptedAt: j.AcceptedAt,
		advice:         make([]*stepAdvice, len(sub.Steps)),
		history:        make([]stepStats, len(sub.Steps)),
		checkpoints:    map[site.TaskID]checkpoint{},
		avoid:          map[site.TaskID]string{},
		stallStops:     map[site.TaskID]int{},
		waits:          map[waitKey]*stepWait{},
		begun:          j.State.MayHaveStarted(),
		crashes:        j.Crashes,
		inheritedAt:    j.StateAt,
		idleSince:      time.Now(),
		unrecordedRuns: map[site.TaskID]int{},

		doubtfulCrashes: j.DoubtfulCrashes,
	}
}

// loadJob starts tracking a job that is new to this leader, and applies cancellations.
func (l *leadership) loadJob(id string) {
	j := l.s.deps.View.Job(id)
	if j == nil {
		return
	}
	tj := l.jobs[id]
	if tj == nil {
		if j.Submission.IsSummary() || j.State.Phase.Final() && !j.State.AnyDispatched() {
			return
		}
		tj = newTrackedJob(id, j.Submission, j)
		tj.leftStarts = l.leftStarts
		l.jobs[id] = tj
		tj.restartLasting()
		l.assess(tj, tj.acceptedAt)
		l.inheritRuns(tj, j)
		l.inheritCrashes(tj, j)
		tj.inheritWaits(j)
		l.placeNeeded = true
	}
	if tj.pending {
		tj.pending = false
		tj.order = j.Order
	}
	if j.State.Phase.Final() && !j.State.AnyDispatched() && !tj.dirty {
		// The end of the job has been read back, so the record in the view suffices.
		delete(l.jobs, id)
		return
	}
	if j.Canceled && !tj.state.Phase.Final() {
		l.finish(tj, job.Canceled, "canceled by the team")
	}
}

// restartLasting lets the tasks that last start again which the records show as done: earlier versions
// took the end of a gang for that of its step.
func (tj *trackedJob) restartLasting() {
	if tj.state.Phase.Final() {
		return
	}
	for step, tasks := range tj.state.Steps {
		for i := range tasks {
			if tasks[i].Status == job.Succeeded {
				tasks[i].Status = tj.afterSuccess(step)
			}
		}
	}
}

// assess computes the job's forecast, and whether it exceeds its team's guaranteed rate,
// from the current catalog. It counts the job in the team's placement.RateMeter at the
// time at which it arrived, which is later than acceptedAt if it was refused before.
func (l *leadership) assess(tj *trackedJob, arrivedAt time.Time) {
	l.updateForecast(tj, time.Now())
	catalog := l.s.deps.Catalog()
	if catalog == nil {
		return
	}
	if team := catalog.Team(tj.sub.Team); team != nil {
		m := l.meters[team.Name]
		if m == nil {
			m = &placement.RateMeter{}
			l.meters[team.Name] = m
		}
		tj.overRate = m.CountJob(arrivedAt, team.Weight)
	}
}

// inheritRuns creates runs for the tasks that an earlier leader dispatched.
func (l *leadership) inheritRuns(tj *trackedJob, j *job.Job) {
	tj.inheritedDelay = l.inheritedStartDelay()
	for step, tasks := range tj.state.Steps {
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
				task: site.TaskID{Job: tj.id, Step: step, Index: i}, number: t.Run, tj: tj,
				boot: t.Boot, stage: inherited, decidedAt: l.startedAt, listValidAfter: l.startedAt,
				stopWanted: broken || tj.state.Phase.Final(), isolated: tj.suspected(step, i),
			}
			l.bind(r, l.workerOf(t.Worker))
			l.inheritStart(r, j)
		}
	}
}

// bind assigns a run to a worker and adds it to the use of the worker and the team.
func (l *leadership) bind(r *run, wk *worker) {
	r.wk = wk
	size := r.tj.sub.Steps[r.task.Step].Size
	wk.runs[r.key()] = r
	if r.isolated {
		l.isolatedRuns[r] = true
	}
	if r.unrecorded {
		r.tj.unrecordedRuns[r.tj.representative(r.task)]++
	}
	r.tj.runs++
	wk.used = wk.used.Add(size)
	l.teamUse[r.tj.sub.Team] = l.teamUse[r.tj.sub.Team].Add(size)
}

// bound reports whether the run still holds capacity of its worker.
func (r *run) bound() bool {
	return r.wk.runs[r.key()] == r
}

// unbind releases the capacity of a run, once its end is certain.
func (l *leadership) unbind(r *run) {
	if !r.bound() {
		return
	}
	size := r.tj.sub.Steps[r.task.Step].Size
	delete(r.wk.runs, r.key())
	delete(l.isolatedRuns, r)
	now := time.Now()
	l.endStart(r, now)
	r.tj.runs--
	r.tj.idleSince = now
	if r.unrecorded {
		r.tj.unrecordedRuns[r.tj.representative(r.task)]--
	}
	r.wk.used = r.wk.used.Sub(size)
	l.teamUse[r.tj.sub.Team] = l.teamUse[r.tj.sub.Team].Sub(size)
	l.placeNeeded = true
}

// confirm notes that the worker has confirmed the run. One that an earlier leader dispatched has
// worked at least since its start requests could no longer be executed.
func (r *run) confirm(now time.Time) {
	r.worksSince = now
	if r.stage == inherited {
		r.worksSince = r.tj.latestInheritedStart(now)
	}
	r.stage = running
	r.confirmedAt = now
	r.percentAt = now
	// A list that was requested at this instant may not include the run yet.
	r.listValidAfter = now.Add(time.Nanosecond)
}

// latestInheritedStart returns the latest time, until now, at which a worker may have started a run that
// an earlier leader dispatched.
func (tj *trackedJob) latestInheritedStart(now time.Time) time.Time {
	last := tj.inheritedAt.Add(maxInheritedStartDelay + tj.inheritedDelay)
	if last.After(now) {
		return now
	}
	return last
}

// idleFor returns for how long the job has had no run.
func (tj *trackedJob) idleFor(now time.Time) time.Duration {
	if tj.runs > 0 {
		return 0
	}
	return now.Sub(tj.idleSince)
}

// runBegun notes that a run of the job has begun.
func (tj *trackedJob) runBegun(r *run) {
	tj.begun = true
	delete(tj.waits, waitKey{r.task.Step, r.isolated})
}

// coveredBy reports whether a list that was requested at the given time is conclusive
// about the existence of the run.
func (r *run) coveredBy(sentAt time.Time) bool {
	return !r.listValidAfter.IsZero() && !sentAt.Before(r.listValidAfter)
}

func (r *run) key() runKey {
	return runKey{r.task, r.number}
}

// touch schedules the job's state for the next append.
func (l *leadership) touch(tj *trackedJob) {
	if !tj.dirty {
		tj.dirty = true
		l.flush.dirty = append(l.flush.dirty, tj)
	}
}

func (l *leadership) logRun(r *run, msg string, more ...any) {
	fields := []any{"msg", msg, "job", r.task.Job, "step", r.task.Step, "index", r.task.Index, "run", r.number, "worker", r.wk.id,
		"epoch", l.term.Epoch, "dataCentre", r.wk.upstream.DataCentre, "ageMs", time.Since(r.decidedAt).Milliseconds()}
	_ = level.Info(l.s.deps.Logger).Log(append(fields, more...)...)
}
