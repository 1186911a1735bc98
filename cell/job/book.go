package job

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pollendock.example/cell/site"
)

type (
	// View is the in-memory state of all jobs, members and the leader, built from
	// the durable records. A single goroutine applies entries; reads are safe
	// from any goroutine.
	View struct {
		mu      sync.RWMutex
		next    int64
		jobs    map[string]*Job
		members map[string]Member
		leader  Leader
		// leaderAt is the offset of the entry that set leader.
		leaderAt int64
		// offsets holds the newest applied offset of each key, which makes
		// applying a page idempotent.
		offsets map[string]int64
		// waiting is the number of jobs that have not started, by queue.
		waiting map[string]int
	}

	// Job is what is known of a job. Submission and State are never modified in
	// place; a new state replaces the old one.
	Job struct {
		Submission *Submission
		State      *State
		// Order is the offset at which the job was accepted.
		Order int64
		// AcceptedAt is when the job was accepted, on the monotonic clock of this
		// VM.
		AcceptedAt time.Time
		// Canceled is set once a cancel request is recorded. The request has no
		// effect on a job that ended before the leader read it.
		Canceled bool

		countedAsWaiting bool
	}
)

// NewView returns an empty book.
func NewView() *View {
	return &View{
		jobs:    map[string]*Job{},
		members: map[string]Member{},
		offsets: map[string]int64{},
		waiting: map[string]int{},
	}
}

// Apply applies the entries of a page and returns the ids of the jobs that
// changed. Entries that cannot be decoded are skipped; the first error is
// returned.
func (b *View) Apply(p *site.Page) ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changed []string
	var firstErr error
	for i := range p.Entries {
		e := &p.Entries[i]
		if last, seen := b.offsets[e.Key]; seen && e.Offset <= last {
			continue
		}
		id, err := b.applyEntry(e, p.CaughtUpAt)
		if err != nil && firstErr == nil {
			firstErr = Class.New("entry %q at %d: %v", e.Key, e.Offset, err)
		}
		if id != "" {
			changed = append(changed, id)
		}
	}
	b.next = max(b.next, p.Next)
	return changed, firstErr
}

func (b *View) applyEntry(e *site.Entry, since time.Time) (string, error) {
	b.offsets[e.Key] = e.Offset
	kind, name, _ := strings.Cut(e.Key, "/")
	switch kind + "/" {
	case submissionKey:
		return name, b.applySubmission(name, e, since)
	case stateKey:
		return name, b.applyState(name, e)
	case cancelKey:
		b.applyCancel(name, e)
		return name, nil
	case memberKey:
		return "", b.applyMember(name, e)
	}
	if e.Key == leaderKey {
		b.leaderAt = e.Offset
		return "", cbor.Unmarshal(e.Value, &b.leader)
	}
	return "", Class.New("unknown kind")
}

// job returns the job with the id and creates it if needed. While pages are read
// out of order, a state or cancel entry may precede the submission.
func (b *View) job(id string) *Job {
	j := b.jobs[id]
	if j == nil {
		j = &Job{}
		b.jobs[id] = j
	}
	return j
}

func (b *View) applySubmission(id string, e *site.Entry, since time.Time) error {
	if len(e.Value) == 0 {
		b.remove(id)
		return nil
	}
	j := b.job(id)
	if j.Submission != nil && j.Submission.IsSummary() {
		return nil
	}
	s, err := SubmissionOf(e)
	if err != nil {
		return err
	}
	if j.Submission != nil && !s.IsSummary() {
		// A duplicate: the caller sent the job again before this VM knew it.
		return nil
	}
	j.Submission = s
	j.Order = e.Offset
	if j.AcceptedAt.IsZero() {
		j.AcceptedAt = localAcceptTime(time.Now(), s.AcceptedAt, since)
	}
	if j.State == nil {
		j.State = NewState(s)
	}
	b.updateWaiting(j)
	return nil
}

