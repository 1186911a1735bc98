package scheduler

import (
	"fmt"
	"slices"
	"sync"
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

// fillLargeWorkers fills some of the large workers with the runs of the job "long".
func (c *cell) fillLargeWorkers(n int) {
	c.t.Helper()
	long := tasks(n, 60)
	long.Estimate = time.Hour
	c.submitTo("unadvised", "long", long)
}

// startAmong starts the leader and adds other VMs to query through, n in all.
func (c *cell) startAmong(n int) {
	c.t.Helper()
	c.start("a")
	for i := range n - 1 {
		c.join(fmt.Sprintf("b%d", i))
	}
	time.Sleep(time.Second)
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

// TestOverdueGangWithRoomNeedsNoTurn guards against an overdue gang that knows where it may run and sends no query beside idle workers, until others that wait for long runs have ended their turns to reserve.
func TestOverdueGangWithRoomNeedsNoTurn(t *testing.T) {
	// The turns are at another gang each time.
	for _, fullFor := range []time.Duration{60 * time.Second, 66 * time.Second, 68 * time.Second, 70 * time.Second, 72 * time.Second} {
		t.Run(fullFor.String(), func(t *testing.T) { playGangWithoutTurn(t, fullFor) })
	}
}

// playGangWithoutTurn lets a gang find room after a while, when others wait for long runs.
func playGangWithoutTurn(t *testing.T, fullFor time.Duration) {
	inCell(t, 0, func(c *cell) {
		const (
			gangs = 3 * minHeldGangs
			// The last workers become idle after fullFor, the others stay full.
			full = 2 * gangs
		)
		c.advise(siteAdvice, 1)
		c.addUnadvisedQueue()
		c.addLargeWorkers()
		number := func(name string) int {
			n := 0
			_, _ = fmt.Sscanf(name[1:], "%d", &n)
			return n
		}
		c.queueAdvisor = &queueAdvisor{
			advice: map[string]site.Advice{"g": siteAdvice, "s": siteAdvice}, vms: map[string]*sync.Mutex{}, down: map[string]bool{},
			allows: func(job, worker string) bool {
				if job == "small" {
					return number(worker) >= full
				}
				return number(worker)/2 == number(job)
			},
		}
		c.outcome = func(t site.TaskID, _ int64, worker string) (time.Duration, site.EndKind) {
			switch {
			case t.Job == "long" && number(worker) < full:
				return time.Hour, site.Done
			case t.Job == "long":
				return fullFor, site.Done
			}
			return workTime, site.Done
		}
		c.fillLargeWorkers(48)
		c.startAmong(6)
		for n := range gangs {
			c.submit(fmt.Sprintf("g%d", n), gang(6, 19))
		}
		c.submit("small", gang(6, 19))
		for len(c.fleet.Usage().Running) > full {
			time.Sleep(10 * time.Millisecond)
		}
		expectStartWithin(c, "small", time.Now(), lostAfter)
	})
}
