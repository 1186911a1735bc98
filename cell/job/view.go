package job

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

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
		// terms holds the last terms of leaders, the newest last.
		terms  []LeaderTerm
		speeds WorkerSpeeds
		queues map[string]*QueueSettings
		// givenUpRuns, silent, settled and bounded hold the records of workers by their ids.
		givenUpRuns map[string]GivenUpRuns
		silent      map[string]EpochHistory
		settled     map[string]int64
		bounded     map[string]BoundedIncarnation
		renewals    EpochHistory
		renewers    Renewers

		answeredStarts AnsweredStarts
		exceptedSince  map[RunName]time.Time
		startDelay     time.Duration
		renewedStarts  RenewedStarts
		// gaps counts how often records were left out.
		gaps int
		// replacedBefore is the offset before which the records were loaded anew as a whole.
		replacedBefore int64
		// offsets holds the newest applied offset of each key, which makes
		// applying a page idempotent.
		offsets map[string]int64
		// waiting is the number of jobs that have not started, by queue.
		waiting map[string]int
		// unbegun holds the jobs of the newest UnbegunJobs.
		unbegun []string
	}

	// LeaderTerm is the term of a leader, by the first record of it that this VM has read.
	LeaderTerm struct {
		Leader
		// Since is when that was.
		Since time.Time
	}

	// Job is what is known of a job. Submission and State are never modified in
	// place; a new state replaces the old one.
	Job struct {
		Submission *Submission
		State      *State
		// StateAt is when this VM read State, on its monotonic clock.
		StateAt time.Time
		// Order is the offset at which the job was accepted.
		Order int64
		// AcceptedAt is when the job was accepted, on the monotonic clock of this
		// VM.
		AcceptedAt time.Time
		// Canceled is set once a cancel request is recorded. The request has no
		// effect on a job that ended before the leader read it.
		Canceled bool
		// Crashes is nil while no worker has crashed under a task of the job. It is
		// replaced like State.
		Crashes *Crashes
		// DoubtfulCrashes are those of them that may have been none; nil like Crashes.
		DoubtfulCrashes *DoubtfulCrashes

		// dispatchedAt holds the offsets of the records that dispatched the tasks, by step and
		// index. gapsBefore is how many gaps there were before that.
		dispatchedAt [][]int64
		gapsBefore   int

		// taskWaits holds the wait of each task of Crashes. It is replaced like State.
		taskWaits []taskWait

		countedAsWaiting bool
	}
)

// maxTerms is the number of terms that a view keeps.
const maxTerms = 8

// NewView returns an empty view.
func NewView() *View {
	return &View{
		jobs:    map[string]*Job{},
		members: map[string]Member{},
		queues:  map[string]*QueueSettings{},
		offsets: map[string]int64{},
		waiting: map[string]int{},

		givenUpRuns: map[string]GivenUpRuns{},
		silent:      map[string]EpochHistory{},
		settled:     map[string]int64{},
		bounded:     map[string]BoundedIncarnation{},
	}
}

// Apply applies the entries of a page and returns the ids of the jobs that
// changed. An entry that cannot be decoded does not keep the rest from being
// applied; the first error is returned.
func (v *View) Apply(p *site.Page) ([]string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changed []string
	var firstErr error
	for i := range p.Entries {
		e := &p.Entries[i]
		if e.Offset < v.replacedBefore {
			// What was read before the copy was replaced may have been removed.
			continue
		}
		if last, seen := v.offsets[e.Key]; seen && e.Offset <= last {
			continue
		}
		id, err := v.applyEntry(e, p.CaughtUpAt)
		if err != nil && firstErr == nil {
			firstErr = Class.New("entry %q at offset %d: %v", e.Key, e.Offset, err)
		}
		if id != "" {
			changed = append(changed, id)
		}
	}
	v.next = max(v.next, p.Next)
	return changed, firstErr
}

