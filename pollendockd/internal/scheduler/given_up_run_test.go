package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// TestEndOfRunThatIsNotRecordedIsNotAcknowledged guards against acknowledging the success of a
// run that the records have given up but that its worker still lists as running.
func TestEndOfRunThatIsNotRecordedIsNotAcknowledged(t *testing.T) {
	for runTime := 400 * time.Millisecond; runTime < 1200*time.Millisecond; runTime += 10 * time.Millisecond {
		inCell(t, 0, func(c *cell) {
			c.fleet.Add("w0", "s", resource.Vector{MilliCPU: 20_000, MemoryMB: 10_000})
			c.catalog.Teams[0].Limit = resource.Vector{MilliCPU: 10_000}
			c.outcome = func(id site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
				if id.Job == "j1" && run == 1 {
					return runTime, site.Done
				}
				return workTime, site.Done
			}
			v := c.start("a")
			time.Sleep(2 * time.Second)
			// The job waits for its team's limit, and its first run is one that was given up.
			c.submit("first", tasks(1, 8))
			time.Sleep(100 * time.Millisecond)
			c.submit("j1", tasks(1, 4))
			time.Sleep(100 * time.Millisecond)
			l, _ := v.replica.Leader()
			w := c.fleet.Worker("w0")
			if _, err := w.Start(c.ctx, &site.StartRequest{Task: site.TaskID{Job: "j1"}, Run: 1, Token: l.Epoch, LeaseEnd: w.Clock() + time.Minute}); err != nil {
				t.Fatal(err)
			}
			expectPhase(c, v, "j1", 30*time.Second, job.Completed)
			time.Sleep(2 * time.Second)
		})
	}
}

// TestLaterLeadersAcknowledgeNoGivenUpRun guards against a leader that drops the records by
// which its successors tell that the success of a run must not be acknowledged.
func TestLaterLeadersAcknowledgeNoGivenUpRun(t *testing.T) {
	for _, c := range []struct {
		name string
		// firstTerm and secondTerm are how long the first leader leads once the worker is
		// silent, and the second one.
		firstTerm, secondTerm time.Duration
		// back is how long the worker is silent.
		back time.Duration
		// thirdTerm is how long the third leader leads before the last check.
		thirdTerm time.Duration
	}{
		{"given up by the first, ended under the second leader", 8 * time.Second, 10 * time.Second, 9 * time.Second, 5 * time.Second},
		{"given up and ended under the second leader", time.Second, 30 * time.Second, 20 * time.Second, 5 * time.Second},
		{"given up by the first, ended under the second leader before the worker is back", 8 * time.Second, 30 * time.Second, 25 * time.Second, 5 * time.Second},
		{"the job has been forgotten", 8 * time.Second, 2 * minRetention, 9 * time.Second, minRetention},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cell *cell) {
				cell.outcome = func(_ site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
					if run == 1 {
						return 2 * time.Second, site.Done
					}
					return 5 * time.Second, site.Done
				}
				a := cell.start("a")
				time.Sleep(time.Second)
				cell.submit("j1", tasks(1, 4))
				time.Sleep(500 * time.Millisecond)
				w := cell.fleet.Worker("w0")
				w.SetSilent(true)
				go func() {
					time.Sleep(c.back)
					w.SetSilent(false)
				}()
				b := cell.start("b")
				time.Sleep(c.firstTerm)
				a.kill()
				time.Sleep(c.secondTerm)
				expectPhase(cell, b, "j1", 20*time.Second, job.Completed)
				time.Sleep(time.Second)
				cell.start("d")
				time.Sleep(time.Second)
				b.kill()
				time.Sleep(c.thirdTerm)
			})
		})
	}
}

// TestUnlistedWorkerKeepsGivenUpRuns guards against forgetting which runs were given up when
// their worker leaves the list, as it may return.
func TestUnlistedWorkerKeepsGivenUpRuns(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.fleet.Register(fleet.NewStore(), registerInterval)
		v := c.start("a")
		time.Sleep(3 * time.Second)
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		w := c.fleet.Worker("w0")
		w.SetSilent(true)
		w.SetCutFromStore(true)
		time.Sleep(missedHeartbeats * registerInterval)
		c.fleet.DropEntries()
		time.Sleep(time.Minute)
		expectPhase(c, v, "j1", time.Second, job.Completed)
		w.SetSilent(false)
		w.SetCutFromStore(false)
		time.Sleep(5 * time.Second)
	})
}

