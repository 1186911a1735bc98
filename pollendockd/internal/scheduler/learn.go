package scheduler

import (
	"slices"
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

type (
	// learned is what past work of a queue has shown.
	learned struct {
		// asked and good count the workers that queries named and that were
		// allowed.
		asked, good float64
		// tasks is how long a task takes, steps how long the longest task of a
		// step does.
		tasks, steps placement.RunTimeModel
	}

	// forecast is how long a job's work should take.
	forecast struct {
		at time.Time
		// chains holds the time of the longest chain of work that begins with
		// each step, tasks that of one task of each step.
		chains []time.Duration
		tasks  []time.Duration
	}

	// stepPast is what the runs of a step have shown.
	stepPast struct {
		// longest is the time of the longest task that is done, and lost that of
		// the runs that failed. Only a step whose tasks were all done by their
		// first run tells how long a step takes.
		longest   time.Duration
		lost      time.Duration
		disturbed bool
		timings   []timing
	}
)

const (
	// likelyGood is taken as the part of workers that may run a step before a
	// queue has shown its own, counted as likelyWeight workers.
	likelyGood   = 0.5
	likelyWeight = 8
	// learnedLimit bounds the workers that the past counts as.
	learnedLimit = 400
	// forecastAge is how old a forecast may become.
	forecastAge = time.Second
	// usualQuery is the number of workers in the query that a job's objective
	// allows for, one for each step.
	usualQuery = 30
)

func (l *leadership) learnedOf(queue string) *learned {
	k := l.s.learned[queue]
	if k == nil {
		k = &learned{}
		l.s.learned[queue] = k
	}
	return k
}

// part is the expected part of workers that may run a step of the queue.
func (k *learned) part() float64 {
	return (k.good + likelyGood*likelyWeight) / (k.asked + likelyWeight)
}

// noteAdvice counts the answer to a query.
func (k *learned) noteAdvice(asked, good int) {
	k.asked += float64(asked)
	k.good += float64(good)
	if k.asked > learnedLimit {
		k.good *= learnedLimit / k.asked
		k.asked = learnedLimit
	}
}

// noteRun takes in how long a run has taken that was started in this term. One
// that began from a checkpoint is a later run of its task.
func (l *leadership) noteRun(r *run, how site.EndKind, now time.Time) {
	w := r.w
	if r.confirmedAt.IsZero() || r.sentAt.IsZero() {
		return
	}
	past := &w.past[r.task.Step]
	took := now.Sub(r.confirmedAt)
	if how == site.Failed {
		past.lost = max(past.lost, took)
	}
	if how != site.Done || r.number > 1 {
		past.disturbed = true
		return
	}
	past.longest = max(past.longest, took)
	past.timings = append(past.timings, timing{r.at.id, r.at.boot, took})
	l.learnedOf(w.sub.Queue).tasks.Observe(w.sub.Steps[r.task.Step].Estimate, took)
}

// noteStep takes in a step that is done.
func (l *leadership) noteStep(w *work, step int) {
	past := &w.past[step]
	l.s.notePaces(past.timings)
	past.timings = nil
	if past.disturbed || past.longest == 0 {
		return
	}
	l.learnedOf(w.sub.Queue).steps.Observe(w.sub.Steps[step].Estimate, past.longest)
}

// foresee works out anew how long a job should take, and what it may take.
func (l *leadership) foresee(w *work, now time.Time) {
	k := l.learnedOf(w.sub.Queue)
	tasks := make([]time.Duration, len(w.sub.Steps))
	steps := make([]time.Duration, len(w.sub.Steps))
	for i := range w.sub.Steps {
		tasks[i] = k.tasks.Predict(w.sub.Steps[i].Estimate)
		steps[i] = k.steps.Predict(w.sub.Steps[i].Estimate)
	}
	w.forecast = forecast{at: now, chains: w.sub.CriticalPaths(steps), tasks: tasks}
	longest := slices.Max(w.forecast.chains)
	w.allowed = longest
	catalog := l.s.deps.Catalog()
	if catalog == nil {
		return
	}
	if q := catalog.Queue(w.sub.Queue); q != nil {
		w.allowed = time.Duration(q.Stretch*float64(longest+w.extra(q.Advice))) + q.Objective
	}
}

// extra is what an objective allows for beside the work: runs that failed, and
// a query for each step.
func (w *work) extra(a *site.Advice) time.Duration {
	total := time.Duration(0)
	for step := range w.sub.Steps {
		total += w.past[step].lost
		if a != nil {
			total += a.Base + usualQuery*a.PerUpstream
		}
	}
	return total
}
