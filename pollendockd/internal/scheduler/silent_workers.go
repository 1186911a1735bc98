package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file handles workers that have runs of earlier terms and do not answer the leader. Any
// earlier leader may have renewed their leases until renewTimeout after its last append. A
// record keeps later leaders from that, so that the runs lapse however often the leader changes:
// a successor counts renewTimeout from the time at which it read the first record.

// silence is what the records say of a worker that does not answer.
type silence struct {
	// recorded is set from the append of the record on until its removal is durable.
	// Meanwhile no leader starts runs there.
	recorded bool
	// confirmed is set once this leader has appended the record, begunAt is when it did if no
	// earlier one had. A successor relies on records that the leader before it has confirmed.
	confirmed bool
	begunAt   time.Time
	// firstEpoch is that of the first leader of all those that have confirmed the record
	// without a gap. since is when its record was known to be durable, or zero.
	firstEpoch int64
	since      time.Time
}

const (
	// silentAfter is how long a worker leaves a new leader without an answer until that is
	// recorded.
	silentAfter = time.Second
	// maxSilentPerAppend limits the records of silent workers in an append.
	maxSilentPerAppend = 200
)

// inheritSilences takes over the records of silent workers. One that the last leader has not
// confirmed shows nothing: an earlier version does not know it, and may have renewed leases.
func (l *leadership) inheritSilences() {
	for id, s := range l.s.deps.View.SilentWorkers() {
		wk := l.workerOf(id)
		wk.silence = silence{recorded: true, firstEpoch: l.term.Epoch}
		if s.ReachesTo(l.term.Epoch - 1) {
			wk.silence.firstEpoch, wk.silence.since = s.FirstEpoch, s.Since
		}
	}
}

// addSilences adds to a batch the records of workers that do not answer, and removes those
// of workers that have answered or whose runs have ended.
func (l *leadership) addSilences(b *batch, now time.Time) error {
	for _, wk := range l.workers {
		if len(b.silent)+len(b.answered) >= maxSilentPerAppend {
			break
		}
		s := &wk.silence
		silent := wk.boot == 0 && len(wk.runs) > 0
		switch {
		case s.recorded && !silent:
			b.answered = append(b.answered, wk)
			b.entries = append(b.entries, job.SilentWorkerRemovalEntry(wk.id))
		case silent && !s.confirmed && (s.recorded || now.Sub(l.startedAt) >= silentAfter):
			e, err := l.recordSilence(wk, now)
			if err != nil {
				return err
			}
			b.silent = append(b.silent, wk)
			b.entries = append(b.entries, e)
		}
	}
	return nil
}

// recordSilence returns the entry that records or confirms that a worker does not answer.
func (l *leadership) recordSilence(wk *worker, now time.Time) (site.Entry, error) {
	s := &wk.silence
	if !s.recorded {
		s.recorded, s.firstEpoch = true, l.term.Epoch
	}
	s.confirmed = true
	if s.firstEpoch == l.term.Epoch {
		s.begunAt = now
	}
	l.s.deps.Counts.Count("silent_workers_recorded", 1)
	_ = level.Info(l.s.deps.Logger).Log("msg", "worker has runs and does not answer; its leases are no longer renewed", "worker", wk.id,
		"runs", len(wk.runs), "epoch", l.term.Epoch, "firstEpoch", s.firstEpoch, "sinceMs", millisSince(time.Now(), s.since))
	return job.SilentWorkerEntry(wk.id, &job.EpochRange{Epoch: l.term.Epoch, FirstEpoch: s.firstEpoch})
}

// silencesDurable notes that the records of a batch are durable.
func (b *batch) silencesDurable(now time.Time) {
	for _, wk := range b.answered {
		wk.silence = silence{}
	}
	for _, wk := range b.silent {
		if wk.silence.since.IsZero() {
			wk.silence.since = now
		}
	}
}

// mayRenewFor reports whether this term may renew the leases of a worker. One that has answered
// after it was recorded gets no later lease than a successor allows to leaders that did not know
// the record. When an earlier leader's record was read there is not known here.
func (l *leadership) mayRenewFor(wk *worker, now time.Time) bool {
	s := &wk.silence
	switch {
	case !l.mayRenew(now):
		return false
	case !s.confirmed:
		return true
	}
	return !s.begunAt.IsZero() && within(l.renewTimeout(), now, s.begunAt, s.begunAt.Round(0))
}

// inheritedLapseAt is when no run that an earlier leader started can still be running on a worker
// that has not answered this one. The worker gets the time to answer before that counts.
func (l *leadership) inheritedLapseAt(wk *worker) time.Time {
	leases := later(l.renewalsEnd(wk.silence.notAfter(l.startedAt)), l.longLeasesEnd(wk))
	return later(leases, l.startedAt.Add(silentAfter))
}

// notAfter returns the time, or since when the worker is recorded as silent if that is earlier.
func (s *silence) notAfter(at time.Time) time.Time {
	if s.since.IsZero() || s.since.After(at) {
		return at
	}
	return s.since
}
