package scheduler

import (
	"time"

	"pollendock.example/cell/job"
)

// This file keeps the record of the runs with a start request that may be executed late on whose workers
// leases were renewed meanwhile. A later incarnation may execute a renewal late, too, after such a start,
// and prolong the lease. A later leader knows of neither, so that it waits for the renewals of all leaders
// before it, where the record names the run. Of a run that it does not name the lease has not been
// renewed later than its start could be sent. So a leader that sees that a worker is there adds its runs
// before it renews the lease, and renews none until then. A worker that has died since the start is not added.

// renewedStarts is what this and earlier leaders have recorded of it.
type renewedStarts struct {
	// all is set while the record names all runs.
	all bool
	// named holds the runs of the inherited record.
	named map[runKey]bool
	// recorded is the number of runs in the last record, which was made at recordedAt and is due
	// again after interval.
	recorded   int
	recordedAt time.Time
	interval   time.Duration
}

// newRenewedStarts returns what a leader knows at the begin of its term.
func newRenewedStarts(inherited *job.RenewedStarts) renewedStarts {
	s := renewedStarts{all: inherited.All, named: map[runKey]bool{}, recorded: len(inherited.Runs)}
	for i := range inherited.Runs {
		s.named[runKey{taskOf(&inherited.Runs[i]), inherited.Runs[i].Run}] = true
	}
	return s
}

// inheritRenewals notes whether earlier leaders may have renewed the lease of a run that may be executed
// late.
func (l *leadership) inheritRenewals(r *run) {
	if !l.renewedStarts.all && !l.renewedStarts.named[r.key()] {
		return
	}
	r.renewalsNamed = true
	r.othersRenewed = true
}

// lastRenewals is until when earlier leaders may have renewed leases.
func (l *leadership) lastRenewals() time.Time {
	longest := l.startedAt.Add(streamTimeout)
	if !l.predecessorKeepsTerms() || !l.leasesAreShort(l.startedAt) {
		return longest
	}
	return l.othersRenewUntil
}

// mayBeExecutedLate reports whether a start request of the run may be executed by a later incarnation,
// which accepts none that needs a ticket.
func (l *leadership) mayBeExecutedLate(r *run) bool {
	if l.startNeedsTicket(r) {
		return false
	}
	return r.startAttempts > 0 && len(r.unansweredStarts) > 0 || r.startAttempts == 0 && !r.startsAnswered
}

// barsRenewals reports whether a renewal for the worker of an open run could be executed after all that
// a later leader knows of.
func (l *leadership) barsRenewals(r *run, now time.Time) bool {
	if r.renewalsNamed || !l.mayBeExecutedLate(r) {
		return false
	}
	return r.startAttempts == 0 || !r.dispatchAge.allows(now)
}

// mayRenewBesideStarts reports whether the lease of a worker may be renewed beside the open runs there.
func (l *leadership) mayRenewBesideStarts(wk *worker, now time.Time) bool {
	if l.renewedStarts.all {
		return true
	}
	for r := range l.answeredStarts.openOn[wk.id] {
		if l.barsRenewals(r, now) {
			return false
		}
	}
	return true
}

// isToBeNamed reports whether the lease of the run's worker is to be renewed although a start request of
// the run may be executed late: the worker has answered after one that got no answer.
func (l *leadership) isToBeNamed(r *run, now time.Time) bool {
	wk := l.workers[r.wk.id]
	if wk == nil || !l.mayBeExecutedLate(r) {
		return false
	}
	if r.startAttempts == 0 {
		return wk.boot != 0
	}
	return now.Sub(r.sentAt) >= startTimeout && wk.answeredAt.After(r.sentAt)
}

// addRenewedStarts adds the record to a batch if it has to name more runs, or fewer.
func (l *leadership) addRenewedStarts(b *batch, now time.Time) error {
	s := &l.renewedStarts
	if now.Sub(s.recordedAt) < max(minAnsweredInterval, s.interval) {
		return nil
	}
	record, more := l.renewedStartsRecord(b, now)
	if !more && len(record.Runs) == s.recorded && record.All == s.all {
		return nil
	}
	e, err := job.RenewedStartsEntry(record)
	if err != nil {
		return err
	}
	s.recorded, s.recordedAt = len(record.Runs), now
	s.interval = time.Duration(e.Size()) * time.Second / answeredBytesPerSecond
	b.entries = append(b.entries, e)
	b.renewedStarts = record
	return nil
}

// renewedStartsRecord returns the record, and whether it names runs that the last one did not.
func (l *leadership) renewedStartsRecord(b *batch, now time.Time) (*job.RenewedStarts, bool) {
	record := &job.RenewedStarts{}
	more := false
	for _, r := range l.answeredStarts.open {
		if !l.renewedStarts.all && !r.renewalsNamed && !l.isToBeNamed(r, now) {
			continue
		}
		more = more || !r.renewalsNamed
		b.renewed = append(b.renewed, r)
		record.Runs = append(record.Runs, job.RunName{Job: r.task.Job, Step: r.task.Step, Index: r.task.Index, Run: r.number})
	}
	if len(record.Runs) > maxOpenStarts {
		return &job.RenewedStarts{All: true}, !l.renewedStarts.all
	}
	return record, more
}

// renewalsDurable notes that the record of a batch is durable.
func (l *leadership) renewedStartsDurable(b *batch) {
	if b.renewedStarts == nil {
		return
	}
	l.renewedStarts.all = b.renewedStarts.All
	for _, r := range b.renewed {
		r.renewalsNamed = true
	}
}
