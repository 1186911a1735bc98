package ledger

import (
	"fmt"
	"sort"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// Job is a durable submission.
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
		// Withdraw is set while a gang is being stopped to start it anew.
		Withdraw bool `json:"withdraw,omitempty"`
		// CancelCode is set once the job is not to be started again.
		CancelCode code.Code `json:"cancelCode,omitempty"`

		// queued counts the tasks in the queue.
		queued int
	}

	// Task is one part of a job.
	Task struct {
		Phase   Phase `json:"phase"`
		Attempt int64 `json:"attempt"`
		// Started is set once an attempt started that left no good result, so
		// the task can no longer be said not to have run.
		Started bool `json:"started,omitempty"`
		// Failures counts attempts that failed or vanished.
		Failures int64 `json:"failures,omitempty"`
		// Worker, Boot and Order are set while the task is dispatched.
		Worker string `json:"worker,omitempty"`
		Boot   string `json:"boot,omitempty"`
		Order  int64  `json:"order,omitempty"`
		// Stop asks the worker's home to stop the attempt.
		Stop bool `json:"stop,omitempty"`
		// Code and Result are set once the task is done.
		Code   code.Code `json:"code,omitempty"`
		Result *Result   `json:"result,omitempty"`
	}

	// TaskRef names one task.
	TaskRef struct {
		Job  string
		Task int
	}

	// Phase is where a task is.
	Phase string

	// waiting counts and orders what a team has queued.
	waiting struct {
		jobs  []*Job
		count int64
		bytes int64
	}
)

const (
	// Queued tasks wait for a dispatch.
	Queued Phase = "queued"
	// Dispatched tasks are bound to a worker.
	Dispatched Phase = "dispatched"
	// Done tasks have ended for good.
	Done Phase = "done"
)

// AttemptID names an attempt at a worker.
func AttemptID(job string, task int, attempt int64) string {
	return fmt.Sprintf("%s/%d/%d", job, task, attempt)
}

