package scheduler

import (
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

type (
	// isolation is the part of a pass that keeps suspects apart from other jobs. A suspect
	// starts on a worker where no other job runs, and until it is cleared no other job starts
	// there: its crash then takes nobody else down, and proves that it was to blame.
	isolation struct {
		// holders holds the jobs whose suspects have a worker for themselves.
		holders map[*worker]*trackedJob
		// vacated holds the workers that are kept free of new runs for a waiting suspect.
		vacated map[*worker]*trackedJob
		// taken is the number of holders that answer.
		taken int
		// emptyIn is the expected time until a worker runs nothing but services.
		emptyIn map[*worker]time.Duration
		// limits is how many workers of each service suspects may take.
		limits map[string]int
	}
)

const (
	// Suspects may take uncrowdedShare of the workers, less what other jobs wait for. They
	// may take crowdedShare whatever others wait for.
	crowdedShare   = 0.25
	uncrowdedShare = 0.6
)

// suspected reports whether a task is to run where no other job does.
func (tj *trackedJob) suspected(step, index int) bool {
	return tj.crashes != nil && tj.crashesOf(site.TaskID{Step: step, Index: index}).Verdict == job.Suspect
}

// cleared reports whether other jobs may run beside a suspect: it has survived its start.
// One that has seen several crashes has to survive to its end, if it has one.
func (r *run) cleared() bool {
	return r.survivedStart() && r.tj.clearedAtStart(r.task)
}

// clearedAtStart reports whether other jobs may run beside a suspect once it has survived its start.
func (tj *trackedJob) clearedAtStart(t site.TaskID) bool {
	return tj.crashesOf(t).Count <= 1 || tj.sub.Steps[t.Step].Endless
}

// endProbation requests the lists of the workers whose suspects may have survived their
// start by now, and lets a pass use the workers of those that have. Without it a worker
// stays empty until its hold ends, twice as long as probation.
func (l *leadership) endProbation(now time.Time) {
	due := map[*worker]bool{}
	for r := range l.isolatedRuns {
		switch {
		case r.released || r.stage != running || r.wk.holdFails > 0:
		case r.cleared():
			r.released = true
			l.placeNeeded = true
		case !r.survivedStart() && now.Sub(later(r.confirmedAt, r.probedAt)) >= probation:
			r.probedAt = now
			due[r.wk] = true
		}
	}
	for wk := range due {
		l.requestLists(wk, now)
	}
}

// newIsolation returns the state at the beginning of a pass.
func (l *leadership) newIsolation() isolation {
	iso := isolation{holders: map[*worker]*trackedJob{}, vacated: map[*worker]*trackedJob{}, emptyIn: map[*worker]time.Duration{}, limits: map[string]int{}}
	for r := range l.isolatedRuns {
		if r.cleared() {
			continue
		}
		if iso.holders[r.wk] == nil && r.wk.holdFails == 0 {
			iso.taken++
		}
		iso.holders[r.wk] = r.tj
	}
	return iso
}

// noteCrowding adds what a step waits for, if suspects may have it. The suspects
// themselves do not count.
func (l *leadership) noteCrowding(p *pass, ws *waitingStep) {
	if ws.isolated {
		return
	}
	switch ws.why {
	case noCapacity, behindOthers, reserved, unreserved, laterPass:
		service, _ := l.serviceOf(p, ws.tj)
		waiting := int64(ws.tj.countWaiting(ws.step, ws.isolated))
		l.crowdingCPU[service] += waiting * ws.tj.sub.Steps[ws.step].Size.MilliCPU
	}
}

// limitSuspects computes how many workers of each service suspects may take.
func (l *leadership) limitSuspects(p *pass) {
	for service, workers := range p.usable {
		total := int64(0)
		for _, wk := range workers {
			total += wk.upstream.Capacity.MilliCPU
		}
		p.isolation.limits[service] = suspectLimit(len(workers), total, l.crowdingCPU[service])
	}
}

// suspectLimit returns how many of n workers suspects may take. The workers have cpu
// thousandths of a core, of which other jobs wait for wanted.
func suspectLimit(n int, cpu, wanted int64) int {
	share := max(crowdedShare, uncrowdedShare-float64(wanted)/float64(max(1, cpu)))
	return max(1, int(share*float64(n)))
}

// admits reports whether a step may start tasks on a worker as far as suspects are
// concerned.
func (iso *isolation) admits(wk *worker, ws *waitingStep) bool {
	holder, other := iso.holders[wk], iso.vacated[wk]
	switch {
	case !ws.isolated:
		return holder == nil && other == nil
	case holder != nil:
		return holder == ws.tj
	case other != nil && other != ws.tj:
		return false
	}
	return ws.besideOthers || wk.vacantFor(ws)
}

// vacantFor reports whether no other job runs on the worker, but for runs that the step may start
// beside.
func (wk *worker) vacantFor(ws *waitingStep) bool {
	for key, r := range wk.runs {
		if key.task.Job != ws.tj.id && !(ws.besideSettled && r.settled()) {
			return false
		}
	}
	return true
}

// settled reports whether the run is known to have worked well past its start. If its worker crashes,
// a suspect that has just begun is to blame.
func (r *run) settled() bool {
	return r.workedFor(settledTime)
}

// runsService reports whether another job's task that lasts runs on the worker, which is then not
// expected to be empty.
func (wk *worker) runsService(tj *trackedJob) bool {
	for key, r := range wk.runs {
		if key.task.Job != tj.id && r.tj.sub.Steps[key.task.Step].Endless {
			return true
		}
	}
	return false
}

// isolatedLoad returns how many suspects run, and for how long the first of them has.
func (l *leadership) isolatedLoad(now time.Time) (runs int, longest time.Duration) {
	for r := range l.isolatedRuns {
		runs++
		longest = max(longest, now.Sub(r.decidedAt))
	}
	return runs, longest
}
