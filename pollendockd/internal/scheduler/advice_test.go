package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestOverdueJobsRun guards against starvation of overdue jobs. After a burst there may
// be a thousand jobs whose callers have given up. Their tickets expired before their
// next turn, so none of them ever ran, and their queries took up the advisor's time.
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

// TestQueriesSpread guards against jobs that arrive together and query about the same
// few workers, the emptiest ones. Most got tickets for capacity that another job had
// taken, and had to query again.
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

// TestNewLeaderAsksOnce guards against repeated queries after a change of leader. A new
// leader hears from its workers one by one, and a gang queried about the first few and
// then about others.
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

// TestPatientSteps checks how many tasks of a step that can wait may start: those that
// fit beside the headroom for urgent tasks. Without it, wide steps took each core of a
// full cell as it became free, and lookups found none within their objective.
func TestPatientSteps(t *testing.T) {
	const interval = 10 * time.Millisecond
	now := time.Now()
	l := &leadership{headroom: map[string]*placement.Headroom{}}
	// Urgent tasks start to use 200 cores a second.
	for i := range 1000 {
		l.headroomOf("s").Count(now.Add(time.Duration(i-1000)*interval), 2000)
	}
	p := &pass{now: now, unclaimedCPU: map[string]int64{}, catalog: &site.Catalog{Queues: []site.Queue{
		{Objective: 100 * time.Millisecond},
		{Objective: 250 * time.Millisecond, Advice: &site.Advice{}},
	}}}
	for _, c := range []struct {
		name  string
		cores int64
		want  int
	}{
		{"all fit", 100, 20},
		{"some fit beside 50 cores", 60, 10},
		{"only the headroom is free", 49, 0},
		{"nothing is free", -10, 0},
	} {
		p.unclaimedCPU["s"] = c.cores * 1000
		req := placement.Request{Count: 20, Size: resource.Vector{MilliCPU: 1000}}
		if got := l.patientCount(p, req, "s"); got != c.want {
			t.Errorf("%s: %d tasks may start, want %d", c.name, got, c.want)
		}
	}
}

// TestClaimsAreLeft checks that steps further back in the order leave the capacity that
// a query under way has claimed. Lookups queried in vain while the cell was full.
func TestClaimsAreLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		kind demandKind
		want int64
	}{
		{"of tasks to start", toPlace, 7000},
		{"of a gang that learns where it may run", toReserve, 10_000},
	} {
		wk := &worker{id: "w", upstream: site.Upstream{Capacity: resource.Vector{MilliCPU: 10_000}}}
		l := &leadership{workers: map[string]*worker{"w": wk}}
		p := &pass{unclaimedCPU: map[string]int64{}, claimedCPU: map[*worker]int64{}}
		l.holdClaim(p, "s", &stepAdvice{query: &query{kind: c.kind, workers: []string{"w"}, cpuPerWorker: 3000}})
		ws := &waitingStep{tj: &trackedJob{forecast: forecast{tasks: []time.Duration{0}}}}
		if got := p.free(wk, ws).MilliCPU; got != c.want {
			t.Errorf("%s: %d free, want %d", c.name, got, c.want)
		}
	}
}

// TestUnlikelyGangsAreTried guards against gangs that are never started, although there is
// room, because the advisor is unlikely to allow enough workers: only an answer can tell.
// Past its deadline a gang did not query at all then.
func TestUnlikelyGangsAreTried(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
	}{
		{"in time", 0},
		{"late", 8 * time.Second},
		{"overdue", time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 20, func(cell *cell) {
				advice := site.Advice{Base: 100 * time.Millisecond, PerUpstream: time.Millisecond, TicketLifetime: time.Second}
				cell.catalog.Queues[0].Advice = &advice
				cell.queueAdvisor = &queueAdvisor{
					vms: map[string]*sync.Mutex{}, advice: map[string]site.Advice{"g": advice},
					// The gang may use 14 of the 20 workers.
					allows: func(_, worker string) bool { return worker < "w14" || worker >= "w2" },
				}
				cell.submitAt(time.Now().Add(-c.age), "gang", gang(28, 5))
				v := cell.start("a")
				time.Sleep(time.Second)
				expectPhase(cell, v, "gang", workTime+3*time.Second, job.Completed)
			})
		})
	}
}

// TestUnplaceableStepClaimsNothing guards against a step that may use none of the free
// workers and claims their capacity in each pass: those behind it never started.
func TestUnplaceableStepClaimsNothing(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		advice := site.Advice{Base: 20 * time.Millisecond, PerUpstream: time.Millisecond, TicketLifetime: time.Second}
		c.catalog.Queues[0].Advice = &advice
		c.queueAdvisor = &queueAdvisor{
			vms: map[string]*sync.Mutex{}, advice: map[string]site.Advice{"s": advice, "b": advice},
			allows: func(job, _ string) bool { return job != "blocked" },
		}
		v := c.start("a")
		time.Sleep(time.Second)
		c.submit("blocked", tasks(4, 10))
		time.Sleep(500 * time.Millisecond)
		for i := range 4 {
			c.submit(fmt.Sprintf("single%d", i), tasks(1, 5))
		}
		for i := range 4 {
			expectPhase(c, v, fmt.Sprintf("single%d", i), workTime+500*time.Millisecond, job.Completed)
		}
	})
}
