package scheduler

import (
	"math"
	"time"
)

type (
	// pace is how a life of a worker compares with those that ran tasks of the
	// same steps.
	pace struct {
		boot int64
		// runs is the weight of what was seen, excess the sum of ln(took/others).
		runs, excess float64
	}

	// timing is the time that one task of a step took, and where.
	timing struct {
		worker string
		boot   int64
		took   time.Duration
	}
)

const (
	// leastComparable is the least number of tasks of a step that are compared.
	leastComparable = 3
	// A worker counts as slow after leastPaceRuns, if its tasks take slowExcess
	// longer than others of their steps, on a logarithmic scale.
	leastPaceRuns = 8
	slowExcess    = 0.1
	// paceMemory is the number of runs that a worker's past counts as at most.
	paceMemory = 40
)

// notePaces compares the tasks of a step that is done with one another. Their
// work is much alike, so that a worker whose tasks are last again and again is
// slower than others.
func (s *Scheduler) notePaces(timings []timing) {
	if len(timings) < leastComparable {
		return
	}
	total := 0.0
	logs := make([]float64, len(timings))
	for i, t := range timings {
		logs[i] = math.Log(float64(t.took))
		total += logs[i]
	}
	for i, t := range timings {
		others := (total - logs[i]) / float64(len(timings)-1)
		s.paceOf(t.worker, t.boot).note(logs[i] - others)
	}
}

// paceOf returns what is known of that life of a worker.
func (s *Scheduler) paceOf(worker string, boot int64) *pace {
	p := s.paces[worker]
	if p == nil || p.boot != boot {
		p = &pace{boot: boot}
		s.paces[worker] = p
	}
	return p
}

func (p *pace) note(excess float64) {
	if p.runs >= paceMemory {
		fade := 1 - 1/p.runs
		p.runs *= fade
		p.excess *= fade
	}
	p.runs++
	p.excess += excess
}

func (p *pace) slow() bool {
	return p.runs >= leastPaceRuns && p.excess > slowExcess*p.runs
}

// slow reports whether the worker's present life is known to be slower than
// others.
func (l *leadership) slow(at *worker) bool {
	p := l.s.paces[at.id]
	return p != nil && p.boot == at.boot && p.slow()
}
