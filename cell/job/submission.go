// Package job is the model of multi-step jobs: the submission, the state of each
// task, and the in-memory state that is built from the durable records of both.
package job

import (
	"slices"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/resource"
)

type (
	// Submission is a job as submitted by a team, with the properties that its
	// queue had in the catalog at that time. It is immutable.
	Submission struct {
		_    struct{} `cbor:",toarray"`
		ID   string
		Team string
		// Queue is the queue of the job, and Service the pool of upstreams that
		// runs it.
		Queue   string
		Service string
		// Priority is the priority of the queue; 0 is the highest.
		Priority int
		// MaxAttempts limits the failed runs of a task.
		MaxAttempts int
		// AcceptedAt is the wall-clock time at the VM that accepted the job. The
		// clocks of VMs differ and jump: see Job.AcceptedAt.
		AcceptedAt time.Time
		// Spec is opaque and passed to the workers.
		Spec  string
		Steps []Step
	}

	// Step is a set of identical tasks of a job.
	Step struct {
		_     struct{} `cbor:",toarray"`
		Count int
		// Size is the capacity that each task takes on a worker.
		Size resource.Vector
		// Estimate is the team's estimate of a task's run time.
		Estimate time.Duration
		// After lists the steps that must be done before this one starts.
		After []int
		// Gang requires that all tasks run at the same time.
		Gang bool
		// OneRack says that the tasks run slower when spread over several racks.
		OneRack bool
		// Checkpointing says that a task can resume from a checkpoint.
		Checkpointing bool
		// Copies allows several copies of a task to run at the same time.
		Copies bool
		// Endless says that the tasks run until the job is canceled.
		Endless bool
		// Label is a label that the worker must have; empty for none.
		Label string
		// Rack is the rack that holds the data; empty for no preference.
		Rack string
		// PerWorker is the maximum number of tasks of the step on one worker; 0
		// means no limit.
		PerWorker int
	}
)

const (
	// MaxSteps and MaxTasks limit the size of a job.
	MaxSteps = 100
	MaxTasks = 10_000
	// MaxEstimate is the longest run time that a team may expect.
	MaxEstimate = 10 * 365 * 24 * time.Hour
	// MaxSpecBytes is the maximum length of Spec.
	MaxSpecBytes = 4000
)

// Validate returns an error with a result code if the submission is not valid.
func (s *Submission) Validate() error {
	if len(s.Spec) > MaxSpecBytes {
		return code.New(code.TooLarge, "the spec has %d bytes, at most %d are taken", len(s.Spec), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return code.New(code.BadRequest, "the job has %d steps, 1 to %d are taken", len(s.Steps), MaxSteps)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return code.New(code.BadSize, "the job has %d tasks, at most %d are taken", tasks, MaxTasks)
	}
	return nil
}

// Summary returns the part that is kept of a job that has ended. It suffices to
// authorize status requests and to find the queue.
func (s *Submission) Summary() *Submission {
	return &Submission{ID: s.ID, Team: s.Team, Queue: s.Queue, AcceptedAt: s.AcceptedAt}
}

// IsSummary reports whether the submission is only a summary.
func (s *Submission) IsSummary() bool {
	return len(s.Steps) == 0
}

func (p *Step) validate(number int) error {
	if p.Count < 1 || p.Count > MaxTasks {
		return code.New(code.BadSize, "step %d has %d tasks, 1 to %d are taken", number, p.Count, MaxTasks)
	}
	if p.Estimate < 0 || p.Estimate > MaxEstimate {
		return code.New(code.BadSize, "step %d: the estimate %v is outside 0 to %v", number, p.Estimate, MaxEstimate)
	}
	if p.PerWorker < 0 {
		return code.New(code.BadSize, "step %d: %d tasks on one worker", number, p.PerWorker)
	}
	if err := p.Size.Validate(); err != nil {
		return code.New(code.BadSize, "step %d: %v", number, err)
	}
	for _, before := range p.After {
		if before < 0 || before >= number {
			return code.New(code.BadRequest, "step %d cannot follow step %d", number, before)
		}
	}
	return nil
}

// CriticalPaths returns the critical path that begins with each step: the duration
// of the longest chain of dependent steps, given the duration of each step.
func (s *Submission) CriticalPaths(durations []time.Duration) []time.Duration {
	paths := slices.Clone(durations)
	for step := len(s.Steps) - 1; step >= 0; step-- {
		longest := time.Duration(0)
		for next := step + 1; next < len(s.Steps); next++ {
			if slices.Contains(s.Steps[next].After, step) {
				longest = max(longest, paths[next])
			}
		}
		paths[step] += longest
	}
	return paths
}
