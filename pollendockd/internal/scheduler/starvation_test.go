package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/resource"
)

// TestStarvedStepsAreCounted checks which waiting steps count as starved, and that the log
// line tells why their workers were passed over.
func TestStarvedStepsAreCounted(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(c *cell)
		want   int
		over   string
	}{
		{"workers do not answer", func(c *cell) {
			c.fleet.Worker("w0").SetSilent(true)
			c.fleet.Worker("w1").SetSilent(true)
		}, 1, "noAnswer:2"},
		{"a worker is evacuated, the other suspended", func(c *cell) {
			c.fleet.Worker("w0").SetDataCentre("north")
			c.evacuate("north")
			c.fleet.Worker("w1").RefuseStarts(1 << 20)
		}, 1, "leaving:1 suspended:1"},
		{"workers are full", func(c *cell) { c.submit("other", tasks(2, 8)) }, 0, "full:2"},
		{"the team is at its limit", func(c *cell) { c.catalog.Teams[0].Limit = resource.Vector{MilliCPU: 1000} }, 0, "none:2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cell *cell) {
				cell.outcome = longRun
				a := cell.start("a")
				time.Sleep(time.Second)
				c.inject(cell)
				time.Sleep(2 * time.Second)
				cell.submit("j1", tasks(1, 5))
				time.Sleep(10 * time.Second)
				done := make(chan bool)
				a.scheduler.post(inspect(func(s *Scheduler) {
					defer close(done)
					l := s.lead
					ws := &waitingStep{tj: l.jobs["j1"]}
					_, over := l.obstaclesOf(l.advice.pass, ws)
					if l.starvation.starved != c.want || over.String() != c.over {
						t.Errorf("%d starved, workers passed over: %v, want %d and %s", l.starvation.starved, over, c.want, c.over)
					}
				}))
				<-done
			})
		})
	}
}
