package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

const (
	registerInterval = 1500 * time.Millisecond
	// missedHeartbeats is how many heartbeats a worker misses until its entry is removed.
	missedHeartbeats = 3
)

// cutDataCentre cuts the leader and a worker of its data centre off from everything else for
// the given time: from the store, and from the VM and the worker elsewhere.
func (c *cell) cutDataCentre(leader, other *vm, worker, elsewhere string, d time.Duration) {
	leader.stream.cutOff(true)
	leader.stream.cutWorkers.Store(elsewhere, true)
	other.stream.cutWorkers.Store(worker, true)
	c.fleet.Worker(worker).SetCutFromStore(true)
	time.Sleep(missedHeartbeats * registerInterval)
	c.fleet.DropEntries()
	time.Sleep(d - missedHeartbeats*registerInterval)
	leader.stream.cutOff(false)
	leader.stream.cutWorkers.Delete(elsewhere)
	other.stream.cutWorkers.Delete(worker)
	c.fleet.Worker(worker).SetCutFromStore(false)
}

// TestNoSecondRunWhileTheOldLeaderRenews guards against giving up the runs of a worker off the
// list while a leader that is cut off with it still renews their leases.
func TestNoSecondRunWhileTheOldLeaderRenews(t *testing.T) {
	for _, runTime := range []time.Duration{3 * time.Second, 9 * time.Second, 30 * time.Second} {
		inCell(t, 1, func(c *cell) {
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return runTime, site.Done }
			c.fleet.Register(fleet.NewStore(), registerInterval)
			a := c.start("a")
			time.Sleep(3 * time.Second)
			b := c.start("b")
			c.submit("j1", tasks(1, 4))
			time.Sleep(time.Second)
			c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
			time.Sleep(time.Second)
			c.cutDataCentre(a, b, "w0", "w1", 12*time.Second)
			expectPhase(c, b, "j1", time.Minute, job.Completed)
			time.Sleep(2 * time.Second)
		})
	}
}
