package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestGangsInABusyCell simulates a cell that is three quarters full, with small tasks
// and with gangs of six tasks that may run on three in ten of the workers. In nine of
// ten cases a gang has to start within half of its run time, plus the time for one
// query.
func TestGangsInABusyCell(t *testing.T) {
	const (
		workers = 160
		minutes = 1
	)
	inCell(t, 0, func(c *cell) {
		rnd := rand.New(rand.NewPCG(1, 2))
		advice := site.Advice{Base: 300 * time.Millisecond, PerUpstream: 5 * time.Millisecond, TicketLifetime: 2 * time.Second}
		c.advise(advice, 0.3)
		c.catalog.Queues[0].Stretch = 3
		quick := c.catalog.Queues[0]
		quick.Name, quick.Advice = "quick", nil
		c.catalog.Queues = append(c.catalog.Queues, quick)
		takes := map[string]time.Duration{}
		c.outcome = func(n site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			// Estimates are off by up to a half.
			return takes[n.Job[:1]] * time.Duration(70+(7*n.Index+len(n.Job))%60) / 100, site.Done
		}
		takes["g"], takes["s"] = 4*time.Second, 3*time.Second
		for i := range workers {
			c.fleet.Add(fmt.Sprintf("w%03d", i), "s", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
		}
		a := c.start("a")
		for i := range 30 {
			c.join(fmt.Sprintf("vm%d", i))
		}
		time.Sleep(3 * time.Second)
		gangs, smalls := 0, 0
		began := time.Now()
		at := map[string]time.Time{}
		for time.Since(began) < minutes*time.Minute {
			if rnd.Float64() < 0.5 {
				id := fmt.Sprintf("g%d", gangs)
				at[id] = time.Now()
				step := gang(6, 6)
				step.Estimate = takes["g"]
				c.submit(id, step)
				gangs++
			}
			for range 2 {
				step := tasks(11, 3)
				step.Estimate = takes["s"]
				c.submitTo("quick", fmt.Sprintf("s%d", smalls), step)
				smalls++
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		late := 0
		var total time.Duration
		for id, submitted := range at {
			wait := c.fleet.StartedAt(site.TaskID{Job: id}).Sub(submitted)
			total += wait
			if wait > takes["g"]/2+advice.Base+typicalQueryWorkers*advice.PerUpstream {
				late++
			}
			expectPhase(c, a, id, 0, job.Completed)
		}
		t.Logf("%d gangs, %d late, mean wait %v, %d queries", gangs, late, total/time.Duration(gangs), c.advisor.Calls())
		if late*10 > gangs {
			t.Errorf("%d of %d gangs started late", late, gangs)
		}
		// One to learn where it may run, and one to renew the tickets.
		if n := c.advisor.Calls(); n > 2*gangs {
			t.Errorf("%d queries for %d gangs", n, gangs)
		}
	})
}
