package job

import "time"

type (
	// State is the progress of a job.
	State struct {
		_     struct{} `cbor:",toarray"`
		Phase Phase
		// Started is set when the first task is dispatched.
		Started bool
		// EndedAt is set when Phase becomes final.
		EndedAt time.Time
		// Steps holds the tasks of each step. It is empty once the job has
		// ended and none of its tasks runs.
		Steps [][]Task
	}

	// Task is the progress of a task.
	Task struct {
		_      struct{} `cbor:",toarray"`
		Status Status
		// Run is the number of the newest run, 0 before the first.
		Run int64
		// Failures is the number of failed runs. For a gang it is kept in the
		// first task and counts runs of the whole gang.
		Failures int
		// FailedRun is the newest run that is counted in Failures.
		FailedRun int64
		// Worker and Boot identify the worker of a dispatched task and the run of
		// that worker's process. Of a task that waits again Worker is that of its last run.
		Worker string
		Boot   int64
	}

	// Phase is the phase of a job that is reported to callers.
	Phase int

	// Status is the status of a task.
	Status int
)

const (
	// Queued jobs have no task that has started.
	Queued Phase = iota
	// Running jobs have started.
	Running
	// Completed jobs have all their tasks done.
	Completed
	// Failed jobs have a task that failed too many times.
	Failed
	// Canceled jobs were canceled by their team.
	Canceled
)

const (
	// Waiting tasks are not dispatched.
	Waiting Status = iota
	// Dispatched tasks are assigned to a worker and may run there.
	Dispatched
	// Succeeded tasks have ended successfully.
	Succeeded
	// Released tasks belong to a job that has ended, and do not run anywhere.
	Released
	// Interrupted tasks of a gang have ended without success, while others of
	// the same run may still be running.
	Interrupted
)

var phaseNames = []string{"queued", "running", "completed", "failed", "canceled"}

// NewState returns the initial state of a job.
func NewState(s *Submission) *State {
	st := &State{Steps: make([][]Task, len(s.Steps))}
	for i := range s.Steps {
		st.Steps[i] = make([]Task, s.Steps[i].Count)
	}
	return st
}

// Clone returns a deep copy.
func (s *State) Clone() *State {
	c := *s
	c.Steps = make([][]Task, len(s.Steps))
	for i := range s.Steps {
		c.Steps[i] = append([]Task(nil), s.Steps[i]...)
	}
	return &c
}

// StepDone reports whether all tasks of a step are done.
func (s *State) StepDone(step int) bool {
	for i := range s.Steps[step] {
		if s.Steps[step][i].Status != Succeeded {
			return false
		}
	}
	return true
}

// Ready reports whether all dependencies of a step are done.
func (s *State) Ready(sub *Submission, step int) bool {
	for _, before := range sub.Steps[step].After {
		if !s.StepDone(before) {
			return false
		}
	}
	return true
}

// AllDone reports whether every task is done.
func (s *State) AllDone() bool {
	for i := range s.Steps {
		if !s.StepDone(i) {
			return false
		}
	}
	return true
}

// MayHaveStarted reports whether a run of the job has started, or has ended in a
// way that the state does not record. First runs that are still dispatched do not
// count, since it is not known yet whether they start.
func (s *State) MayHaveStarted() bool {
	if !s.Started {
		return false
	}
	for _, tasks := range s.Steps {
		for i := range tasks {
			t := &tasks[i]
			if t.Run > 1 || t.Run == 1 && t.Status != Dispatched {
				return true
			}
		}
	}
	return false
}

// AnyDispatched reports whether a task may still run somewhere.
func (s *State) AnyDispatched() bool {
	for _, tasks := range s.Steps {
		for i := range tasks {
			if tasks[i].Status == Dispatched {
				return true
			}
		}
	}
	return false
}

// AnyRestarted reports whether a task may have been started more than once.
func (s *State) AnyRestarted() bool {
	for _, tasks := range s.Steps {
		for i := range tasks {
			if tasks[i].Run > 1 {
				return true
			}
		}
	}
	return false
}

// Final reports whether the phase is terminal.
func (p Phase) Final() bool {
	return p >= Completed
}

// String returns the name of the phase.
func (p Phase) String() string {
	return phaseNames[p]
}
