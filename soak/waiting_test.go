package main

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

const testJob = "a"

// newJudgedCell returns a cell of six workers of 64 cores that the advisor admits to all steps.
// The job has the given steps, and its team is that of another job with n runs of 16 cores.
func newJudgedCell(t *testing.T, steps []stepBody, n int) *cell {
	t.Helper()
	c := &cell{site: newSmallSite(), workers: map[string]string{}, ended: map[string]bool{}, jobs: map[string]*jobClient{}, disruptions: newDisruptions(time.Second), violations: &violationLog{}}
	c.fleet = fleet.NewFleet(c.taskOutcome, c.taskSize)
	c.useAdvisor()
	queue := &queueModel{Queue: newQueue("q", 0, 1, time.Second, 0, 0, time.Minute), good: 1}
	add := func(id string, steps []stepBody) {
		c.jobs[id] = &jobClient{id: id, queue: queue, key: "team", steps: steps, accepted: time.Now(), runTime: time.Hour}
	}
	add(testJob, steps)
	add("other", []stepBody{{Count: n, CPU: 16_000, MemMB: 1}})
	for i := range 6 {
		c.workers[workerName(i)] = ""
		c.fleet.Add(workerName(i), serviceName, c.site.capacity)
	}
	for i := range n {
		c.start(t, "other", i, workerName(i%6))
	}
	return c
}

// start starts a task of the first step of a job on a worker.
func (c *cell) start(t *testing.T, jobID string, index int, worker string) {
	t.Helper()
	tickets, err := c.advisor.Advise(t.Context(), "vm", jobID, 0, []string{worker})
	if err != nil || len(tickets) != 1 {
		t.Fatalf("got tickets %v, error %v", tickets, err)
	}
	w := c.fleet.Worker(worker)
	_, err = w.Start(t.Context(), &site.StartRequest{
		Task: site.TaskID{Job: jobID, Index: index}, Run: 1, Token: 1, LeaseEnd: w.Clock() + time.Minute, Ticket: tickets[0].Ticket,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestJobsThatCouldRun checks which jobs with nothing running count as waiting.
func TestJobsThatCouldRun(t *testing.T) {
	plain := []stepBody{{Count: 3, CPU: 20_000, MemMB: 1}}
	// Three of its tasks fit on a worker: there is room for 18 of them.
	gang := func(n int) []stepBody { return []stepBody{{Count: n, CPU: 18_000, MemMB: 1, Gang: true}} }
	later := []stepBody{{Count: 1, CPU: 65_000, MemMB: 1}, {Count: 1, CPU: 1000, MemMB: 1, After: []int{0}}}
	for _, c := range []struct {
		name  string
		steps []stepBody
		// others is the number of runs of the team's other job, own that of the job's own runs.
		others, own int
		want        bool
	}{
		{"plain task", plain, 0, 0, true},
		{"gang with room for twice its tasks", gang(9), 0, 0, true},
		{"gang with room for fewer than twice its tasks", gang(10), 0, 0, false},
		{"gang beside other runs", gang(6), 3, 0, true},
		{"gang without room beside other runs", gang(9), 3, 0, false},
		{"task that fits nowhere, and one whose turn has not come", later, 0, 0, false},
		{"job with a run", plain, 0, 1, false},
		{"team over half of its limit", plain, 4, 0, false},
	} {
		cell := newJudgedCell(t, c.steps, c.others)
		for i := range c.own {
			cell.start(t, testJob, i, workerName(i))
		}
		j := &jobClient{id: testJob, queue: &queueModel{Queue: site.Queue{Name: "q"}}, key: "team", steps: c.steps}
		if r, got := cell.roomFor(cell.occupancy(), j); got != c.want {
			t.Errorf("%s: got %v, want %v: %v", c.name, got, c.want, r)
		}
	}
}

// TestLongWaitIsViolation checks that a job that could run may wait for maxIdleWait at most.
func TestLongWaitIsViolation(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		want int
	}{
		{maxIdleWait - judgeInterval, 0},
		{maxIdleWait, 1},
	} {
		cell := newJudgedCell(t, []stepBody{{Count: 1, CPU: 1000, MemMB: 1}}, 0)
		cell.jobs["other"].state = completed
		began := time.Now()
		w := cell.newWaitJudge(began, false)
		for at := time.Duration(0); at <= c.wait; at += judgeInterval {
			w.check(began.Add(at))
		}
		w.finish()
		cell.reportLongWaits()
		if got := len(cell.violations.violations); got != c.want {
			t.Errorf("after %v: got %d violations, want %d: %v", c.wait, got, c.want, cell.violations.violations)
		}
	}
}

// TestLongWaitAtCalmTimeIsViolation checks that the bound holds at all times without a fault, also
// while more than half of the service is in use.
func TestLongWaitAtCalmTimeIsViolation(t *testing.T) {
	for _, c := range []struct {
		name string
		// others is the number of runs of another team: 13 use more than half of the service.
		others int
		// faultBegins and faultEnds are the times of a fault, 0 for none.
		faultBegins, faultEnds, wait time.Duration
		want                         int
	}{
		{"short wait", 13, 0, 0, maxIdleWait - judgeInterval, 0},
		{"long wait", 13, 0, 0, maxIdleWait, 1},
		{"long wait in an idle service", 0, 0, 0, maxIdleWait, 1},
		{"long wait through a fault", 13, 2 * time.Second, 3 * time.Second, 6 * time.Second, 0},
		{"long wait in 4 s after a fault", 13, time.Second, 2 * time.Second, 8 * time.Second, 0},
		{"long wait from 4 s after a fault on", 13, time.Second, 2 * time.Second, 9*time.Second + judgeInterval, 1},
		{"long wait before a fault and after it", 13, 4 * time.Second, 5 * time.Second, 13 * time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newJudgedCell(t, []stepBody{{Count: 1, CPU: 1000, MemMB: 1}}, c.others)
				cell.jobs["other"].key = "others"
				cell.jobs["other"].state = completed
				time.Sleep(calmBefore)
				judge(cell, c.wait, func(at time.Duration) {
					if at == c.faultBegins && at > 0 {
						end := cell.disruptions.begin(faultName)
						time.AfterFunc(c.faultEnds-c.faultBegins, end)
					}
				}, cell.newWaitJudge(time.Now(), true))
				if got := len(cell.violations.violations); got != c.want {
					t.Errorf("got %d violations, want %d: %v", got, c.want, cell.violations.violations)
				}
			})
		})
	}
}

