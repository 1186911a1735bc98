package scheduler

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/crash"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// jobSet holds the ids of the jobs that may be to blame for a crash.
type jobSet map[string]bool

const (
	// probation is how long a run has to be known to work on its worker until it counts
	// as having survived its start.
	probation = 300 * time.Millisecond
	// inheritedProbation is the same for the runs of an earlier leader on a worker that
	// has not answered this one, counted up to that leader's last decision for the
	// worker. It took up to a second to notice that a worker had gone silent.
	inheritedProbation = 1500 * time.Millisecond
	// settledTime is how long a run has to be known to work until a worker that falls silent
	// is more likely cut off than crashed by it.
	settledTime = 3 * time.Second
	// maxLoggedRuns limits the runs that a log line names.
	maxLoggedRuns = 8
)

// endedWithoutNotice returns why the incarnation of a worker that no longer answers is
// taken to have crashed, and the incarnation that has followed it, 0 for none. The reason
// is "" if it may still run behind a partition, or has announced its end.
func (l *leadership) endedWithoutNotice(wk *worker) (alive int64, evidence string) {
	if !l.listRead() {
		return 0, ""
	}
	switch {
	case wk.listed && wk.boot != 0 && wk.upstream.Boot > wk.boot:
		return wk.upstream.Boot, "a later incarnation is listed"
	case !wk.listed && !wk.upstream.Draining:
		return 0, "no longer listed"
	}
	return 0, ""
}

// markCrashed notes the runs that may have been at work when an incarnation of their
// worker crashed: all but those that were decided for the incarnation that is alive.
func (l *leadership) markCrashed(wk *worker, alive int64, evidence string) {
	var early, survivors []*run
	aliveAt := wk.lastInheritedDecision()
	jobs := jobSet{}
	besideSuspect := wk.suspectStarting(alive)
	for _, r := range wk.runList() {
		if r.stage == planned || r.crashed || r.boot == alive {
			continue
		}
		r.crashed = true
		r.crashDoubtful = !wk.processEnded(alive)
		if !r.blameless(besideSuspect) {
			jobs[r.task.Job] = true
		}
		if r.survivedStart() || r.inheritedBefore(aliveAt.Add(-inheritedProbation)) {
			survivors = append(survivors, r)
		} else {
			early = append(early, r)
		}
	}
	if len(early)+len(survivors) == 0 {
		return
	}
	for _, r := range early {
		r.scene = crash.Scene{Run: r.number, Begun: r.stage == running, Sudden: wk.exitedAfterStart(r), EarlyOthers: len(early) > 1, Alone: jobs.only(r.task.Job)}
	}
	for _, r := range survivors {
		r.scene = crash.Scene{Run: r.number, Begun: true, Survived: true, EarlyOthers: len(early) > 0, Alone: jobs.only(r.task.Job),
			Bystander: besideSuspect && r.settled()}
	}
	l.s.deps.Counts.Count("worker_crashes", 1)
	_ = level.Warn(l.s.deps.Logger).Log("msg", "worker crashed", "worker", wk.id, "boot", wk.boot, "evidence", evidence,
		"lastAnswerMs", time.Since(wk.clockAt).Milliseconds(), "survivors", len(survivors), "early", len(early), "earlyRuns", runNames(early))
}

// suspectStarting reports whether a suspect of the incarnation that has crashed is not known to have
// survived its start. The incarnation alive has followed it.
func (wk *worker) suspectStarting(alive int64) bool {
	for _, r := range wk.runs {
		if r.isolated && r.stage != planned && !r.crashed && r.boot != alive && !r.survivedStart() {
			return true
		}
	}
	return false
}

// blameless reports whether the run has no part in a crash of its worker: it had worked well past its
// start, and lasts or ran beside a suspect at its start.
func (r *run) blameless(besideSuspect bool) bool {
	return r.settled() && (besideSuspect || r.tj.sub.Steps[r.task.Step].Endless)
}

