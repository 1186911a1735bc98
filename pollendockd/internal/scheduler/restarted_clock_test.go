package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// rebootingWorker is a worker that restarts before it executes a hold, once rebootNext is set.
type rebootingWorker struct {
	*fleet.Worker
	rebootNext *atomic.Bool
}

func (w rebootingWorker) Hold(ctx context.Context, req *site.HoldRequest) (*site.HoldReply, error) {
	if req.LeaseEnd > 0 && w.rebootNext.CompareAndSwap(true, false) {
		w.Reboot()
	}
	return w.Worker.Hold(ctx, req)
}

// rebootBeforeRenewal makes a worker restart before it executes the next renewal of its lease that comes
// after the returned value is set.
func (c *cell) rebootBeforeRenewal(id string) *atomic.Bool {
	var rebootNext atomic.Bool
	c.linkTo = func(w Worker) Worker {
		restarts := c.fleet.Worker(id)
		if w != Worker(restarts) {
			return w
		}
		return rebootingWorker{restarts, &rebootNext}
	}
	return &rebootNext
}

// TestLeaseThatRestartedWorkerGrantsIsWaitedFor guards against running a task twice: a restarted worker executes a renewal for its earlier incarnation, by a clock that begins anywhere.
func TestLeaseThatRestartedWorkerGrantsIsWaitedFor(t *testing.T) {
	const (
		maxLease = 10 * time.Second
		before   = 40 * time.Second
	)
	for _, k := range []struct {
		name string
		// origin is what the clock of the worker's second incarnation begins with; that of the first
		// one begins with an hour.
		origin     time.Duration
		leaderDies bool
	}{
		{"from zero, leader lives", 0, false},
		{"from zero, leader dies", 0, true},
		{"half an hour behind, leader lives", 30 * time.Minute, false},
		{"half an hour behind, leader dies", 30 * time.Minute, true},
		{"a few seconds behind, leader lives", time.Hour + before - 7*time.Second, false},
		{"a few seconds behind, leader dies", time.Hour + before - 7*time.Second, true},
		{"an hour ahead, leader lives", 2 * time.Hour, false},
		{"an hour ahead, leader dies", 2 * time.Hour, true},
	} {
		t.Run(k.name, func(t *testing.T) {
			inCell(t, 0, func(c *cell) {
				c.setMaxLease(maxLease)
				c.fleet.SetClockOrigin(func(_ string, incarnation int) time.Duration {
					return []time.Duration{time.Hour, k.origin}[incarnation-1]
				})
				for _, id := range []string{"w0", "w1"} {
					c.fleet.Add(id, "s", seriesCapacity(seriesCores))
				}
				c.outcome = longRun
				rebootNext := c.rebootBeforeRenewal("w0")
				// The first leader of a cell counts the longest lease of all workers.
				a, b := c.startTwo()
				time.Sleep(time.Second)
				d := c.start("d")
				b.stream.cutWorkers.Store("w1", true)
				d.stream.cutWorkers.Store("w1", true)
				a.kill()
				b.scheduler.LeaderEnded("a/1")
				time.Sleep(before)
				rebootNext.Store(true)
				time.Sleep(2 * time.Second)
				if rebootNext.Load() {
					t.Fatal("the worker has not restarted")
				}
				leader := b
				if k.leaderDies {
					b.kill()
					d.scheduler.LeaderEnded("b/1")
					leader = d
					time.Sleep(200 * time.Millisecond)
				}
				c.submit("j1", tasks(1, 4))
				expectPhase(c, leader, "j1", time.Second, job.Running)
				time.Sleep(100 * time.Millisecond)
				leader.stream.cutWorkers.Store("w0", true)
				leader.stream.cutWorkers.Delete("w1")
				time.Sleep(30 * time.Second)
				expectStarts(c, "j1", 0, 2)
			})
		})
	}
}
