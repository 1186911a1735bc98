package job

import "time"

type (
	// taskWait is since when a task under which workers have crashed waits to start, as this VM has
	// read it. It is zero while the task is dispatched. No record holds it: a VM counts from the
	// time at which it read the wait, which for one that has started later is its load.
	taskWait struct {
		of    waitingTask
		since time.Time
	}

	// waitingTask identifies a wait. Another run or verdict begins a new one, also if the records
	// in between were not read.
	waitingTask struct {
		step, index int
		run         int64
		verdict     Verdict
	}
)

// WaitingSince returns since when the i-th task of Crashes waits to start with its present verdict;
// zero if it does not wait.
func (j *Job) WaitingSince(i int) time.Time {
	if i >= len(j.taskWaits) {
		return time.Time{}
	}
	return j.taskWaits[i].since
}

// updateWaits notes which of the tasks under which workers have crashed wait after a record of the
// job. There is one wait for each task of Crashes, which keep their order.
func (j *Job) updateWaits() {
	if j.Crashes == nil {
		return
	}
	now := time.Now()
	waits := make([]taskWait, len(j.Crashes.Tasks))
	for i := range j.Crashes.Tasks {
		c := &j.Crashes.Tasks[i]
		t := j.task(c.Step, c.Index)
		if t == nil || t.Status != Waiting {
			continue
		}
		waits[i] = taskWait{waitingTask{c.Step, c.Index, t.Run, c.Verdict}, now}
		if i < len(j.taskWaits) && j.taskWaits[i].of == waits[i].of {
			waits[i] = j.taskWaits[i]
		}
	}
	j.taskWaits = waits
}

// task returns the progress of a task, or nil if the state does not hold it.
func (j *Job) task(step, index int) *Task {
	if j.State == nil || step >= len(j.State.Steps) || index >= len(j.State.Steps[step]) {
		return nil
	}
	return &j.State.Steps[step][index]
}