// TestBothJudgesReportWaitOnce checks that the judge of the time after the last fault and that of all
// calm times report the same wait once.
func TestBothJudgesReportWaitOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newJudgedCell(t, []stepBody{{Count: 1, CPU: 1000, MemMB: 1}}, 0)
		cell.jobs["other"].state = completed
		time.Sleep(calmBefore)
		judge(cell, maxIdleWait, func(time.Duration) {}, cell.newWaitJudge(time.Now(), false), cell.newWaitJudge(time.Now(), true))
		if got := len(cell.violations.violations); got != 1 {
			t.Errorf("got %d violations, want 1: %v", got, cell.violations.violations)
		}
	})
}

// TestWaitSeenInPartsIsReportedOnce checks that waits with a moment in common are reported as one.
func TestWaitSeenInPartsIsReportedOnce(t *testing.T) {
	began := time.Now()
	for _, c := range []struct {
		name string
		// spans holds the begin and the end of each wait, in seconds.
		spans [][2]int
		want  []string
	}{
		{"parts, then all", [][2]int{{0, 3}, {5, 9}, {0, 9}}, []string{"0 to 9"}},
		{"all, then a part", [][2]int{{0, 9}, {5, 9}}, []string{"0 to 9"}},
		{"two waits", [][2]int{{0, 3}, {5, 9}}, []string{"0 to 3", "5 to 9"}},
	} {
		cell := &cell{violations: &violationLog{}}
		for _, s := range c.spans {
			at := func(i int) time.Time { return began.Add(time.Duration(s[i]) * time.Second) }
			cell.longWaits.add(testJob, longWait{at(0), at(1), fmt.Sprintf("%d to %d", s[0], s[1])})
		}
		cell.reportLongWaits()
		if got := fmt.Sprint(cell.violations.violations); got != fmt.Sprint(c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// judge lets judges look for a time. It calls before ahead of each look.
func judge(c *cell, length time.Duration, before func(at time.Duration), judges ...*waitJudge) {
	for at := time.Duration(0); at <= length; at += judgeInterval {
		before(at)
		for _, w := range judges {
			w.check(time.Now())
		}
		time.Sleep(judgeInterval)
	}
	for _, w := range judges {
		w.finish()
	}
	c.reportLongWaits()
}

// TestTicketsExpire checks that workers refuse starts without a ticket that holds.
func TestTicketsExpire(t *testing.T) {
	c := newJudgedCell(t, []stepBody{{Count: 1, CPU: 1000, MemMB: 1}}, 0)
	tickets, err := c.advisor.Advise(t.Context(), "vm", testJob, 0, []string{"w0"})
	if err != nil {
		t.Fatal(err)
	}
	c.jobs[testJob].queue.Advice = &site.Advice{TicketLifetime: -time.Second}
	expired, err := c.advisor.Advise(t.Context(), "vm", testJob, 0, []string{"w1"})
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct{ name, worker, ticket string }{
		{"no ticket", "w0", ""},
		{"ticket of another worker", "w2", tickets[0].Ticket},
		{"expired ticket", "w1", expired[0].Ticket},
	} {
		w := c.fleet.Worker(k.worker)
		_, err := w.Start(t.Context(), &site.StartRequest{
			Task: site.TaskID{Job: testJob}, Run: 1, Token: 1, LeaseEnd: w.Clock() + time.Minute, Ticket: k.ticket,
		})
		if r, refused := err.(*site.RefusalError); !refused || r.Reason != site.RefusedTicket {
			t.Errorf("%s: got %v, want a refusal because of the ticket", k.name, err)
		}
	}
}

// TestJobsThatCannotBeDone checks which jobs need not complete: those for which all admitted workers
// have too few places, even if all of them are there and empty.
func TestJobsThatCannotBeDone(t *testing.T) {
	// Three of its tasks fit on a worker: there is room for 18 of them.
	gang := func(n int) stepBody { return stepBody{Count: n, CPU: 18_000, MemMB: 1, Gang: true} }
	plain := stepBody{Count: 100, CPU: 18_000, MemMB: 1}
	for _, c := range []struct {
		name  string
		steps []stepBody
		// busy runs are there, silent workers don't answer, ended ones have ended for good.
		busy, silent, ended int
		want                bool
	}{
		{"gang that fits", []stepBody{gang(18)}, 0, 0, 0, false},
		{"gang that does not fit", []stepBody{gang(19)}, 0, 0, 0, true},
		{"gang that fits once others have ended", []stepBody{gang(18)}, 6, 0, 0, false},
		{"gang that fits once a worker has returned", []stepBody{gang(18)}, 0, 1, 0, false},
		{"gang that fitted before a worker ended", []stepBody{gang(18)}, 0, 0, 1, true},
		{"second step that does not fit", []stepBody{plain, gang(19)}, 0, 0, 0, true},
		{"more tasks than fit at once", []stepBody{plain}, 0, 0, 0, false},
		{"task larger than a worker", []stepBody{{Count: 1, CPU: 65_000, MemMB: 1}}, 0, 0, 0, true},
	} {
		cell := newJudgedCell(t, c.steps, c.busy)
		for i := range c.silent {
			cell.fleet.Worker(workerName(i)).SetSilent(true)
		}
		for i := range c.ended {
			cell.noteEnd(workerName(i))
		}
		open, others := cell.doable([]*jobClient{cell.jobs[testJob]})
		if got := len(others) == 1 && len(open) == 0; got != c.want {
			t.Errorf("%s: can't be done: %v (%v), want %v", c.name, got, others, c.want)
		}
	}
}

// TestStepsThatAreDoneNeedNoRoom checks that a job can be done although one of its steps, which is done,
// would no longer fit.
func TestStepsThatAreDoneNeedNoRoom(t *testing.T) {
	steps := []stepBody{{Count: 18, CPU: 18_000, MemMB: 1, Gang: true}, {Count: 1, CPU: 1000, MemMB: 1, After: []int{0}}}
	c := newJudgedCell(t, steps, 0)
	j := c.jobs[testJob]
	j.runTime = 0
	for i := range steps[0].Count {
		c.start(t, testJob, i, workerName(i%6))
	}
	c.noteEnd(workerName(0))
	if c.impossible(j) == "" {
		t.Error("before the step is done: the job can be done")
	}
	go c.fleet.Run(t.Context())
	for began := time.Now(); c.occupancy().remaining(j, 0) > 0 && time.Since(began) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if why := c.impossible(j); why != "" {
		t.Errorf("after the step is done: the job can't be done: %s", why)
	}
}
