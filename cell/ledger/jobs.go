package ledger

import (
	"fmt"
	"sort"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
)

type (
	// Job is a durable job.
	Job struct {
		ID      string    `json:"id"`
		Team    string    `json:"team"`
		KeyName string    `json:"keyName"`
		Spec    Spec      `json:"spec"`
		Order   int64     `json:"order"`
		At      time.Time `json:"at"`
		Tasks   []Task    `json:"tasks"`
		// Code is set once the job has ended.
		Code    code.Code `json:"code,omitempty"`
		EndedAt time.Time `json:"endedAt,omitzero"`
		// Restarting is set while the running tasks of a gang are being stopped to
		// restart the whole gang.
		Restarting bool `json:"withdraw,omitempty"`
		// CancelCode is set once the job is canceled or has expired. Its tasks
		// are not started again.
		CancelCode code.Code `json:"cancelCode,omitempty"`

		// queued is the number of tasks in phase Queued.
		queued int
	}

	// Task is one task of a job.
	Task struct {
		Phase   Phase `json:"phase"`
		Attempt int64 `json:"attempt"`
		// Started is set once an attempt has started without leaving a good
		// result. From then on the task is never reported as not run.
		Started bool `json:"started,omitempty"`
		// Failures is the number of attempts that failed or vanished.
		Failures int64 `json:"failures,omitempty"`
		// Crashes counts the workers that have crashed under the task; nil for none. A
		// gang's are counted in its first task.
		Crashes *job.TaskCrashes `json:"crashes,omitempty"`
		// DispatchedAt is the Clock of the last dispatch.
		DispatchedAt time.Time `json:"dispatchedAt,omitzero"`
		// Worker, Boot and Order are set while the task is dispatched.
		Worker string `json:"worker,omitempty"`
		Boot   string `json:"boot,omitempty"`
		Order  int64  `json:"order,omitempty"`
		// Stop requests that the worker's home stop the attempt.
		Stop bool `json:"stop,omitempty"`
		// Code and Result are set once the task is done.
		Code   code.Code `json:"code,omitempty"`
		Result *Result   `json:"result,omitempty"`
	}

	// TaskRef identifies a task.
	TaskRef struct {
		Job  string
		Task int
	}

	// Phase is the phase of a task's life cycle.
	Phase string

	// teamQueue is the queue of a team.
	teamQueue struct {
		jobs  []*Job
		count int64
		bytes int64
	}
)

const (
	// Queued tasks wait for a dispatch.
	Queued Phase = "queued"
	// Dispatched tasks are assigned to a worker.
	Dispatched Phase = "dispatched"
	// Done tasks have ended and do not start again.
	Done Phase = "done"
)

// AttemptID returns the id of an attempt, as passed to the worker.
func AttemptID(job string, task int, attempt int64) string {
	return fmt.Sprintf("%s/%d/%d", job, task, attempt)
}

// accept queues a job, or returns the existing job with the same idempotency key.
func (s *State) accept(offset int64, r *Record) ApplyResult {
	a := r.Accept
	team, known := s.Document.Teams[a.Team]
	if _, granted := team.Keys[a.KeyName]; !known || !granted {
		return refuse(code.Unauthenticated, "key %q of team %q is not granted", a.KeyName, a.Team)
	}
	if a.Spec.IdempotencyKey != "" {
		if res, repeat := s.findDuplicate(a); repeat {
			return res
		}
	}
	if res := s.checkFeasible(a); res.Code != code.OK {
		return res
	}
	q := s.queueOf(a.Team)
	bytes := int64(len(a.Spec.Payload)) * int64(a.Spec.Count)
	if q.count+int64(a.Spec.Count) > team.QueueCount || q.bytes+bytes > team.QueueBytes {
		return refuse(code.QueueFull, "team %q has %d tasks and %d bytes waiting", a.Team, q.count, q.bytes)
	}
	j := &Job{
		ID: a.Job, Team: a.Team, KeyName: a.KeyName, Spec: a.Spec,
		Order: offset, At: r.At, Tasks: make([]Task, a.Spec.Count),
	}
	for i := range j.Tasks {
		j.Tasks[i].Phase = Queued
	}
	s.Jobs[j.ID] = j
	s.indexJob(j)
	return ok(j.ID)
}

