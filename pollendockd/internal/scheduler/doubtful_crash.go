package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// doubtfulCrash is a crash that was counted under a task though nothing shows that the worker's
// process has ended: it is silent and off the list, as it would be behind a partition.
type doubtfulCrash struct {
	boot int64
	tj   *trackedJob
	task site.TaskID
}

// processEnded reports whether it is known that the incarnation has ended, and that its worker
// is not merely cut off. The incarnation alive has followed it, 0 for none.
func (wk *worker) processEnded(alive int64) bool {
	return alive != 0 || wk.refusesConnections
}

// noteDoubtfulCrash remembers a crash that was counted under a run, in case its worker answers
// again.
func (l *leadership) noteDoubtfulCrash(r *run) {
	id := r.wk.id
	l.doubtfulCrashes[id] = append(l.doubtfulCrashes[id], doubtfulCrash{r.boot, r.tj, r.task})
}

// revokeCrashes takes back the crashes of an incarnation that has answered after all.
func (l *leadership) revokeCrashes(wk *worker, boot int64) {
	crashes := l.doubtfulCrashes[wk.id]
	delete(l.doubtfulCrashes, wk.id)
	for _, r := range wk.runs {
		if r.boot == boot && r.crashDoubtful {
			r.crashed = false
		}
	}
	for _, c := range crashes {
		if c.boot == boot && !c.tj.state.Phase.Final() {
			l.revokeCrash(wk, c)
		}
	}
}

func (l *leadership) revokeCrash(wk *worker, c doubtfulCrash) {
	t := c.tj.crashesOf(c.task)
	if t.Count == 0 {
		return
	}
	t.Count--
	t.Early = max(0, t.Early-1)
	if t.Count == 0 {
		t.Verdict = job.Trusted
	}
	c.tj.crashes = c.tj.crashes.With(t)
	c.tj.crashesDirty = true
	l.touch(c.tj)
	l.placeNeeded = true
	l.s.deps.Counts.Count("crashes_revoked", 1)
	_ = level.Info(l.s.deps.Logger).Log("msg", "worker has not crashed after all", "worker", wk.id, "boot", c.boot,
		"silentMs", time.Since(wk.failedAt).Milliseconds(), "job", c.tj.id, "step", c.task.Step, "index", c.task.Index, "crashes", t.Count, "verdict", t.Verdict)
}