// only reports whether the set has no job but that one.
func (s jobSet) only(id string) bool {
	return len(s) == 0 || len(s) == 1 && s[id]
}

// exitedAfterStart reports whether the worker's process ended within probation of the
// request to start the run. The time of its end is known if connections are refused since:
// those that were open broke with it.
func (wk *worker) exitedAfterStart(r *run) bool {
	after := wk.failedAt.Sub(r.sentAt)
	return wk.refusesConnections && !r.sentAt.IsZero() && after >= 0 && after <= probation
}

// survivedStart reports whether the run is known to have worked for the time of
// probation. A gang works only once all members are present, which its progress shows.
func (r *run) survivedStart() bool {
	return r.workedFor(probation)
}

// workedFor reports whether the run is known to have worked for the given time.
func (r *run) workedFor(d time.Duration) bool {
	if r.confirmedAt.IsZero() || r.tj.sub.Steps[r.task.Step].Gang && r.percent == r.initialPercent {
		return false
	}
	return r.wk.clockAt.Sub(r.worksSince) >= d
}

// crashesOf returns the crashes under a task.
func (tj *trackedJob) crashesOf(t site.TaskID) job.TaskCrashes {
	t = tj.representative(t)
	return tj.crashes.Of(t.Step, t.Index)
}

// recordCrash counts the crash of its worker under a run that has ended with it. The
// count becomes durable together with the end.
func (l *leadership) recordCrash(r *run) {
	tj := r.tj
	before := tj.crashesOf(r.task)
	r.scene.Endless = tj.sub.Steps[r.task.Step].Endless
	r.scene.LikelyCuts = tj.likelyCuts(r)
	after := crash.Judge(before, r.scene)
	if after == before {
		return
	}
	tj.crashes = tj.crashes.With(after)
	tj.crashesDirty = true
	if r.crashDoubtful && after.Count > before.Count {
		l.noteDoubtfulCrash(r)
	}
	l.s.deps.Counts.Count("tasks_"+after.Verdict.String(), 1)
	l.logRun(r, "worker crashed under a run", "crashes", after.Count, "early", after.Early, "verdict", after.Verdict,
		"begun", r.scene.Begun, "alone", r.scene.Alone, "survived", r.scene.Survived, "sudden", r.scene.Sudden, "earlyOthers", r.scene.EarlyOthers,
		"doubtful", r.crashDoubtful, "likelyCuts", r.scene.LikelyCuts)
}

// giveUp ends a job one of whose tasks crashes its workers.
func (l *leadership) giveUp(tj *trackedJob, t site.TaskID) {
	tj.releaseTask(t)
	c := tj.crashesOf(t)
	l.s.deps.Counts.Count("jobs_given_up", 1)
	l.finish(tj, job.Failed, fmt.Sprintf("%d %s: %d workers crashed under task %d of step %d, the last one while no other job ran there",
		int(code.CrashesWorkers), code.CrashesWorkers, c.Count, t.Index, t.Step))
}

// lastInheritedDecision returns when the last leader's newest decision for the worker was
// read at the latest; zero if there is none. The worker was alive shortly before.
func (wk *worker) lastInheritedDecision() time.Time {
	at := time.Time{}
	for _, r := range wk.runs {
		if r.stage == inherited {
			at = later(at, r.tj.inheritedAt)
		}
	}
	return at
}

// inheritedBefore reports whether an earlier leader decided the run before the given time.
func (r *run) inheritedBefore(t time.Time) bool {
	return r.stage == inherited && r.tj.inheritedAt.Before(t)
}

// runNames returns the names of the first runs for a log line.
func runNames(runs []*run) string {
	text := ""
	for i, r := range runs[:min(len(runs), maxLoggedRuns)] {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%s.%d.%d/%d", r.task.Job, r.task.Step, r.task.Index, r.number)
	}
	return text
}
