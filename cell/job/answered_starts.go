package job

import (
	"maps"
	"time"

	"pollendock.example/cell/site"
)

type (
	// AnsweredStarts records which start requests no worker can execute late: those of all runs
	// that were dispatched by records before an offset, except of some runs. They have been
	// answered, or are never sent. What it says stays true, whoever leads later.
	AnsweredStarts struct {
		_      struct{} `cbor:",toarray"`
		Before int64
		Except []RunName
	}

	// RunName names a run of a task.
	RunName struct {
		_           struct{} `cbor:",toarray"`
		Job         string
		Step, Index int
		Run         int64
	}
)

const (
	answeredStartsKey = "answeredStarts"
	// maxNamedRuns is more runs than any leader names in a record.
	maxNamedRuns = 4096
)

// AnsweredStartsEntry returns the entry that stores which starts were answered.
func AnsweredStartsEntry(a *AnsweredStarts) (site.Entry, error) {
	return encode(answeredStartsKey, a)
}

func (a *AnsweredStarts) validateRecord() error {
	if a.Before < 0 {
		return Class.New("starts answered before offset %d", a.Before)
	}
	return validateRunNames(a.Except)
}

func validateRunNames(names []RunName) error {
	if len(names) > maxNamedRuns {
		return Class.New("%d runs", len(names))
	}
	for _, r := range names {
		if r.Job == "" || r.Step < 0 || r.Step >= MaxSteps || r.Index < 0 || r.Index >= MaxTasks || r.Run < 0 || r.Run > maxNumber {
			return Class.New("start of run %d of task %d of step %d of job %.60q", r.Run, r.Index, r.Step, r.Job)
		}
	}
	return nil
}

func (v *View) applyAnsweredStarts(e *site.Entry) error {
	if len(e.Value) == 0 {
		v.answeredStarts, v.exceptedSince = AnsweredStarts{}, nil
		return nil
	}
	// Readers may hold the old record, so that it is not decoded into.
	var a AnsweredStarts
	if err := decode(e, &a); err != nil {
		return err
	}
	if a.Before > e.Offset {
		return Class.New("starts answered before offset %d, which is after the record", a.Before)
	}
	v.answeredStarts = a
	v.exceptedSince = a.exceptedSince(v.exceptedSince, time.Now())
	return nil
}

// exceptedSince returns since when each run is named that the record excepts: now unless it was before.
func (a *AnsweredStarts) exceptedSince(before map[RunName]time.Time, now time.Time) map[RunName]time.Time {
	since := make(map[RunName]time.Time, len(a.Except))
	for _, r := range a.Except {
		since[r] = now
		if at, named := before[r]; named {
			since[r] = at
		}
	}
	return since
}

// ExceptedSince returns the runs that the newest such record excepts, and when this VM read the first
// record that does, of those without a gap.
func (v *View) ExceptedSince() map[RunName]time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.exceptedSince)
}

// AnsweredStarts returns the newest record of the starts that were answered. It must not be
// modified.
func (v *View) AnsweredStarts() *AnsweredStarts {
	v.mu.RLock()
	defer v.mu.RUnlock()
	a := v.answeredStarts
	return &a
}

// DispatchedBefore reports whether the present run of a dispatched task is known to have been
// dispatched by a record before that offset.
func (j *Job) DispatchedBefore(offset int64, step, index int) bool {
	if step >= len(j.dispatchedAt) || index >= len(j.dispatchedAt[step]) {
		return false
	}
	return j.dispatchedAt[step][index] < offset
}

// NoteGap notes that records were not read, before those that are applied next. Among them may be
// the removal of a job whose id was submitted again.
func (v *View) NoteGap() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gaps++
}

// dispatchOffsets returns the offsets of the first records in which this VM has read the present
// runs of the dispatched tasks of a new state, which may follow the last one without a gap. A step
// without such tasks has none.
func (j *Job) dispatchOffsets(s *State, offset int64, follows bool) [][]int64 {
	offsets := make([][]int64, len(s.Steps))
	for step, tasks := range s.Steps {
		for index := range tasks {
			if tasks[index].Status != Dispatched {
				continue
			}
			if offsets[step] == nil {
				offsets[step] = make([]int64, len(tasks))
			}
			offsets[step][index] = offset
			if follows && j.hasDispatched(&tasks[index], step, index) {
				offsets[step][index] = j.dispatchedAt[step][index]
			}
		}
	}
	return offsets
}

// hasDispatched reports whether the last state that was read has the run of a task dispatched.
func (j *Job) hasDispatched(t *Task, step, index int) bool {
	if j.State == nil || step >= len(j.State.Steps) || index >= len(j.State.Steps[step]) ||
		step >= len(j.dispatchedAt) || index >= len(j.dispatchedAt[step]) {
		return false
	}
	old := &j.State.Steps[step][index]
	return old.Status == Dispatched && old.Run == t.Run && old.Worker == t.Worker && old.Boot == t.Boot
}