func (v *View) applyEntry(e *site.Entry, caughtUpAt time.Time) (string, error) {
	v.offsets[e.Key] = e.Offset
	kind, name, _ := strings.Cut(e.Key, "/")
	if name == "" {
		return "", v.applySingle(e)
	}
	switch kind + "/" {
	case submissionKey:
		return name, v.applySubmission(name, e, caughtUpAt)
	case stateKey:
		return name, v.applyState(name, e)
	case cancelKey:
		v.applyCancel(name, e)
		return name, nil
	case crashesKey:
		return name, v.applyCrashes(name, e)
	case doubtfulCrashesKey:
		return name, v.applyDoubtfulCrashes(name, e)
	case givenUpRunsKey:
		return "", v.applyGivenUpRuns(name, e)
	case memberKey:
		return "", v.applyMember(name, e)
	case queueKey:
		return "", v.applyQueue(name, e)
	case silentKey:
		return "", v.applySilentWorker(name, e)
	case settledKey:
		return "", v.applySettledWorker(name, e)
	case boundedKey:
		return "", v.applyBoundedWorker(name, e)
	}
	return "", Class.New("unknown kind of key")
}

// applySingle applies an entry whose key has no id.
func (v *View) applySingle(e *site.Entry) error {
	switch e.Key {
	case leaderKey:
		return v.applyLeader(e)
	case speedsKey:
		return v.applySpeeds(e)
	case renewalsKey:
		return v.applyRenewals(e)
	case renewersKey:
		return v.applyRenewers(e)
	case answeredStartsKey:
		return v.applyAnsweredStarts(e)
	case startDelayKey:
		return v.applyStartDelay(e)
	case unbegunJobsKey:
		return v.applyUnbegunJobs(e)
	case renewedStartsKey:
		return v.applyRenewedStarts(e)
	}
	return Class.New("unknown kind of key")
}

// job returns the job with the id and creates it if needed. While pages are read
// out of order, a state or cancel entry may precede the submission.
func (v *View) job(id string) *Job {
	j := v.jobs[id]
	if j == nil {
		j = &Job{}
		v.jobs[id] = j
	}
	return j
}

func (v *View) applySubmission(id string, e *site.Entry, caughtUpAt time.Time) error {
	if len(e.Value) == 0 {
		v.remove(id)
		return nil
	}
	s, err := SubmissionOf(e)
	if err != nil {
		return err
	}
	j := v.job(id)
	if j.Submission != nil && j.Submission.IsSummary() {
		return nil
	}
	if j.Submission != nil && !s.IsSummary() {
		// A duplicate: the caller sent the job again before this VM knew it.
		return nil
	}
	j.Submission = s
	j.Order = e.Offset
	if j.AcceptedAt.IsZero() {
		j.AcceptedAt = localAcceptTime(time.Now(), s.AcceptedAt, caughtUpAt)
	}
	if j.State != nil {
		err = j.State.validateFor(s)
	}
	if j.State == nil || err != nil {
		j.State = NewState(s)
	}
	v.updateWaiting(j)
	return err
}

// localAcceptTime converts the acceptance time remote, by the clock of another VM,
// to the monotonic clock of this VM. The clocks may differ by seconds, so the result
// is clamped: it is not after now, and not before caughtUpAt, when the record did
// not exist yet.
func localAcceptTime(now, remote, caughtUpAt time.Time) time.Time {
	age := max(0, now.Round(0).Sub(remote))
	if !caughtUpAt.IsZero() {
		age = min(age, now.Sub(caughtUpAt))
	}
	return now.Add(-age)
}

func (v *View) applyState(id string, e *site.Entry) error {
	if len(e.Value) == 0 {
		return nil
	}
	e, err := expandLarge(e)
	if err != nil {
		return err
	}
	s := &State{}
	if err := decode(e, s); err != nil {
		return err
	}
	if old := v.jobs[id]; old != nil && old.Submission != nil {
		if err := s.validateFor(old.Submission); err != nil {
			return err
		}
	}
	j := v.job(id)
	j.dispatchedAt = j.dispatchOffsets(s, e.Offset, j.gapsBefore == v.gaps)
	j.gapsBefore = v.gaps
	j.State = s
	j.StateAt = time.Now()
	j.updateWaits()
	v.updateWaiting(j)
	return nil
}

