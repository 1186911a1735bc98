// Package crash decides which task is to blame when a worker crashes. It is pure: it does
// no I/O and reads no clock.
//
// It answers loads of tasks that crash each worker that starts them, among workers that
// crash for reasons of their own. Whoever had just begun is suspected first. A suspect
// runs where no other job does, so that the next crash tells whether it was to blame, and
// takes nobody else down.
package crash

import "pollendock.example/cell/job"

// Scene is what is known of a run on a worker when that worker crashed.
type Scene struct {
	// Run is the number of the run.
	Run int64
	// Begun is set if the worker is known to have started the run. Without it the crash
	// may have broken off the request to start it.
	Begun bool
	// Survived is set if the run is known to have survived its start.
	Survived bool
	// Sudden is set if the run is known to have begun just before the crash. Without it
	// the run may also have worked for some time, unseen.
	Sudden bool
	// EarlyOthers is set if another run on the worker was not known to have survived
	// its start.
	EarlyOthers bool
	// Bystander is set if the run had worked well past its start beside a suspect at its own.
	Bystander bool
	// Alone is set if no run of another job was on the worker that may be to blame.
	Alone bool
	// LikelyCuts is the number of crashes under the task, with this one, that were likely
	// none: nothing shows that the worker's process has ended, and the run had worked well
	// past its start.
	LikelyCuts int
	// Endless is set for a task that runs until its job is canceled. In its time many
	// workers crash that it has no part in.
	Endless bool
}

const (
	// EarlyCount is the number of early crashes in a row, the last one alone, that prove a
	// task to be poison however long it may have worked unseen.
	EarlyCount = 3
	// poisonEarly is the same if the last one came just after the start.
	poisonEarly = 2
	// poisonCount is the number of crashes that prove it, the last one alone, if the
	// task may have survived some of its starts.
	poisonCount = 3
	// poisonCountWithCuts is the same for a task whose workers may merely have been cut off.
	poisonCountWithCuts = 5
	// suspectCount is the number of crashes from which a task is suspected, whoever else
	// was there.
	suspectCount = 2
)

// Judge adds a crash to those under a task. A run is counted once, also if several
// workers of its gang have crashed, and not if it may not have begun, unless nothing else
// was there to crash the worker.
func Judge(t job.TaskCrashes, s Scene) job.TaskCrashes {
	if s.Bystander || s.Run <= t.Run {
		return t
	}
	t.Run = s.Run
	if !s.Begun && !s.Alone {
		t.Verdict = job.Suspect
		return t
	}
	t.Count++
	t.Early++
	if s.Survived {
		t.Early = 0
	}
	t.Verdict = verdict(&t, s)
	return t
}

func verdict(t *job.TaskCrashes, s Scene) job.Verdict {
	switch {
	case s.Alone && s.Sudden && t.Early >= poisonEarly:
		return job.Poison
	case s.Alone && t.Early >= EarlyCount:
		return job.Poison
	case s.Alone && t.Count-s.LikelyCuts >= poisonCount && !s.Endless:
		return job.Poison
	case s.Alone && t.Count >= poisonCountWithCuts && !s.Endless:
		return job.Poison
	case t.Early > 0 || !s.EarlyOthers:
		return job.Suspect
	case t.Count >= suspectCount && !s.Endless:
		return job.Suspect
	}
	return job.Trusted
}
