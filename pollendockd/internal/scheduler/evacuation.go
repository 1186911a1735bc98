package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

const (
	// startDelivery covers the attempts of a start request, counted from the check of
	// the catalog before the first one, and the delivery of the last.
	startDelivery = (maxStartAttempts + 1) * startTimeout
	// minCatalogAge is the least age at which a catalog counts as too old. Without
	// changes it is confirmed about once a second.
	minCatalogAge = 2 * time.Second
)

// markEvacuated notes which workers are in evacuated data centres. These get no new runs.
// What runs there is left to end.
func (l *leadership) markEvacuated(catalog *site.Catalog) {
	for _, wk := range l.workers {
		wk.evacuated = catalog.Evacuated[wk.upstream.DataCentre]
	}
}

// evacuatedLoad returns how many workers are in evacuated data centres, and how many runs
// are left there.
func (l *leadership) evacuatedLoad() (workers, runs int) {
	for _, wk := range l.workers {
		if wk.evacuated {
			workers++
			runs += len(wk.runs)
		}
	}
	return workers, runs
}

// evacuated reports whether the newest catalog says that the worker gets no new runs.
func (l *leadership) evacuated(wk *worker) bool {
	catalog := l.s.deps.Catalog()
	return catalog != nil && catalog.Evacuated[wk.upstream.DataCentre]
}

// catalogTooOld reports whether an evacuation may have gone unnoticed for so long that a
// run that is started now could be too late.
func (l *leadership) catalogTooOld() bool {
	bound := l.s.opt.Bounds.Evacuation
	return bound > 0 && !l.s.deps.CatalogFresh(max(minCatalogAge, bound-startDelivery))
}

// dropEvacuated ends the runs whose data centre was evacuated after they were decided, or
// may have been. It is called before the first start request of a batch is sent: with one
// run of a gang all others are marked to be stopped, so none of them is sent either.
func (l *leadership) dropEvacuated(starts []*run) {
	tooOld := l.catalogTooOld()
	dropped := l.dropPlanned(starts, func(r *run) string {
		switch {
		case tooOld:
			return "the catalog is too old"
		case l.evacuated(r.wk):
			return "the data centre has been evacuated"
		}
		return ""
	})
	if dropped == 0 {
		return
	}
	l.s.deps.Counts.Count("runs_dropped_for_evacuation", int64(dropped))
	_ = level.Info(l.s.deps.Logger).Log("msg", "planned runs dropped for an evacuation", "runs", dropped, "catalogTooOld", tooOld)
}

// dropPlanned ends the runs for which there is a reason not to start them, and returns
// their number.
func (l *leadership) dropPlanned(starts []*run, reason func(r *run) string) int {
	dropped := 0
	for _, r := range starts {
		if !r.bound() {
			continue
		}
		if why := reason(r); why != "" {
			l.endRun(r, site.NotRun, why)
			dropped++
		}
	}
	return dropped
}

// mustNotResend reports whether a start request that got no answer must not be repeated.
// The request may have been executed, or may yet be. That of a gang member is repeated:
// otherwise a lost request would stop the members that have started, although the run was
// requested before the evacuation was known. startDelivery covers the repetitions.
func (l *leadership) mustNotResend(r *run) bool {
	return l.evacuated(r.wk) && !r.tj.sub.Steps[r.task.Step].Gang
}
