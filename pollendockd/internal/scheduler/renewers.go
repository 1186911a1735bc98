package scheduler

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/sleep"
)

// This file tells until when leaders before the present one may renew leases. One whose process has
// ended renews none. The VMs note the end of a leader that they have watched, and the leader asks for
// the process of each other one at the address of its VM. Which leaders there were is in a record, for
// a VM that has started since.

// processEnded is posted when the process of an earlier leader is known to have ended.
type processEnded struct {
	l           *leadership
	incarnation string
}

const (
	// askTimeout limits the time for a VM to tell which process it is, askInterval is the time
	// until the next attempt if it does not.
	askTimeout  = 500 * time.Millisecond
	askInterval = 250 * time.Millisecond
)

// renewersEntry returns the record of the leaders that may renew leases when the term of an epoch
// begins, or nil if not all of them are known.
func (s *Scheduler) renewersEntry(epoch int64, now time.Time) (*site.Entry, error) {
	leaders, known := s.earlierRenewers(epoch, now)
	if !known || len(leaders) >= job.MaxRenewers {
		return nil, nil
	}
	leaders = append(leaders, job.TermOf{Epoch: epoch, Incarnation: s.opt.Incarnation})
	e, err := job.RenewersEntry(&job.Renewers{Epoch: epoch, Leaders: leaders})
	return &e, err
}

// earlierRenewers returns the leaders before an epoch that may renew leases, and whether all of them
// are known. A leader has sent its last append before the next term began.
func (s *Scheduler) earlierRenewers(epoch int64, now time.Time) ([]job.TermOf, bool) {
	record, terms := s.deps.View.Renewers(), s.deps.View.Terms()
	var leaders []job.TermOf
	for before := epoch - 1; before >= initialEpoch; before-- {
		t := termOf(terms, before)
		switch {
		case record.Covers(before):
			leaders = append(leaders, record.UpTo(before)...)
			return withoutSettled(leaders, terms, now), true
		case t == nil || t.Incarnation == "":
			return nil, false
		}
		leaders = append(leaders, job.TermOf{Epoch: before, Incarnation: t.Incarnation})
		if now.Sub(t.Since) > streamTimeout {
			return leaders, true
		}
	}
	return leaders, true
}

// withoutSettled removes the leaders that were followed by others so long ago that they renew none.
func withoutSettled(leaders []job.TermOf, terms []job.LeaderTerm, now time.Time) []job.TermOf {
	first := int64(initialEpoch)
	for i := range terms {
		if now.Sub(terms[i].Since) > streamTimeout {
			first = max(first, terms[i].Epoch)
		}
	}
	return slices.DeleteFunc(leaders, func(t job.TermOf) bool { return t.Epoch < first })
}

// addRenewers adds to a batch that goes out anyway, once in a term, the record that no leader before
// this one renews leases any more.
func (l *leadership) addRenewers(b *batch, now time.Time) error {
	if l.renewersAppended || now.Sub(l.startedAt) <= streamTimeout {
		return nil
	}
	l.renewersAppended = true
	self := job.TermOf{Epoch: l.term.Epoch, Incarnation: l.s.opt.Incarnation}
	e, err := job.RenewersEntry(&job.Renewers{Epoch: l.term.Epoch, Leaders: []job.TermOf{self}})
	if err != nil {
		return err
	}
	b.entries = append(b.entries, e)
	return nil
}

// termOf returns the term of an epoch, or nil.
func termOf(terms []job.LeaderTerm, epoch int64) *job.LeaderTerm {
	for i := range terms {
		if terms[i].Epoch == epoch {
			return &terms[i]
		}
	}
	return nil
}

