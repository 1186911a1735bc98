package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

// This file handles start requests that are executed late, by a later incarnation of their
// worker. Such a request carries the current fencing token and the worker's id, so nothing
// but a stop of the run keeps the new incarnation from executing it. The stops are sent as
// soon as an incarnation has answered for the first time. Until a list shows what was
// started there before them, the worker gets no new runs, and the runs in question are not
// taken for ended.
//
// While no incarnation answers, the task of such a run waits until the request can no longer
// be executed and the lease of a run that it started has expired, unless the request may have
// been lost in the crash itself, or carries a ticket: the advisor's tickets are valid for one
// incarnation of a worker.

type (
	// lateStarts holds the start requests of a worker that may still be executed.
	lateStarts struct {
		// unanswered holds them by run.
		unanswered map[runKey][]lateStart
		// barring is set while it is not certain which of them the present incarnation has
		// executed, or will execute.
		barring bool
		// unbarred holds the runs whose stop it has not confirmed, and when the next stop
		// request is due.
		unbarred map[runKey]time.Time
		// barredAt is when the last of them was confirmed.
		barredAt time.Time
	}

	// lateStart is a start request that may still be executed.
	lateStart struct {
		sentAt time.Time
		// boot is the incarnation that it was sent to, ticketed is set if no later one executes it.
		boot     int64
		ticketed bool
	}

	barDone struct {
		l    *leadership
		wk   *worker
		boot int64
		key  runKey
		err  error
	}
)

const (
	// maxRequestDelay is the longest time after which a request without an answer is executed.
	maxRequestDelay = 12500 * time.Millisecond
	// maxInheritedStartDelay is the longest time after its dispatch was read after which a start
	// of an earlier leader is executed.
	maxInheritedStartDelay = shortStartDelay + maxRequestDelay
)

func (s *lateStarts) sent(key runKey, start lateStart) {
	if s.unanswered == nil {
		s.unanswered = map[runKey][]lateStart{}
	}
	s.unanswered[key] = append(s.unanswered[key], start)
}

// answered removes a request that will not be executed again.
func (s *lateStarts) answered(key runKey, sentAt time.Time) {
	left := s.unanswered[key]
	if i := slices.IndexFunc(left, func(s lateStart) bool { return s.sentAt.Equal(sentAt) }); i >= 0 {
		left = slices.Delete(left, i, i+1)
	}
	s.keep(key, left)
}

// expire removes the requests that can no longer be executed.
func (s *lateStarts) expire(now time.Time) {
	for key, sent := range s.unanswered {
		s.keep(key, slices.DeleteFunc(sent, func(s lateStart) bool { return now.Sub(s.sentAt) >= maxRequestDelay }))
	}
}

func (s *lateStarts) keep(key runKey, left []lateStart) {
	if len(left) == 0 {
		delete(s.unanswered, key)
		return
	}
	s.unanswered[key] = left
}

// until returns when none of them can be executed any more.
func (s *lateStarts) until() time.Time {
	last := time.Time{}
	for _, sent := range s.unanswered {
		last = later(last, sent[len(sent)-1].sentAt.Add(maxRequestDelay))
	}
	return last
}

// pending reports whether a start request of the run may still be executed.
func (s *lateStarts) pending(key runKey) bool {
	return len(s.unanswered[key]) > 0
}

// undecided reports whether the present incarnation may have executed a start request of the
// run that was sent to an earlier one, or may yet do so.
func (s *lateStarts) undecided(key runKey) bool {
	return s.barring && s.pending(key)
}

// begin begins to bar the runs on a new incarnation. Those that it lists are there, and their
// requests have no further effect.
func (s *lateStarts) begin(h *site.HoldReply, now time.Time) {
	s.unbarred = map[runKey]time.Time{}
	for key := range s.unanswered {
		s.unbarred[key] = now
	}
	for i := range h.Running {
		delete(s.unbarred, runKey{h.Running[i].Task, h.Running[i].Run})
	}
	s.barring = len(s.unbarred) > 0
}

// barred notes that the present incarnation has confirmed a stop, and reports whether it was
// the last one.
func (s *lateStarts) barred(key runKey, now time.Time) bool {
	if _, found := s.unbarred[key]; !found {
		return false
	}
	delete(s.unbarred, key)
	s.barredAt = now
	return len(s.unbarred) == 0
}

// listed notes that a list was read that was requested at the given time.
func (s *lateStarts) listed(sentAt time.Time) {
	if s.barring && len(s.unbarred) == 0 && !sentAt.Before(s.barredAt) {
		s.barring = false
	}
}

// barLateStarts updates what is known of late starts from an answer, which is the first one
// of an incarnation if restarted is set.
func (l *leadership) barLateStarts(wk *worker, h *site.HoldReply, restarted bool, sentAt, now time.Time) {
	if !restarted {
		wk.lateStarts.listed(sentAt)
		return
	}
	wk.lateStarts.begin(h, now)
	if !wk.lateStarts.barring {
		return
	}
	l.s.deps.Counts.Count("late_starts_barred", int64(len(wk.lateStarts.unbarred)))
	_ = level.Info(l.s.deps.Logger).Log("msg", "start requests without an answer may still be executed by a later incarnation; stopping their runs",
		"worker", wk.id, "boot", wk.boot, "runs", len(wk.lateStarts.unbarred))
	l.sendBars(wk, now)
}

