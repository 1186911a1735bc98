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

// TestStories plays one job of each form through one fault of each kind.
func TestStories(t *testing.T) {
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
		strike func(c *cell)
	}{
		{"none", func(*cell) {}},
		{"start answer lost", func(c *cell) { c.fleet.Worker("w0").LoseAnswers(1) }},
		{"start late", func(c *cell) { c.fleet.Worker("w0").DelayStarts(1, 3*time.Second) }},
		{"append answer lost", func(c *cell) { c.store.LoseAnswers(1) }},
		{"worker leaves", func(c *cell) { time.Sleep(time.Second); c.fleet.Worker("w0").Leave() }},
		{"worker reborn", func(c *cell) { time.Sleep(time.Second); c.fleet.Worker("w0").Reboot() }},
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
			c.store.SetAway(true)
			time.Sleep(4 * time.Second)
			c.store.SetAway(false)
		}},
		{"history dropped", func(c *cell) { time.Sleep(30 * time.Millisecond); c.store.Trim() }},
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
					f.strike(c)
					expectPhase(c, b, "j1", 30*time.Second, job.Completed)
				})
			})
		}
	}
}

// TestWorkerThatLeftIsGivenUp: a worker that went away for good was sent holds
// with new leases for ever, so what it had run never counted as lapsed.
func TestWorkerThatLeftIsGivenUp(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		c.fleet.Worker("w0").Leave()
		c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		expectStarts(c, "j1", 0, 2)
	})
}

// TestFailuresEndTheJob: a task is started anew until it has failed as often as
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

// TestCancelStopsTasks: a canceled job has nothing running soon after.
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
				t.Errorf("%s still runs %d tasks", id, n)
			}
		}
	})
}

// TestStandstill: tasks that make no progress on one worker are run elsewhere,
// and that worker gets no more while none of its tasks does.
func TestStandstill(t *testing.T) {
	for _, step := range []job.Step{tasks(2, 4), gang(2, 4)} {
		inCell(t, 2, func(c *cell) {
			c.outcome = func(_ site.TaskID, _ int64, worker string) (time.Duration, site.EndKind) {
				if worker == "w0" {
					return fleet.Standstill, site.Done
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

// TestUnevenGang: the fast member of a gang, which has done its part and waits
// for the slow one, was taken for one that stands still, and all its work lost.
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

// TestListsThatTell: a list that was asked for before a start was confirmed, or in
// the same instant, does not tell that the run is gone.
func TestListsThatTell(t *testing.T) {
	now := time.Now()
	confirmed, unknown := &run{}, &run{}
	confirmed.confirm(now)
	for _, c := range []struct {
		name   string
		r      *run
		sentAt time.Time
		want   bool
	}{
		{"asked for before", confirmed, now.Add(-time.Millisecond), false},
		{"asked for in the same instant", confirmed, now, false},
		{"asked for after", confirmed, now.Add(time.Millisecond), true},
		{"nothing is known of the run", unknown, now, false},
	} {
		if got := c.r.toldBy(c.sentAt); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestDoneBehindACut: a task ended well at a worker that was cut off, where
// nothing else ran, and was begun elsewhere. Acknowledging the first end later
// said that it was done twice.
func TestDoneBehindACut(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		cut := c.fleet.Worker("w0")
		cut.SetSilent(true)
		c.fleet.Add("w1", "s", cut.Capacity())
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		cut.SetSilent(false)
		time.Sleep(3 * time.Second)
		c.submit("j2", tasks(2, 8))
		expectPhase(c, a, "j2", 6*time.Second, job.Completed)
		time.Sleep(2 * time.Second)
	})
}

// TestAppendsAreBounded: after an outage so much waits that one append with all
// of it would be refused for its size, for ever.
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
			t.Errorf("an append of %d bytes", n)
		}
	})
}

// TestOldJobsAreForgotten: what ended is kept as long as callers may ask for it,
// and then removed at every VM; a job that runs is kept.
func TestOldJobsAreForgotten(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		b := c.start("b")
		c.submit("j1", tasks(1, 4))
		expectPhase(c, b, "j1", 5*time.Second, job.Completed)
		time.Sleep(leastKeep)
		expectPhase(c, b, "j1", time.Second, job.Completed)
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 3 * leastKeep, site.Done }
		c.submit("j2", tasks(1, 4))
		time.Sleep(leastKeep + 5*time.Second)
		for name, v := range map[string]*vm{"a": a, "b": b} {
			if v.book.Job("j1") != nil {
				t.Errorf("%s still knows j1", name)
			}
			if v.book.Job("j2") == nil {
				t.Errorf("%s has forgotten j2", name)
			}
		}
	})
}

// TestFalseEstimate: a task that takes a hundred times its estimate is not
// stopped again and again as standing still.
func TestFalseEstimate(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 15 * time.Minute, site.Done }
		a := c.start("a")
		c.submit("j1", tasks(1, 4))
		expectPhase(c, a, "j1", 20*time.Minute, job.Completed)
	})
}

// TestHopelessJobsHoldNobodyBack: jobs that no worker can run, more than a pass
// looks at once they are overdue, kept every later overdue job from running.
func TestHopelessJobsHoldNobodyBack(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		hopeless := tasks(1, 1)
		hopeless.Label = "none has it"
		for i := range 2 * overduePerPass {
			c.submit(fmt.Sprintf("hopeless%d", i), hopeless)
		}
		c.submit("j1", tasks(1, 4))
		time.Sleep(time.Minute)
		c.fleet.Add("w0", "s", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
		expectPhase(c, a, "j1", 10*time.Second, job.Completed)
	})
}

// TestEndedJobsAreOutlined: of a job that has ended the records keep no more than
// answers need, and a new leader begins without it.
func TestEndedJobsAreOutlined(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(3 * time.Second)
		c.submit("x", tasks(2, 1))
		expectPhase(c, a, "x", 5*time.Second, job.Completed)
		time.Sleep(time.Second)
		b := c.start("b")
		expectPhase(c, b, "x", time.Second, job.Completed)
		if j := b.book.Job("x"); !j.Submission.IsSummary() || j.Submission.Spec != "" {
			t.Errorf("the whole submission is kept: %+v", j.Submission)
		}
		a.kill()
		c.submit("y", tasks(2, 1))
		expectPhase(c, b, "y", 10*time.Second, job.Completed)
		expectPhase(c, b, "x", time.Second, job.Completed)
		expectStarts(c, "x", 0, 1)
	})
}

// TestRefusedJobsWait: a job of which no run has begun after all counts as waiting
// again. Seen after the store had been away for 4 s: 30 of 37 jobs that waited were
// not counted, as their runs had been decided before.
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

// expectWaiting checks how many jobs of the queue wait, and the state of one.
func expectWaiting(t *testing.T, v *vm, id string, want int) {
	t.Helper()
	if n := v.book.Waiting("q"); n != want {
		t.Errorf("%d jobs wait, want %d", n, want)
	}
	if j := v.book.Job(id); (j.Phase() == job.Queued) != (want > 0) {
		t.Errorf("job %s is %v while %d wait", id, j.Phase(), want)
	}
}
