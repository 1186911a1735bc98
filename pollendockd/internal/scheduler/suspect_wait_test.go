package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// besideService lets the first task of a suspect crash its worker after a time, each time or only in
// its first run, and a service last.
func besideService(crashAfter time.Duration, sound bool) func(site.TaskID, int64, string) (time.Duration, site.EndKind) {
	return func(t site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
		switch {
		case t.Job == "service":
			return time.Hour, site.Done
		case t.Index == 0 && (run == 1 || !sound):
			return crashAfter, site.Crashed
		}
		return workTime, site.Done
	}
}

// submitBesideService submits a service with tasks on four workers, and then a suspect.
func (c *cell) submitBesideService(suspect job.Step) {
	service := tasks(8, 1)
	service.PerWorker = 2
	service.Endless = true
	c.submit("service", service)
	time.Sleep(2 * time.Second)
	c.submit("suspect", suspect)
}

// TestSuspectsStartBesideServices guards against suspects that wait for ever for workers that run
// nothing else, where all workers run tasks that last until their job is cancelled.
func TestSuspectsStartBesideServices(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
		// after is how long a worker lives after the start of the first task, sound is set if only the first run crashes its worker.
		after time.Duration
		sound bool
	}{
		{"task", tasks(1, 4), atStart, false},
		{"sound task", tasks(1, 4), atStart, true},
		{"gang of one worker", gang(2, 4), atStart, false},
		{"gang of two workers", gang(4, 4), atStart, false},
		{"late gang of two workers", gang(4, 4), late, false},
		{"sound gang of two workers", gang(4, 4), atStart, true},
		{"sound gang of all workers", gang(8, 4), atStart, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 4, func(cl *cell) {
				cl.fleet.KeepIDs()
				cl.outcome = besideService(c.after, c.sound)
				v := cl.start("a")
				time.Sleep(2 * time.Second)
				cl.submitBesideService(c.step)
				want := job.Failed
				if c.sound {
					want = job.Completed
				}
				expectPhase(cl, v, "suspect", 40*time.Second, want)
				if n := cl.fleet.Crashes(site.TaskID{Job: "suspect"}); n > 3 {
					t.Errorf("%d workers have crashed because of the suspect, want 3 at most", n)
				}
			})
		})
	}
}

// TestServiceStartsAgainAfterCrashes guards against a task that lasts and waits for an empty worker
// since several workers have crashed under it, long after its start.
func TestServiceStartsAgainAfterCrashes(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		at := ""
		c.outcome = func(t site.TaskID, _ int64, worker string) (time.Duration, site.EndKind) {
			if t.Job == "service" {
				at = worker
			}
			return time.Hour, site.Done
		}
		c.start("a")
		time.Sleep(2 * time.Second)
		service := tasks(1, 1)
		service.Endless = true
		c.submit("service", service)
		for n := range 18 {
			c.submit(fmt.Sprintf("long%d", n), tasks(1, 1))
		}
		for n := range 4 {
			time.Sleep(20 * time.Second)
			if got := c.fleet.Starts(site.TaskID{Job: "service"}); got != n+1 {
				t.Errorf("%d starts after %d workers have gone", got, n)
			}
			c.fleet.Worker(at).Terminate()
		}
	})
}

// TestBystandersOfCrashStartAgain guards against sound tasks that wait for empty workers one after
// the other, since a worker crashed under all of them.
func TestBystandersOfCrashStartAgain(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		v := c.start("a")
		time.Sleep(2 * time.Second)
		c.crashUnderMany()
		// The worker is back after 3 s.
		time.Sleep(3*time.Second + maxSuspectWait + time.Second)
		c.expectManyRun(v)
	})
}

// TestBystandersOfCrashStartAgainWhileLeadersChange guards against the same with leaders that let
// the tasks wait for empty workers anew.
func TestBystandersOfCrashStartAgainWhileLeadersChange(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		v := c.startThree()
		c.crashUnderMany()
		go c.handOverEvery(3 * time.Second)
		// The worker is back after 3 s, which the last VM reads a second later.
		time.Sleep(3*time.Second + maxSuspectWait + 2*time.Second)
		c.expectManyRun(v)
	})
}

