package ledger

import (
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/crash"
	"pollendock.example/cell/job"
)

// survivedAfter is how long after its dispatch a task is known to have survived its start
// on its worker. It covers the time until the end of a worker is recorded.
const survivedAfter = 30 * time.Second

// crashTask returns the task that holds the crashes under a task: of a gang its first.
func (j *Job) crashTask(task int) *Task {
	if j.Spec.Kind == config.Gang {
		task = 0
	}
	return &j.Tasks[task]
}

// Suspected reports whether a task is to run where no other job does.
func (j *Job) Suspected(task int) bool {
	c := j.crashTask(task).Crashes
	return c != nil && c.Verdict == job.Suspect
}

// recordCrash counts the crash of the worker of a dispatched task. Alone is set if no
// task of another job was there.
func (s *State) recordCrash(j *Job, task int, alone bool) {
	t := &j.Tasks[task]
	holder := j.crashTask(task)
	var before job.TaskCrashes
	if holder.Crashes != nil {
		before = *holder.Crashes
	}
	after := crash.Judge(before, crash.Scene{
		Run: t.Attempt, Begun: true, Survived: s.Clock.Sub(t.DispatchedAt) >= survivedAfter, EarlyOthers: !alone, Alone: alone,
		Endless: j.Spec.Kind == config.Service,
	})
	holder.Crashes = &after
}

// handleCrash handles an attempt whose worker has crashed. Only a task that was there
// without other jobs, repeatedly, is given up for it; the others have attempts left.
func (s *State) handleCrash(j *Job, task int) {
	t := &j.Tasks[task]
	t.Started = true
	switch {
	case !j.Spec.Idempotent:
		t.Phase = Done
		t.Code = code.MayHaveRun
	case j.crashTask(task).Crashes.Verdict == job.Poison:
		t.Phase = Done
		t.Code = code.CrashesWorkers
		if j.Spec.Kind == config.Gang {
			j.Restarting = false
			s.closeGang(j)
		}
	default:
		s.requeue(j, t)
	}
}

// closeGang ends a gang one of whose members crashes its workers: the queued ones at once,
// the running ones once they have stopped.
func (s *State) closeGang(j *Job) {
	j.CancelCode = code.CrashesWorkers
	s.closeQueued(j, code.CrashesWorkers)
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Dispatched {
			j.Tasks[i].Stop = true
		}
	}
}

// Admits reports whether a task may be dispatched to a worker as far as suspects are
// concerned: they and other jobs keep apart. It also returns the reason.
func (s *State) Admits(worker string, j *Job, task int) (bool, string) {
	suspected := j.Suspected(task)
	for ref := range s.tasksOnWorker[worker] {
		if ref.Job == j.ID {
			continue
		}
		if suspected {
			return false, "other jobs run there, and the task is suspected to crash its workers"
		}
		if s.isolates(ref) {
			return false, "a task that is suspected to crash its workers runs there"
		}
	}
	return true, ""
}

// Isolated reports whether a suspect has the worker for itself.
func (s *State) Isolated(worker string) bool {
	for ref := range s.tasksOnWorker[worker] {
		if s.isolates(ref) {
			return true
		}
	}
	return false
}

// isolates reports whether other jobs keep away from a dispatched task: from a suspect
// until it has survived its start, and to its end if it has seen several crashes and has
// an end.
func (s *State) isolates(ref TaskRef) bool {
	j := s.Jobs[ref.Job]
	if !j.Suspected(ref.Task) {
		return false
	}
	survived := s.Clock.Sub(j.Tasks[ref.Task].DispatchedAt) >= survivedAfter
	return !survived || j.Spec.Kind != config.Service && j.crashTask(ref.Task).Crashes.Count > 1
}
