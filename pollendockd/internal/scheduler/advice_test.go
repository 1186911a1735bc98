package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/site"
)

// TestOverdueJobsRun: after a burst there may be a thousand jobs on which their
// callers have given up. Their tickets ran out before their next turn came, so
// that none of them ever ran, and their queries took the advisor's time.
func TestOverdueJobsRun(t *testing.T) {
	inCell(t, 20, func(c *cell) {
		const jobs = 3000
		c.advise(site.Advice{Base: 2 * time.Millisecond, PerUpstream: 100 * time.Microsecond, TicketLifetime: 300 * time.Millisecond}, 0.7)
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) {
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

// TestOverdueStepsAsk: after a burst hundreds of overdue jobs never ran though VMs
// stood idle: slow queries, which take some of the VMs only, always waited in line.
func TestOverdueStepsAsk(t *testing.T) {
	quick := &site.Advice{Base: 10 * time.Millisecond, PerUpstream: 100 * time.Microsecond}
	slow := &site.Advice{Base: slowQuery, PerUpstream: 10 * time.Millisecond}
	quickQuery, longQuery := &query{takes: 20 * time.Millisecond}, &query{takes: slowQuery}
	for _, c := range []struct {
		name   string
		line   []*query
		rank   placement.Rank
		advice *site.Advice
		want   bool
	}{
		{"nobody waits", nil, placement.Overdue, quick, true},
		{"a slow query waits", []*query{longQuery}, placement.Overdue, quick, true},
		{"a quick query waits", []*query{longQuery, quickQuery}, placement.Overdue, quick, false},
		{"a slow one behind quick ones", []*query{quickQuery}, placement.Overdue, slow, true},
		{"a slow one behind a slow one", []*query{quickQuery, longQuery}, placement.Overdue, slow, false},
		{"late steps do not wait", []*query{quickQuery, longQuery}, placement.Late, slow, true},
	} {
		d := &adviceDesk{queries: c.line}
		if got := d.takes(c.rank, c.advice); got != c.want {
			t.Errorf("%s: may ask %v, want %v", c.name, got, c.want)
		}
	}
}

// TestQueriesSpread: jobs that come together used to ask about the same few
// workers, the emptiest ones. Most got tickets for rooms that another had taken
// and had to ask again.
func TestQueriesSpread(t *testing.T) {
	inCell(t, 40, func(c *cell) {
		const jobs = 40
		c.advise(site.Advice{Base: 10 * time.Millisecond, PerUpstream: 100 * time.Microsecond, TicketLifetime: 2 * time.Second}, 1)
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
		c.advise(site.Advice{Base: 500 * time.Millisecond, PerUpstream: time.Millisecond, TicketLifetime: 2 * time.Second}, 1)
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
