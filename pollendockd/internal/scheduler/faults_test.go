package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// TestJobsUnderFaults runs one job of each kind through one fault of each kind.
func TestJobsUnderFaults(t *testing.T) {
	jobs := []struct {
		name  string
		steps []job.Step
	}{
		{"tasks", []job.Step{tasks(3, 4)}},
		{"gang", []job.Step{gang(3, 6)}},
		{"steps", []job.Step{tasks(2, 4), after(gang(2, 6), 0)}},
	}
	faults := []struct {
		name   string
		inject func(c *cell)
	}{
		{"none", func(*cell) {}},
		{"start answer lost", func(c *cell) { c.fleet.Worker("w0").DropResponses(1) }},
		{"start late", func(c *cell) { c.fleet.Worker("w0").DelayStarts(1, 3*time.Second) }},
		{"append answer lost", func(c *cell) { c.store.DropResponses(1) }},
		{"worker leaves", func(c *cell) {
			time.Sleep(time.Second)
			c.fleet.Worker("w0").Terminate()
		}},
		{"worker restarted", func(c *cell) { time.Sleep(time.Second); c.fleet.Worker("w0").Reboot() }},
		{"worker silent", func(c *cell) {
			time.Sleep(time.Second)
			c.fleet.Worker("w0").SetSilent(true)
			time.Sleep(3 * time.Second)
			c.fleet.Worker("w0").SetSilent(false)
		}},
		{"leader killed", func(c *cell) { time.Sleep(time.Second); c.vms["a"].kill() }},
		{"leader killed at once", func(c *cell) { time.Sleep(20 * time.Millisecond); c.vms["a"].kill() }},
		{"store silent", func(c *cell) {
			time.Sleep(300 * time.Millisecond)
			c.store.SetSilent(true)
			time.Sleep(4 * time.Second)
			c.store.SetSilent(false)
		}},
		{"store refuses", func(c *cell) {
			c.store.SetUnavailable(true)
			time.Sleep(4 * time.Second)
			c.store.SetUnavailable(false)
		}},
		{"history trimmed", func(c *cell) { time.Sleep(30 * time.Millisecond); c.store.Trim() }},
	}
	for _, f := range faults {
		for _, j := range jobs {
			t.Run(f.name+"/"+j.name, func(t *testing.T) {
				inCell(t, 3, func(c *cell) {
					c.start("a")
					time.Sleep(3 * time.Second)
					b := c.start("b")
					time.Sleep(time.Second)
					c.submit("j1", j.steps...)
					f.inject(c)
					if f.name == "worker leaves" && j.name == "gang" {
						// It needs three workers.
						c.fleet.Add("w3", "s", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
					}
					expectPhase(c, b, "j1", 30*time.Second, job.Completed)
				})
			})
		}
	}
}

// TestDepartedWorkerLapses guards against renewing the leases of a worker that has left
// for good. It was sent holds with new leases forever, so its runs never counted as
// lapsed.
func TestDepartedWorkerLapses(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		c.fleet.Worker("w0").Terminate()
		c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		expectStarts(c, "j1", 0, 2)
	})
}

// TestFailuresEndTheJob checks that a task is restarted until it has failed as often as
// the queue allows.
func TestFailuresEndTheJob(t *testing.T) {
	for _, step := range []job.Step{tasks(1, 4), gang(2, 4)} {
		inCell(t, 2, func(c *cell) {
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return workTime, site.Failed }
			a := c.start("a")
			c.submit("j1", step)
			expectPhase(c, a, "j1", 20*time.Second, job.Failed)
			expectStarts(c, "j1", 0, 2)
		})
	}
}

// TestCancelStopsTasks checks that a canceled job soon has no running tasks.
func TestCancelStopsTasks(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		c.submit("j1", tasks(2, 6))
		time.Sleep(time.Second)
		c.cancel("j1")
		expectPhase(c, a, "j1", time.Second, job.Canceled)
		time.Sleep(time.Second)
		for _, id := range []string{"w0", "w1"} {
			if n := c.fleet.Worker(id).Running(); n > 0 {
				t.Errorf("%s is still running %d tasks", id, n)
			}
		}
	})
}