func (v *View) applyCancel(id string, e *site.Entry) {
	if len(e.Value) == 0 {
		return
	}
	j := v.job(id)
	j.Canceled = true
	v.updateWaiting(j)
}

func (v *View) applyCrashes(id string, e *site.Entry) error {
	if len(e.Value) == 0 {
		return nil
	}
	c := &Crashes{}
	if err := decode(e, c); err != nil {
		return err
	}
	j := v.job(id)
	j.Crashes = c
	j.updateWaits()
	return nil
}

func (v *View) applyMember(name string, e *site.Entry) error {
	if len(e.Value) == 0 {
		delete(v.members, name)
		return nil
	}
	var m Member
	if err := decode(e, &m); err != nil {
		return err
	}
	if m.Name != name {
		return Class.New("the record is that of member %.60q", m.Name)
	}
	v.members[name] = m
	return nil
}

func (v *View) applyLeader(e *site.Entry) error {
	var l Leader
	if err := decode(e, &l); err != nil {
		return err
	}
	if l.Epoch != v.leader.Epoch {
		// Readers may hold the old list.
		terms := append(slices.Clone(v.terms), LeaderTerm{l, time.Now()})
		v.terms = terms[max(0, len(terms)-maxTerms):]
	}
	v.leader = l
	v.leaderAt = e.Offset
	return nil
}

func (v *View) applySpeeds(e *site.Entry) error {
	// Readers may hold the old record, so that it is not decoded into.
	var s WorkerSpeeds
	if err := decode(e, &s); err != nil {
		return err
	}
	v.speeds = s
	return nil
}

// updateWaiting updates the number of waiting jobs of the job's queue.
func (v *View) updateWaiting(j *Job) {
	if j.Submission == nil || j.State == nil {
		return
	}
	waits := j.State.Phase == Queued && !j.State.Started && !j.Canceled
	if waits == j.countedAsWaiting {
		return
	}
	j.countedAsWaiting = waits
	if waits {
		v.waiting[j.Submission.Queue]++
		return
	}
	v.waiting[j.Submission.Queue]--
}

func (v *View) remove(id string) {
	j := v.jobs[id]
	if j == nil {
		return
	}
	if j.countedAsWaiting {
		v.waiting[j.Submission.Queue]--
	}
	delete(v.jobs, id)
	for _, e := range RemovalEntries(id, true) {
		delete(v.offsets, e.Key)
	}
}

// Next returns the offset up to which records have been applied.
func (v *View) Next() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.next
}

// Job returns a copy of what is known of a job; nil if it was never accepted.
func (v *View) Job(id string) *Job {
	v.mu.RLock()
	defer v.mu.RUnlock()
	j := v.jobs[id]
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
func (v *View) IDs() []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	ids := make([]string, 0, len(v.jobs))
	for id := range v.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(x, y int) bool { return v.jobs[ids[x]].Order < v.jobs[ids[y]].Order })
	return ids
}

// EndedBefore returns the ids of up to limit jobs that ended before t and have no
// dispatched tasks.
func (v *View) EndedBefore(t time.Time, limit int) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var ids []string
	for id, j := range v.jobs {
		if j.Submission == nil || !j.State.Phase.Final() || j.State.AnyDispatched() || !j.State.EndedAt.Before(t) {
			continue
		}
		if ids = append(ids, id); len(ids) == limit {
			return ids
		}
	}
	return ids
}

// Waiting returns the number of accepted jobs of a queue that have not started, and are not known to
// have begun.
func (v *View) Waiting(queue string) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.waiting[queue] + v.unbegunOf(queue)
}

// Members returns the entry VMs by name.
func (v *View) Members() map[string]Member {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.members)
}

// Speeds returns the newest record of the workers' speeds. It must not be modified.
func (v *View) Speeds() *WorkerSpeeds {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.speeds
	return &s
}

// Terms returns the last terms of leaders, the current one last. It must not be modified.
func (v *View) Terms() []LeaderTerm {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.terms
}

// Leader returns the current leader and the offset of its record.
func (v *View) Leader() (Leader, int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.leader, v.leaderAt
}