// localAcceptTime converts the acceptance time there, by the clock of another VM, to
// the monotonic clock of this VM. The clocks may differ by seconds, so the result
// is clamped: it is not after now, and not before since, when the record did not
// exist yet.
func localAcceptTime(now, remote, since time.Time) time.Time {
	age := max(0, now.Round(0).Sub(remote))
	if !since.IsZero() {
		age = min(age, now.Sub(since))
	}
	return now.Add(-age)
}

func (b *View) applyState(id string, e *site.Entry) error {
	if len(e.Value) == 0 {
		return nil
	}
	s := &State{}
	if err := cbor.Unmarshal(e.Value, s); err != nil {
		return err
	}
	j := b.job(id)
	j.State = s
	b.updateWaiting(j)
	return nil
}

func (b *View) applyCancel(id string, e *site.Entry) {
	if len(e.Value) == 0 {
		return
	}
	j := b.job(id)
	j.Canceled = true
	b.updateWaiting(j)
}

func (b *View) applyMember(name string, e *site.Entry) error {
	if len(e.Value) == 0 {
		delete(b.members, name)
		return nil
	}
	var m Member
	if err := cbor.Unmarshal(e.Value, &m); err != nil {
		return err
	}
	b.members[name] = m
	return nil
}

// updateWaiting updates the number of waiting jobs of the job's queue.
func (b *View) updateWaiting(j *Job) {
	if j.Submission == nil || j.State == nil {
		return
	}
	waits := j.State.Phase == Queued && !j.State.Started && !j.Canceled
	if waits == j.countedAsWaiting {
		return
	}
	j.countedAsWaiting = waits
	if waits {
		b.waiting[j.Submission.Queue]++
		return
	}
	b.waiting[j.Submission.Queue]--
}

func (b *View) remove(id string) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	if j.countedAsWaiting {
		b.waiting[j.Submission.Queue]--
	}
	delete(b.jobs, id)
	for _, e := range RemovalEntries(id) {
		delete(b.offsets, e.Key)
	}
}

// Next returns the offset up to which records have been applied.
func (b *View) Next() int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.next
}

// Job returns a copy of what is known of a job; nil if it was never accepted.
func (b *View) Job(id string) *Job {
	b.mu.RLock()
	defer b.mu.RUnlock()
	j := b.jobs[id]
	if j == nil || j.Submission == nil {
		return nil
	}
	c := *j
	return &c
}

// Phase returns the phase that is reported to callers. A recorded cancel request
// counts as canceled at once.
func (j *Job) Phase() Phase {
	if j.Canceled && !j.State.Phase.Final() {
		return Canceled
	}
	return j.State.Phase
}

// IDs returns the ids of all jobs in order of acceptance.
func (b *View) IDs() []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	ids := make([]string, 0, len(b.jobs))
	for id := range b.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(x, y int) bool { return b.jobs[ids[x]].Order < b.jobs[ids[y]].Order })
	return ids
}

// EndedBefore returns the ids of up to most jobs that ended before t and have no
// dispatched tasks.
func (b *View) EndedBefore(t time.Time, limit int) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var ids []string
	for id, j := range b.jobs {
		if j.Submission == nil || !j.State.Phase.Final() || j.State.AnyDispatched() || !j.State.EndedAt.Before(t) {
			continue
		}
		if ids = append(ids, id); len(ids) == limit {
			return ids
		}
	}
	return ids
}

// Waiting returns the number of accepted jobs of a queue that have not started.
func (b *View) Waiting(queue string) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.waiting[queue]
}

// Members returns the entry VMs by name.
func (b *View) Members() map[string]Member {
	b.mu.RLock()
	defer b.mu.RUnlock()
	c := make(map[string]Member, len(b.members))
	for name, m := range b.members {
		c[name] = m
	}
	return c
}

// Leader returns the current leader and the offset of its record.
func (b *View) Leader() (Leader, int64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.leader, b.leaderAt
}
