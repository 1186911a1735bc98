package scheduler

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

const (
	// maxListGap is the longest time between two reads of the list that counts as no outage, if
	// heartbeats are not more frequent. One read without an answer is no outage, and a worker
	// has missed one heartbeat at most.
	maxListGap = pollTimeout + 2*tickInterval
	// An entry counts as rewritten for rewriteHeartbeats heartbeats.
	rewriteHeartbeats = 2
	// minRewrites is how often in a row a worker rewrites its entry without a change where entries
	// are rewritten with each heartbeat. Once is no proof: the worker may have changed and changed
	// back between two reads.
	minRewrites = 2
	// entryDelay covers the delay of a heartbeat, by a store that did not answer the one before
	// for example, and the time until a read returns the entry.
	entryDelay = 500 * time.Millisecond
)

// maxCapacityAge is the age up to which a start may rely on what a worker has told of its
// capacity; 0 if the deployment sets no limit.
func (s *Scheduler) maxCapacityAge() time.Duration {
	b := &s.opt.Bounds
	if b.Contact <= 0 || b.Heartbeat <= 0 {
		return 0
	}
	return b.Contact + b.Heartbeat - startTimeout
}

// noteListRead records that a read of the list, sent at the given time, was answered now.
func (s *Scheduler) noteListRead(sentAt, now time.Time) {
	s.listSince = s.answeredSince(s.listSince, min(maxListGap, s.opt.Bounds.Heartbeat), sentAt, now)
	s.listBackAt = s.answeredSince(s.listBackAt, maxListGap, sentAt, now)
	s.listedAt = later(s.listedAt, sentAt)
}

// answeredSince returns since when reads of the list have been answered without a longer gap,
// after a read that was sent at the given time, before which they were since the given time. A
// new leader has not read the list before its term; whether the store answered meanwhile it
// knows from the records.
func (s *Scheduler) answeredSince(since time.Time, maxGap time.Duration, sentAt, now time.Time) time.Time {
	if sentAt.Sub(s.listedAt) <= maxGap {
		return since
	}
	if l := s.lead; l != nil && s.listedAt.Before(l.startedAt) && now.Sub(l.startedAt) <= maxGap {
		return s.deps.Follower.AvailableSince()
	}
	return now
}

// confirmListed records what a read of the list says of workers that have written nothing new.
// Where entries are not rewritten without a change, an entry is as old as the store may have
// accepted no heartbeat of its worker: right after an outage it dates from before the outage,
// though it was read just now.
func (l *leadership) confirmListed(now time.Time) {
	asOf := l.s.listedAt.Add(-l.s.opt.Bounds.Heartbeat - entryDelay)
	if l.s.maxCapacityAge() == 0 || asOf.Before(l.s.listSince) {
		return
	}
	rewritten := l.entriesRewritten(now)
	for _, wk := range l.workers {
		if wk.listed && (!rewritten || wk.upstream.Clock == 0) {
			l.confirmCapacity(wk, asOf)
		}
	}
}

// entriesRewritten reports whether workers rewrite their entries with each heartbeat. A worker
// whose entry stays the same has then written nothing, for example because it is cut off from the
// store. Until a worker has been seen to do so, the majority of the workers decides; until half of
// them have answered in this term, the answer is yes.
func (l *leadership) entriesRewritten(now time.Time) bool {
	if l.s.entriesRewritten {
		return true
	}
	listed, answering, rewritten := 0, 0, 0
	for _, wk := range l.workers {
		if !wk.listed || wk.upstream.Clock == 0 {
			continue
		}
		listed++
		if !wk.answersAsListed() {
			continue
		}
		answering++
		if now.Sub(wk.writtenAt) < rewriteHeartbeats*l.s.opt.Bounds.Heartbeat {
			rewritten++
		}
	}
	if 2*answering <= listed && now.Sub(l.startedAt) < l.s.opt.Bounds.Heartbeat {
		return true
	}
	return 2*rewritten > answering
}

