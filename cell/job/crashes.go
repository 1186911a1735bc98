package job

import (
	"slices"

	"pollendock.example/cell/site"
)

type (
	// Crashes counts the workers that have crashed under the tasks of a job. Its record
	// is kept as long as those of the job.
	Crashes struct {
		_     struct{} `cbor:",toarray"`
		Tasks []TaskCrashes
	}

	// TaskCrashes counts the workers that have crashed under one task. A gang counts as
	// its first task.
	TaskCrashes struct {
		_     struct{} `cbor:",toarray"`
		Step  int      `json:"step"`
		Index int      `json:"index"`
		// Count is the number of crashes.
		Count int `json:"count"`
		// Early is the number of the latest of them, in a row, that came before the run
		// was known to have survived its start.
		Early int `json:"early"`
		// Run is the newest run that is counted.
		Run     int64   `json:"run"`
		Verdict Verdict `json:"verdict"`
	}

	// Verdict is whether a task is taken to crash its workers.
	Verdict int
)

const (
	// Trusted tasks run beside others.
	Trusted Verdict = iota
	// Suspect tasks run where no other job does.
	Suspect
	// Poison tasks have crashed a worker on which no other job ran. They are not started
	// again.
	Poison
)

var verdictNames = []string{"trusted", "suspect", "poison"}

// CrashesEntry returns the entry that stores the crashes under the tasks of a job.
func CrashesEntry(id string, c *Crashes) (site.Entry, error) {
	return encode(crashesKey+id, c)
}

// Of returns the crashes under a task.
func (c *Crashes) Of(step, index int) TaskCrashes {
	if c != nil {
		for i := range c.Tasks {
			if t := &c.Tasks[i]; t.Step == step && t.Index == index {
				return *t
			}
		}
	}
	return TaskCrashes{Step: step, Index: index}
}

// With returns a copy in which the crashes under one task are replaced.
func (c *Crashes) With(t TaskCrashes) *Crashes {
	next := &Crashes{}
	if c != nil {
		next.Tasks = slices.Clone(c.Tasks)
	}
	for i := range next.Tasks {
		if next.Tasks[i].Step == t.Step && next.Tasks[i].Index == t.Index {
			next.Tasks[i] = t
			return next
		}
	}
	next.Tasks = append(next.Tasks, t)
	return next
}

// String returns the name of the verdict.
func (v Verdict) String() string {
	return verdictNames[v]
}