// TestEndsOfCanceledJobAreAcknowledged guards against keeping the ends of a worker for a run that
// was given up, though its task never runs again.
func TestEndsOfCanceledJobAreAcknowledged(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		v := c.start("a")
		time.Sleep(2 * time.Second)
		w := c.fleet.Worker("w0")
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		w.SetSilent(true)
		time.Sleep(500 * time.Millisecond)
		c.cancel("j1")
		time.Sleep(12 * time.Second)
		w.SetSilent(false)
		expectPhase(c, v, "j1", 5*time.Second, job.Canceled)
		c.submit("j2", tasks(2, 2))
		expectPhase(c, v, "j2", 10*time.Second, job.Completed)
		time.Sleep(3 * time.Second)
		if n := w.Unacknowledged(); n > 0 {
			t.Errorf("%d ends are not acknowledged", n)
		}
	})
}

// TestTaskWaitsForItsUnrecordedRun guards against starting a task elsewhere while a worker that
// does not answer the stop still has a run of it.
func TestTaskWaitsForItsUnrecordedRun(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.catalog.Teams[0].Limit = resource.Vector{MilliCPU: 10_000}
		c.outcome = func(id site.TaskID, run int64, worker string) (time.Duration, site.EndKind) {
			if id.Job == "j1" {
				return 4 * time.Second, site.Done
			}
			return 5 * time.Second, site.Done
		}
		v := c.start("a")
		time.Sleep(2 * time.Second)
		// The job waits for its team's limit.
		c.submit("first", tasks(1, 8))
		time.Sleep(100 * time.Millisecond)
		c.submit("j1", tasks(1, 4))
		time.Sleep(1900 * time.Millisecond)
		idle, name := c.fleet.Worker("w0"), "w0"
		if idle.Running() > 0 {
			idle, name = c.fleet.Worker("w1"), "w1"
		}
		listed := false
		idle.AlterReplies(func(h *site.HoldReply) {
			if len(h.Running) > 0 && !listed {
				listed = true
				v.stream.cutWorkers.Store(name, true)
			}
		})
		l, _ := v.replica.Leader()
		if _, err := idle.Start(c.ctx, &site.StartRequest{Task: site.TaskID{Job: "j1"}, Run: 1, Token: l.Epoch, LeaseEnd: idle.Clock() + 5*time.Second}); err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(5 * time.Second)
			v.stream.cutWorkers.Delete(name)
		}()
		expectPhase(c, v, "j1", 40*time.Second, job.Completed)
		if !listed {
			t.Error("the worker has listed no run")
		}
		time.Sleep(2 * time.Second)
	})
}

// TestUnrecordedRunBarsItsTask checks which tasks are not started while a worker has a run that
// is not in the records.
func TestUnrecordedRunBarsItsTask(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
		want int
	}{
		{"task", tasks(3, 1), 2},
		{"gang", gang(3, 1), 0},
	} {
		l := leadershipOf("j", c.step)
		tj := l.jobs["j"]
		task := site.TaskID{Job: "j", Index: 1}
		found := l.adoptUnrecorded(l.workerOf("a"), runKey{task, 1})
		if n := len(tj.waitingTasks(0, false)); n != c.want {
			t.Errorf("%s: %d tasks may start beside the run, want %d", c.name, n, c.want)
		}
		l.ctx = t.Context()
		other := l.workerOf("b")
		other.client, other.boot, other.clockAt = silentWorker{}, 1, time.Now()
		l.flush.ackedAt, l.flush.ackedTimeOfDay = time.Now(), time.Now().Round(0)
		decided := &run{task: task, number: 2, tj: tj, boot: 1, dispatchAge: dispatchAge{time.Now(), shortStartDelay}}
		l.bind(decided, other)
		l.sendStart(decided)
		if decided.startAttempts != 0 || decided.bound() {
			t.Errorf("%s: the task starts beside the run", c.name)
		}
		l.unbind(found)
		if n := len(tj.waitingTasks(0, false)); n != c.step.Count {
			t.Errorf("%s: %d tasks may start after the run, want %d", c.name, n, c.step.Count)
		}
	}
}
