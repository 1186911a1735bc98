package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
)

type (
	// speedEstimate is the estimated time factor of one incarnation of a worker, on a
	// logarithmic scale. It is 0 for an average worker and ln(1.3) for one whose tasks
	// take 1.3 times as long.
	speedEstimate struct {
		boot int64
		// mean and variance describe a normal distribution.
		mean, variance float64
		// factor and slowness are what the mean amounted to when the table was last
		// summarized: exp(mean) and its class. They are 1 and 0 while the workers do not
		// differ.
		factor   float64
		slowness int
		// reportedSlow is set if the log says that the worker is slow.
		reportedSlow bool
		// stored and storedSlowness are the estimate and its class in the newest record.
		stored         job.WorkerSpeed
		storedSlowness int
	}

	// speedTable holds the estimates of all workers, by worker id.
	speedTable struct {
		workers map[string]*speedEstimate
		// differ is set if the estimates differ by more than chance explains. spread is
		// their standard deviation.
		differ bool
		spread float64
		// inherited holds the estimates of an earlier leader for workers that have not
		// answered yet, by workerHash.
		inherited map[uint32]job.WorkerSpeed
		// storedAt is when the estimates were last stored.
		storedAt time.Time
		// squares is the sum of squared deviations between the tasks of a step, and
		// compared is their degrees of freedom: the number of tasks, less one for each step.
		squares, compared float64
	}

	// timing is the duration of one task of a step, and where it ran.
	timing struct {
		worker string
		boot   int64
		took   time.Duration
	}
)

const (
	// minComparable is the minimum number of tasks of a step that are compared.
	minComparable = 2
	// speedPriorVariance is the variance of an estimate, of ln(time factor), before the first task.
	speedPriorVariance = 0.04
	// priorTaskVariance is the assumed variance of ln(time) between the tasks of a step
	// before any is known. It has the weight of priorTasks tasks.
	priorTaskVariance = 0.1
	priorTasks        = 50
	// maxTasks limits the weight of past tasks.
	maxTasks = 4000
	// minTook is the shortest duration that is used, since the logarithm of 0 is not finite.
	minTook = time.Millisecond
	// maxLogExcess clamps one observation, since a few tasks take many times as long as
	// the others of their step on any worker.
	maxLogExcess = 0.8
	// speedDriftVariance is added to an estimate with each task, so that it follows a
	// worker whose speed changes.
	speedDriftVariance = 0.0002
	// classWidth is the width of a class of workers of similar speed, on a logarithmic
	// scale. Classes from minSlowness to maxSlowness are distinguished: finer ones would
	// spread work over more workers instead of filling them.
	classWidth  = 0.06
	minSlowness = -1
	maxSlowness = 2
	// storeInterval is the minimum time between two records of the estimates. They are
	// stored only if a worker has changed its class or its estimate its certainty.
	storeInterval = 5 * time.Second
	// storedScale is the number of steps of a stored estimate per unit.
	storedScale = 100
	// Estimates differ if their mean square is spreadFactor times that of the
	// estimates of equal workers.
	spreadFactor = 2
)

func newSpeedTable() *speedTable {
	return &speedTable{workers: map[string]*speedEstimate{}}
}

// observe compares the tasks of a completed step with one another. Their work is
// similar, so a worker whose tasks are repeatedly among the last is slower than others.
// Each duration is first corrected by the estimate of its worker: a step that was placed
// on slow workers alone says nothing about them, and a task among them that is as quick
// as the rest ran on a slow worker, too.
func (t *speedTable) observe(timings []timing) {
	if len(timings) < minComparable {
		return
	}
	variance := t.taskVariance()
	estimates := make([]*speedEstimate, len(timings))
	corrected := make([]float64, len(timings))
	weights := make([]float64, len(timings))
	sum, total := 0.0, 0.0
	for i, x := range timings {
		e := t.of(x.worker, x.boot)
		estimates[i] = e
		corrected[i] = math.Log(float64(max(x.took, minTook))) - e.mean
		weights[i] = 1 / (variance + e.variance)
		sum += weights[i] * corrected[i]
		total += weights[i]
	}
	excess := make([]float64, len(timings))
	noise := make([]float64, len(timings))
	for i := range timings {
		others := total - weights[i]
		excess[i] = corrected[i] - (sum-weights[i]*corrected[i])/others
		excess[i] = max(-maxLogExcess, min(maxLogExcess, excess[i]))
		noise[i] = variance + 1/others
		t.count(excess[i], len(timings))
	}
	for i, e := range estimates {
		e.update(excess[i], noise[i])
	}
}

// count adds the excess of a task, over the others of a step of n tasks, to the
// statistics of all.
func (t *speedTable) count(excess float64, n int) {
	share := float64(n-1) / float64(n)
	t.squares += share * excess * excess
	t.compared += share
	if t.compared > maxTasks {
		t.squares *= maxTasks / t.compared
		t.compared = maxTasks
	}
}

// taskVariance returns the variance of ln(time) between the tasks of a step.
func (t *speedTable) taskVariance() float64 {
	return (t.squares + priorTaskVariance*priorTasks) / (t.compared + priorTasks)
}

// of returns the estimate of that incarnation of a worker.
func (t *speedTable) of(worker string, boot int64) *speedEstimate {
	e := t.workers[worker]
	if e == nil || e.boot != boot {
		e = &speedEstimate{boot: boot, variance: speedPriorVariance, factor: 1}
		t.workers[worker] = e
		e.inherit(t.inherited, worker)
	}
	return e
}