func (s *State) findDuplicate(a *Accept) (ApplyResult, bool) {
	if s.Clock.Sub(a.Spec.IssuedAt) > OutcomeRetention {
		return refuse(code.KeyTooOld, "the key was issued more than %s ago", OutcomeRetention), true
	}
	id, known := s.jobByKey[teamKey(a.Team, a.Spec.IdempotencyKey)]
	if !known {
		return ApplyResult{}, false
	}
	if s.Jobs[id].Spec.Digest != a.Spec.Digest {
		return refuse(code.KeyReused, "the key came with another request before"), true
	}
	return ApplyResult{Code: code.OK, Job: id, Repeat: true}, true
}

func teamKey(team, key string) string {
	return team + "/" + key
}

// checkFeasible refuses work that can never start. While the capacity of any listed
// worker is unknown, it only checks the team's limit.
func (s *State) checkFeasible(a *Accept) ApplyResult {
	spec := &a.Spec
	limit := s.Document.Teams[a.Team].Limit
	need := spec.Size
	if spec.Kind == config.Gang {
		need = spec.Size.Scale(int64(spec.Count))
	}
	if !need.Fits(limit) {
		return refuse(code.NeverFits, "%s is beyond the team's limit %s", need, limit)
	}
	if len(s.Workers) == 0 || a.UnknownCapacities > 0 {
		return ok("")
	}
	required := int64(1)
	if spec.Kind == config.Gang {
		required = int64(spec.Count)
	}
	found := int64(0)
	for _, w := range s.Workers {
		found += spec.Size.Count(w.Capacity, required)
	}
	if found < required {
		return refuse(code.NeverFits, "the cell holds %d tasks of %s at most, %d are asked for", found, spec.Size, required)
	}
	return ok("")
}

// dispatch assigns tasks to workers, either all of the record or none.
func (s *State) dispatch(offset int64, r *Record) ApplyResult {
	d := r.Dispatch
	j := s.Jobs[d.Job]
	if j == nil || j.Code != 0 || j.CancelCode != 0 {
		return refuse(code.StaleBase, "job %s has ended", d.Job)
	}
	if !j.Spec.Deadline.IsZero() && r.At.After(j.Spec.Deadline) {
		return refuse(code.Expired, "job %s is past its deadline", d.Job)
	}
	if j.Spec.Kind == config.Gang && len(d.Placements) != len(j.Tasks) {
		return refuse(code.BadRequest, "gang %s: %d of %d tasks", d.Job, len(d.Placements), len(j.Tasks))
	}
	for _, p := range d.Placements {
		if res := s.checkPlacement(j, p, r.By); res.Code != code.OK {
			return res
		}
	}
	need := j.Spec.Size.Scale(int64(len(d.Placements)))
	if !need.Fits(s.Unused(j.Team)) {
		return refuse(code.OverLimit, "team %q has %s left", j.Team, s.Unused(j.Team))
	}
	for _, p := range d.Placements {
		s.assign(offset, j, p)
	}
	return ok(j.ID)
}

// checkPlacement checks one placement. Only the home of a worker knows its free
// capacity, so it is the only one that places tasks there, except for gangs,
// which may span workers of several homes.
func (s *State) checkPlacement(j *Job, p Placement, by string) ApplyResult {
	if p.Task < 0 || p.Task >= len(j.Tasks) {
		return refuse(code.BadRequest, "job %s has no task %d", j.ID, p.Task)
	}
	t := &j.Tasks[p.Task]
	if t.Phase != Queued || p.Attempt != t.Attempt+1 {
		return refuse(code.StaleBase, "task %d of job %s is not queued for attempt %d", p.Task, j.ID, p.Attempt)
	}
	w := s.Workers[p.Worker]
	if w == nil || !s.Live(w.Home) {
		return refuse(code.StaleBase, "worker %s has no home", p.Worker)
	}
	if s.Document.IsEvacuated(w.DataCentre) {
		return refuse(code.StaleBase, "data centre %s of worker %s is evacuated", w.DataCentre, p.Worker)
	}
	if admitted, why := s.Admits(p.Worker, j, p.Task); !admitted {
		return refuse(code.StaleBase, "worker %s: %s", p.Worker, why)
	}
	if j.Spec.Kind != config.Gang && w.Home != by {
		return refuse(code.StaleBase, "worker %s has another home", p.Worker)
	}
	return ok("")
}

