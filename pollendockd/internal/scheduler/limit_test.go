package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// limitTeam publishes a catalog in which the team has a limit.
func (c *cell) limitTeam(milliCPU int64, stretch float64) {
	c.catalog = (&site.Catalog{
		Version:  2,
		Queues:   []site.Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: stretch}},
		Teams:    []site.Team{{Name: "team", Limit: resource.Vector{MilliCPU: milliCPU}}},
		Services: map[string]site.Service{"s": {}},
	}).Index()
}

// TestTeamLimit checks that a team's running tasks, including those being stopped,
// never exceed its limit, and that a part of the limit stays free for lookups.
func TestTeamLimit(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.limitTeam(10_000, 9)
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(8, 4))
		for range 60 {
			running := 0
			for i := range 4 {
				running += c.fleet.Worker(fmt.Sprintf("w%d", i)).Running()
			}
			if running > 2 {
				t.Fatalf("%d tasks of 4 cores are running, the limit is 10 cores", running)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.cancel("j1")
		c.submit("j2", tasks(2, 4))
		expectPhase(c, a, "j2", 8*time.Second, job.Completed)
	})
}

// TestGangAtTheTeamLimit checks that small tasks of the same team, which can wait,
// leave capacity that becomes free within the team's limit to a gang.
func TestGangAtTheTeamLimit(t *testing.T) {
	inCell(t, 8, func(c *cell) {
		c.limitTeam(24_000, 6)
		c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			// The small tasks end at different times, so that there is never much
			// capacity at once.
			spread := time.Duration(t.Index+2*int(t.Job[len(t.Job)-1])) % 7
			return workTime * (7 + spread) / 10, site.Done
		}
		a := c.start("a")
		time.Sleep(time.Second)
		small := 0
		submitSmall := func() {
			c.submit(fmt.Sprintf("small%d", small), tasks(2, 2))
			small++
		}
		for range 6 {
			submitSmall()
		}
		c.submit("gang", gang(5, 4))
		at := time.Now()
		for time.Since(at) < 4*workTime {
			submitSmall()
			time.Sleep(workTime / 17)
		}
		expectPhase(c, a, "gang", 0, job.Completed)
	})
}