// inherit takes over the estimate of an earlier leader, if it is more certain.
func (e *speedEstimate) inherit(from map[uint32]job.WorkerSpeed, worker string) {
	stored, known := from[workerHash(worker, e.boot)]
	deviation := float64(stored.StdDev) / storedScale
	if !known || deviation*deviation >= e.variance {
		return
	}
	e.mean = float64(stored.Mean) / storedScale
	e.variance = deviation * deviation
}

// inherit takes over the record of an earlier leader. Estimates of workers that have not
// answered this leader are taken over once they do.
func (t *speedTable) inherit(s *job.WorkerSpeeds) {
	t.inherited = s.Workers
	for worker, e := range t.workers {
		e.inherit(t.inherited, worker)
	}
}

// record returns the estimates to be stored, or nil if a record is not due.
func (t *speedTable) record(now time.Time) *job.WorkerSpeeds {
	if !t.differ || now.Sub(t.storedAt) < storeInterval {
		return nil
	}
	changed := false
	s := &job.WorkerSpeeds{Workers: make(map[uint32]job.WorkerSpeed, len(t.workers))}
	for worker, e := range t.workers {
		entry := job.WorkerSpeed{
			Mean:   int(math.Round(e.mean * storedScale)),
			StdDev: int(math.Ceil(math.Sqrt(e.variance) * storedScale)),
		}
		changed = changed || e.slowness != e.storedSlowness || entry.StdDev != e.stored.StdDev
		s.Workers[workerHash(worker, e.boot)] = entry
	}
	if !changed {
		return nil
	}
	t.storedAt = now
	for worker, e := range t.workers {
		e.stored = s.Workers[workerHash(worker, e.boot)]
		e.storedSlowness = e.slowness
	}
	return s
}

// workerHash identifies an incarnation of a worker in the record. It keeps the record
// small; on a collision a worker inherits the estimate of another.
func workerHash(worker string, boot int64) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprint(worker, "/", boot)))
}

// update is one step of a Kalman filter. The excess is relative to the present mean.
func (e *speedEstimate) update(excess, noise float64) {
	gain := e.variance / (e.variance + noise)
	e.mean += gain * excess
	e.variance = min(speedPriorVariance, e.variance*(1-gain)+speedDriftVariance)
}

// summarize shifts the estimates so that the average worker has the time factor 1, and
// updates their spread, the time factors and the classes. Estimates of equal workers are
// not equal: a random error remains in each.
func (t *speedTable) summarize() {
	sum := 0.0
	for _, e := range t.workers {
		sum += e.mean
	}
	average := sum / float64(max(1, len(t.workers)))
	square, byChance := 0.0, 0.0
	for _, e := range t.workers {
		e.mean -= average
		square += e.mean * e.mean
		byChance += e.variance * (1 - e.variance/speedPriorVariance)
	}
	t.differ = square > spreadFactor*byChance
	t.spread = math.Sqrt(square / float64(max(1, len(t.workers))))
	for _, e := range t.workers {
		e.classify(t.differ)
	}
}

// classify updates the time factor and the class. The expected time counts, however
// uncertain it is: if one of two workers has to be chosen, the one that is more likely to
// be fast is better.
func (e *speedEstimate) classify(differ bool) {
	e.factor = 1
	e.slowness = 0
	if differ {
		e.factor = math.Exp(e.mean)
		e.slowness = max(minSlowness, min(maxSlowness, int(math.Round(e.mean/classWidth))))
	}
}

// timeFactor returns how much longer than on an average worker tasks are expected to
// take on that incarnation of a worker.
func (t *speedTable) timeFactor(worker string, boot int64) float64 {
	e := t.workers[worker]
	if e == nil || e.boot != boot {
		return 1
	}
	return e.factor
}

// slowness returns the class of that incarnation of a worker.
func (t *speedTable) slowness(worker string, boot int64) int {
	e := t.workers[worker]
	if e == nil || e.boot != boot {
		return 0
	}
	return e.slowness
}

// slowness returns the class of the worker's current incarnation. A worker that says
// that it is still slow after its start is in the slowest one.
func (l *leadership) slowness(wk *worker) int {
	if until := wk.upstream.ColdUntil; !until.IsZero() && time.Now().Before(until) {
		return maxSlowness
	}
	return l.s.speeds.slowness(wk.id, wk.boot)
}

// timeFactor returns how much longer than elsewhere tasks take on the worker.
func (l *leadership) timeFactor(wk *worker) float64 {
	return l.s.speeds.timeFactor(wk.id, wk.boot)
}

// reportSpeeds updates the classes and logs the workers that have become slow or are no
// longer so. It returns the number of slow ones.
func (l *leadership) reportSpeeds() int {
	t := l.s.speeds
	t.summarize()
	slow := 0
	for id, e := range t.workers {
		isSlow := e.slowness == maxSlowness
		if isSlow {
			slow++
		}
		if isSlow == e.reportedSlow {
			continue
		}
		e.reportedSlow = isSlow
		l.s.deps.Counts.Count("speed_class_changes", 1)
		_ = level.Info(l.s.deps.Logger).Log("msg", "speed class of a worker changed", "worker", id, "boot", e.boot, "slow", isSlow,
			"factor", e.factor, "deviation", math.Sqrt(e.variance))
	}
	return slow
}

// storeSpeeds adds the estimates to the next append, for the next leader.
func (l *leadership) storeSpeeds(now time.Time) {
	if s := l.s.speeds.record(now); s != nil {
		l.flush.speeds = s
	}
}