// sendBars sends the stop requests that are due.
func (l *leadership) sendBars(wk *worker, now time.Time) {
	for key, due := range wk.lateStarts.unbarred {
		if now.Before(due) {
			continue
		}
		wk.lateStarts.unbarred[key] = now.Add(stopTimeout + stopRetryDelay)
		l.bar(wk, key)
	}
}

func (l *leadership) bar(wk *worker, key runKey) {
	req := &site.StopRequest{Task: key.task, Run: key.number, Token: l.term.Epoch}
	client, boot := wk.client, wk.boot
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		_, err := client.Stop(ctx, req)
		return barDone{l, wk, boot, key, err}
	})
}

func (e barDone) handle(s *Scheduler) {
	l, wk := e.l, e.wk
	if !l.current() || wk.boot != e.boot {
		return
	}
	var refusal *site.RefusalError
	if errors.As(e.err, &refusal) && refusal.Reason == site.RefusedFenced {
		s.endLeadership("a worker has received requests of a later term")
		return
	}
	now := time.Now()
	if e.err == nil && wk.lateStarts.barred(e.key, now) {
		l.requestLists(wk, now)
	}
}

// mayRunLater reports whether a later incarnation of a worker that no longer answers may still
// execute a start request of the run, or hold the lease that it granted to one.
func (l *leadership) mayRunLater(r *run, now time.Time) bool {
	if r.stage == planned {
		return false
	}
	if now.Before(l.longestLeaseFrom(r.misdirectedUntil)) {
		return true
	}
	executable := l.startableUntil(r)
	if executable.IsZero() {
		return false
	}
	// A renewal that is executed late, too, prolongs the lease.
	return now.Before(l.longestLeaseFrom(later(executable, r.wk.lateHolds.renewals.until)))
}

// startableUntil is until when a later incarnation of a worker that no longer answers may execute
// a start request of the run; zero if it can't. One that the worker has left unanswered while it
// answered others it may; one after which it has answered nothing was lost with the worker.
func (l *leadership) startableUntil(r *run) time.Time {
	if r.startAttempts == 0 || l.startNeedsTicket(r) {
		return l.unansweredUntil(r)
	}
	until := time.Time{}
	for _, at := range r.unansweredStarts {
		if !at.After(r.wk.answeredAt.Add(-startTimeout)) {
			until = later(until, at.Add(maxRequestDelay))
		}
	}
	return until
}

// unansweredUntil is when no later incarnation can execute a start request of the run any more that
// got no answer, or of which no answer is known; zero if there is none.
func (l *leadership) unansweredUntil(r *run) time.Time {
	if r.startsAnswered || l.startNeedsTicket(r) && (r.startAttempts > 0 || l.ticketIsForRecorded(r)) {
		return time.Time{}
	}
	if r.startAttempts == 0 {
		return later(r.inheritedStartUntil(), l.inheritedRenewalUntil(r))
	}
	until := time.Time{}
	for _, at := range r.unansweredStarts {
		until = later(until, at.Add(maxRequestDelay))
	}
	return until
}

// inheritedStartUntil is when no start request of an earlier leader for the run can be executed any more. That
// one has sent them once it knew that the dispatch is durable, which is soon unless its append got no answer.
func (r *run) inheritedStartUntil() time.Time {
	return r.wk.silence.notAfter(r.tj.inheritedAt).Add(maxInheritedStartDelay + r.tj.inheritedDelay)
}

// inheritedRenewalUntil is when no renewal of an earlier leader can be executed any more that may prolong the
// lease of such a start; zero if none may.
func (l *leadership) inheritedRenewalUntil(r *run) time.Time {
	if !r.othersRenewed {
		return time.Time{}
	}
	return l.lastRenewals().Add(maxRequestDelay)
}

// ticketIsForRecorded reports whether the ticket of an earlier leader's run is for the incarnation that the
// run was decided for, and the records tell how long that one's leases are. A worker that restarts while
// the leader asks for the ticket gets one for its later incarnation, which is listed a heartbeat later.
func (l *leadership) ticketIsForRecorded(r *run) bool {
	wk := r.wk
	if !l.settled.records(wk.id, r.boot) || wk.listed && wk.upstream.Boot != r.boot {
		return false
	}
	return l.s.listedAt.After(r.tj.inheritedAt.Add(l.s.opt.Bounds.Heartbeat + entryDelay))
}

// startNeedsTicket reports whether the start requests of the run are refused without a ticket for the
// present incarnation of the worker.
func (l *leadership) startNeedsTicket(r *run) bool {
	if r.startAttempts > 0 {
		return r.ticket != ""
	}
	if l.s.deps.Advisor == nil {
		return false
	}
	q := l.queueOf(l.s.deps.Catalog(), r.tj)
	return q != nil && q.Advice != nil
}
