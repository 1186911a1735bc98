package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// admit lets jobs be placed whose records wait to be appended. What is decided on
// them goes into the same append or a later one, so a job that comes while an
// append is under way waits for one append and not for two. On a slow stream that
// is most of a lookup's time.
func (l *leadership) admit(entries []site.Entry) {
	for i := range entries {
		sub, err := job.SubmissionOf(&entries[i])
		if err != nil {
			_ = level.Error(l.s.deps.Logger).Log("msg", "record cannot be read", "key", entries[i].Key, "err", err)
			continue
		}
		if sub == nil || l.works[sub.ID] != nil || l.s.deps.View.Job(sub.ID) != nil {
			continue
		}
		w := newWork(sub.ID, sub, &job.Job{State: job.NewState(sub), Order: math.MaxInt64, AcceptedAt: time.Now()})
		w.pending = true
		l.works[sub.ID] = w
		l.assess(w)
		l.place = true
	}
}

// refuse answers callers whose records were not sent, and drops their jobs.
func (l *leadership) refuse(err error) {
	f := &l.flush
	accepts := f.accepts
	f.accepts = nil
	for _, a := range accepts {
		for i := range a.entries {
			// One that cannot be read was logged and not admitted.
			if sub, _ := job.SubmissionOf(&a.entries[i]); sub != nil {
				l.drop(sub.ID)
			}
		}
	}
	answer(accepts, err)
}

// drop forgets a job that was not appended, with what was decided on it.
func (l *leadership) drop(id string) {
	w := l.works[id]
	if w == nil || !w.pending {
		return
	}
	delete(l.works, id)
	f := &l.flush
	f.dirty = slices.DeleteFunc(f.dirty, func(d *work) bool { return d == w })
	f.starts = slices.DeleteFunc(f.starts, func(r *run) bool {
		if r.w == w {
			l.unbind(r)
		}
		return r.w == w
	})
}
