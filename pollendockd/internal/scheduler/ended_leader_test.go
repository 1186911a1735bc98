package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestTaskOfDeadWorkerRunsAgainSoonAfterLeaderProcessEnded guards against waiting for renewals of a leader whose process is known to have ended.
func TestTaskOfDeadWorkerRunsAgainSoonAfterLeaderProcessEnded(t *testing.T) {
	// calmTime is how long after a fault a job that could run may have nothing running.
	const calmTime = 7 * time.Second
	for _, leaders := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d leaders", leaders), func(t *testing.T) {
			inCell(t, 3, func(c *cell) {
				c.outcome = longRun
				v := c.startThree()
				time.Sleep(6 * time.Second)
				c.submit("j1", tasks(1, 4))
				expectPhase(c, v, "j1", time.Second, job.Running)
				time.Sleep(time.Second)
				c.fleet.Worker(v.replica.Job("j1").State.Steps[0][0].Worker).Terminate()
				for range leaders {
					c.awaitLeader()
					time.Sleep(500 * time.Millisecond)
					c.killNoticed(c.leader())
				}
				time.Sleep(calmTime)
				expectStarts(c, "j1", 0, 2)
			})
		})
	}
}

// TestEarlierLeaderRenewsAfterLeaderProcessEnded guards against running a task twice: a leader before the one whose process has ended is cut off and renews leases.
func TestEarlierLeaderRenewsAfterLeaderProcessEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		// led is how long each of so many leaders led when its process ends.
		led     time.Duration
		leaders int
	}{
		{"shortly after it began", 200 * time.Millisecond, 1},
		{"after 2 s", 2 * time.Second, 1},
		{"after 5 s", 5 * time.Second, 1},
		{"of two leaders", time.Second, 2},
		{"of a VM that did not lead", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cl *cell) {
				cl.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
				old := cl.start("a")
				time.Sleep(time.Second)
				v := cl.start("b")
				time.Sleep(12 * time.Second)
				cl.submit("j1", tasks(1, 4))
				expectPhase(cl, v, "j1", time.Second, job.Running)
				time.Sleep(2 * time.Second)
				w := v.replica.Job("j1").State.Steps[0][0].Worker
				other := "w0"
				if w == other {
					other = "w1"
				}
				v.stream.cutWorkers.Store(w, true)
				for _, name := range []string{"d", "e", "f"} {
					cl.start(name).stream.cutWorkers.Store(w, true)
				}
				time.Sleep(time.Second)
				// The old leader renews the lease, and would learn of its successor from the other worker.
				old.stream.cutWorkers.Store(other, true)
				old.stream.cutOff(true)
				delete(cl.vms, "a")
				if c.leaders == 0 {
					cl.killNoticed("f")
				}
				for range c.leaders {
					cl.awaitLeader()
					time.Sleep(c.led)
					cl.killNoticed(cl.leader())
				}
				time.Sleep(30 * time.Second)
				old.stream.cutOff(false)
				for _, v := range cl.vms {
					v.stream.cutWorkers.Clear()
				}
				expectPhase(cl, cl.vms[cl.leader()], "j1", 80*time.Second, job.Completed)
			})
		})
	}
}

// awaitLeader waits until one of the VMs leads.
func (c *cell) awaitLeader() {
	for {
		for _, v := range c.vms {
			if leads(v) {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// killNoticed kills a VM, and the others learn that its process has ended.
func (c *cell) killNoticed(name string) {
	incarnation := c.vms[name].scheduler.opt.Incarnation
	c.kill(name)
	for _, v := range c.vms {
		v.scheduler.LeaderEnded(incarnation)
	}
}
