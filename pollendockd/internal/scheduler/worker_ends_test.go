package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

const (
	// restartTarget is how long after the death of their worker tasks start again. Callers count 7 s.
	restartTarget = 5 * time.Second
	// holdCycle is longer than the time between two holds of a worker that runs something.
	holdCycle = 700 * time.Millisecond
)

// inHoldCycle runs a test that ends workers at different times after their last answer.
func inHoldCycle(t *testing.T, workers int, fn func(c *cell, phase time.Duration)) {
	for phase := time.Duration(0); phase < holdCycle; phase += holdCycle / 5 {
		t.Run(phase.String(), func(t *testing.T) {
			inCell(t, workers, func(c *cell) {
				c.outcome = longRun
				fn(c, phase)
			})
		})
	}
}

// endWorkersOf ends the workers of the first tasks of jobs for good.
func (c *cell) endWorkersOf(v *vm, jobs ...string) {
	c.t.Helper()
	for _, id := range jobs {
		w := c.fleet.Worker(v.replica.Job(id).State.Steps[0][0].Worker)
		if w == nil {
			c.t.Fatalf("job %s does not run", id)
		}
		w.Terminate()
	}
}

// expectRestarts checks that the first tasks of jobs start again soon after the death of their workers.
func expectRestarts(c *cell, died time.Time, jobs ...string) {
	c.t.Helper()
	// Wait longer, so that a failure tells for how long.
	time.Sleep(2 * restartTarget)
	for _, id := range jobs {
		task := site.TaskID{Job: id}
		if n := c.fleet.Starts(task); n != 2 {
			c.t.Errorf("job %s was started %d times, want 2", id, n)
			continue
		}
		if took := c.fleet.StartedAt(task).Sub(died); took > restartTarget {
			c.t.Errorf("job %s started again %v after the death of its worker, want %v", id, took, restartTarget)
		}
	}
}

// TestTaskRunsAgainSoonAfterWorkerEnded guards against a living leader that renews the leases of a dead worker for seconds.
func TestTaskRunsAgainSoonAfterWorkerEnded(t *testing.T) {
	inHoldCycle(t, 3, func(c *cell, phase time.Duration) {
		v := c.start("a")
		time.Sleep(time.Second)
		c.submit("j", tasks(1, 4))
		expectPhase(c, v, "j", time.Second, job.Running)
		time.Sleep(2*time.Second + phase)
		died := time.Now()
		c.endWorkersOf(v, "j")
		expectRestarts(c, died, "j")
	})
}

// TestTaskSentToDeadWorkerRunsSoonElsewhere guards against start requests, and the holds that follow them, that prolong the lease of an idle worker that is dead.
func TestTaskSentToDeadWorkerRunsSoonElsewhere(t *testing.T) {
	for after := time.Duration(0); after < idleHoldInterval; after += idleHoldInterval / 6 {
		t.Run(after.String(), func(t *testing.T) {
			inCell(t, 1, func(c *cell) {
				c.start("a")
				time.Sleep(3*time.Second + after)
				died := time.Now()
				c.fleet.Worker("w0").Terminate()
				c.submit("j", tasks(1, 4))
				c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
				time.Sleep(2 * restartTarget)
				if took := c.fleet.StartedAt(site.TaskID{Job: "j"}).Sub(died); took < 0 || took > restartTarget {
					t.Errorf("the task started %v after the death of the worker, want %v", took, restartTarget)
				}
			})
		})
	}
}

// TestGangRunsAgainSoonAfterWorkerEnded guards against a gang that queries for its tickets only once the leases of a dead member's worker have expired.
func TestGangRunsAgainSoonAfterWorkerEnded(t *testing.T) {
	inHoldCycle(t, 40, func(c *cell, phase time.Duration) {
		c.advise(siteAdvice, 0.5)
		v := c.startThree()
		time.Sleep(time.Second)
		c.submit("g", gang(4, 6))
		expectPhase(c, v, "g", 5*time.Second, job.Running)
		time.Sleep(4*time.Second + phase)
		died := time.Now()
		c.endWorkersOf(v, "g")
		expectRestarts(c, died, "g")
	})
}

// TestManyTasksRunAgainSoonAfterWorkersEnded guards against jobs whose queries go out one after the other once the leases of dead workers have expired.
func TestManyTasksRunAgainSoonAfterWorkersEnded(t *testing.T) {
	inHoldCycle(t, 80, func(c *cell, phase time.Duration) {
		const jobs = 16
		c.advise(site.Advice{Base: 380 * time.Millisecond, PerUpstream: 5500 * time.Microsecond, TicketLifetime: 2 * time.Second}, 0.3)
		v := c.startThree()
		for i := range 4 {
			c.start(fmt.Sprintf("e%d", i))
		}
		time.Sleep(2 * time.Second)
		var ids []string
		for i := range jobs {
			id := fmt.Sprintf("j%d", i)
			ids = append(ids, id)
			c.submit(id, tasks(1, 4))
		}
		for _, id := range ids {
			expectPhase(c, v, id, 5*time.Second, job.Running)
		}
		time.Sleep(2*time.Second + phase)
		died := time.Now()
		c.endWorkersOf(v, ids...)
		expectRestarts(c, died, ids...)
	})
}

