package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// siteAdvice is the advice of the queue of gangs of the users' record.
var siteAdvice = site.Advice{Base: 390 * time.Millisecond, PerUpstream: 5500 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond}

// addLargeWorkers adds 48 workers of 64 cores with the bounds of the users' record.
func (c *cell) addLargeWorkers() {
	c.bounds = site.Bounds{MaxLease: 10 * time.Second, StopTime: 400 * time.Millisecond, Heartbeat: 1500 * time.Millisecond, Contact: 3 * time.Second}
	for i := range 48 {
		c.fleet.Add(fmt.Sprintf("w%d", i), "s", resource.Vector{MilliCPU: 64_000, MemoryMB: 256_000})
	}
	c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 5 * time.Second, site.Done }
}

// TestNewLeaderAsksAboutNoRefusedWorkerAgain guards against a new leader that queries again for all waiting gangs, for seconds, about workers that the advisor has refused them.
func TestNewLeaderAsksAboutNoRefusedWorkerAgain(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		const gangs = 30
		c.advise(siteAdvice, 0.3)
		c.addUnadvisedQueue()
		c.addLargeWorkers()
		c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			if t.Job == "long" {
				return 20 * time.Second, site.Done
			}
			return 5 * time.Second, site.Done
		}
		refused, again, queries := map[string]bool{}, 0, 0
		c.asked = func(q *AdviceQuery, good []site.Ticket) {
			queries++
			for _, id := range q.Workers {
				if key := q.Job + " " + id; refused[key] {
					again++
				}
			}
			for _, id := range q.Workers {
				if !slices.ContainsFunc(good, func(t site.Ticket) bool { return t.Upstream == id }) {
					refused[q.Job+" "+id] = true
				}
			}
		}
		c.submitTo("unadvised", "long", tasks(48, 60))
		s := &faultSeries{cell: c}
		for i := range 6 {
			s.alive = append(s.alive, c.start(fmt.Sprintf("a%d", i)))
		}
		time.Sleep(3 * time.Second)
		for i := range gangs {
			c.submitAt(time.Now().Add(-5*time.Minute), fmt.Sprintf("gang%d", i), gang(6, 19))
		}
		time.Sleep(10 * time.Second)
		known := len(refused)
		s.handOver()
		time.Sleep(20 * time.Second)
		if known == 0 || again > 0 {
			t.Errorf("%d of %d refused workers were named again in %d queries, want none", again, known, queries)
		}
	})
}

// TestGangSeldomNeedsTwoQueries guards against gangs that wait beside idle workers since their queries name too few of them.
func TestGangSeldomNeedsTwoQueries(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int
	}{
		{"two tasks", 2},
		{"four tasks", 4},
		{"six tasks", 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 0, func(cl *cell) {
				const gangs = 20
				cl.advise(siteAdvice, 0.3)
				cl.addLargeWorkers()
				queries := 0
				cl.asked = func(*AdviceQuery, []site.Ticket) { queries++ }
				for i := range 3 {
					cl.start(fmt.Sprintf("a%d", i))
				}
				// One after the other, so that each finds idle workers.
				for i := range gangs {
					cl.submit(fmt.Sprintf("gang%d", i), gang(c.count, 30))
					time.Sleep(10 * time.Second)
					if cl.fleet.Starts(site.TaskID{Job: fmt.Sprintf("gang%d", i)}) == 0 {
						t.Errorf("gang%d has not started", i)
					}
				}
				if queries*10 > gangs*11 {
					t.Errorf("%d queries for %d gangs, want a tenth more than gangs at most", queries, gangs)
				}
			})
		})
	}
}
