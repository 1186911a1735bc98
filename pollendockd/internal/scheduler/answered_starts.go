package scheduler

import (
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file keeps the record of the start requests that were answered. By it a later leader
// tells that no incarnation of a worker can execute a start request of a run late, so that it
// waits for the leases of the run only. Nearly all requests are answered within milliseconds, so
// the record names the runs of which that is not known. It is never needed for safety: a run that
// it does not cover counts as one with a start request without an answer.

// answeredStarts is what this and earlier leaders know of the answers to start requests.
type answeredStarts struct {
	// inherited is the record that the term began with, excepted the tasks of the runs that it
	// names.
	inherited *job.AnsweredStarts
	excepted  map[site.TaskID]bool
	// open holds the runs with a dispatch that is durable whose start requests may yet be
	// executed late, or may have been, so that a later incarnation may hold a lease for them.
	open map[runKey]*run
	// openOn holds the same by the id of their worker.
	openOn map[string]map[*run]bool
	// before is the offset after the last states that are durable.
	before int64
	// changed is set if the above has changed since the last record, which was made at
	// recordedAt and is due again after interval.
	changed    bool
	recordedAt time.Time
	interval   time.Duration
	// deferred is set if the last batch left states or start requests to the next one.
	deferred bool
}

const (
	// minAnsweredInterval is the shortest time between two records. Records with many runs come
	// less often, so that they take answeredBytesPerSecond at most.
	minAnsweredInterval    = 20 * time.Millisecond
	answeredBytesPerSecond = 16 << 10
	// maxOpenStarts is the number of runs that a record names. While there are more, the last
	// record stands.
	maxOpenStarts = 256
	// openStartsGauge is the number of runs that a record would name.
	openStartsGauge = "open_starts"
)

// newAnsweredStarts returns what a leader knows at the begin of its term: the record of earlier
// leaders, and the offset up to which it has all their records.
func newAnsweredStarts(inherited *job.AnsweredStarts, next int64) answeredStarts {
	a := answeredStarts{inherited: inherited, excepted: map[site.TaskID]bool{}, open: map[runKey]*run{}, openOn: map[string]map[*run]bool{}, before: next, changed: true}
	for i := range inherited.Except {
		a.excepted[taskOf(&inherited.Except[i])] = true
	}
	return a
}

// add adds a run whose start requests may be executed late.
func (a *answeredStarts) add(r *run) {
	if a.open == nil {
		a.open = map[runKey]*run{}
		a.openOn = map[string]map[*run]bool{}
	}
	if old := a.open[r.key()]; old != nil {
		a.remove(old)
	}
	a.open[r.key()] = r
	if a.openOn[r.wk.id] == nil {
		a.openOn[r.wk.id] = map[*run]bool{}
	}
	a.openOn[r.wk.id][r] = true
	a.changed = true
}

// remove removes a run of which no start request can be executed late.
func (a *answeredStarts) remove(r *run) {
	if a.open[r.key()] != r {
		return
	}
	delete(a.open, r.key())
	delete(a.openOn[r.wk.id], r)
	if len(a.openOn[r.wk.id]) == 0 {
		delete(a.openOn, r.wk.id)
	}
	a.changed = true
}

// statesDurable notes that the states before an offset are durable. Runs that they dispatch are
// added before the next batch is made, unless their start requests are deferred.
func (a *answeredStarts) statesDurable(before int64) {
	a.before = before
	a.changed = true
}

// inheritStart notes a run that an earlier leader has dispatched. It counts as open, too, if an
// earlier run of its task does.
func (l *leadership) inheritStart(r *run, j *job.Job) {
	a := &l.answeredStarts
	r.startsAnswered = !a.excepted[r.task] && j.DispatchedBefore(a.inherited.Before, r.task.Step, r.task.Index)
	if r.startsAnswered {
		l.s.deps.Counts.Count("inherited_starts_answered", 1)
		return
	}
	l.s.deps.Counts.Count("inherited_starts_open", 1)
	a.add(r)
	l.inheritRenewals(r)
}

// addAnsweredStarts adds the record to a batch that goes out anyway, if it has changed. The
// record covers no run of this batch. It must not become durable before the end of a run does
// that it no longer names.
func (l *leadership) addAnsweredStarts(b *batch, now time.Time) error {
	a := &l.answeredStarts
	deferred := a.deferred
	a.deferred = len(l.flush.dirty) > 0
	if deferred || a.deferred || !b.final && now.Sub(a.recordedAt) < max(minAnsweredInterval, a.interval) {
		return nil
	}
	l.forgetSettledStarts(now)
	if !a.changed {
		return nil
	}
	if len(a.open) > maxOpenStarts {
		l.s.deps.Counts.Count("answered_starts_held_back", 1)
		return nil
	}
	e, err := job.AnsweredStartsEntry(a.record())
	if err != nil {
		return err
	}
	a.changed = false
	a.recordedAt = now
	a.interval = time.Duration(e.Size()) * time.Second / answeredBytesPerSecond
	b.entries = append(b.entries, e)
	return nil
}

func (a *answeredStarts) record() *job.AnsweredStarts {
	record := &job.AnsweredStarts{Before: a.before}
	for key := range a.open {
		record.Except = append(record.Except, job.RunName{Job: key.task.Job, Step: key.task.Step, Index: key.task.Index, Run: key.number})
	}
	return record
}

// closeStart removes a run if all its start requests have been answered, and its worker holds no lease
// but those that leaders grant to this incarnation, or the records tell until when.
func (l *leadership) closeStart(r *run, now time.Time) {
	if len(r.unansweredStarts) == 0 && !l.mayHoldUnrecordedLease(r, now) {
		l.answeredStarts.remove(r)
	}
}

// endStart removes a run that has ended, unless a start request of it may still be executed, beside the
// next run of its task.
func (l *leadership) endStart(r *run, now time.Time) {
	if !now.Before(l.unansweredUntil(r)) {
		l.answeredStarts.remove(r)
	}
}

// forgetSettledStarts removes the runs whose start requests can no longer be executed, once the
// leases have expired that they, or requests to earlier incarnations of the worker, may have been
// granted.
func (l *leadership) forgetSettledStarts(now time.Time) {
	for _, r := range l.answeredStarts.open {
		if r.startAttempts > 0 && l.mayHoldUnrecordedLease(r, now) {
			continue
		}
		if !now.Before(l.longestLeaseFrom(later(l.unansweredUntil(r), r.wk.lateHolds.renewals.until))) {
			l.answeredStarts.remove(r)
		}
	}
}

func taskOf(r *job.RunName) site.TaskID {
	return site.TaskID{Job: r.Job, Step: r.Step, Index: r.Index}
}