// accept queues a job, or returns the one that came with the same key.
func (s *State) accept(offset int64, r *Record) Effect {
	a := r.Accept
	team, known := s.Document.Teams[a.Team]
	if _, granted := team.Keys[a.KeyName]; !known || !granted {
		return refuse(code.Unauthenticated, "key %q of team %q is not granted", a.KeyName, a.Team)
	}
	if a.Spec.IdempotencyKey != "" {
		if e, repeat := s.findRepeat(a); repeat {
			return e
		}
	}
	if e := s.feasible(a); e.Code != code.OK {
		return e
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

func (s *State) findRepeat(a *Accept) (Effect, bool) {
	if s.Clock.Sub(a.Spec.IssuedAt) > KeyWindow {
		return refuse(code.KeyTooOld, "the key was issued more than %s ago", KeyWindow), true
	}
	id, known := s.keys[repeatKey(a.Team, a.Spec.IdempotencyKey)]
	if !known {
		return Effect{}, false
	}
	if s.Jobs[id].Spec.Digest != a.Spec.Digest {
		return refuse(code.KeyReused, "the key came with another request before"), true
	}
	return Effect{Code: code.OK, Job: id, Repeat: true}, true
}

func repeatKey(team, key string) string {
	return team + "/" + key
}

// feasible refuses work that can never start. As long as the capacity of a
// listed worker is unknown, only the team's limit can tell.
func (s *State) feasible(a *Accept) Effect {
	spec := &a.Spec
	limit := s.Document.Teams[a.Team].Limit
	need := spec.Size
	if spec.Kind == config.Gang {
		need = spec.Size.Scale(int64(spec.Count))
	}
	if !need.Fits(limit) {
		return refuse(code.NeverFits, "%s is beyond the team's limit %s", need, limit)
	}
	if len(s.Workers) == 0 || a.Unsized > 0 {
		return ok("")
	}
	wanted := int64(1)
	if spec.Kind == config.Gang {
		wanted = int64(spec.Count)
	}
	found := int64(0)
	for _, w := range s.Workers {
		found += spec.Size.Count(w.Capacity, wanted)
	}
	if found < wanted {
		return refuse(code.NeverFits, "the cell holds %d tasks of %s at most, %d are asked for", found, spec.Size, wanted)
	}
	return ok("")
}

// dispatch binds tasks to workers, all or none.
func (s *State) dispatch(offset int64, r *Record) Effect {
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
		if e := s.placeable(j, p, r.By); e.Code != code.OK {
			return e
		}
	}
	need := j.Spec.Size.Scale(int64(len(d.Placements)))
	if !need.Fits(s.Room(j.Team)) {
		return refuse(code.OverLimit, "team %q has %s left", j.Team, s.Room(j.Team))
	}
	for _, p := range d.Placements {
		s.bind(offset, j, p)
	}
	return ok(j.ID)
}

// placeable checks one placement. Gangs may span homes; any other task is
// placed by the home of the worker, which alone knows the room there.
func (s *State) placeable(j *Job, p Placement, by string) Effect {
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
	if j.Spec.Kind != config.Gang && w.Home != by {
		return refuse(code.StaleBase, "worker %s has another home", p.Worker)
	}
	return ok("")
}

func (s *State) bind(offset int64, j *Job, p Placement) {
	t := &j.Tasks[p.Task]
	s.leaveQueue(j, 1)
	t.Phase = Dispatched
	t.Attempt = p.Attempt
	t.Worker = p.Worker
	t.Boot = s.Workers[p.Worker].Boot
	t.Order = offset
	t.Stop = false
	s.hold(j, p.Task)
}

// settle ends an attempt. Only the worker's home can tell that an attempt did
// not run, since only its claim shuts out a late start.
func (s *State) settle(r *Record) Effect {
	e := r.Settle
	j := s.Jobs[e.Job]
	if j == nil || e.Task < 0 || e.Task >= len(j.Tasks) {
		return refuse(code.StaleBase, "no task %d of job %s", e.Task, e.Job)
	}
	t := &j.Tasks[e.Task]
	if t.Phase != Dispatched || t.Attempt != e.Attempt {
		return Effect{Code: code.OK, Job: j.ID, Repeat: true}
	}
	if s.Workers[t.Worker].Home != r.By {
		return refuse(code.StaleBase, "worker %s has another home", t.Worker)
	}
	s.release(j, e.Task)
	s.conclude(j, e.Task, e.How, e.Result)
	return ok(j.ID)
}

// release takes the attempt off its worker.
func (s *State) release(j *Job, task int) {
	worker := j.Tasks[task].Worker
	delete(s.onWorker[worker], TaskRef{j.ID, task})
	s.load[worker] = s.load[worker].Sub(j.Spec.Size)
	s.addUse(j.Team, j.Spec.Size.Scale(-1))
}

// conclude decides what follows an attempt that was released.
func (s *State) conclude(j *Job, task int, how How, result *Result) {
	t := &j.Tasks[task]
	t.Worker = ""
	t.Boot = ""
	t.Stop = false
	switch how {
	case Finished:
		s.finish(j, t, result)
	case NotRun:
		s.again(j, t)
	case Stopped:
		s.interrupted(j, t)
	default:
		t.Failures++
		s.interrupted(j, t)
	}
	s.afterSettle(j)
}

func (s *State) finish(j *Job, t *Task, result *Result) {
	failed := result.Code != code.OK
	t.Result = result
	if failed {
		t.Failures++
		t.Started = true
	}
	if failed && j.Spec.Idempotent && t.Failures < s.Document.Policy(j.Spec.Kind).MaxAttempts {
		s.again(j, t)
		return
	}
	t.Phase = Done
	t.Code = result.Code
}

// interrupted handles an attempt that started and has no result.
func (s *State) interrupted(j *Job, t *Task) {
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
	s.again(j, t)
}

// again queues the task once more, unless the job is not to be started again.
func (s *State) again(j *Job, t *Task) {
	if j.CancelCode != 0 {
		t.close(j.CancelCode)
		return
	}
	t.Phase = Queued
	s.enterQueue(j, 1)
	if j.Spec.Kind == config.Gang {
		j.Withdraw = true
	}
}

// afterSettle moves the job on once a task has changed.
func (s *State) afterSettle(j *Job) {
	if j.Withdraw {
		s.withdraw(j)
	}
	for i := range j.Tasks {
		if j.Tasks[i].Phase != Done {
			return
		}
	}
	s.end(j)
}

// withdraw stops the rest of a gang of which one task has to start again, and
// queues the whole gang once nothing of it runs.
func (s *State) withdraw(j *Job) {
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
	j.Withdraw = false
	if !j.Spec.Idempotent && anyRan(j) {
		s.abandon(j, code.MayHaveRun)
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

func anyRan(j *Job) bool {
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Done || j.Tasks[i].Started {
			return true
		}
	}
	return false
}

// abandon marks every queued task done with c.
func (s *State) abandon(j *Job, c code.Code) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Phase == Queued {
			t.close(c)
			s.leaveQueue(j, 1)
		}
	}
}

