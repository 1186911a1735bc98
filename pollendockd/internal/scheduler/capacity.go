package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

// dropOvercommitted ends the runs for which there is no capacity any more: their worker
// has shrunk since they were decided, or may have, as its entry is too old. Like
// dropEvacuated it is called before the first start request of a batch is sent.
func (l *leadership) dropOvercommitted(starts []*run, now time.Time) {
	tooOld := now.Sub(l.s.listedAt) > maxListAge
	dropped := 0
	for _, r := range starts {
		switch {
		case !r.bound():
		case tooOld:
			l.endRun(r, site.NotRun, "the list of workers is too old")
			dropped++
		case !r.wk.used.Fits(r.wk.upstream.Capacity):
			l.endRun(r, site.NotRun, "the worker has shrunk")
			dropped++
		}
	}
	if dropped == 0 {
		return
	}
	l.s.deps.Counts.Count("runs_dropped_for_capacity", int64(dropped))
	_ = level.Info(l.s.deps.Logger).Log("msg", "planned runs dropped for lack of capacity", "runs", dropped, "listTooOld", tooOld)
}
