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

// TestLimitReservedInVain guards against a job that waits for a gang of its team although
// the team uses little of its limit and the job takes nothing that the gang can use.
func TestLimitReservedInVain(t *testing.T) {
	const longTime = 10 * workTime
	estimated := func(s job.Step, d time.Duration) job.Step {
		s.Estimate = d
		return s
	}
	endless := tasks(3, 4)
	endless.Endless = true
	for _, c := range []struct {
		name    string
		running job.Step
		waiting job.Step
		small   job.Step
		within  time.Duration
	}{
		{"the gang cannot start beside tasks without an end", endless, gang(8, 4), estimated(tasks(2, 1), longTime), time.Second},
		{"there is capacity for both once the gang can start", estimated(gang(6, 3), longTime), gang(6, 4), estimated(tasks(2, 3), 2*longTime), time.Second},
		{"the job ends before the gang can start", estimated(gang(6, 3), longTime), gang(9, 4), tasks(2, 3), time.Second},
		{"the team uses less than half of its limit", estimated(gang(5, 3), longTime), gang(9, 4), estimated(tasks(2, 3), 2*longTime), 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 8, func(cl *cell) {
				cl.limitTeam(40_000, 20)
				cl.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
					return cl.subs[t.Job].Steps[t.Step].Estimate, site.Done
				}
				cl.start("a")
				time.Sleep(time.Second)
				cl.submit("running", c.running)
				time.Sleep(time.Second)
				cl.submit("gang", c.waiting)
				time.Sleep(200 * time.Millisecond)
				cl.submit("small", c.small)
				time.Sleep(c.within)
				expectStarts(cl, "gang", 0, 0)
				expectStarts(cl, "small", 0, 1)
			})
		})
	}
}

// TestIdleLimitIsReleasedWhileReservationsComeAndGo guards against gangs that keep half of a team's limit idle for good, since now and then a pass has no reservation.
func TestIdleLimitIsReleasedWhileReservationsComeAndGo(t *testing.T) {
	const passInterval = 100 * time.Millisecond
	half := resource.Vector{MilliCPU: 5000}
	for _, c := range []struct {
		name string
		// every is how many passes there are to one with a reservation.
		every int
		use   resource.Vector
		// want is set if the limit is to be released in the end.
		want bool
	}{
		{"in each pass", 1, resource.Vector{}, true},
		{"in each third pass", 3, resource.Vector{}, true},
		{"in one pass of 1.5 s", 15, resource.Vector{}, false},
		{"half of the limit is in use", 3, half, false},
	} {
		catalog := (&site.Catalog{Teams: []site.Team{{Name: "team", Limit: half.Add(half)}}}).Index()
		l := &leadership{teamUse: map[string]resource.Vector{"team": c.use.Add(resource.Vector{MilliCPU: 1})}}
		now := time.Now()
		for i := range int(2*maxLimitIdle/passInterval) + 1 {
			p := &pass{now: now.Add(time.Duration(i) * passInterval), catalog: catalog, limitReservations: map[string][]limitReservation{}}
			if i%c.every == 0 {
				p.limitReservations["team"] = []limitReservation{{}}
			}
			l.watchIdleLimits(p)
		}
		s, idle := l.idleLimits["team"]
		if released := idle && now.Add(2*maxLimitIdle).Sub(s.since) >= maxLimitIdle; released != c.want {
			t.Errorf("%s: the limit is released: %v, want %v", c.name, released, c.want)
		}
	}
}