func (s *State) assign(offset int64, j *Job, p Placement) {
	t := &j.Tasks[p.Task]
	s.leaveQueue(j, 1)
	t.Phase = Dispatched
	t.Attempt = p.Attempt
	t.Worker = p.Worker
	t.Boot = s.Workers[p.Worker].Boot
	t.Order = offset
	t.DispatchedAt = s.Clock
	t.Stop = false
	s.addTask(j, p.Task)
}

// settle ends an attempt. It is accepted from the worker's home only: only the
// current claim rules out a delayed start, so no other entry VM can tell that an
// attempt did not run.
func (s *State) settle(r *Record) ApplyResult {
	end := r.Settle
	j := s.Jobs[end.Job]
	if j == nil || end.Task < 0 || end.Task >= len(j.Tasks) {
		return refuse(code.StaleBase, "no task %d of job %s", end.Task, end.Job)
	}
	t := &j.Tasks[end.Task]
	if t.Phase != Dispatched || t.Attempt != end.Attempt {
		return ApplyResult{Code: code.OK, Job: j.ID, Repeat: true}
	}
	if s.Workers[t.Worker].Home != r.By {
		return refuse(code.StaleBase, "worker %s has another home", t.Worker)
	}
	s.removeTask(j, end.Task)
	s.finishAttempt(j, end.Task, end.EndKind, end.Result)
	return ok(j.ID)
}

// removeTask removes an attempt from the accounting of its worker and team.
func (s *State) removeTask(j *Job, task int) {
	worker := j.Tasks[task].Worker
	delete(s.tasksOnWorker[worker], TaskRef{j.ID, task})
	s.load[worker] = s.load[worker].Sub(j.Spec.Size)
	s.addUsage(j.Team, j.Spec.Size.Scale(-1))
}

// finishAttempt moves a task to its next phase after an attempt ended.
func (s *State) finishAttempt(j *Job, task int, endKind EndKind, result *Result) {
	t := &j.Tasks[task]
	t.leaveWorker()
	switch endKind {
	case Finished:
		s.finish(j, t, result)
	case NotRun:
		s.requeue(j, t)
	case Stopped:
		s.handleInterrupted(j, t)
	default:
		t.Failures++
		s.handleInterrupted(j, t)
	}
	s.updateJob(j)
}

// leaveWorker removes the assignment of a task whose attempt has ended.
func (t *Task) leaveWorker() {
	t.Worker = ""
	t.Boot = ""
	t.Stop = false
}

func (s *State) finish(j *Job, t *Task, result *Result) {
	failed := result.Code != code.OK
	t.Result = result
	if failed {
		t.Failures++
		t.Started = true
	}
	if failed && j.Spec.Idempotent && t.Failures < s.Document.Policy(j.Spec.Kind).MaxAttempts {
		s.requeue(j, t)
		return
	}
	t.Phase = Done
	t.Code = result.Code
}

// handleInterrupted handles an attempt that may have started and has no result.
func (s *State) handleInterrupted(j *Job, t *Task) {
	t.Started = true
	if !j.Spec.Idempotent {
		t.Phase = Done
		t.Code = code.MayHaveRun
		return
	}
	if t.Failures >= s.Document.Policy(j.Spec.Kind).MaxAttempts {
		t.Phase = Done
		t.Code = code.MayHaveRun
		return
	}
	s.requeue(j, t)
}

// requeue requeues a task, or closes it if the job is canceled. Requeuing one task
// of a gang restarts the gang.
func (s *State) requeue(j *Job, t *Task) {
	if j.CancelCode != 0 {
		t.close(j.CancelCode)
		return
	}
	t.Phase = Queued
	s.enterQueue(j, 1)
	if j.Spec.Kind == config.Gang {
		j.Restarting = true
	}
}

// updateJob updates the job after a task changed.
func (s *State) updateJob(j *Job) {
	if j.Restarting {
		s.restartGang(j)
	}
	for i := range j.Tasks {
		if j.Tasks[i].Phase != Done {
			return
		}
	}
	s.endJob(j)
}

