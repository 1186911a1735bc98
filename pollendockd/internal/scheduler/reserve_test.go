package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestRemaining checks that the end of a run is derived from the progress since it was
// found. A new leader took runs that it found halfway for nearly done, and reserved
// half of the workers for seconds for gangs that were expected to start at once.
func TestRemaining(t *testing.T) {
	const estimate = 4 * time.Second
	now := time.Now()
	for _, c := range []struct {
		name             string
		found, percent   int
		watched, changed time.Duration // before now
		want             time.Duration
	}{
		{"just started", 0, 0, 0, 0, 4 * time.Second},
		{"no progress yet", 0, 0, time.Second, time.Second, 3 * time.Second},
		{"half done in a second", 0, 50, time.Second, 0, time.Second},
		{"half done, reported 0.2 s ago", 0, 50, 1200 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond},
		{"found halfway", 50, 50, 0, 0, 2 * time.Second},
		{"found halfway, ten points in a second", 50, 60, time.Second, 0, 4 * time.Second},
		{"found halfway, three points", 50, 53, 500 * time.Millisecond, 0, 1500 * time.Millisecond},
		{"estimate exceeded", 0, 0, 9 * time.Second, 9 * time.Second, minRemaining},
	} {
		r := &run{
			initialPercent: c.found, percent: c.percent, decidedAt: now.Add(-c.watched),
			confirmedAt: now.Add(-c.watched), percentAt: now.Add(-c.changed),
		}
		if got := r.remaining(now, estimate); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestGangsEndTogether checks that the capacity of a gang member that has finished its
// share is not expected to become free while another member is halfway through.
// Capacity was repeatedly reserved for gangs that were expected to start at once.
func TestGangsEndTogether(t *testing.T) {
	inCell(t, 3, func(c *cell) {
		c.outcome = func(n site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			return time.Duration(1+3*n.Index) * time.Second, site.Done
		}
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", gang(3, 6))
		time.Sleep(2500 * time.Millisecond)
		// The members take 1, 4 and 7 s.
		done := make(chan bool)
		a.scheduler.post(inspect(func(s *Scheduler) {
			p := &pass{now: time.Now(), speeds: newSpeedTable(), gangEnds: map[gangKey]time.Duration{}}
			for _, wk := range s.lead.workers {
				for _, r := range wk.runs {
					if in := s.lead.releaseIn(p, r); in < 3500*time.Millisecond || in > 5500*time.Millisecond {
						t.Errorf("member %d is expected to be free in %v, want 4.5 s", r.task.Index, in)
					}
				}
			}
			close(done)
		}))
		<-done
	})
}

// inspect examines the state on the goroutine that owns it.
type inspect func(s *Scheduler)

func (f inspect) handle(s *Scheduler) { f(s) }

// TestOverdueGangGetsItsTurn guards against a gang past its deadline that never starts,
// since smaller work past its deadline takes each piece of capacity that becomes free.
func TestOverdueGangGetsItsTurn(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			spread := time.Duration(t.Index+2*int(t.Job[len(t.Job)-1])) % 7
			return workTime * (7 + spread) / 10, site.Done
		}
		v := c.start("a")
		time.Sleep(time.Second)
		long := time.Now().Add(-5 * time.Minute)
		for n := range 300 {
			c.submitAt(long, fmt.Sprintf("small%d", n), tasks(2, 2))
		}
		for n := range 10 {
			c.submitAt(long, fmt.Sprintf("gang%d", n), gang(4, 8))
		}
		expectPhase(c, v, "gang0", 10*workTime, job.Completed)
		expectPhase(c, v, "gang9", 20*workTime, job.Completed)
	})
}
