package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestGangAsksAboutIdleWorkersWithoutTurn guards against a gang that sends no query about idle workers while as many others as may reserve wait for long runs.
func TestGangAsksAboutIdleWorkersWithoutTurn(t *testing.T) {
	for _, tc := range []struct {
		name string
		// estimate is that of the gangs, which decides how long they are in time.
		estimate time.Duration
		// knows is set if the gang has been told of a worker, which is full.
		knows bool
		// fullFor is the time until the idle workers come, at which others have their turns.
		fullFor time.Duration
	}{
		{"in time, knows a full worker", time.Minute, true, 25 * time.Second},
		{"in time, knows none", time.Minute, false, 25 * time.Second},
		{"overdue, knows a full worker, 25 s", workTime, true, 25 * time.Second},
		{"overdue, knows a full worker, 31 s", workTime, true, 31 * time.Second},
		{"overdue, knows a full worker, 37 s", workTime, true, 37 * time.Second},
		{"overdue, knows none, 25 s", workTime, false, 25 * time.Second},
		{"overdue, knows none, 31 s", workTime, false, 31 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) { playGangBesideNewWorkers(t, tc.estimate, tc.fullFor, tc.knows) })
	}
}

// playGangBesideNewWorkers adds idle workers, on which only the last of many gangs may run.
func playGangBesideNewWorkers(t *testing.T, estimate, fullFor time.Duration, knows bool) {
	inCell(t, 0, func(c *cell) {
		const (
			gangs = 3 * minHeldGangs
			added = 12
		)
		c.advise(siteAdvice, 1)
		c.addUnadvisedQueue()
		c.addLargeWorkers()
		c.queueAdvisor = &queueAdvisor{
			advice: map[string]site.Advice{"g": siteAdvice, "s": siteAdvice}, vms: map[string]*sync.Mutex{}, down: map[string]bool{},
			allows: func(job, worker string) bool {
				isNew := worker[0] == 'n'
				if job == "small" {
					return isNew || knows && worker == "w0"
				}
				return !isNew
			},
		}
		c.outcome = longRuns
		c.fillLargeWorkers(48)
		c.startAmong(6)
		waiting := gang(6, 19)
		waiting.Estimate = estimate
		for n := range gangs {
			c.submit(fmt.Sprintf("g%d", n), waiting)
		}
		time.Sleep(time.Second)
		c.submit("small", waiting)
		time.Sleep(fullFor)
		for n := range added {
			c.fleet.Add(fmt.Sprintf("n%d", n), "s", resource.Vector{MilliCPU: 64_000, MemoryMB: 256_000})
		}
		expectStartWithin(c, "small", time.Now(), lostAfter)
	})
}

// longRuns lets the runs of the job "long" go on for an hour.
func longRuns(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
	if t.Job == "long" {
		return time.Hour, site.Done
	}
	return workTime, site.Done
}
