package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"pollendock.example/cell/site"
)

type (
	startDone struct {
		l      *leadership
		r      *run
		sentAt time.Time
		// lastClock is the worker's clock in its last answer before the request, which was read
		// at lastAnsweredAt, and clock that in the answer.
		lastClock      time.Duration
		lastAnsweredAt time.Time
		clock          time.Duration
		err            error
	}

	stopDone struct {
		l *leadership
		r *run
		// boot is the incarnation that had answered last when the request was sent.
		boot int64
		err  error
	}
)

const (
	// An unanswered start is resent, up to maxStartAttempts attempts in all. Starts are
	// idempotent: the worker executes a run once, however often it is requested.
	startTimeout     = 250 * time.Millisecond
	maxStartAttempts = 3
	stopTimeout      = 300 * time.Millisecond
	stopRetryDelay   = 100 * time.Millisecond
	// refusalBackoff keeps new runs away from a worker that has refused one.
	refusalBackoff = 500 * time.Millisecond
)

var errStartTooLate = errs.New("the dispatch is too old")

// sendStart sends the start request of a run whose dispatch is durable.
func (l *leadership) sendStart(r *run) {
	if r.stopWanted {
		l.endRun(r, site.NotRun, "stopped before its start request was sent")
		return
	}
	if r.startAttempts == 0 && r.tj.runsUnrecorded(r.task) {
		l.endRun(r, site.NotRun, "a run of the task that is not in the records was found")
		return
	}
	now := time.Now()
	allowed := r.dispatchAge.allows(now)
	if r.startAttempts == 0 && !allowed {
		l.endRun(r, site.NotRun, "its dispatch became durable too late")
		return
	}
	if r.startAttempts > 0 && (!allowed || r.wk.boot != r.boot || l.mustNotResend(r) || !r.wk.capacityKnown(now)) {
		l.verifyRun(r, now)
		return
	}
	if r.startAttempts == 0 && r.wk.boot != r.boot {
		l.endRun(r, site.NotRun, "the worker has restarted")
		return
	}
	if r.startAttempts == 0 && r.wk.holdFails > 0 {
		l.endRun(r, site.NotRun, "the worker has stopped answering")
		return
	}
	end := l.startLease(r.wk, now)
	if end == 0 && r.startAttempts > 0 {
		l.verifyRun(r, now)
		return
	}
	if end == 0 {
		l.endRun(r, site.NotRun, "last answer of the worker is too old")
		return
	}
	req := &site.StartRequest{
		Task: r.task, Run: r.number, Spec: r.tj.sub.Spec, Token: l.term.Epoch, Ticket: r.ticket,
		LeaseEnd: end, Checkpoint: r.tj.checkpoints[r.tj.representative(r.task)].text,
	}
	r.stage = starting
	r.sentAt = now
	r.startAttempts++
	r.unansweredStarts = append(r.unansweredStarts, now)
	r.wk.lateStarts.sent(r.key(), lateStart{now, r.boot, r.ticket != ""})
	l.answeredStarts.add(r)
	client, lastClock, lastAnsweredAt, age := r.wk.client, r.wk.clock, r.wk.clockAt, r.dispatchAge
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		if !age.allows(time.Now()) {
			// The process has stood still since.
			return startDone{l, r, now, lastClock, lastAnsweredAt, 0, errStartTooLate}
		}
		clock, err := client.Start(ctx, req)
		return startDone{l, r, now, lastClock, lastAnsweredAt, clock, err}
	})
}

