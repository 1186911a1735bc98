package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// This file applies the lists of runs in a worker's answer to a hold: those that have ended, those that run,
// and those that are in neither list.

// processEnds handles run ends that have not been seen before.
func (l *leadership) processEnds(wk *worker, h *site.HoldReply) {
	unreadable := false
	for i := range h.Ended {
		e := &h.Ended[i]
		unreadable = unreadable || wk.unread(e)
		if e.Unreadable || e.Number <= wk.seen {
			continue
		}
		if !unreadable {
			wk.seen = e.Number
		}
		key := runKey{e.Task, e.Run}
		r := wk.runs[key]
		if !wk.ackCapped && l.givenUp(r, e) && !lapsedAfter(h, e.Number) && !wk.lapsedSince(h) {
			wk.capAcks(e.Number - 1)
			_ = level.Warn(l.s.deps.Logger).Log("msg", "end of a run that was presumed lapsed; ends of this worker are not acknowledged until its leases have lapsed",
				"worker", wk.id, "job", e.Task.Job, "step", e.Task.Step, "index", e.Task.Index, "run", e.Run, "how", e.Kind,
				"clockMs", h.Clock.Milliseconds(), "leaseEndMs", wk.leaseEnd.Milliseconds())
		}
		if r != nil {
			l.leaveInherited(r, time.Now())
		}
		l.keepAck(wk, e)
		if r == nil {
			continue
		}
		l.keepCheckpoint(r, e.Checkpoint)
		l.recordOutcome(wk, r, e.Kind)
		l.endRun(r, e.Kind, "listed by the worker")
	}
}

// givenUp reports whether an end must not be acknowledged, because its run was given up: the
// task may run again. The run r is nil unless the worker was still known to have it.
func (l *leadership) givenUp(r *run, e *site.RunEnd) bool {
	if e.Kind != site.Done && e.Kind != site.Failed || r != nil && r.recordedTask() != nil {
		return false
	}
	return l.notRecorded(e)
}

// notRecorded reports whether the records lack the outcome of a run that is listed as
// ended: an earlier leader has presumed it lapsed.
func (l *leadership) notRecorded(e *site.RunEnd) bool {
	tj := l.jobs[e.Task.Job]
	if tj == nil || tj.state.Phase.Final() {
		return e.Kind == site.Done && l.mayHaveRestarted(e)
	}
	if e.Task.Step >= len(tj.state.Steps) || tj.sub.Steps[e.Task.Step].Endless {
		return false
	}
	tasks := tj.state.Steps[e.Task.Step]
	if e.Task.Index >= len(tasks) {
		return false
	}
	if e.Kind == site.Failed {
		return tasks[tj.representative(e.Task).Index].FailedRun < e.Run
	}
	t := &tasks[e.Task.Index]
	return t.Status != job.Succeeded || t.Run != e.Run
}

// mayHaveRestarted reports whether the records of a job that has ended show a later run
// of the task, or are removed.
func (l *leadership) mayHaveRestarted(e *site.RunEnd) bool {
	j := l.s.deps.View.Job(e.Task.Job)
	if j == nil {
		return true
	}
	if e.Task.Step >= len(j.State.Steps) || e.Task.Index >= len(j.State.Steps[e.Task.Step]) {
		return false
	}
	return j.State.Steps[e.Task.Step][e.Task.Index].Run > e.Run
}

// lapsedAfter reports whether a run was killed at the expiry of its lease after the end
// with that number. Ends before that no longer count.
func lapsedAfter(h *site.HoldReply, number int64) bool {
	for i := range h.Ended {
		if h.Ended[i].Kind == site.LeaseExpired && h.Ended[i].Number > number {
			return true
		}
	}
	return false
}

// processRuns updates the runs that are listed as running, and resolves those that are
// missing.
func (l *leadership) processRuns(wk *worker, h *site.HoldReply, sentAt, now time.Time) {
	listed := make(map[runKey]bool, len(h.Running))
	for i := range h.Running {
		s := &h.Running[i]
		key := runKey{s.Task, s.Run}
		listed[key] = true
		r := wk.runs[key]
		if r == nil {
			r = l.adoptUnrecorded(wk, key)
		}
		if r == nil {
			continue
		}
		if r.stage != running {
			r.confirm(now)
			r.percent = s.Percent
			r.initialPercent = s.Percent
			r.tj.runBegun(r)
			l.logRun(r, "run found on its worker")
		}
		if s.Percent != r.percent {
			r.percent = s.Percent
			r.percentAt = now
		}
		l.keepCheckpoint(r, s.Checkpoint)
	}
	if len(h.Ended) >= maxEndedRows {
		// The list of ends may be truncated, so absence from both lists is
		// inconclusive.
		l.giveUpHidden(wk, listed, sentAt, now)
		return
	}
	for _, r := range wk.runList() {
		if !listed[r.key()] && !wk.lateStarts.undecided(r.key()) && !l.inconclusive(r, sentAt, now) {
			l.resolveMissing(r, sentAt, now)
		}
	}
	l.watchProgress(wk, now)
}

// resolveMissing concludes that a run does not exist, if the list that lacks it is
// recent enough.
func (l *leadership) resolveMissing(r *run, sentAt, now time.Time) {
	if !r.coveredBy(sentAt) {
		if r.stage == unconfirmed && !r.stopWanted && sentAt.After(r.sentAt) {
			// The start request may still be executed late, unless a stop prevents it.
			r.stopWanted = true
			r.stopAt = now
		}
		return
	}
	switch {
	case r.stage == running:
		l.giveUpUnlisted(r)
		l.endRun(r, site.LeaseExpired, "no longer listed by the worker")
	case r.stage == inherited:
		l.giveUpUnlisted(r)
		l.endRun(r, site.NotRun, "not found on the worker, which now refuses requests of the previous leader")
	case r.stage == unconfirmed && r.stopped:
		l.giveUpUnlisted(r)
		l.endRun(r, site.NotRun, "stopped before it started")
	}
}
