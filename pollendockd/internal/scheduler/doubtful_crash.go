package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

type (
	// doubtfulCrash is a crash that was counted under a task though nothing shows that the
	// worker's process has ended: it is silent and off the list, as it would be behind a
	// partition.
	doubtfulCrash struct {
		tj     *trackedJob
		record job.DoubtfulCrash
	}

	// condemnedTask is a task that is taken to crash its workers, some of which may merely be
	// cut off.
	condemnedTask struct {
		tj *trackedJob
		// since is when that was found, or when this VM read it if an earlier leader did.
		since time.Time
	}
)

const (
	// cutGrace is how long a worker that is cut off has to answer again before a job is given up
	// for its crash. The task is not started meanwhile.
	cutGrace = 15 * time.Second
	// returnTime is the part of it that follows the last outage of the stream or of the list of
	// workers: entries that expired in it are back within two seconds.
	returnTime = 3 * time.Second
	// firstAnswerTime is the part of it that a new leader gives the workers to answer it.
	firstAnswerTime = time.Second
)

// processEnded reports whether it is known that the incarnation has ended, and that its worker
// is not merely cut off. The incarnation alive has followed it, 0 for none.
func (wk *worker) processEnded(alive int64) bool {
	return alive != 0 || wk.refusesConnections
}

// doubtfulCrashesOf returns the crashes under a task that may have been none.
func (tj *trackedJob) doubtfulCrashesOf(t site.TaskID) []job.DoubtfulCrash {
	t = tj.representative(t)
	return tj.doubtfulCrashes.Under(t.Step, t.Index)
}

// likelyCuts returns the number of crashes under the task of a run, with that of the run, that
// were likely none: the worker fell silent long after the start.
func (tj *trackedJob) likelyCuts(r *run) int {
	n := 0
	for _, c := range tj.doubtfulCrashesOf(r.task) {
		if c.Settled {
			n++
		}
	}
	if r.crashDoubtful && r.workedFor(settledTime) {
		n++
	}
	return n
}

// noteDoubtfulCrash records that the crash that was counted under a run is taken back if its
// worker answers again. The record becomes durable together with the count.
func (l *leadership) noteDoubtfulCrash(r *run) {
	t := r.tj.representative(r.task)
	c := job.DoubtfulCrash{Step: t.Step, Index: t.Index, Worker: r.wk.id, Boot: r.boot, Settled: r.workedFor(settledTime)}
	r.tj.doubtfulCrashes = r.tj.doubtfulCrashes.With(c)
	l.watchForAnswer(r.tj, c)
}

// watchForAnswer has a crash decided once its worker answers.
func (l *leadership) watchForAnswer(tj *trackedJob, c job.DoubtfulCrash) {
	l.doubtfulCrashes[c.Worker] = append(l.doubtfulCrashes[c.Worker], doubtfulCrash{tj, c})
}

// inheritCrashes takes over the doubtful crashes that earlier leaders counted, and the tasks
// that wait to be given up, from the job in the view.
func (l *leadership) inheritCrashes(tj *trackedJob, j *job.Job) {
	if tj.crashes == nil || tj.state.Phase.Final() {
		return
	}
	if tj.doubtfulCrashes != nil {
		for _, c := range tj.doubtfulCrashes.List {
			l.watchForAnswer(tj, c)
		}
	}
	for i, c := range tj.crashes.Tasks {
		t := site.TaskID{Job: tj.id, Step: c.Step, Index: c.Index}
		if c.Verdict == job.Poison && tj.hasTask(t) && tj.state.Steps[c.Step][c.Index].Status == job.Waiting {
			l.condemned[t] = condemnedTask{tj, j.WaitingSince(i)}
		}
	}
}