// many is the number of jobs that fill most of four workers.
const many = 16

// crashUnderMany fills the workers and has one of them crash.
func (c *cell) crashUnderMany() {
	c.t.Helper()
	c.fleet.KeepIDs()
	c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) {
		return 30 * time.Second, site.Done
	}
	for n := range many - 1 {
		c.submit(fmt.Sprintf("job%d", n), tasks(1, 1))
	}
	c.submit(fmt.Sprintf("job%d", many-1), gang(12, 1))
	time.Sleep(3 * time.Second)
	c.fleet.Worker("w0").Crash()
}

// expectManyRun checks that all of these jobs run, and that they complete.
func (c *cell) expectManyRun(v *vm) {
	c.t.Helper()
	running := map[string]bool{}
	for _, task := range c.fleet.Running() {
		running[task.Job] = true
	}
	for n := range many {
		if id := fmt.Sprintf("job%d", n); !running[id] {
			c.t.Errorf("%s has nothing running", id)
		}
	}
	for n := range many {
		expectPhase(c, v, fmt.Sprintf("job%d", n), 40*time.Second, job.Completed)
	}
}

// TestSuspectsStartBesideLongTasks guards against suspects that wait for workers to become empty, one
// after the other, where all run long tasks, though most capacity is free.
func TestSuspectsStartBesideLongTasks(t *testing.T) {
	const (
		long     = 50 * time.Second
		suspects = 12
		// turn is how long a suspect keeps the next one from its worker.
		turn = settledTime + time.Second
	)
	for _, c := range []struct {
		name   string
		poison bool
	}{
		{"sound", false},
		{"one crashes its workers", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 6, func(cl *cell) {
				cl.fleet.KeepIDs()
				cl.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
					if c.poison && t.Job == "suspect5" {
						return atStart, site.Crashed
					}
					return long, site.Done
				}
				v := cl.start("a")
				time.Sleep(2 * time.Second)
				small := tasks(6, 1)
				small.PerWorker = 1
				small.Size.MilliCPU = 300
				for n := range 12 {
					cl.submit(fmt.Sprintf("long%d", n), small)
				}
				time.Sleep(10 * time.Second)
				small.Count = 1
				var entries []site.Entry
				for n := range suspects {
					entries = append(entries, cl.entry(time.Now(), fmt.Sprintf("suspect%d", n), small))
				}
				// One pass starts all of them on one worker.
				if _, err := cl.store.Append(cl.ctx, entries); err != nil {
					t.Fatal(err)
				}
				expectPhase(cl, v, fmt.Sprintf("suspect%d", suspects-1), time.Second, job.Running)
				if !c.poison {
					cl.fleet.Worker(v.replica.Job("suspect5").State.Steps[0][0].Worker).Crash()
				}
				// The worker is back after 3 s. Suspects may have a quarter of the workers at least.
				time.Sleep(3*time.Second + maxSuspectWait + suspects*turn)
				for n := range suspects {
					id := fmt.Sprintf("suspect%d", n)
					if cl.fleet.Starts(site.TaskID{Job: id}) < 2 {
						t.Errorf("%s has not started again: %+v", id, v.replica.Job(id).Crashes)
					}
				}
				if c.poison {
					expectPhase(cl, v, "suspect5", time.Second, job.Failed)
					expectCrashes(cl, "suspect5", 2, 3)
				}
				for n := range 12 {
					id := fmt.Sprintf("long%d", n)
					expectPhase(cl, v, id, 2*long, job.Completed)
					if j := v.replica.Job(id); j.Crashes != nil && slices.ContainsFunc(j.Crashes.Tasks, func(t job.TaskCrashes) bool { return t.Verdict != job.Trusted }) {
						t.Errorf("%s is suspected: %+v", id, j.Crashes.Tasks)
					}
				}
			})
		})
	}
}
