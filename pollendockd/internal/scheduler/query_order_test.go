package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// TestGangWithRoomAsksBeforeThoseWithout guards against a gang that waits for the advisor beside idle workers, while gangs that can't start yet learn where they may run.
func TestGangWithRoomAsksBeforeThoseWithout(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
	}{
		{"in time", 0},
		{"late", 100 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) { playGangBehindQueries(t, tc.age) })
	}
}

// playGangBehindQueries submits a gang that was accepted so long ago, behind as many others as may
// ask ahead, with one VM to query through.
func playGangBehindQueries(t *testing.T, age time.Duration) {
	inCell(t, 0, func(c *cell) {
		const gangs = 2 * minHeldGangs
		c.advise(siteAdvice, 1)
		c.addUnadvisedQueue()
		c.addLargeWorkers()
		c.outcome = longRuns
		c.fillLargeWorkers(36)
		c.startAmong(1)
		// The idle workers hold 12 of these tasks.
		large := gang(20, 60)
		large.Estimate = time.Minute
		for n := range gangs {
			c.submit(fmt.Sprintf("large%d", n), large)
		}
		time.Sleep(100 * time.Millisecond)
		small := gang(6, 19)
		small.Estimate = time.Minute
		c.submitAt(time.Now().Add(-age), "small", small)
		expectStartWithin(c, "small", time.Now(), lostAfter)
	})
}

// TestGangsAskBesideBacklogOfQuickQueries guards against gangs that wait beside idle workers for the one route that more quick queries than the routes can carry leave to slow ones.
func TestGangsAskBesideBacklogOfQuickQueries(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		const (
			gangs      = 9
			quickEvery = 5 * time.Millisecond
			before     = 200
		)
		quick := site.Advice{Base: 47 * time.Millisecond, TicketLifetime: 1500 * time.Millisecond}
		c.advise(siteAdvice, 1)
		c.catalog.Queues = append(c.catalog.Queues, site.Queue{Name: "quick", Service: "s", MaxAttempts: 2, Stretch: 1.5, Objective: 250 * time.Millisecond, Advice: &quick})
		c.catalog.Index()
		c.advisor = fleet.NewAdvisorOf(c.fleet, func(job string) fleet.AdviceTerms {
			if job[:1] == "q" {
				return fleet.AdviceTerms{Advice: quick, Good: 1}
			}
			return fleet.AdviceTerms{Advice: siteAdvice, Good: 1}
		})
		c.addLargeWorkers()
		c.startAmong(6)
		for n := range before + int(lostAfter/quickEvery) {
			if n == before {
				for g := range gangs {
					c.submit(fmt.Sprintf("gang%d", g), gang(6, 19))
				}
			}
			c.submitTo("quick", fmt.Sprintf("q%d", n), tasks(1, 1))
			time.Sleep(quickEvery)
		}
		for g := range gangs {
			if id := fmt.Sprintf("gang%d", g); c.fleet.Starts(site.TaskID{Job: id}) == 0 {
				t.Errorf("%s has not started within %v", id, lostAfter)
			}
		}
	})
}
