package scheduler

import (
	"context"
	"errors"
	"time"

	"pollendock.example/cell/site"
)

type (
	startDone struct {
		l   *leadership
		r   *run
		err error
	}

	stopDone struct {
		l   *leadership
		r   *run
		err error
	}
)

const (
	// A start without an answer is sent again, maxSends times in all: the worker
	// takes a run once, however often it is told to.
	startTimeout = 250 * time.Millisecond
	maxSends     = 3
	stopTimeout  = 300 * time.Millisecond
	stopRetry    = 100 * time.Millisecond
	// restAfterRefusal keeps new runs away from a worker that refused one.
	restAfterRefusal = 500 * time.Millisecond
)

// order sends the start of a run whose dispatch is durable.
func (l *leadership) order(r *run) {
	if r.stopWanted {
		l.endRun(r, site.NotRun, "ended before its order was sent")
		return
	}
	now := time.Now()
	end := l.nextLease(r.at, now)
	if end == 0 && r.sends > 0 {
		l.doubt(r, now)
		return
	}
	if end == 0 {
		l.endRun(r, site.NotRun, "the worker has not answered for too long")
		return
	}
	o := &site.StartRequest{
		Task: r.task, Run: r.number, Spec: r.w.sub.Spec, Token: l.term.Epoch, Ticket: r.ticket,
		LeaseEnd: end, Checkpoint: r.w.checkpoints[r.w.checkpointKey(r.task)],
	}
	r.stage = starting
	r.sentAt = now
	r.sends++
	client := r.at.client
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		_, err := client.Start(ctx, o)
		return startDone{l, r, err}
	})
}

func (e startDone) handle(s *Scheduler) {
	l, r := e.l, e.r
	if !l.current() || r.at.runs[r.key()] != r {
		return
	}
	now := time.Now()
	s.deps.Counts.Time("start", now.Sub(r.sentAt))
	var refusal *site.RefusalError
	switch {
	case e.err == nil:
		l.logRun(r, "run started", "answerMs", now.Sub(r.sentAt).Milliseconds())
		if r.stage == starting {
			r.confirm(now)
			r.w.begun = true
		}
		if !r.at.holdBusy {
			r.at.holdAt = now
		}
	case errors.As(e.err, &refusal):
		l.startRefused(r, now, refusal)
	case r.stage == starting:
		l.logRun(r, "start without an answer", "sends", r.sends, "err", e.err)
		if r.sends < maxSends && !r.stopWanted {
			l.order(r)
			return
		}
		l.doubt(r, now)
	}
}

// doubt has the worker's lists tell whether a run exists.
func (l *leadership) doubt(r *run, now time.Time) {
	r.stage = unsettled
	l.look(r.at, now)
}

// startRefused handles an order that was certainly not carried out. One that was
// sent before it without an answer may be carried out still.
func (l *leadership) startRefused(r *run, now time.Time, refusal *site.RefusalError) {
	l.s.deps.Counts.Count("refused_"+refusal.Reason.String(), 1)
	switch refusal.Reason {
	case site.RefusedFenced:
		l.s.endLeadership("a worker has orders of a later term")
		return
	case site.RefusedTicket:
		r.w.dropTicket(r.task.Step, r.at.id)
	case site.RefusedStaleRun, site.RefusedLeaseExpired:
	default:
		r.at.restUntil = later(r.at.restUntil, now.Add(restAfterRefusal))
	}
	if r.sends > 1 {
		l.logRun(r, "repeated start refused", "err", refusal)
		l.doubt(r, now)
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

// tickRuns sends the stops that are due.
func (l *leadership) tickRuns(at *worker, now time.Time) {
	for _, r := range at.runs {
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
	o := &site.StopRequest{Task: r.task, Run: r.number, Token: l.term.Epoch}
	client := r.at.client
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		_, err := client.Stop(ctx, o)
		return stopDone{l, r, err}
	})
}

func (e stopDone) handle(s *Scheduler) {
	l, r := e.l, e.r
	if !l.current() || r.at.runs[r.key()] != r {
		return
	}
	now := time.Now()
	r.stopBusy = false
	var refusal *site.RefusalError
	switch {
	case e.err == nil:
		r.stopped = true
		l.logRun(r, "run stopped")
		if r.stage == unsettled {
			r.settledAfter = now
			l.look(r.at, now)
		}
	case errors.As(e.err, &refusal) && refusal.Reason == site.RefusedFenced:
		s.endLeadership("a worker has orders of a later term")
	default:
		l.logRun(r, "stop not confirmed", "err", e.err)
		r.stopAt = now.Add(stopRetry)
	}
}
