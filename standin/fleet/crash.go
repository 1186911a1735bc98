package fleet

import (
	"time"

	"pollendock.example/cell/site"
)

const (
	// unlistedAfter is how long a crashed worker stays on the list, restartAfter how
	// long it takes to return.
	unlistedAfter = 2500 * time.Millisecond
	restartAfter  = 3 * time.Second
	// After maxCrashes crashes under a task, the start number maxStartsAfter of it is a
	// violation.
	maxCrashes     = 3
	maxStartsAfter = 3
)

// Crash ends the process of a worker for a reason of its own.
func (w *Worker) Crash() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.exit(time.Now())
}

// crash ends the process of a worker because of a task.
func (w *Worker) crash(now time.Time, because site.TaskID) {
	w.fleet.crashes[because]++
	company := false
	for t := range w.runs {
		company = company || t.Job != because.Job
	}
	if company {
		w.fleet.crashesInCompany[because]++
	}
	w.exit(now)
}

// exit ends the process with all its runs.
func (w *Worker) exit(now time.Time) {
	w.gone = true
	w.crashedAt = now
	w.endAll()
}

// endAll ends all runs without a trace, and so those of the same gangs elsewhere.
func (w *Worker) endAll() {
	for t, r := range w.runs {
		if _, n := w.fleet.size(t); n > 0 {
			w.fleet.breakGang(r)
		}
	}
	w.runs = map[site.TaskID]*taskRun{}
}

// recover removes a crashed worker from the list, and starts its successor.
func (w *Worker) recover(now time.Time) {
	if w.crashedAt.IsZero() {
		return
	}
	if now.Sub(w.crashedAt) >= unlistedAfter {
		w.listed = false
	}
	if now.Sub(w.crashedAt) < restartAfter {
		return
	}
	w.crashedAt = time.Time{}
	if w.fleet.keepIDs {
		w.gone = false
		w.listed = true
		w.restart()
		return
	}
	next := w.fleet.add(w.upstream.ID+"+", w.upstream.Service, w.upstream.Capacity)
	next.upstream.DataCentre = w.upstream.DataCentre
}

// KeepIDs makes workers that have crashed return under their ids, as new incarnations.
// Otherwise they return as new workers.
func (f *Fleet) KeepIDs() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepIDs = true
}

// SilenceCrashes makes calls to workers that have crashed hang.
func (f *Fleet) SilenceCrashes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silentCrashes = true
}

// Crashes returns how many workers have crashed because of a task.
func (f *Fleet) Crashes(t site.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[t]
}

// CrashesInCompany returns how many of these workers other jobs ran on.
func (f *Fleet) CrashesInCompany(t site.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashesInCompany[t]
}