// close ends a task that is not to be started again. A task of which an
// attempt started is never said not to have run.
func (t *Task) close(c code.Code) {
	t.Phase = Done
	t.Code = c
	if t.Started {
		t.Code = code.MayHaveRun
	}
}

// end closes the job with the gravest code of its tasks.
func (s *State) end(j *Job) {
	j.Code = code.OK
	for i := range j.Tasks {
		j.Code = max(j.Code, j.Tasks[i].Code)
	}
	j.EndedAt = s.Clock
	s.ended = append(s.ended, j.ID)
	j.Spec.Payload = ""
}

// cancel ends what is queued and asks the homes to stop what runs.
func (s *State) cancel(c *Cancel) Effect {
	j := s.Jobs[c.Job]
	if j == nil || j.Team != c.Team {
		return refuse(code.NotFound, "no job %s", c.Job)
	}
	if j.Code != 0 {
		return Effect{Code: code.OK, Job: j.ID, Repeat: true}
	}
	if c.Code == code.Expired && !allQueued(j) {
		return ok(j.ID)
	}
	j.CancelCode = c.Code
	j.Withdraw = false
	s.abandon(j, c.Code)
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Dispatched {
			j.Tasks[i].Stop = true
		}
	}
	s.afterSettle(j)
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

// vanishAll settles every attempt on a worker as vanished.
func (s *State) vanishAll(worker string) {
	for _, ref := range s.OnWorker(worker) {
		j := s.Jobs[ref.Job]
		s.release(j, ref.Task)
		s.conclude(j, ref.Task, Vanished, nil)
	}
}

// stopExcess asks for the end of the youngest idempotent attempts of each team
// that holds more than its limit, after the limit was lowered.
func (s *State) stopExcess() {
	for _, team := range s.Document.TeamNames() {
		over := s.Room(team)
		if (resource.Vector{}).Fits(over) {
			continue
		}
		for _, j := range s.youngestFirst(team) {
			for i := range j.Tasks {
				t := &j.Tasks[i]
				if (resource.Vector{}).Fits(over) || t.Phase != Dispatched || t.Stop {
					continue
				}
				t.Stop = true
				over = over.Add(j.Spec.Size)
			}
		}
	}
}

// youngestFirst returns the idempotent jobs of the team, newest first.
func (s *State) youngestFirst(team string) []*Job {
	var jobs []*Job
	for _, j := range s.Jobs {
		if j.Team == team && j.Spec.Idempotent && j.Code == 0 {
			jobs = append(jobs, j)
		}
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Order > jobs[b].Order })
	return jobs
}
