// Package job is the model of multi-step jobs: what callers hand in, how far
// each task has come, and the book that folds the durable records of both.
package job

import (
	"slices"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/resource"
)

type (
	// Submission is a job as a team handed it in, with what the catalog said of
	// its queue at that time. It never changes.
	Submission struct {
		_    struct{} `cbor:",toarray"`
		ID   string
		Team string
		// Queue and Service name where it was handed in and who runs it.
		Queue   string
		Service string
		// Priority is the queue's; 0 comes first.
		Priority int
		// MaxAttempts bounds the failed runs of a task.
		MaxAttempts int
		// AcceptedAt is the time of day at the VM that took the job. Clocks of VMs
		// differ and jump: see Job.AcceptedAt.
		AcceptedAt time.Time
		// Spec is handed to the workers as it is.
		Spec  string
		Steps []Step
	}

	// Step is a part of a job whose tasks are alike.
	Step struct {
		_     struct{} `cbor:",toarray"`
		Count int
		// Size is what each task takes of a worker.
		Size resource.Vector
		// Estimate is the team's guess of a task's run time.
		Estimate time.Duration
		// After lists the steps whose tasks must all be done first.
		After []int
		// Gang tasks work only together.
		Gang bool
		// OneRack tasks run slower when they are on more than one rack.
		OneRack bool
		// Checkpointing tasks can resume.
		Checkpointing bool
		// Copies may run at the same time.
		Copies bool
		// Endless tasks run until the job is canceled.
		Endless bool
		// Label is one that the worker must have; empty for any.
		Label string
		// Rack is where the data is; empty for anywhere.
		Rack string
		// PerWorker bounds the tasks of the step on one worker; 0 for any.
		PerWorker int
	}
)

const (
	// MaxSteps and MaxTasks bound a job.
	MaxSteps = 100
	MaxTasks = 10_000
	// MaxSpecBytes bounds Spec.
	MaxSpecBytes = 4000
)

// Validate returns an error with a result code if the job cannot be run as it
// is described.
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

// ToOutline returns what is kept of a job that has ended: who may ask for it, and
// in which queue.
func (s *Submission) ToOutline() *Submission {
	return &Submission{ID: s.ID, Team: s.Team, Queue: s.Queue, AcceptedAt: s.AcceptedAt}
}

// Outline reports whether the submission is only an outline.
func (s *Submission) Outline() bool {
	return len(s.Steps) == 0
}

func (p *Step) validate(number int) error {
	if p.Count < 1 {
		return code.New(code.BadSize, "step %d has %d tasks", number, p.Count)
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

// Chains returns the time of the longest chain of work that begins with each
// step, given what each step takes.
func (s *Submission) Chains(takes []time.Duration) []time.Duration {
	chains := slices.Clone(takes)
	for step := len(s.Steps) - 1; step >= 0; step-- {
		longest := time.Duration(0)
		for next := step + 1; next < len(s.Steps); next++ {
			if slices.Contains(s.Steps[next].After, step) {
				longest = max(longest, chains[next])
			}
		}
		chains[step] += longest
	}
	return chains
}
