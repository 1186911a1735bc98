package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

type (
	holdDone struct {
		l       *leadership
		wk      *worker
		sentAt  time.Time
		regular bool
		// wait is how long the worker may leave it unanswered while no run ends.
		wait time.Duration
		// acked is the number of the end up to which the hold acknowledges all, 0 if it
		// acknowledges none. renews is set if it renews the lease.
		acked  int64
		renews bool
		reply  *site.HoldReply
		err    error
	}
)

const (
	// If the answer to a hold is lost, the end of a run is seen up to holdWait plus
	// holdTimeout late.
	holdWait    = 600 * time.Millisecond
	holdTimeout = 400 * time.Millisecond
	// holdInterval groups run ends that occur close together into one answer.
	holdInterval = 20 * time.Millisecond
	// idleHoldInterval is the time between holds of a worker that runs nothing.
	idleHoldInterval = 1500 * time.Millisecond
	holdRetryDelay   = 150 * time.Millisecond
	// unackedHoldInterval is the time between holds of a worker with unacknowledged run
	// ends.
	unackedHoldInterval = 150 * time.Millisecond
	maxEndedRows        = 500
)

// hold renews the lease and requests the lists of runs. If the worker runs anything, it
// waits for a run to end.
func (l *leadership) hold(wk *worker, now time.Time) {
	wk.holdBusy = true
	wait := time.Duration(0)
	if wk.boot != 0 && wk.watched() && wk.holdFails == 0 && !wk.startUnanswered {
		wait = holdWait
	}
	leaseEnd := time.Duration(0)
	if !wk.mayLapse() {
		leaseEnd = l.nextLease(wk, now)
	}
	l.sendHold(wk, now, leaseEnd, wait, true)
}

// requestLists requests the lists of runs at once, in parallel with a hold that waits. That one
// has renewed the lease.
func (l *leadership) requestLists(wk *worker, now time.Time) {
	l.sendHold(wk, now, 0, 0, false)
}

func (l *leadership) sendHold(wk *worker, now time.Time, leaseEnd, wait time.Duration, regular bool) {
	req := &site.HoldRequest{Token: l.term.Epoch, Acked: wk.ackable(), LeaseEnd: leaseEnd, Wait: wait}
	client := wk.client
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, wait+holdTimeout)
		defer cancel()
		reply, err := client.Hold(ctx, req)
		return holdDone{l, wk, now, regular, wait, req.Acked, req.LeaseEnd > 0, reply, err}
	})
}

func (e holdDone) handle(s *Scheduler) {
	l, wk := e.l, e.wk
	if !l.current() {
		return
	}
	now := time.Now()
	if e.regular {
		wk.holdBusy = false
		l.endPacedHold(wk, now)
	}
	if e.err != nil {
		l.noteUnansweredHold(&e, now)
		l.holdFailed(&e)
		return
	}
	if wk.overtaken(e.reply, e.sentAt) {
		l.dropOvertaken(&e, now)
		return
	}
	if wk.unreachable {
		wk.unreachable = false
		_ = level.Info(s.deps.Logger).Log("msg", "worker reachable again", "worker", wk.id, "boot", e.reply.Boot)
	}
	restarted := wk.boot != e.reply.Boot
	if restarted {
		l.markCrashed(wk, e.reply.Boot, "a later incarnation answered")
	}
	l.resolveDoubtfulCrashes(wk, e.reply.Boot)
	wk.recordAnswer(now)
	l.noteListed(wk, e.reply, now)
	if !restarted {
		l.noteLeftStarts(wk, now)
	}
	wk.lateHolds.answered(restarted)
	wk.holdAt = now.Add(holdInterval)
	if !wk.watched() {
		wk.holdAt = now.Add(idleHoldInterval)
	} else if wk.keepsEnds() || wk.unreadable.rows > 0 {
		// Unacknowledged ends cause the worker to answer each hold at once.
		wk.holdAt = now.Add(unackedHoldInterval)
	}
	if restarted {
		l.resetBoot(wk, e.reply)
		l.awaitLateHolds(wk, now)
		wk.holdAt = now
	}
	wk.acknowledged(&e)
	l.noteMisdirectedRenewal(&e)
	wk.clock = e.reply.Clock
	wk.clockAskedAt = e.sentAt
	l.confirmWritten(wk)
	l.processEnds(wk, e.reply)
	l.noteUnreadableRows(wk, e.reply, now)
	l.releaseKeptEnds(wk, e.reply)
	l.noteKeptEnds(wk, e.reply)
	l.barLateStarts(wk, e.reply, restarted, e.sentAt, now)
	l.processRuns(wk, e.reply, e.sentAt, now)
}