// TestStalledTasksMove checks that tasks that make no progress on one worker are run
// elsewhere, and that the worker gets no new tasks while none of its tasks makes
// progress.
func TestStalledTasksMove(t *testing.T) {
	for _, step := range []job.Step{tasks(2, 4), gang(2, 4)} {
		inCell(t, 2, func(c *cell) {
			c.outcome = func(_ site.TaskID, _ int64, worker string) (time.Duration, site.EndKind) {
				if worker == "w0" {
					return fleet.StalledRunTime, site.Done
				}
				return workTime, site.Done
			}
			a := c.start("a")
			time.Sleep(time.Second)
			c.submit("j1", step)
			time.Sleep(2500 * time.Millisecond)
			c.submit("j2", tasks(1, 1))
			expectPhase(c, a, "j2", 3*time.Second, job.Completed)
			expectPhase(c, a, "j1", 8*time.Second, job.Completed)
		})
	}
}

// TestUnevenGang guards against stopping the fast member of a gang, which has finished
// its share and waits for the slow one. It was taken for stalled, and all its work was
// lost.
func TestUnevenGang(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.outcome = func(n site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			return time.Duration(1+9*n.Index) * time.Second, site.Done
		}
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", gang(2, 6))
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		expectStarts(c, "j1", 0, 1)
	})
}

// TestListValidity checks that a list that was requested before a start was confirmed,
// or in the same instant, does not prove that the run is gone.
func TestListValidity(t *testing.T) {
	now := time.Now()
	confirmed, unknown := &run{}, &run{}
	confirmed.confirm(now)
	for _, c := range []struct {
		name   string
		r      *run
		sentAt time.Time
		want   bool
	}{
		{"requested before", confirmed, now.Add(-time.Millisecond), false},
		{"requested in the same instant", confirmed, now, false},
		{"requested after", confirmed, now.Add(time.Millisecond), true},
		{"unconfirmed run", unknown, now, false},
	} {
		if got := c.r.coveredBy(c.sentAt); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSuccessBehindPartition covers a task that succeeded on a partitioned worker,
// where nothing else ran, and was restarted elsewhere. A later acknowledgement of the
// first success reported the task as done twice.
func TestSuccessBehindPartition(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		partitioned := c.fleet.Worker("w0")
		partitioned.SetSilent(true)
		c.fleet.Add("w1", "s", partitioned.Capacity())
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		partitioned.SetSilent(false)
		time.Sleep(3 * time.Second)
		c.submit("j2", tasks(2, 8))
		expectPhase(c, a, "j2", 6*time.Second, job.Completed)
		time.Sleep(2 * time.Second)
	})
}

// TestAppendsAreBounded guards against a single append with everything that waits after
// an outage, which would be refused for its size forever.
func TestAppendsAreBounded(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		const jobs = 100
		done := make(chan error, jobs)
		for i := range jobs {
			entry := site.Entry{Key: fmt.Sprintf("m/%d", i)}
			if i%2 == 0 {
				entry.Value = make([]byte, 20<<10)
			}
			go func() { done <- a.scheduler.Accept(c.ctx, []site.Entry{entry}) }()
		}
		for range jobs {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		if n := a.stream.largest.Load(); n > 512<<10 {
			t.Errorf("append of %d bytes, want at most 512 KiB", n)
		}
	})
}

// TestOldJobsAreForgotten checks that ended jobs are kept as long as callers may query
// them and then removed on every VM, and that a running job is kept.
func TestOldJobsAreForgotten(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a, b := c.startTwo()
		c.submit("j1", tasks(1, 4))
		expectPhase(c, b, "j1", 5*time.Second, job.Completed)
		time.Sleep(minRetention)
		expectPhase(c, b, "j1", time.Second, job.Completed)
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 3 * minRetention, site.Done }
		c.submit("j2", tasks(1, 4))
		time.Sleep(minRetention + 5*time.Second)
		for name, v := range map[string]*vm{"a": a, "b": b} {
			if v.replica.Job("j1") != nil {
				t.Errorf("%s still has j1", name)
			}
			if v.replica.Job("j2") == nil {
				t.Errorf("%s no longer has j2", name)
			}
		}
	})
}