// restartGang stops the running tasks of a gang that has to restart, and requeues
// the whole gang once none of them runs.
func (s *State) restartGang(j *Job) {
	running := false
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Phase == Dispatched {
			t.Stop = true
			running = true
		}
	}
	if running {
		return
	}
	j.Restarting = false
	if !j.Spec.Idempotent && anyStarted(j) {
		s.closeQueued(j, code.MayHaveRun)
		return
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Phase == Done {
			t.Phase = Queued
			t.Started = true
			t.Code = 0
			t.Result = nil
			s.enterQueue(j, 1)
		}
	}
}

func anyStarted(j *Job) bool {
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Done || j.Tasks[i].Started {
			return true
		}
	}
	return false
}

// closeQueued closes every queued task with c.
func (s *State) closeQueued(j *Job, c code.Code) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Phase == Queued {
			t.close(c)
			s.leaveQueue(j, 1)
		}
	}
}

// close ends a task without another attempt. If an attempt has started, the code
// is MayHaveRun, since c would report the task as not run.
func (t *Task) close(c code.Code) {
	t.Phase = Done
	t.Code = c
	if t.Started {
		t.Code = code.MayHaveRun
	}
}

// endJob closes the job with the highest code of its tasks, which is the most
// severe one.
func (s *State) endJob(j *Job) {
	j.Code = code.OK
	for i := range j.Tasks {
		j.Code = max(j.Code, j.Tasks[i].Code)
	}
	j.EndedAt = s.Clock
	s.ended = append(s.ended, j.ID)
	j.Spec.Payload = ""
}

// cancel closes the queued tasks and requests a stop of the running ones. An
// expiry has no effect unless all tasks are still queued.
func (s *State) cancel(c *Cancel) ApplyResult {
	j := s.Jobs[c.Job]
	if j == nil || j.Team != c.Team {
		return refuse(code.NotFound, "no job %s", c.Job)
	}
	if j.Code != 0 {
		return ApplyResult{Code: code.OK, Job: j.ID, Repeat: true}
	}
	if c.Code == code.Expired && !allQueued(j) {
		return ok(j.ID)
	}
	j.CancelCode = c.Code
	j.Restarting = false
	s.closeQueued(j, c.Code)
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Dispatched {
			j.Tasks[i].Stop = true
		}
	}
	s.updateJob(j)
	return ok(j.ID)
}

func allQueued(j *Job) bool {
	for i := range j.Tasks {
		if j.Tasks[i].Phase != Queued {
			return false
		}
	}
	return true
}

// settleAllCrashed settles all attempts on a worker that has ended without notice.
func (s *State) settleAllCrashed(worker string) {
	refs := s.OnWorker(worker)
	alone := true
	for _, ref := range refs {
		alone = alone && ref.Job == refs[0].Job
	}
	for _, ref := range refs {
		j := s.Jobs[ref.Job]
		s.removeTask(j, ref.Task)
		s.recordCrash(j, ref.Task, alone)
		j.Tasks[ref.Task].leaveWorker()
		s.handleCrash(j, ref.Task)
		s.updateJob(j)
	}
}

// stopOverLimit requests a stop of the newest idempotent attempts of each team that
// exceeds its limit, which happens after the limit was lowered.
func (s *State) stopOverLimit() {
	for _, team := range s.Document.TeamNames() {
		remaining := s.Unused(team)
		if (resource.Vector{}).Fits(remaining) {
			continue
		}
		for _, j := range s.newestFirst(team) {
			for i := range j.Tasks {
				t := &j.Tasks[i]
				if (resource.Vector{}).Fits(remaining) || t.Phase != Dispatched || t.Stop {
					continue
				}
				t.Stop = true
				remaining = remaining.Add(j.Spec.Size)
			}
		}
	}
}

// newestFirst returns the idempotent jobs of the team, newest first.
func (s *State) newestFirst(team string) []*Job {
	var jobs []*Job
	for _, j := range s.Jobs {
		if j.Team == team && j.Spec.Idempotent && j.Code == 0 {
			jobs = append(jobs, j)
		}
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Order > jobs[b].Order })
	return jobs
}