func (e startDone) handle(s *Scheduler) {
	l, r := e.l, e.r
	var refusal *site.RefusalError
	if e.err == nil || errors.As(e.err, &refusal) {
		r.unansweredStarts = slices.DeleteFunc(r.unansweredStarts, e.sentAt.Equal)
		r.wk.lateStarts.answered(r.key(), e.sentAt)
		if e.err == nil {
			e.noteExecution(time.Now())
		}
		l.closeStart(r, time.Now())
	}
	switch {
	case e.err == nil:
		r.wk.answeredAt = time.Now()
	case refusal == nil && r.wk.answeredAt.Before(e.sentAt):
		r.wk.noteUnansweredStart(time.Now())
	}
	if !l.current() || !r.bound() {
		return
	}
	now := time.Now()
	s.deps.Counts.Time("start", now.Sub(r.sentAt))
	switch {
	case e.err == nil:
		l.logRun(r, "run started", "answerMs", now.Sub(r.sentAt).Milliseconds())
		if r.stage == starting {
			r.confirm(now)
			r.tj.runBegun(r)
		}
		if !r.wk.holdBusy {
			r.wk.holdAt = now
		}
	case refusal != nil:
		l.startRefused(r, now, refusal)
	case r.stage == starting:
		l.logRun(r, "start request got no answer", "sends", r.startAttempts, "err", e.err)
		if r.startAttempts < maxStartAttempts && !r.stopWanted {
			l.sendStart(r)
			return
		}
		l.verifyRun(r, now)
	}
}

// noteUnansweredStart notes that the worker has answered nothing since a start request, and lets it be
// asked at once whether it is there.
func (wk *worker) noteUnansweredStart(now time.Time) {
	wk.startUnanswered = true
	wk.holdAt = now
}

// verifyRun requests the worker's lists to find out whether a run exists.
func (l *leadership) verifyRun(r *run, now time.Time) {
	r.stage = unconfirmed
	l.requestLists(r.wk, now)
}

// startRefused handles a start request that was definitely not executed. An earlier
// attempt that was not answered may still be executed.
func (l *leadership) startRefused(r *run, now time.Time, refusal *site.RefusalError) {
	l.s.deps.Counts.Count("refused_"+refusal.Reason.String(), 1)
	switch refusal.Reason {
	case site.RefusedFenced:
		l.s.endLeadership("a worker has received requests of a later term")
		return
	case site.RefusedTicket:
		r.tj.dropTicket(r.task.Step, r.wk.id)
	case site.RefusedStaleRun, site.RefusedLeaseExpired:
	default:
		r.wk.backoffUntil = later(r.wk.backoffUntil, now.Add(refusalBackoff))
	}
	if r.startAttempts > 1 {
		l.logRun(r, "retried start request refused", "err", refusal)
		if r.stage == starting {
			l.verifyRun(r, now)
		}
		return
	}
	l.endRun(r, site.NotRun, refusal.Error())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendDueStops sends the stop requests that are due.
func (l *leadership) sendDueStops(wk *worker, now time.Time) {
	for _, r := range wk.runs {
		if !r.stopWanted || r.stopped || r.stopBusy || now.Before(r.stopAt) {
			continue
		}
		if r.stage == planned || r.stage == starting {
			continue
		}
		l.stop(r)
	}
}

func (l *leadership) stop(r *run) {
	r.stopBusy = true
	req := &site.StopRequest{Task: r.task, Run: r.number, Token: l.term.Epoch}
	client, boot := r.wk.client, r.wk.boot
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		_, err := client.Stop(ctx, req)
		return stopDone{l, r, boot, err}
	})
}

func (e stopDone) handle(s *Scheduler) {
	l, r := e.l, e.r
	if !l.current() || !r.bound() {
		return
	}
	now := time.Now()
	r.stopBusy = false
	var refusal *site.RefusalError
	switch {
	case e.err == nil && r.wk.boot != e.boot:
		r.stopAt = now
	case e.err == nil:
		r.stopped = true
		r.stoppedAt = now
		l.logRun(r, "run stopped")
		if r.stage == unconfirmed {
			r.listValidAfter = now
			l.requestLists(r.wk, now)
		}
	case errors.As(e.err, &refusal) && refusal.Reason == site.RefusedFenced:
		s.endLeadership("a worker has received requests of a later term")
	default:
		l.logRun(r, "stop request not confirmed", "err", e.err)
		r.stopAt = now.Add(stopRetryDelay)
	}
}
