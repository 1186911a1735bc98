package scheduler

import (
	"slices"
	"time"

	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

type (
	// queueStats holds statistics of past work of a queue.
	queueStats struct {
		// asked counts the workers that a step asked about for the first time, allowed those of
		// them that the advisor allowed.
		asked, allowed float64
		// queries is the number of queries, named that of the workers in them.
		queries, named float64
		// tasks predicts the run time of a task on an average worker, steps that of the
		// longest task of a step.
		tasks, steps placement.RunTimeModel
	}

	// forecast is the expected time of a job's work.
	forecast struct {
		at time.Time
		// criticalPaths holds, for each step, the length of the longest dependency
		// chain that starts with it. tasks holds the time of one task of each step.
		criticalPaths []time.Duration
		tasks         []time.Duration
	}

	// stepStats holds statistics of the runs of a step.
	stepStats struct {
		// longest is the time of the longest completed task, failedTime that of the
		// longest failed run. The time of a step is used only if the first run of each
		// of its tasks succeeded.
		longest    time.Duration
		failedTime time.Duration
		rerun      bool
		timings    []timing
	}
)

const (
	// priorAllowedShare is the assumed share of workers that may run a step before a
	// queue has statistics of its own. It has the weight of priorWeight workers.
	priorAllowedShare = 0.5
	priorWeight       = 8
	// maxHistoryWorkers limits the weight of past answers, in workers.
	maxHistoryWorkers = 400
	// maxForecastAge is the maximum age of a forecast.
	maxForecastAge = time.Second
	// typicalQueryWorkers is the number of workers per query that a job's objective
	// allows for, with one query for each step.
	typicalQueryWorkers = 30
)

func (l *leadership) queueStatsOf(queue string) *queueStats {
	k := l.s.queueStats[queue]
	if k == nil {
		k = &queueStats{}
		l.s.queueStats[queue] = k
	}
	return k
}

// allowedShare is the expected share of workers that may run a step of the queue.
func (k *queueStats) allowedShare() float64 {
	return (k.allowed + priorAllowedShare*priorWeight) / (k.asked + priorWeight)
}

// recordAdvice counts the answer to a query that named so many workers, and asked about so many of
// them for the first time. Renewed tickets say nothing of how many workers the advisor allows.
func (k *queueStats) recordAdvice(named, asked, allowed int) {
	k.queries++
	k.named += float64(named)
	if k.named > maxHistoryWorkers {
		k.queries *= maxHistoryWorkers / k.named
		k.named = maxHistoryWorkers
	}
	k.asked += float64(asked)
	k.allowed += float64(allowed)
	if k.asked > maxHistoryWorkers {
		k.allowed *= maxHistoryWorkers / k.asked
		k.asked = maxHistoryWorkers
	}
}

// workersPerQuery is the expected number of workers in a query of the queue.
func (k *queueStats) workersPerQuery() float64 {
	if k.queries == 0 {
		return typicalQueryWorkers
	}
	return k.named / k.queries
}

// recordRun adds the duration of a run that was started in this term. A run that
// resumed from a checkpoint is excluded, as it is not the first run of its task.
func (l *leadership) recordRun(r *run, how site.EndKind, now time.Time) {
	tj := r.tj
	if r.confirmedAt.IsZero() || r.sentAt.IsZero() {
		return
	}
	history := &tj.history[r.task.Step]
	took := now.Sub(r.confirmedAt)
	if how == site.Failed {
		history.failedTime = max(history.failedTime, took)
	}
	if how != site.Done || r.number > 1 || tj.sub.Steps[r.task.Step].Endless {
		history.rerun = true
		return
	}
	if rack := tj.sub.Steps[r.task.Step].Rack; rack == "" || rack == r.wk.upstream.Rack {
		history.timings = append(history.timings, timing{r.wk.id, r.wk.boot, took})
	}
	took = time.Duration(float64(took) / l.timeFactor(r.wk))
	history.longest = max(history.longest, took)
	l.queueStatsOf(tj.sub.Queue).tasks.Observe(tj.sub.Steps[r.task.Step].Estimate, took)
}

// recordStep adds the statistics of a completed step.
func (l *leadership) recordStep(tj *trackedJob, step int) {
	history := &tj.history[step]
	l.s.speeds.observe(history.timings)
	history.timings = nil
	if history.rerun || history.longest == 0 {
		return
	}
	l.queueStatsOf(tj.sub.Queue).steps.Observe(tj.sub.Steps[step].Estimate, history.longest)
}

// updateForecast recomputes the expected time of a job and its time limit.
func (l *leadership) updateForecast(tj *trackedJob, now time.Time) {
	k := l.queueStatsOf(tj.sub.Queue)
	tasks := make([]time.Duration, len(tj.sub.Steps))
	steps := make([]time.Duration, len(tj.sub.Steps))
	for i := range tj.sub.Steps {
		tasks[i] = k.tasks.Predict(tj.sub.Steps[i].Estimate)
		steps[i] = k.steps.Predict(tj.sub.Steps[i].Estimate)
	}
	tj.forecast = forecast{at: now, criticalPaths: tj.sub.CriticalPaths(steps), tasks: tasks}
	longest := slices.Max(tj.forecast.criticalPaths)
	tj.timeLimit = longest
	catalog := l.s.deps.Catalog()
	if catalog == nil {
		return
	}
	if q := l.queueOf(catalog, tj); q != nil {
		tj.timeLimit = time.Duration(q.Stretch*float64(longest+tj.overhead(q.Advice))) + q.Objective
	}
}

// overhead is the time that an objective allows for besides the work: failed runs, and
// a query for each step.
func (tj *trackedJob) overhead(a *site.Advice) time.Duration {
	total := time.Duration(0)
	for step := range tj.sub.Steps {
		total += tj.history[step].failedTime
		if a != nil {
			total += typicalQueryTime(a)
		}
	}
	return total
}
