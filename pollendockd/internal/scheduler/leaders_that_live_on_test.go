package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/standin/fleet"
)

// TestTaskOfDeadWorkerRunsAgainOnceItsLeadersHaveEnded guards against a wait for renewals by leaders whose processes are known to have ended.
func TestTaskOfDeadWorkerRunsAgainOnceItsLeadersHaveEnded(t *testing.T) {
	// longestWait is how long a job may have nothing running: 4 s until all is calm, and 3 s.
	const longestWait = 7 * time.Second
	for _, c := range []struct {
		name string
		kill func(c *cell, worker *fleet.Worker)
	}{
		{"with the leader", func(c *cell, worker *fleet.Worker) {
			worker.Terminate()
			c.endLeader()
		}},
		{"with four leaders in 4 s", func(c *cell, worker *fleet.Worker) {
			worker.Terminate()
			for range 3 {
				c.endLeader()
				time.Sleep(1300 * time.Millisecond)
			}
			c.endLeader()
		}},
		{"with four leaders in 14 s", func(c *cell, worker *fleet.Worker) {
			worker.Terminate()
			c.endLeader()
			go func() {
				for range 3 {
					time.Sleep(4600 * time.Millisecond)
					c.endLeader()
				}
			}()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 3, func(cl *cell) {
				// All deaths end within the bubble.
				defer time.Sleep(15 * time.Second)
				cl.startLongTask(5)
				worker := cl.fleet.Worker(cl.vms["b"].replica.Job("j1").State.Steps[0][0].Worker)
				c.kill(cl, worker)
				took := cl.untilNextStart("j1")
				t.Logf("the task runs again after %v", took)
				if took > longestWait {
					t.Errorf("the task runs again after %v, want %v at most", took, longestWait)
				}
			})
		})
	}
}

// TestLeaderThatLivesOnIsWaitedFor guards against running a task twice: a leader renews its lease on a worker that its successor does not reach.
func TestLeaderThatLivesOnIsWaitedFor(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail makes the leader lose its term while it goes on to renew leases.
		fail func(c *cell, leader *vm)
	}{
		{"cut off from the store", func(_ *cell, leader *vm) { leader.stream.cutOff(true) }},
		{"hands over, and its last append gets no answer", func(_ *cell, leader *vm) {
			leader.stream.losesAnswers.Store(true)
			leader.stream.readsSilent.Store(true)
			leader.scheduler.post(stopRequest{make(chan struct{})})
		}},
		{"cut off, and its successor has ended", func(c *cell, leader *vm) {
			leader.stream.cutOff(true)
			delete(c.vms, "a")
			time.Sleep(3 * time.Second)
			c.endLeader()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 3, func(cl *cell) {
				cl.startLongTask(3)
				leader := cl.vms["a"]
				id := cl.vms["b"].replica.Job("j1").State.Steps[0][0].Worker
				for name, v := range cl.vms {
					for _, w := range []string{"w0", "w1", "w2"} {
						// The old leader would learn of its successor from another worker.
						if (name == "a") != (w == id) {
							v.stream.cutWorkers.Store(w, true)
						}
					}
				}
				c.fail(cl, leader)
				time.Sleep(40 * time.Second)
				expectStarts(cl, "j1", 0, 2)
			})
		})
	}
}

// startLongTask starts VMs and the job j1 on one of them.
func (c *cell) startLongTask(vms int) {
	c.outcome = longRun
	for _, name := range []string{"a", "b", "d", "e", "f"}[:vms] {
		c.start(name)
		time.Sleep(time.Second)
	}
	c.submit("j1", tasks(1, 4))
	expectPhase(c, c.vms["b"], "j1", time.Second, job.Running)
	time.Sleep(5 * time.Second)
}

// endLeader kills the VM that leads, and lets the others learn that its process has ended.
func (c *cell) endLeader() {
	for name, v := range c.vms {
		if !leads(v) {
			continue
		}
		v.kill()
		delete(c.vms, name)
		for _, other := range c.vms {
			other.scheduler.LeaderEnded(v.scheduler.opt.Incarnation)
		}
		return
	}
	c.t.Error("no VM leads")
}