// TestTaskOfDeadWorkerRunsBesideOthersSoon guards against a task that waits for an empty worker for longer than callers do, since its worker has crashed once and the others all run something.
func TestTaskOfDeadWorkerRunsBesideOthersSoon(t *testing.T) {
	// calmTime is how long after a fault a job that could run may have nothing running.
	const calmTime = 7 * time.Second
	for _, step := range []job.Step{tasks(1, 4), gang(4, 4)} {
		t.Run(fmt.Sprintf("%d tasks", step.Count), func(t *testing.T) {
			inHoldCycle(t, 30, func(c *cell, phase time.Duration) {
				c.advise(siteAdvice, 0.5)
				c.addUnadvisedQueue()
				v := c.startThree()
				time.Sleep(time.Second)
				others := tasks(30, 2)
				others.PerWorker = 1
				c.submitTo("unadvised", "others", others)
				time.Sleep(time.Second)
				c.submit("j", step)
				expectPhase(c, v, "j", 5*time.Second, job.Running)
				time.Sleep(4*time.Second + phase)
				died := time.Now()
				c.endWorkersOf(v, "j")
				time.Sleep(2 * calmTime)
				if took := c.fleet.StartedAt(site.TaskID{Job: "j"}).Sub(died); took < 0 || took > calmTime {
					t.Errorf("started again %v after the death of its worker, want %v", took, calmTime)
				}
			})
		})
	}
}

// TestCrashCountsThatTheListTellsLast guards against giving up the runs of a crashed worker just before its entry is removed, so that no task is ever found to crash its workers.
func TestCrashCountsThatTheListTellsLast(t *testing.T) {
	for removed := 2 * registerInterval; removed <= missedHeartbeats*registerInterval; removed += registerInterval / 3 {
		inHoldCycle(t, 3, func(c *cell, phase time.Duration) {
			v := c.start("a")
			time.Sleep(time.Second)
			c.submit("j", tasks(1, 4))
			expectPhase(c, v, "j", time.Second, job.Running)
			time.Sleep(2*time.Second + phase)
			died := time.Now()
			w := c.fleet.Worker(v.replica.Job("j").State.Steps[0][0].Worker)
			w.SetSilent(true)
			time.Sleep(removed)
			// That removes its entry.
			w.Terminate()
			expectRestarts(c, died, "j")
			if n := v.replica.Job("j").Crashes.Of(0, 0).Count; n != 1 {
				t.Errorf("entry removed after %v: %d crashes under the task, want 1", removed, n)
			}
		})
	}
}

// TestLeasesOfWorkersThatLeaveCallsUnanswered checks which calls renew a lease, and which carry the one that the worker has.
func TestLeasesOfWorkersThatLeaveCallsUnanswered(t *testing.T) {
	const (
		clock = 10 * time.Second
		held  = clock + lease
	)
	now := time.Now()
	for _, c := range []struct {
		name   string
		age    time.Duration
		change func(wk *worker)
		// hold and start are the lease ends of calls after the last answer, leaseEnd is the latest
		// one afterwards.
		hold, start, leaseEnd time.Duration
	}{
		{"answers", 600 * time.Millisecond, func(*worker) {}, held + 600*time.Millisecond, held, held + 600*time.Millisecond},
		{"answers, has no runs", 600 * time.Millisecond, func(wk *worker) { wk.runs = nil }, held + 600*time.Millisecond, held + 600*time.Millisecond, held + 600*time.Millisecond},
		{"idle for long", 1750 * time.Millisecond, func(*worker) {}, held + 1750*time.Millisecond, held + 1750*time.Millisecond, held + 1750*time.Millisecond},
		{"a hold has failed", time.Second, func(wk *worker) { wk.holdFails = 1 }, held, held, held},
		{"a start has failed", time.Second, func(wk *worker) { wk.startUnanswered = true }, held, held, held},
		{"holds have failed for long", 1750 * time.Millisecond, func(wk *worker) { wk.holdFails = 2 }, held, 0, held},
		{"silent", maxAnswerAge + time.Millisecond, func(wk *worker) { wk.holdFails = 3 }, 0, 0, held},
		{"refuses connections", time.Second, func(wk *worker) { wk.refusesConnections = true }, 0, 0, held},
		{"an earlier leader's lease may be longer", time.Second, func(wk *worker) { wk.holdFails, wk.leaseEnd = 1, clock+time.Minute }, held, held + time.Second, clock + time.Minute},
	} {
		l := leadershipOf("j", tasks(1, 1))
		l.s.opt.Bounds.MaxLease = 10 * time.Second
		l.flush.ackedAt, l.flush.ackedTimeOfDay = now, now.Round(0)
		wk := &worker{boot: 1, clock: clock, clockAt: now.Add(-c.age), leaseEnd: held, runs: map[runKey]*run{{}: {stage: running}}}
		c.change(wk)
		start := l.startLease(wk, now)
		hold := l.nextLease(wk, now)
		if hold != c.hold || start != c.start || wk.leaseEnd != c.leaseEnd {
			t.Errorf("%s: lease ends of holds %v, of starts %v, the latest %v, want %v, %v, %v", c.name, hold, start, wk.leaseEnd, c.hold, c.start, c.leaseEnd)
		}
	}
}
