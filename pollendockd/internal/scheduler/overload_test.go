package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// burst submits jobs of one task of 5 cores at a rate, for a time, and returns the
// outcomes by job.
func (c *cell) burst(v *vm, name string, perSecond int, lasts time.Duration) map[string]error {
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		outcomes = map[string]error{}
	)
	for i := range int(lasts.Seconds() * float64(perSecond)) {
		id := fmt.Sprintf("%s%d", name, i)
		wg.Go(func() {
			err := c.accept(v, id, tasks(1, 5))
			mu.Lock()
			defer mu.Unlock()
			outcomes[id] = err
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return outcomes
}

// countRefused returns how many of the jobs were not admitted, and checks that these are
// told when to return and never start.
func countRefused(c *cell, outcomes map[string]error) int {
	c.t.Helper()
	n := 0
	for id, err := range outcomes {
		refusal := site.AdmissionErrorOf(err)
		if refusal == nil {
			continue
		}
		n++
		expectStarts(c, id, 0, 0)
		if refusal.Never || refusal.RetryAfter < time.Second {
			c.t.Errorf("%s: %+v", id, refusal)
		}
	}
	return n
}

// TestOverloadIsRefused sends four times the work that the workers can do. The excess
// used to be accepted and not started before its callers had given up.
func TestOverloadIsRefused(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		time.Sleep(3 * time.Second)
		// Eight tasks run at a time, for two seconds each.
		if n := countRefused(c, c.burst(a, "calm", 3, 5*time.Second)); n > 0 {
			t.Errorf("%d jobs were refused without an overload", n)
		}
		outcomes := c.burst(a, "busy", 16, 15*time.Second)
		for id, err := range outcomes {
			if err == nil {
				if again := c.accept(a, id, tasks(1, 5)); again != nil {
					t.Errorf("%s was accepted, and then: %v", id, again)
				}
			}
		}
		time.Sleep(20 * time.Second)
		refused, accepted, served := countRefused(c, outcomes), 0, 0
		for id, err := range outcomes {
			if err != nil {
				continue
			}
			accepted++
			// A job may take five seconds, and is given up after fifteen.
			if at := c.fleet.StartedAt(site.TaskID{Job: id}); !at.IsZero() {
				served++
			}
		}
		t.Logf("%d refused, %d accepted, %d of them started", refused, accepted, served)
		if refused < len(outcomes)/3 {
			t.Errorf("%d of %d jobs were refused", refused, len(outcomes))
		}
		if n := countRefused(c, c.burst(a, "after", 3, 3*time.Second)); n > 0 {
			t.Errorf("%d jobs were refused after the overload", n)
		}
	})
}

// TestAcceptsAllByDefault checks that nobody is refused unless the option is set.
func TestAcceptsAllByDefault(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		synctest.Wait()
		a.scheduler.opt.RefuseOverload = false
		time.Sleep(3 * time.Second)
		for id, err := range c.burst(a, "busy", 16, 12*time.Second) {
			if err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
	})
}

// TestNewLeaderAdmits checks that a leader refuses nobody before it has measured the load.
func TestNewLeaderAdmits(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		time.Sleep(3 * time.Second)
		if n := countRefused(c, c.burst(a, "busy", 16, 12*time.Second)); n == 0 {
			t.Fatal("no job was refused in the overload")
		}
		b := c.start("b")
		time.Sleep(500 * time.Millisecond)
		a.kill()
		for c.accept(b, "first", tasks(1, 5)) != nil {
			time.Sleep(50 * time.Millisecond)
		}
		if n := countRefused(c, c.burst(b, "new", 16, time.Second)); n > 0 {
			t.Errorf("a new leader refused %d jobs", n)
		}
	})
}

// TestStaleForecastAdmits checks that a leader that makes no scheduling passes refuses
// nobody by the forecast of its last one.
func TestStaleForecastAdmits(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		time.Sleep(3 * time.Second)
		if n := countRefused(c, c.burst(a, "busy", 16, 12*time.Second)); n == 0 {
			t.Fatal("no job was refused in the overload")
		}
		synctest.Wait()
		l := a.scheduler.lead
		sub := &job.Submission{ID: "next", Team: "team", Queue: "q", Steps: []job.Step{tasks(1, 5)}}
		for _, r := range []struct {
			age   time.Duration
			admit bool
		}{{100 * time.Millisecond, false}, {time.Second, false}, {1100 * time.Millisecond, true}} {
			now := l.load.updatedAt.Add(r.age)
			if err := l.decide(l.admissionInput(sub, now), now); (err == nil) != r.admit {
				t.Errorf("with a forecast of %v ago: %v", r.age, err)
			}
		}
	})
}

// TestNeverFitsIsRefused checks that jobs that can never run are refused at once. They
// used to wait until they were canceled.
func TestNeverFitsIsRefused(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(3 * time.Second)
		c.catalog.Teams[0].Limit = resource.Vector{MilliCPU: 12_000}
		for _, r := range []struct {
			id    string
			step  job.Step
			never bool
		}{
			{"fits", tasks(3, 10), false},
			{"tooLarge", tasks(1, 11), true},
			{"gangFits", gang(2, 6), false},
			{"gangTooLarge", gang(2, 7), true},
		} {
			err := c.accept(a, r.id, r.step)
			refusal := site.AdmissionErrorOf(err)
			if r.never != (refusal != nil && refusal.Never && refusal.RetryAfter == 0) || !r.never && err != nil {
				t.Errorf("%s: %v", r.id, err)
			}
		}
	})
}

// TestForecastSurvivesUnrecordedRun: a run that was not in the records had no forecast, and the mean time of running tasks ended the process.
func TestForecastSurvivesUnrecordedRun(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(2 * time.Second)
		step := tasks(1, 1)
		step.Label = "none"
		c.submit("canceled", step)
		c.cancel("canceled")
		expectPhase(c, a, "canceled", time.Second, job.Canceled)
		time.Sleep(time.Second)
		l, _ := a.replica.Leader()
		worker := c.fleet.Worker("w0")
		worker.SetDelay(200 * time.Millisecond)
		if _, err := worker.Start(c.ctx, &site.StartRequest{Task: site.TaskID{Job: "canceled"}, Run: 1, Token: l.Epoch, LeaseEnd: worker.Clock() + time.Hour}); err != nil {
			t.Fatal(err)
		}
		c.submit("j1", tasks(1, 1))
		expectPhase(c, a, "j1", workTime+3*time.Second, job.Completed)
	})
}