// noteOthersRenewals notes until when earlier leaders renew leases, and for the ends of which it
// waits. The last append of all leaders before another was sent before the term of that one began.
func (l *leadership) noteOthersRenewals() {
	record, terms := l.s.deps.View.Renewers(), l.s.deps.View.Terms()
	l.othersRenewUntil, l.awaitedEnds = time.Time{}, nil
	next := l.startedAt
	for epoch := l.term.Epoch - 1; epoch >= initialEpoch; epoch-- {
		t := termOf(terms, epoch)
		if t == nil || t.Incarnation == "" {
			l.noteRecordedRenewers(record, epoch, next)
			return
		}
		if !l.noteRenewer(t.Incarnation, next) {
			return
		}
		next = t.Since
	}
}

// noteRecordedRenewers does so for the leaders up to an epoch, whose terms this VM has not read. The
// term after it began at the time next at the latest.
func (l *leadership) noteRecordedRenewers(record *job.Renewers, epoch int64, next time.Time) {
	if !record.Covers(epoch) {
		l.othersRenewUntil = later(l.othersRenewUntil, next.Add(l.renewTimeout()))
		return
	}
	// Those that it leaves out renewed none when it was appended.
	l.othersRenewUntil = later(l.othersRenewUntil, l.startedAt)
	for _, t := range record.UpTo(epoch) {
		l.noteRenewer(t.Incarnation, next)
	}
}

// noteRenewer notes until when a leader may renew leases that was followed by another at the time next
// at the latest. It reports whether its process has ended.
func (l *leadership) noteRenewer(incarnation string, next time.Time) bool {
	until, ended := l.s.endOf(incarnation, l.startedAt)
	if !ended {
		until = next.Add(l.renewTimeout())
	}
	if !ended && until.After(l.startedAt) {
		l.awaitedEnds = append(l.awaitedEnds, incarnation)
	}
	l.othersRenewUntil = later(l.othersRenewUntil, until)
	return ended
}

// noteLeaderEnd notes that the process of a leader has ended. It forgets those that could renew no lease
// by now.
func (s *Scheduler) noteLeaderEnd(incarnation string, now time.Time) {
	maps.DeleteFunc(s.leaderEnds, func(_ string, at time.Time) bool { return now.Sub(at) > streamTimeout })
	if _, known := s.leaderEnds[incarnation]; !known {
		s.leaderEnds[incarnation] = now
	}
}

// endOf returns by when the process of a leader had ended, if that is known. This VM's own earlier
// terms, and those of its earlier processes, have ended when a later one begins.
func (s *Scheduler) endOf(incarnation string, begins time.Time) (time.Time, bool) {
	if nameOf(incarnation) == s.opt.Name {
		return begins, true
	}
	at, found := s.leaderEnds[incarnation]
	return at, found
}

// nameOf returns the name of the VM of an incarnation.
func nameOf(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, "/")
	return name
}

// awaitEnds asks for the processes of the earlier leaders whose end is not known.
func (l *leadership) awaitEnds() {
	for _, incarnation := range l.awaitedEnds {
		if l.askedEnds[incarnation] {
			continue
		}
		l.askedEnds[incarnation] = true
		l.spawn(func(ctx context.Context) event {
			if !l.s.awaitEnd(ctx, incarnation, l.renewTimeout()) {
				return nil
			}
			return processEnded{l, incarnation}
		})
	}
}

// awaitEnd asks for a process until it is known to have ended, and reports that it is.
func (s *Scheduler) awaitEnd(ctx context.Context, incarnation string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		ask, done := context.WithTimeout(ctx, askTimeout)
		ended := s.deps.Peers.Ended(ask, incarnation)
		done()
		if ended {
			return true
		}
		sleep.For(ctx, askInterval)
	}
	return false
}

func (e processEnded) handle(s *Scheduler) {
	l, now := e.l, time.Now()
	s.noteLeaderEnd(e.incarnation, now)
	if !l.current() {
		return
	}
	l.noteOthersRenewals()
	l.awaitEnds()
	_ = level.Info(s.deps.Logger).Log("msg", "the process of an earlier leader has ended", "leader", e.incarnation, "epoch", l.term.Epoch,
		"termAgeMs", now.Sub(l.startedAt).Milliseconds(), "othersRenewMs", max(0, l.othersRenewUntil.Sub(now)).Milliseconds())
}
