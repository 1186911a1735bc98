package ledger

import (
	"sort"

	"pollendock.example/cell/config"
)

// compactMargin is the number of stale jobs, beyond the number of returned ones,
// that Waiting skips before it compacts the list.
const compactMargin = 32

// queueOf returns the queue of a team and creates it if needed.
func (s *State) queueOf(team string) *teamQueue {
	q := s.teamQueue[team]
	if q == nil {
		q = &teamQueue{}
		s.teamQueue[team] = q
	}
	return q
}

// enterQueue adds n tasks of j to the queue.
func (s *State) enterQueue(j *Job, n int64) {
	q := s.queueOf(j.Team)
	if q.count == 0 {
		q.jobs = nil
	}
	q.count += n
	j.queued += int(n)
	s.countGangTasks(j, n)
	q.bytes += int64(len(j.Spec.Payload))
	q.insert(s, j)
}

// leaveQueue removes n tasks of j from the queue's counts. The job itself is
// removed from the list lazily, by Waiting.
func (s *State) leaveQueue(j *Job, n int64) {
	q := s.queueOf(j.Team)
	q.count -= n
	j.queued -= int(n)
	s.countGangTasks(j, -n)
	q.bytes -= int64(len(j.Spec.Payload))
}

func (s *State) countGangTasks(j *Job, n int64) {
	if j.Spec.Kind == config.Gang {
		s.queuedGangTasks += n
	}
}

// HasQueuedGangs reports whether any gang has queued tasks.
func (s *State) HasQueuedGangs() bool {
	return s.queuedGangTasks > 0
}

// insert adds j to the list at its sorted position, unless it is there already.
func (q *teamQueue) insert(s *State, j *Job) {
	at := sort.Search(len(q.jobs), func(i int) bool { return !s.before(q.jobs[i], j) })
	if at < len(q.jobs) && q.jobs[at] == j {
		return
	}
	q.jobs = append(q.jobs, nil)
	copy(q.jobs[at+1:], q.jobs[at:])
	q.jobs[at] = j
}

// sortQueues re-sorts the queues after ranks have changed.
func (s *State) sortQueues() {
	for _, q := range s.teamQueue {
		sort.SliceStable(q.jobs, func(a, b int) bool { return s.before(q.jobs[a], q.jobs[b]) })
	}
}

// before orders the jobs of a team: urgent ones first, then by the rank of their
// kind, then in order of acceptance.
func (s *State) before(a, b *Job) bool {
	if a.Spec.Urgent != b.Spec.Urgent {
		return a.Spec.Urgent
	}
	rankA := s.Document.Policy(a.Spec.Kind).Rank
	rankB := s.Document.Policy(b.Spec.Kind).Rank
	if rankA != rankB {
		return rankA < rankB
	}
	return a.Order < b.Order
}

// Waiting returns up to limit jobs of the team with queued tasks, in the order
// in which they should start.
func (s *State) Waiting(team string, limit int) []*Job {
	q := s.teamQueue[team]
	if q == nil {
		return nil
	}
	var jobs []*Job
	stale := 0
	for _, j := range q.jobs {
		if len(jobs) == limit {
			break
		}
		if !j.hasQueued() {
			stale++
			continue
		}
		jobs = append(jobs, j)
	}
	if stale > len(jobs)+compactMargin {
		q.compact()
	}
	return jobs
}

// compact removes jobs without queued tasks from the list.
func (q *teamQueue) compact() {
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		if j.hasQueued() {
			kept = append(kept, j)
		}
	}
	clear(q.jobs[len(kept):])
	q.jobs = kept
}

func (j *Job) hasQueued() bool {
	return j.Code == 0 && j.queued > 0
}

// WaitingCount returns the number of queued tasks of the team.
func (s *State) WaitingCount(team string) int64 {
	return s.queueOf(team).count
}

// NextQueued returns the index of the first queued task at or after from, or -1.
func (j *Job) NextQueued(from int) int {
	for i := from; i < len(j.Tasks); i++ {
		if j.Tasks[i].Phase == Queued {
			return i
		}
	}
	return -1
}

// Startable reports whether the queued tasks of the job may be dispatched now.
func (j *Job) Startable() bool {
	if j.Code != 0 || j.CancelCode != 0 || j.Restarting {
		return false
	}
	return j.Spec.Kind != config.Gang || allQueued(j)
}

// addTask adds a dispatched task to the accounting of its worker and team.
func (s *State) addTask(j *Job, task int) {
	worker := j.Tasks[task].Worker
	if s.tasksOnWorker[worker] == nil {
		s.tasksOnWorker[worker] = map[TaskRef]bool{}
	}
	s.tasksOnWorker[worker][TaskRef{j.ID, task}] = true
	s.load[worker] = s.load[worker].Add(j.Spec.Size)
	s.addUsage(j.Team, j.Spec.Size)
}

// OnWorker returns the tasks that are dispatched to a worker, sorted.
func (s *State) OnWorker(worker string) []TaskRef {
	refs := make([]TaskRef, 0, len(s.tasksOnWorker[worker]))
	for ref := range s.tasksOnWorker[worker] {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(a, b int) bool {
		if refs[a].Job != refs[b].Job {
			return refs[a].Job < refs[b].Job
		}
		return refs[a].Task < refs[b].Task
	})
	return refs
}

// EachOnWorker calls fn for each task that is dispatched to a worker, in no
// particular order.
func (s *State) EachOnWorker(worker string, fn func(ref TaskRef)) {
	for ref := range s.tasksOnWorker[worker] {
		fn(ref)
	}
}

// WorkerIDs returns the ids of the workers, sorted.
func (s *State) WorkerIDs() []string {
	ids := make([]string, 0, len(s.Workers))
	for id := range s.Workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// purgeJobs removes jobs that ended more than OutcomeRetention ago.
func (s *State) purgeJobs() {
	for len(s.ended) > 0 {
		j := s.Jobs[s.ended[0]]
		if j != nil && s.Clock.Sub(j.EndedAt) <= OutcomeRetention {
			return
		}
		if j != nil {
			delete(s.jobByKey, teamKey(j.Team, j.Spec.IdempotencyKey))
			delete(s.Jobs, j.ID)
		}
		s.ended = s.ended[1:]
	}
}

func (s *State) indexJobs() {
	ids := make([]string, 0, len(s.Jobs))
	for id := range s.Jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.indexJob(s.Jobs[id])
	}
	sort.Slice(s.ended, func(a, b int) bool {
		ja, jb := s.Jobs[s.ended[a]], s.Jobs[s.ended[b]]
		if !ja.EndedAt.Equal(jb.EndedAt) {
			return ja.EndedAt.Before(jb.EndedAt)
		}
		return ja.ID < jb.ID
	})
}

func (s *State) indexJob(j *Job) {
	if j.Spec.IdempotencyKey != "" {
		s.jobByKey[teamKey(j.Team, j.Spec.IdempotencyKey)] = j.ID
	}
	if j.Code != 0 {
		s.ended = append(s.ended, j.ID)
		return
	}
	for i := range j.Tasks {
		switch j.Tasks[i].Phase {
		case Queued:
			s.enterQueue(j, 1)
		case Dispatched:
			s.addTask(j, i)
		}
	}
}
