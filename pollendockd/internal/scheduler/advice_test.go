package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestOverdueJobsRun: after a burst there may be a thousand jobs on which their
// callers have given up. Their tickets ran out before their next turn came, so
// that none of them ever ran, and their queries took the advisor's time.
func TestOverdueJobsRun(t *testing.T) {
	inCell(t, 20, func(c *cell) {
		const jobs = 3000
		c.advise(site.Advice{Base: 2 * time.Millisecond, PerUpstream: 100 * time.Microsecond, Valid: 300 * time.Millisecond}, 0.7)
		c.outcome = func(site.TaskName, int64, string) (time.Duration, site.EndKind) {
			return 100 * time.Millisecond, site.Done
		}
		for i := range jobs {
			c.submitAt(time.Now().Add(-time.Minute), fmt.Sprintf("old%d", i), tasks(1, 1))
		}
		a := c.start("a")
		for _, name := range []string{"b", "d", "e"} {
			c.join(name)
		}
		time.Sleep(3 * time.Second)
		c.submit("new", tasks(3, 2))
		expectPhase(c, a, "new", time.Second, job.Completed)
		for i := range jobs {
			expectPhase(c, a, fmt.Sprintf("old%d", i), 20*time.Second, job.Completed)
		}
	})
}

// TestQueriesSpread: jobs that come together used to ask about the same few
// workers, the emptiest ones. Most got tickets for rooms that another had taken
// and had to ask again.
func TestQueriesSpread(t *testing.T) {
	inCell(t, 40, func(c *cell) {
		const jobs = 40
		c.advise(site.Advice{Base: 10 * time.Millisecond, PerUpstream: 100 * time.Microsecond, Valid: 2 * time.Second}, 1)
		a := c.start("a")
		for _, name := range []string{"b", "d", "e"} {
			c.join(name)
		}
		time.Sleep(3 * time.Second)
		for i := range jobs {
			c.submit(fmt.Sprintf("job%d", i), tasks(2, 4))
		}
		for i := range jobs {
			expectPhase(c, a, fmt.Sprintf("job%d", i), 4*time.Second, job.Completed)
		}
		if n := c.advisor.Calls(); n > jobs*3/2 {
			t.Errorf("%d queries for %d jobs", n, jobs)
		}
	})
}

// TestNewLeaderAsksOnce: a new leader hears of its workers one after the other. A
// gang used to ask about the first few, and then about others.
func TestNewLeaderAsksOnce(t *testing.T) {
	inCell(t, 10, func(c *cell) {
		c.advise(site.Advice{Base: 500 * time.Millisecond, PerUpstream: time.Millisecond, Valid: 2 * time.Second}, 1)
		a := c.start("a")
		time.Sleep(2 * time.Second)
		b := c.start("b")
		time.Sleep(2 * time.Second)
		for i := range 10 {
			c.fleet.Worker(fmt.Sprintf("w%d", i)).SetDelay(time.Duration(i) * 8 * time.Millisecond)
		}
		a.kill()
		c.submit("gang", gang(8, 6))
		expectPhase(c, b, "gang", 6*time.Second, job.Completed)
		if n := c.advisor.Calls(); n != 1 {
			t.Errorf("%d queries for one gang", n)
		}
	})
}

// TestSlowQueriesAtOnce: with eight VMs six slow queries are under way at once. Two
// of six gangs used to wait for the answers of the first four while VMs were idle.
func TestSlowQueriesAtOnce(t *testing.T) {
	inCell(t, 40, func(c *cell) {
		advice := site.Advice{Base: 600 * time.Millisecond, PerUpstream: time.Millisecond, Valid: 2 * time.Second}
		c.advise(advice, 1)
		a := c.start("a")
		for i := range 7 {
			c.join(fmt.Sprintf("vm%d", i))
		}
		time.Sleep(3 * time.Second)
		at := time.Now()
		for i := range 6 {
			c.submit(fmt.Sprintf("job%d", i), gang(3, 6))
		}
		for i := range 6 {
			left := workTime + advice.Base + 400*time.Millisecond - time.Since(at)
			expectPhase(c, a, fmt.Sprintf("job%d", i), left, job.Completed)
		}
	})
}

// TestSlowLimit: while quick queries wait, slow ones take no more than half of the
// VMs. Lookups of a hot team, five times as many as usual, waited behind gangs.
func TestSlowLimit(t *testing.T) {
	for _, c := range []struct {
		vms       int
		quickWait bool
		want      int
	}{
		{30, false, 22}, {30, true, 15}, {9, false, 6}, {9, true, 4}, {1, false, 1}, {1, true, 1},
	} {
		if got := slowLimit(c.vms, c.quickWait); got != c.want {
			t.Errorf("%d VMs, quick ones wait %v: %d, want %d", c.vms, c.quickWait, got, c.want)
		}
	}
	d := &adviceDesk{queries: []*query{{takes: slowQuery}, {takes: slowQuery / 2}, {takes: 2 * slowQuery}}}
	if n := d.quick(); n != 1 {
		t.Errorf("%d quick queries, want 1", n)
	}
}
