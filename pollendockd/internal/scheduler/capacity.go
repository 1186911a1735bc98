package scheduler

import (
	"time"

	"github.com/go-kit/log/level"
)

// dropOvercommitted ends the runs for which there is no capacity any more: their worker
// has shrunk since they were decided, or may have, as its entry is too old. Like
// dropEvacuated it is called before the first start request of a batch is sent.
func (l *leadership) dropOvercommitted(starts []*run, now time.Time) {
	tooOld := now.Sub(l.s.listedAt) > maxListAge
	dropped := l.dropPlanned(starts, func(r *run) string {
		switch {
		case tooOld:
			return "the list of workers is too old"
		case !r.wk.used.Fits(r.wk.upstream.Capacity):
			return "the worker has shrunk"
		}
		return ""
	})
	if dropped == 0 {
		return
	}
	l.s.deps.Counts.Count("runs_dropped_for_capacity", int64(dropped))
	_ = level.Info(l.s.deps.Logger).Log("msg", "planned runs dropped for lack of capacity", "runs", dropped, "listTooOld", tooOld)
}