// TestUnderestimatedTaskCompletes checks that a task that takes a hundred times its
// estimate is not stopped repeatedly for lack of progress.
func TestUnderestimatedTaskCompletes(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 15 * time.Minute, site.Done }
		a := c.start("a")
		c.submit("j1", tasks(1, 4))
		expectPhase(c, a, "j1", 20*time.Minute, job.Completed)
	})
}

// TestUnplaceableJobsDoNotBlockOthers covers overdue jobs that no worker can run, more
// of them than a pass considers. They kept every later overdue job from running.
func TestUnplaceableJobsDoNotBlockOthers(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		unplaceable := tasks(1, 1)
		unplaceable.Label = "none has it"
		for i := range 2 * overduePerPass {
			c.submit(fmt.Sprintf("hopeless%d", i), unplaceable)
		}
		c.submit("j1", tasks(1, 4))
		time.Sleep(time.Minute)
		c.fleet.Add("w0", "s", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
		expectPhase(c, a, "j1", 10*time.Second, job.Completed)
	})
}

// TestEndedJobsAreSummarized checks that the records of an ended job keep no more than
// answers need, and that a new leader does not load it.
func TestEndedJobsAreSummarized(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(3 * time.Second)
		c.submit("x", tasks(2, 1))
		expectPhase(c, a, "x", 5*time.Second, job.Completed)
		time.Sleep(time.Second)
		b := c.start("b")
		expectPhase(c, b, "x", time.Second, job.Completed)
		if j := b.replica.Job("x"); !j.Submission.IsSummary() || j.Submission.Spec != "" {
			t.Errorf("the complete submission is kept: %+v", j.Submission)
		}
		a.kill()
		c.submit("y", tasks(2, 1))
		expectPhase(c, b, "y", 10*time.Second, job.Completed)
		expectPhase(c, b, "x", time.Second, job.Completed)
		expectStarts(c, "x", 0, 1)
	})
}

// TestRefusedJobsWait checks that a job of which no run has begun after all counts as
// waiting again. After the store had been unavailable for 4 s, 30 of 37 waiting jobs
// were not counted, as their runs had been decided before.
func TestRefusedJobsWait(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(2 * time.Second)
		b := c.start("b")
		time.Sleep(2 * time.Second)
		c.fleet.Worker("w0").RefuseStarts(2)
		c.submit("refused", tasks(2, 2))
		time.Sleep(300 * time.Millisecond)
		expectWaiting(t, b, "refused", 1)
		// A later leader counts it as well.
		a.kill()
		time.Sleep(10 * time.Second)
		expectPhase(c, b, "refused", 0, job.Completed)
		expectWaiting(t, b, "refused", 0)
	})
}

// expectWaiting checks how many jobs of the queue wait, and the phase of one job.
func expectWaiting(t *testing.T, v *vm, id string, want int) {
	t.Helper()
	if n := v.replica.Waiting("q"); n != want {
		t.Errorf("%d jobs are waiting, want %d", n, want)
	}
	if j := v.replica.Job(id); (j.Phase() == job.Queued) != (want > 0) {
		t.Errorf("job %s is %v, want %d waiting jobs", id, j.Phase(), want)
	}
}

// TestNewLeaderAcknowledgesNoGivenUpRun guards against a new leader that acknowledges the
// success of a run which the last one had presumed lapsed and started again.
func TestNewLeaderAcknowledgesNoGivenUpRun(t *testing.T) {
	for _, c := range []struct {
		name string
		// rerun is how long the second run takes.
		rerun time.Duration
	}{
		{"the task runs again", 12 * time.Second},
		{"the job has ended", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cell *cell) {
				cell.outcome = func(_ site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
					if run == 1 {
						return 2 * time.Second, site.Done
					}
					return c.rerun, site.Done
				}
				a := cell.start("a")
				time.Sleep(time.Second)
				v := cell.start("b")
				time.Sleep(time.Second)
				cell.submit("j1", tasks(1, 4))
				time.Sleep(500 * time.Millisecond)
				cell.fleet.Worker("w0").SetSilent(true)
				time.Sleep(8 * time.Second)
				expectStarts(cell, "j1", 0, 2)
				a.kill()
				time.Sleep(time.Second)
				cell.fleet.Worker("w0").SetSilent(false)
				expectPhase(cell, v, "j1", 20*time.Second, job.Completed)
				time.Sleep(2 * time.Second)
			})
		})
	}
}
