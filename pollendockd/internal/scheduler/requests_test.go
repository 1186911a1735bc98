package scheduler

import (
	"context"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestLostStartRequests checks that an unanswered start request, executed at once, late
// or never, delays a short job by a quarter of a second instead of its whole run time.
// A start used to be given up after 0.6 s and placed again, for a gang with all its
// members.
func TestLostStartRequests(t *testing.T) {
	jobs := []struct {
		name string
		step job.Step
	}{
		{"tasks", tasks(2, 4)},
		{"gang", gang(3, 6)},
	}
	faults := []struct {
		name   string
		inject func(c *cell)
		slack  time.Duration
	}{
		{"start executed, answer lost", func(c *cell) { c.fleet.Worker("w0").DropResponses(1) }, 500 * time.Millisecond},
		{"start executed late", func(c *cell) { c.fleet.Worker("w0").DelayStarts(1, 3*time.Second) }, 500 * time.Millisecond},
		{"two starts executed late", func(c *cell) { c.fleet.Worker("w0").DelayStarts(2, 3*time.Second) }, 750 * time.Millisecond},
	}
	for _, f := range faults {
		for _, j := range jobs {
			t.Run(f.name+"/"+j.name, func(t *testing.T) {
				inCell(t, 3, func(c *cell) {
					a := c.start("a")
					time.Sleep(2 * time.Second)
					at := time.Now()
					c.submit("j1", j.step)
					f.inject(c)
					expectPhase(c, a, "j1", workTime+f.slack-time.Since(at), job.Completed)
					expectStarts(c, "j1", 0, 1)
					// A request that is executed late must not run again.
					time.Sleep(5 * time.Second)
					expectStarts(c, "j1", 0, 1)
				})
			})
		}
	}
}

// TestLostHold checks that the end of a run is seen within 1.2 s if the answer that
// lists it is lost, at any time during a hold. It used to take up to 1.8 s.
func TestLostHold(t *testing.T) {
	for takes := time.Second; takes < 3*time.Second; takes += 100 * time.Millisecond {
		inCell(t, 1, func(c *cell) {
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return takes, site.Done }
			a := c.start("a")
			time.Sleep(2 * time.Second)
			c.submit("j1", tasks(1, 4))
			time.Sleep(takes)
			c.fleet.Worker("w0").DropHoldResponses(1)
			expectPhase(c, a, "j1", 1200*time.Millisecond, job.Completed)
		})
	}
}

// TestRefusedRetryOfListedRunLosesNoTask guards against a run that the worker has listed, and that
// is never resolved once it is missing, because a retry of its start request was refused.
func TestRefusedRetryOfListedRunLosesNoTask(t *testing.T) {
	l := leadershipOf("j", tasks(1, 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx = ctx
	wk := l.workerOf("w")
	wk.client = silentWorker{}
	wk.boot = 1
	r := &run{task: site.TaskID{Job: "j"}, number: 1, tj: l.jobs["j"], boot: 1, stage: starting, startAttempts: 2}
	l.bind(r, wk)
	hold := func(h site.HoldReply) {
		time.Sleep(time.Millisecond)
		holdDone{l: l, wk: wk, sentAt: time.Now(), reply: &h}.handle(l.s)
	}
	hold(site.HoldReply{Boot: 1, Running: []site.RunStatus{{Task: r.task, Run: 1}}})
	startDone{l: l, r: r, err: &site.RefusalError{Reason: site.RefusedUnavailable}}.handle(l.s)
	hold(site.HoldReply{Boot: 2})
	if r.bound() && !r.stopWanted {
		t.Error("the run is neither ended nor stopped")
	}
}
