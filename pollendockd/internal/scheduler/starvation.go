package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
)

type (
	// starvationWatch finds steps that wait although there is capacity for them. A step
	// that waits in a full cell is no finding; one that waits in an empty cell is a fault.
	starvationWatch struct {
		checkedAt time.Time
		// starved is the number of starved steps at the last check, at most
		// maxStarvedChecked. longest is how long the first of them had waited.
		starved int
		longest time.Duration
	}

	// waitKey identifies a waiting step of a job.
	waitKey struct {
		step     int
		isolated bool
	}

	// stepWait is since when a step has waited without a run that has begun. Starts that
	// the workers refuse do not end it.
	stepWait struct {
		ws       *waitingStep
		since    time.Time
		loggedAt time.Time
	}

	// obstacle is the first cause for which a worker is passed over.
	obstacle int

	// obstacleCounts counts workers by obstacle.
	obstacleCounts [numObstacles]int
)

const (
	noObstacle obstacle = iota
	wrongLabel
	leaving
	noAnswer
	suspended
	stalled
	fullOfEnds
	refusedByAdvisor
	noFreeCapacity
	keptForSuspect
	notEmpty
	reservedCapacity
	notAsked
	expiredTicket
	numObstacles
)

var obstacleNames = [numObstacles]string{
	noObstacle: "none", wrongLabel: "label", leaving: "leaving", noAnswer: "noAnswer", suspended: "suspended", stalled: "stalled", fullOfEnds: "fullOfEnds",
	refusedByAdvisor: "refused", noFreeCapacity: "full", keptForSuspect: "keptForSuspect", notEmpty: "notEmpty",
	reservedCapacity: "reserved", notAsked: "notAsked", expiredTicket: "expiredTicket",
}

const (
	// starvedGauge is the gauge of starved steps.
	starvedGauge = "starved_steps"
	// starvationCheckInterval is the time between two checks.
	starvationCheckInterval = time.Second
	// starvedAfter is how long a step waits until it can count as starved.
	starvedAfter = 3 * time.Second
	// maxStarvedChecked limits the steps that a check looks at, the longest waits first.
	maxStarvedChecked = 64
	// A check logs at most maxStarvedLogged steps, and each step once in
	// starvedLogInterval.
	maxStarvedLogged   = 4
	starvedLogInterval = 5 * time.Second
)

// checkStarvation counts the steps that have waited for long beside free capacity, and
// logs for what cause each worker was passed over.
func (l *leadership) checkStarvation(p *pass, steps []*waitingStep) {
	sw := &l.starvation
	if p.now.Sub(sw.checkedAt) < starvationCheckInterval {
		return
	}
	sw.checkedAt = p.now
	sw.starved, sw.longest = 0, 0
	logged := 0
	for _, w := range longWaits(p.now, steps) {
		room, counts := l.obstaclesOf(p, w.ws)
		if room < w.ws.smallestStart() {
			continue
		}
		waited := p.now.Sub(w.since)
		sw.starved++
		sw.longest = max(sw.longest, waited)
		if logged < maxStarvedLogged && p.now.Sub(w.loggedAt) >= starvedLogInterval {
			logged++
			w.loggedAt = p.now
			l.logStarved(p, w.ws, waited, room, counts)
		}
	}
	l.s.deps.Counts.Gauge(starvedGauge, int64(sw.starved))
	l.missedReasons = countMissed(steps)
	l.reportTeams(p, steps)
}

// longWaits notes which steps wait, and returns those that have waited for starvedAfter,
// the longest waits first. Steps at the limit of their team are not among them.
func longWaits(now time.Time, steps []*waitingStep) []*stepWait {
	var long []*stepWait
	for _, ws := range steps {
		if ws.why == teamLimit {
			delete(ws.tj.waits, ws.key())
			continue
		}
		w := ws.noteWait(now)
		w.ws = ws
		if now.Sub(w.since) >= starvedAfter {
			long = append(long, w)
		}
	}
	slices.SortStableFunc(long, func(a, b *stepWait) int { return a.since.Compare(b.since) })
	return long[:min(len(long), maxStarvedChecked)]
}

