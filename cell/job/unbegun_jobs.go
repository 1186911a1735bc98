package job

import (
	"slices"

	"pollendock.example/cell/site"
)

// UnbegunJobs is the record of the jobs of which runs were decided some time ago and none is known to have
// begun. They wait like those that no run was decided for.
type UnbegunJobs struct {
	_    struct{} `cbor:",toarray"`
	Jobs []string
}

const (
	unbegunJobsKey = "unbegunJobs"
	// MaxUnbegunJobs is the number of jobs that a record names.
	MaxUnbegunJobs = 1000
)

// UnbegunJobsEntry returns the entry that stores which decided jobs have not begun.
func UnbegunJobsEntry(u *UnbegunJobs) (site.Entry, error) {
	return encode(unbegunJobsKey, u)
}

func (u *UnbegunJobs) validateRecord() error {
	if len(u.Jobs) > MaxUnbegunJobs {
		return Class.New("%d jobs that have not begun", len(u.Jobs))
	}
	if slices.Contains(u.Jobs, "") {
		return Class.New("a job without an id has not begun")
	}
	return nil
}

func (v *View) applyUnbegunJobs(e *site.Entry) error {
	var u UnbegunJobs
	if len(e.Value) > 0 {
		if err := decode(e, &u); err != nil {
			return err
		}
	}
	v.unbegun = u.Jobs
	return nil
}

// UnbegunJobs returns the jobs that the newest record names. They must not be modified.
func (v *View) UnbegunJobs() []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.unbegun
}

// unbegunOf returns the number of jobs of a queue that have not begun though runs of them were decided.
func (v *View) unbegunOf(queue string) int {
	n := 0
	for _, id := range v.unbegun {
		j := v.jobs[id]
		if j != nil && j.Submission != nil && j.Submission.Queue == queue && !j.countedAsWaiting && !j.Canceled && j.State != nil && !j.State.Phase.Final() {
			n++
		}
	}
	return n
}