// resolveDoubtfulCrashes decides the doubtful crashes of a worker that has answered: those of
// the incarnation that answers were none, those of others are certain.
func (l *leadership) resolveDoubtfulCrashes(wk *worker, boot int64) {
	crashes := l.doubtfulCrashes[wk.id]
	delete(l.doubtfulCrashes, wk.id)
	for _, r := range wk.runs {
		if r.boot == boot && r.crashDoubtful {
			r.crashed = false
		}
	}
	for _, c := range crashes {
		if c.tj.state.Phase.Final() {
			continue
		}
		c.tj.doubtfulCrashes = c.tj.doubtfulCrashes.Without(c.record)
		c.tj.crashesDirty = true
		l.touch(c.tj)
		if c.record.Boot == boot {
			l.revokeCrash(wk, c)
		}
	}
}

// revokeCrash takes back the crash of an incarnation that has answered after all.
func (l *leadership) revokeCrash(wk *worker, c doubtfulCrash) {
	t := c.tj.crashes.Of(c.record.Step, c.record.Index)
	if t.Count == 0 {
		return
	}
	t.Count--
	t.Early = max(0, t.Early-1)
	switch {
	case t.Count == 0:
		t.Verdict = job.Trusted
	case t.Verdict == job.Poison:
		t.Verdict = job.Suspect
	}
	c.tj.crashes = c.tj.crashes.With(t)
	l.placeNeeded = true
	l.s.deps.Counts.Count("crashes_revoked", 1)
	_ = level.Info(l.s.deps.Logger).Log("msg", "worker has not crashed after all", "worker", wk.id, "boot", c.record.Boot,
		"silentMs", time.Since(later(wk.failedAt, l.startedAt)).Milliseconds(), "job", c.tj.id, "step", t.Step, "index", t.Index, "crashes", t.Count, "verdict", t.Verdict)
}

// condemn gives up a job one of whose tasks crashes its workers. If some of them may merely be
// cut off, it waits for their answers first.
func (l *leadership) condemn(tj *trackedJob, t site.TaskID) {
	doubtful := tj.doubtfulCrashesOf(t)
	if len(doubtful) == 0 {
		l.giveUp(tj, t)
		return
	}
	l.condemned[tj.representative(t)] = condemnedTask{tj, time.Now()}
	_ = level.Warn(l.s.deps.Logger).Log("msg", "job is given up unless a worker answers", "job", tj.id, "step", t.Step, "index", t.Index,
		"crashes", tj.crashesOf(t).Count, "doubtful", len(doubtful), "graceMs", cutGrace.Milliseconds())
}

// giveUpCondemned gives up the jobs whose tasks crash their workers, once no worker has
// answered for cutGrace or none can any more. A read of the list that was sent after that shows
// that the list could be read.
func (l *leadership) giveUpCondemned() {
	for t, c := range l.condemned {
		switch {
		case c.tj.state.Phase.Final() || c.tj.crashesOf(t).Verdict != job.Poison:
			delete(l.condemned, t)
		case l.s.listedAt.After(l.graceEnd(c.since)) || len(c.tj.doubtfulCrashesOf(t)) == 0:
			delete(l.condemned, t)
			l.giveUp(c.tj, t)
		}
	}
}

// graceEnd is when a worker that is cut off has had cutGrace to answer, as far as leaders could
// hear it: the stream answered, and they could read the list, without which they do not ask it.
func (l *leadership) graceEnd(since time.Time) time.Time {
	firstAnswer := l.startedAt.Add(firstAnswerTime)
	back := later(l.s.deps.Follower.AvailableSince(), l.s.listBackAt).Add(returnTime)
	return later(since.Add(cutGrace), later(firstAnswer, back))
}

// releaseTask marks a task, or all those of its gang, as not running anywhere.
func (tj *trackedJob) releaseTask(t site.TaskID) {
	tasks := tj.state.Steps[t.Step]
	if !tj.sub.Steps[t.Step].Gang {
		tasks = tasks[t.Index : t.Index+1]
	}
	for i := range tasks {
		tasks[i].Status = job.Released
	}
}
