package job

import "time"

type (
	// State is how far a job has come.
	State struct {
		_     struct{} `cbor:",toarray"`
		Phase Phase
		// Begun is set with the first dispatch of a task.
		Begun bool
		// EndedAt is set with a final Phase.
		EndedAt time.Time
		// Steps holds the tasks of each step. It is empty once the job has
		// ended and nothing of it runs.
		Steps [][]Task
	}

	// Task is how far a task has come.
	Task struct {
		_      struct{} `cbor:",toarray"`
		Status Status
		// Run is the number of the newest start, 0 before the first.
		Run int64
		// Failures counts the runs that ended as failed. For a gang it is kept
		// in the first task and counts runs of the gang.
		Failures int
		// FailedRun is the newest run that was counted in Failures.
		FailedRun int64
		// Worker and Boot say where a dispatched task is.
		Worker string
		Boot   int64
	}

	// Phase is the state of a job that callers see.
	Phase int

	// Status is the state of a task.
	Status int
)

const (
	// Queued jobs have no task that has started.
	Queued Phase = iota
	// Running jobs have begun.
	Running
	// Completed jobs have all tasks done.
	Completed
	// Failed jobs have a task that failed too often.
	Failed
	// Canceled jobs were ended by their team.
	Canceled
)

const (
	// Waiting tasks are not dispatched.
	Waiting Status = iota
	// Dispatched tasks are bound to a worker, and may run there.
	Dispatched
	// DoneTask tasks have ended well.
	DoneTask
	// Released tasks of a job that has ended do not run anywhere.
	Released
	// Interrupted tasks of a gang have ended without success, while others of
	// the same run may not have.
	Interrupted
)

var phaseNames = []string{"queued", "running", "completed", "failed", "canceled"}

// NewState returns the state of a job that was just accepted.
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
		if s.Steps[step][i].Status != DoneTask {
			return false
		}
	}
	return true
}

// Ready reports whether the tasks of a step may start.
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

// MayHaveBegun reports whether a run of the job has begun, or ended in a way that
// the state does not tell. Of first runs that are still dispatched it is not known
// whether they begin.
func (s *State) MayHaveBegun() bool {
	if !s.Begun {
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

// Final reports whether the phase never changes again.
func (p Phase) Final() bool {
	return p >= Completed
}

// String returns the name of the phase.
func (p Phase) String() string {
	return phaseNames[p]
}