// countRewrites counts how often in a row the worker has rewritten its entry, now to u, without a
// change.
func (l *leadership) countRewrites(wk *worker, u *site.Upstream) {
	old := &wk.upstream
	if old.Clock == u.Clock {
		return
	}
	wk.rewrites++
	if !onlyClockChanged(old, u) || u.Clock-old.Clock > rewriteHeartbeats*l.s.opt.Bounds.Heartbeat {
		wk.rewrites = 0
	}
	l.s.entriesRewritten = l.s.entriesRewritten || wk.rewrites >= minRewrites
}

// onlyClockChanged reports whether two entries of a worker differ in nothing but the clock. Those
// of a worker that is cold change with the time.
func onlyClockChanged(old, u *site.Upstream) bool {
	if old.Clock == 0 || u.Clock == 0 || !old.ColdUntil.IsZero() || !u.ColdUntil.IsZero() {
		return false
	}
	return old.Service == u.Service && old.Addr == u.Addr && old.DataCentre == u.DataCentre && slices.Equal(old.Labels, u.Labels) &&
		old.Capacity == u.Capacity && old.Boot == u.Boot && old.Draining == u.Draining
}

// confirmWritten records when the worker wrote its entry: the entry and the answer to the last
// hold both tell the worker's clock. So a worker is used as soon as it has written again.
func (l *leadership) confirmWritten(wk *worker) {
	u := &wk.upstream
	if u.Clock == 0 || !wk.answersAsListed() {
		return
	}
	age := max(0, inWorkerTime(wk.clock-u.Clock))
	wk.writtenAt = later(wk.writtenAt, wk.clockAskedAt.Add(-age))
	l.confirmCapacity(wk, wk.writtenAt)
}

func (l *leadership) confirmCapacity(wk *worker, asOf time.Time) {
	wk.capacityUntil = later(wk.capacityUntil, asOf.Add(l.s.maxCapacityAge()))
}

// capacityKnown reports whether the worker has told its capacity recently enough for starts
// that rely on it.
func (wk *worker) capacityKnown(now time.Time) bool {
	return !wk.capacityExpires || now.Before(wk.capacityUntil)
}

// heldForCapacity reports whether the worker gets no starts although it answers, because it has
// not told its capacity for too long.
func (wk *worker) heldForCapacity(now time.Time) bool {
	return wk.listed && wk.answersAsListed() && !wk.capacityKnown(now)
}

// someHeldForCapacity reports whether there is such a worker. A forecast from the others alone
// would refuse jobs that are started a heartbeat later.
func (l *leadership) someHeldForCapacity(now time.Time) bool {
	for _, wk := range l.workers {
		if wk.heldForCapacity(now) {
			return true
		}
	}
	return false
}

// watchCapacities logs and counts the workers that are held for their capacity.
func (l *leadership) watchCapacities(now time.Time) {
	begun, held := 0, 0
	for _, wk := range l.workers {
		was := wk.held
		wk.held = wk.heldForCapacity(now)
		if wk.held {
			held++
		}
		if wk.held && !was {
			begun++
		}
	}
	l.heldWorkers = held
	l.s.deps.Counts.Count("workers_held_for_capacity", int64(begun))
	switch {
	case held > 0 && l.heldSince.IsZero():
		l.heldSince = now
		_ = level.Warn(l.s.deps.Logger).Log("msg", "starts held: workers have not told their capacity for too long", "workers", held,
			"listAgeMs", now.Sub(l.s.listedAt).Milliseconds(), "listSinceMs", now.Sub(l.s.listSince).Milliseconds())
	case held == 0 && !l.heldSince.IsZero():
		took := now.Sub(l.heldSince)
		l.heldSince = time.Time{}
		l.s.deps.Counts.Time("capacity_unknown", took)
		_ = level.Info(l.s.deps.Logger).Log("msg", "capacity of all listed workers known again", "heldMs", took.Milliseconds())
	}
}

// dropOvercommitted ends the runs for which there is no capacity any more: their worker
// has shrunk since they were decided, or may have, as it has not spoken for too long. Like
// dropEvacuated it is called before the first start request of a batch is sent.
func (l *leadership) dropOvercommitted(starts []*run, now time.Time) {
	tooOld := now.Sub(l.s.listedAt) > maxListAge
	dropped := l.dropPlanned(starts, func(r *run) string {
		switch {
		case tooOld:
			return "the list of workers is too old"
		case !r.wk.capacityKnown(now):
			return "the worker has not told its capacity for too long"
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
