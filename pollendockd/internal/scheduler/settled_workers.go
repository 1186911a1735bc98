package scheduler

import (
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file records which incarnations of workers hold no leases but those that leaders grant to them
// (misdirected_renewals.go tells of the others). From the record a later leader knows that it waits for
// no others, of a worker that does not answer it.

// settledWorkers holds the recorded incarnations of workers by the workers' ids.
type settledWorkers struct {
	boots map[string]int64
	// removed holds the ids of workers that are gone and whose records are to be removed.
	removed []string
	// checkedAt is when the leader looked for workers to record.
	checkedAt time.Time
}

const (
	// settleInterval is the time between two looks for workers that are to be recorded.
	settleInterval = 250 * time.Millisecond
	// maxSettledPerAppend limits the records of settled workers in an append.
	maxSettledPerAppend = 200
	// settledRetention is how long a term lasts before it removes the records of workers that it
	// does not know.
	settledRetention = time.Minute
)

// addSettled adds to a batch that goes out anyway the records of workers that have settled, and removes
// those of workers that are gone.
func (l *leadership) addSettled(b *batch, now time.Time) error {
	s := &l.settled
	if now.Sub(s.checkedAt) < settleInterval {
		return nil
	}
	s.checkedAt = now
	entries, err := l.newlySettled(now)
	if err != nil {
		return err
	}
	for _, id := range s.removed {
		entries = append(entries, job.SettledWorkerRemovalEntry(id))
	}
	s.removed = nil
	b.entries = append(b.entries, entries...)
	return nil
}

// newlySettled returns the records of workers that have settled.
func (l *leadership) newlySettled(now time.Time) ([]site.Entry, error) {
	var entries []site.Entry
	for id, wk := range l.workers {
		if len(entries) == maxSettledPerAppend {
			break
		}
		if wk.boot == 0 || wk.boot == l.settled.boots[id] || wk.mayHoldLongLease(now) {
			continue
		}
		e, err := job.SettledWorkerEntry(id, wk.boot)
		if err != nil {
			return nil, err
		}
		l.settled.boots[id] = wk.boot
		entries = append(entries, e)
	}
	return entries, nil
}

// forgetSettled schedules the removal of the records of workers that are gone.
func (l *leadership) forgetSettled(now time.Time) {
	if now.Sub(l.startedAt) < settledRetention {
		return
	}
	for id := range l.settled.boots {
		if l.workers[id] == nil && len(l.settled.removed) < maxSettledPerAppend {
			delete(l.settled.boots, id)
			l.settled.removed = append(l.settled.removed, id)
		}
	}
}
