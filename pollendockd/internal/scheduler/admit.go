package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// newSubmissions returns the submissions among the entries whose jobs are not known.
func (l *leadership) newSubmissions(entries []site.Entry) []*job.Submission {
	var subs []*job.Submission
	for i := range entries {
		sub, err := job.SubmissionOf(&entries[i])
		if err != nil {
			_ = level.Error(l.s.deps.Logger).Log("msg", "cannot decode record", "key", entries[i].Key, "err", err)
			continue
		}
		if sub == nil || l.jobs[sub.ID] != nil || l.s.deps.View.Job(sub.ID) != nil {
			continue
		}
		subs = append(subs, sub)
	}
	return subs
}

// admitPending makes jobs available for placement before their records are appended.
// Decisions about them go into the same append or a later one, so a job that arrives
// while an append is in progress waits for one append instead of two. On a slow stream
// that is most of a lookup's latency.
func (l *leadership) admitPending(subs []*job.Submission) {
	for _, sub := range subs {
		now := time.Now()
		tj := newTrackedJob(sub.ID, sub, &job.Job{State: job.NewState(sub), Order: math.MaxInt64, AcceptedAt: l.load.firstAttempt(sub.ID, now)})
		tj.leftStarts = l.leftStarts
		tj.pending = true
		l.jobs[sub.ID] = tj
		l.assess(tj, now)
		l.placeNeeded = true
	}
}

// rejectAccepts replies with err to callers whose records were not sent, and drops
// their jobs. A job stays that another submission is about, the record of which is in the
// append in progress.
func (l *leadership) rejectAccepts(err error) {
	f := &l.flush
	accepts := f.accepts
	f.accepts = nil
	sent := map[string]bool{}
	if f.sent != nil {
		sent = submittedBy(f.sent.accepts)
	}
	for id := range submittedBy(accepts) {
		if !sent[id] {
			l.dropPending(id)
		}
	}
	replyAll(accepts, err)
}

// submittedBy returns the ids of the jobs whose submissions are among callers' records.
// Unreadable ones were logged and not admitted.
func submittedBy(accepts []acceptRequest) map[string]bool {
	ids := map[string]bool{}
	for _, a := range accepts {
		for i := range a.entries {
			if sub, _ := job.SubmissionOf(&a.entries[i]); sub != nil {
				ids[sub.ID] = true
			}
		}
	}
	return ids
}

// dropPending removes a job whose record was not appended, along with the decisions
// made about it.
func (l *leadership) dropPending(id string) {
	tj := l.jobs[id]
	if tj == nil || !tj.pending {
		return
	}
	delete(l.jobs, id)
	f := &l.flush
	f.dirty = slices.DeleteFunc(f.dirty, func(d *trackedJob) bool { return d == tj })
	f.starts = slices.DeleteFunc(f.starts, func(r *run) bool {
		if r.tj == tj {
			l.unbind(r)
		}
		return r.tj == tj
	})
}