// noteWait notes that the step waits, since now if it has not waited before.
func (ws *waitingStep) noteWait(now time.Time) *stepWait {
	w := ws.tj.waits[ws.key()]
	if w == nil {
		w = &stepWait{since: now}
		ws.tj.waits[ws.key()] = w
	}
	return w
}

// inheritWaits takes over since when the suspects of a job in the view wait. Those of a step have
// waited for as long as the last of them.
func (tj *trackedJob) inheritWaits(j *job.Job) {
	if j.Crashes == nil {
		return
	}
	for i := range j.Crashes.Tasks {
		c := &j.Crashes.Tasks[i]
		since := j.WaitingSince(i)
		if c.Verdict != job.Suspect || since.IsZero() {
			continue
		}
		key := waitKey{c.Step, true}
		if w := tj.waits[key]; w != nil {
			since = later(since, w.since)
		}
		tj.waits[key] = &stepWait{since: since}
	}
}

// waitsSince returns since when the step has waited without a run that has begun, to the
// precision of starvationCheckInterval.
func (ws *waitingStep) waitsSince(now time.Time) time.Time {
	if w := ws.tj.waits[ws.key()]; w != nil {
		return w.since
	}
	return now
}

func (ws *waitingStep) key() waitKey {
	return waitKey{ws.step, ws.isolated}
}

// smallestStart is the least number of tasks of the step that can be started at once.
func (ws *waitingStep) smallestStart() int {
	if spec := &ws.tj.sub.Steps[ws.step]; spec.Gang {
		return spec.Count
	}
	return 1
}

// obstaclesOf counts the workers of the step's service by the first cause for which they
// are passed over. It returns how many tasks would fit into the capacity that is free on
// workers that the step may use, whatever it is reserved for.
func (l *leadership) obstaclesOf(p *pass, ws *waitingStep) (int, obstacleCounts) {
	spec := &ws.tj.sub.Steps[ws.step]
	service, _ := l.serviceOf(p, ws.tj)
	req := placement.Request{Count: spec.Count, Size: spec.Size, PerWorker: spec.PerWorker}
	room := 0
	var counts obstacleCounts
	for _, wk := range l.workers {
		if wk.upstream.Service != service {
			continue
		}
		o := l.obstacleOf(p, ws, wk)
		counts[o]++
		if o != wrongLabel && o != leaving && o != refusedByAdvisor {
			room += placement.FitCount(req, &placement.WorkerState{Free: wk.free(), Tasks: l.tasksOn(wk, ws)})
		}
	}
	return room, counts
}

// obstacleOf returns the first cause for which a pass starts no task of a step on a worker.
func (l *leadership) obstacleOf(p *pass, ws *waitingStep, wk *worker) obstacle {
	spec := &ws.tj.sub.Steps[ws.step]
	_, advice := l.serviceOf(p, ws.tj)
	answers := ws.tj.advice[ws.step]
	switch {
	case !wk.upstream.HasLabel(spec.Label):
		return wrongLabel
	case !wk.listed || wk.upstream.Draining || wk.evacuated:
		return leaving
	case answers != nil && answers.refused[wk.id]:
		return refusedByAdvisor
	case !spec.Size.Fits(wk.free()):
		return noFreeCapacity
	case !wk.stalledSince.IsZero():
		return stalled
	case wk.fullOfEnds():
		return fullOfEnds
	case p.now.Before(wk.backoffUntil):
		return suspended
	case !wk.usable(p.now):
		return noAnswer
	case ws.isolated && p.isolation.vacated[wk] == ws.tj && !wk.vacantFor(ws):
		return notEmpty
	case !p.isolation.admits(wk, ws):
		return keptForSuspect
	case !spec.Size.Fits(p.free(wk, ws)):
		return reservedCapacity
	case advice != nil && (answers == nil || !answers.known(wk)):
		return notAsked
	case advice != nil && !answers.hasValidTicket(wk, p.now):
		return expiredTicket
	}
	return noObstacle
}

// String returns the counts for a log line, without those that are 0.
func (c obstacleCounts) String() string {
	var parts []string
	for o, n := range c {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", obstacleNames[o], n))
		}
	}
	return strings.Join(parts, " ")
}