// watched reports whether holds wait at the worker, so that its restart is noticed at once.
func (wk *worker) watched() bool {
	return len(wk.runs) > 0 || len(wk.lateStarts.unanswered) > 0
}

// recordAnswer notes that the worker has answered, and since when it does so after an
// outage.
func (wk *worker) recordAnswer(now time.Time) {
	if wk.holdFails > 1 {
		wk.reachableSince = now
	}
	wk.holdFails = 0
	wk.refusesConnections = false
	wk.startUnanswered = false
	wk.clockAt = now
	wk.answeredAt = now
}

// holdFailed schedules a retry of an unanswered hold. holdRetryDelay limits the rate.
func (l *leadership) holdFailed(e *holdDone) {
	wk := e.wk
	var refusal *site.RefusalError
	if errors.As(e.err, &refusal) && refusal.Reason == site.RefusedFenced {
		l.s.endLeadership("a worker has received requests of a later term")
		return
	}
	wk.holdAt = e.sentAt.Add(holdRetryDelay)
	if e.answeredSince(refusal != nil) {
		return
	}
	if refusal != nil && refusal.Reason == site.RefusedConnection {
		wk.refusesConnections = true
	}
	if wk.holdFails == 0 {
		wk.failedAt = time.Now()
	}
	wk.holdFails++
	if !wk.unreachable && wk.holdFails > 1 {
		wk.unreachable = true
		_ = level.Warn(l.s.deps.Logger).Log("msg", "worker unreachable", "worker", wk.id, "runs", len(wk.runs), "err", e.err)
	}
}

// answeredSince reports whether the worker has answered another hold after it had to answer this
// one, or to refuse it, so that the failure says nothing about its present state.
func (e *holdDone) answeredSince(refused bool) bool {
	due := e.sentAt
	if !refused {
		due = due.Add(e.wait)
	}
	return due.Before(e.wk.clockAt) || e.sentAt.Before(e.wk.bootAt)
}

// resetBoot resets the state of a worker on the first answer of an incarnation, which
// has no knowledge of earlier requests to the worker.
func (l *leadership) resetBoot(wk *worker, first *site.HoldReply) {
	boot, lastBoot := first.Boot, wk.boot
	wk.misdirectedLeaseEnd = l.misdirectedLeaseEnd(wk, first)
	wk.boot = boot
	wk.bootAt = time.Now()
	// This takes over an earlier leader's estimate.
	l.s.speeds.of(wk.id, boot)
	l.forgetGivenUpRuns(wk)
	wk.seen = 0
	wk.acked, wk.ackAnswered = 0, 0
	wk.leaseEnd = l.inheritedLeaseEnd(wk, first.Clock, wk.bootAt)
	_ = level.Info(l.s.deps.Logger).Log("msg", "first answer of a worker incarnation in this term", "worker", wk.id, "boot", boot, "lastBoot", lastBoot,
		"runs", len(wk.runs), "clockMs", first.Clock.Milliseconds(), "leasesMs", (wk.leaseEnd - first.Clock).Milliseconds(),
		"longLeasesMs", max(0, wk.misdirectedLeaseEnd-first.Clock).Milliseconds(), "settled", l.settled.boots[wk.id] == boot, "bounded", l.settled.bounded[wk.id].Boot == boot)
	wk.claimedCPU, wk.gangClaimedCPU = 0, 0
	wk.ackCapped = false
	wk.keptEnds = 0
	wk.clearingSince = time.Time{}
	wk.keptAcks = nil
	wk.unreadable = unreadableEnds{}
	wk.unreadableRuns = 0
	wk.strangers = nil
	wk.failures = 0
	wk.backoffUntil = time.Time{}
	for _, r := range wk.runs {
		// A stop that an earlier incarnation has confirmed bars nothing on this one.
		r.stopped = false
	}
	l.placeNeeded = true
}

// keepCheckpoint saves the newest checkpoint of a task. In a gang the checkpoint of any
// member applies to all of them.
func (l *leadership) keepCheckpoint(r *run, text string) {
	if text == "" || !r.tj.sub.Steps[r.task.Step].Checkpointing {
		return
	}
	key := r.tj.representative(r.task)
	if r.tj.checkpoints[key].text != text {
		r.tj.checkpoints[key] = checkpoint{text, r.number, r.percent}
	}
}

// representative returns the task with which the checkpoint of a task and the crashes
// under it are kept: of a gang the first.
func (tj *trackedJob) representative(t site.TaskID) site.TaskID {
	if tj.sub.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}
