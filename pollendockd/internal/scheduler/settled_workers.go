package scheduler

import (
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file records which incarnations of workers hold no leases but those that leaders grant to them
// (misdirected_renewals.go tells of the others), and before that which get no others any more. From the
// records a later leader knows how long it waits for the leases of a worker that does not answer it: for none
// but those of leaders, or for none that was granted after the record.

// settledWorkers holds the recorded incarnations of workers by the workers' ids.
type settledWorkers struct {
	// boots holds those that are settled, bounded those that may still hold a longer lease but get none.
	boots   map[string]int64
	bounded map[string]job.BoundedIncarnation
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
		entries = append(entries, job.SettledWorkerRemovalEntry(id), job.BoundedWorkerRemovalEntry(id))
	}
	s.removed = nil
	b.entries = append(b.entries, entries...)
	return nil
}

// newlySettled returns the records of workers that have settled, or are bounded now.
func (l *leadership) newlySettled(now time.Time) ([]site.Entry, error) {
	var entries []site.Entry
	for id, wk := range l.workers {
		if len(entries) >= maxSettledPerAppend {
			break
		}
		if wk.boot == 0 || wk.boot == l.settled.boots[id] {
			continue
		}
		var e site.Entry
		var err error
		switch {
		case !wk.mayHoldLongLease(now):
			e, err = job.SettledWorkerEntry(id, wk.boot)
			l.settled.boots[id] = wk.boot
			if _, recorded := l.settled.bounded[id]; recorded {
				delete(l.settled.bounded, id)
				entries = append(entries, job.BoundedWorkerRemovalEntry(id))
			}
		case wk.boot != l.settled.bounded[id].Boot && !l.mayGrantLongLease(wk, now):
			e, err = job.BoundedWorkerEntry(id, wk.boot)
			l.settled.bounded[id] = job.BoundedIncarnation{Boot: wk.boot}
		default:
			continue
		}
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// records reports whether the records tell until when an incarnation of a worker holds longer leases than
// those of leaders.
func (s *settledWorkers) records(id string, boot int64) bool {
	return s.boots[id] == boot || s.bounded[id].Boot == boot
}

// longLeasesEnd is when the leases of a worker have expired that are longer than those of leaders, if it is
// recorded as bounded by an earlier leader; else zero.
func (l *leadership) longLeasesEnd(wk *worker) time.Time {
	b, recorded := l.settled.bounded[wk.id]
	if !recorded {
		return time.Time{}
	}
	return l.longestLeaseFrom(b.Since)
}

// forgetSettled schedules the removal of the records of workers that are gone.
func (l *leadership) forgetSettled(now time.Time) {
	if now.Sub(l.startedAt) < settledRetention {
		return
	}
	for id := range l.settled.boots {
		l.forgetIfGone(id)
	}
	for id := range l.settled.bounded {
		l.forgetIfGone(id)
	}
}

// forgetIfGone schedules the removal of the records of a worker if that is gone.
func (l *leadership) forgetIfGone(id string) {
	if l.workers[id] == nil && len(l.settled.removed) < maxSettledPerAppend {
		delete(l.settled.boots, id)
		delete(l.settled.bounded, id)
		l.settled.removed = append(l.settled.removed, id)
	}
}
