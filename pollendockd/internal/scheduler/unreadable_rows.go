package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

// This file handles rows of a worker's lists that could not be read.
//
// An end whose row cannot be read may be that of any run that is not listed as running. If
// it were acknowledged, the worker would forget it, and a success would be lost; if the run
// were taken for gone, the task would run again and count twice once the row is read. So
// nothing from that row on is acknowledged while such a run is unaccounted for, and after
// unreadableEndTimeout the task runs again and the row is never acknowledged. The rows of
// runs that this scheduler does not know do not hold up anything.
//
// A run whose row in the list of running ones cannot be read may be any run. Absence from
// that list then shows nothing, but for a run that the worker has confirmed to have stopped.

// unreadableEnds are the ends of a worker that could not be read.
type unreadableEnds struct {
	// rows is the number of them in the last reply, since is when the last one was new.
	rows  int
	since time.Time
	// before is the number of the end before the first of them.
	before int64
	// candidates holds the runs that may have ended in one of them.
	candidates map[runKey]bool
}

// unreadableEndTimeout is how long a run that may have ended in an unreadable row is kept
// before its task runs again. A row that is readable in the next replies costs nothing.
const unreadableEndTimeout = 5 * time.Second

// noteUnreadableRows updates which runs may have ended in an unreadable row. The ends that
// could be read have been processed.
func (l *leadership) noteUnreadableRows(wk *worker, h *site.HoldReply, now time.Time) {
	u := &wk.unreadable
	rows, before := wk.unreadEnds(h)
	if rows+h.UnreadableRuns+u.rows+wk.unreadableRuns == 0 {
		return
	}
	if more := rows + h.UnreadableRuns - u.rows - wk.unreadableRuns; more > 0 {
		l.s.deps.Counts.Count("worker_rows_unreadable", int64(more))
		_ = level.Error(l.s.deps.Logger).Log("msg", "worker lists rows that cannot be read", "worker", wk.id, "boot", wk.boot,
			"ended", rows, "running", h.UnreadableRuns, "acked", wk.acked)
	}
	wk.unreadableRuns = h.UnreadableRuns
	running := map[runKey]bool{}
	for i := range h.Running {
		running[runKey{h.Running[i].Task, h.Running[i].Run}] = true
	}
	if rows > u.rows || rows > 0 && before != u.before {
		u.since = now
		u.addCandidates(wk, running)
		if l.hasGivenUpRuns(wk) {
			l.keepUnreadableEnds(wk, before)
		}
	}
	u.rows, u.before = rows, before
	for key := range u.candidates {
		if rows == 0 || running[key] || wk.runs[key] == nil {
			delete(u.candidates, key)
		}
	}
	if len(u.candidates) == 0 {
		wk.seen = max(wk.seen, lastNumber(h.Ended))
	}
}

// unreadEnds returns the number of ends that could not be read, and the number of the end
// before the first of them.
func (wk *worker) unreadEnds(h *site.HoldReply) (rows int, before int64) {
	last := wk.acked
	for i := range h.Ended {
		e := &h.Ended[i]
		switch {
		case !e.Unreadable:
			last = e.Number
		case wk.unread(e):
			if rows == 0 {
				before = last
			}
			rows++
		}
	}
	return rows, before
}

// unread reports whether an end could not be read, neither now nor in an earlier reply.
func (wk *worker) unread(e *site.RunEnd) bool {
	return e.Unreadable && (e.Number == 0 || e.Number > wk.seen)
}

// lastNumber returns the highest number of the ends, which are in ascending order.
func lastNumber(ended []site.RunEnd) int64 {
	last := int64(0)
	for i := range ended {
		last = max(last, ended[i].Number)
	}
	return last
}

// addCandidates adds the runs that are not listed as running.
func (u *unreadableEnds) addCandidates(wk *worker, running map[runKey]bool) {
	if u.candidates == nil {
		u.candidates = map[runKey]bool{}
	}
	for key, r := range wk.runs {
		if r.stage != planned && !running[key] {
			u.candidates[key] = true
		}
	}
}

// inconclusive reports whether the absence of a run from a worker's lists, which were
// requested at the given time, shows nothing because of rows that could not be read.
func (l *leadership) inconclusive(r *run, sentAt, now time.Time) bool {
	wk := r.wk
	if wk.unreadable.candidates[r.key()] && now.Sub(wk.unreadable.since) < unreadableEndTimeout {
		return true
	}
	if wk.unreadableRuns == 0 {
		return false
	}
	return !r.stopped || sentAt.Before(r.stoppedAt.Add(l.s.opt.Bounds.StopTime+lapseSlack))
}

// giveUpUnlisted notes that a run that is not listed is given up. If it may have ended in an
// unreadable row, that end is never acknowledged.
func (l *leadership) giveUpUnlisted(r *run) {
	if r.wk.unreadable.candidates[r.key()] {
		l.giveUpUnread(r)
	}
}

// capAcks makes the worker keep all ends after the one with that number.
func (wk *worker) capAcks(limit int64) {
	if wk.ackCapped {
		limit = min(limit, wk.ackLimit)
	}
	wk.ackCapped = true
	wk.ackLimit = limit
}
