package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
)

// This file handles runs that are given up before their ends are read. If a row of the
// worker's list cannot be read, it may be the end of one of them: were it acknowledged, the
// task would count as done twice. That this may be so is recorded, in or before the append that
// lets the task run again, so that later leaders do not acknowledge such a row either.

// givenUpRetention is how long the record of a worker is kept that is neither listed nor has
// runs.
const givenUpRetention = time.Hour

// giveUpUnread notes that a run is given up of which no end was read. A success of it is not
// acknowledged before the leases of the worker have lapsed.
func (l *leadership) giveUpUnread(r *run) {
	wk := r.wk
	boot := wk.boot
	if boot == 0 {
		boot = r.boot
	}
	if l.givenUpRuns[wk.id].Boot < boot {
		l.givenUpRuns[wk.id] = job.GivenUpRuns{Boot: boot, RecordedAt: time.Now()}
		l.flush.givenUpRuns = append(l.flush.givenUpRuns, wk.id)
	}
	if wk.unreadable.candidates[r.key()] {
		l.keepUnreadableEnds(wk, wk.unreadable.before)
	}
}

// hasGivenUpRuns reports whether an unreadable end of the worker may be that of a run that this
// or an earlier leader has given up.
func (l *leadership) hasGivenUpRuns(wk *worker) bool {
	return wk.boot != 0 && l.givenUpRuns[wk.id].Boot == wk.boot
}

// keepUnreadableEnds makes the worker keep all ends after the one with that number, the first of
// which cannot be read.
func (l *leadership) keepUnreadableEnds(wk *worker, before int64) {
	if !wk.ackCapped {
		_ = level.Warn(l.s.deps.Logger).Log("msg", "unreadable end may be that of a run that was given up; ends of this worker are not acknowledged until its leases have lapsed",
			"worker", wk.id, "boot", wk.boot, "before", before, "recordedMs", time.Since(l.givenUpRuns[wk.id].RecordedAt).Milliseconds())
	}
	wk.capAcks(before)
}

// forgetGivenUpRuns removes the record of a worker of which a later incarnation has answered.
func (l *leadership) forgetGivenUpRuns(wk *worker) {
	g, recorded := l.givenUpRuns[wk.id]
	if recorded && g.Boot < wk.boot {
		l.removeGivenUpRuns(wk.id)
	}
}

// forgetLostWorkers removes the records of workers that have been away for long.
func (l *leadership) forgetLostWorkers(now time.Time) {
	for id, g := range l.givenUpRuns {
		if l.workers[id] == nil && now.Sub(g.RecordedAt) > givenUpRetention {
			l.removeGivenUpRuns(id)
		}
	}
}

func (l *leadership) removeGivenUpRuns(id string) {
	delete(l.givenUpRuns, id)
	l.flush.givenUpRuns = append(l.flush.givenUpRuns, id)
}

// addGivenUpRuns adds the records that have changed to a batch.
func (l *leadership) addGivenUpRuns(b *batch) error {
	for _, id := range l.flush.givenUpRuns {
		g, recorded := l.givenUpRuns[id]
		if !recorded {
			b.entries = append(b.entries, job.GivenUpRunsRemovalEntry(id))
			continue
		}
		e, err := job.GivenUpRunsEntry(id, &g)
		if err != nil {
			return err
		}
		b.entries = append(b.entries, e)
	}
	l.flush.givenUpRuns = nil
	return nil
}
