package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/site"
)

// TestIdleJobUsesCapacityLeftToUrgentTasks guards against a job that starts nothing beside free capacity for as long as urgent tasks keep coming.
func TestIdleJobUsesCapacityLeftToUrgentTasks(t *testing.T) {
	inCell(t, 3, func(c *cell) {
		const (
			urgentTime  = 200 * time.Millisecond
			urgentEvery = 50 * time.Millisecond
			// before is the number of urgent tasks until the job comes.
			before = 160
		)
		quick := site.Advice{Base: time.Millisecond, TicketLifetime: 2 * time.Second}
		c.advise(quick, 1)
		c.catalog.Queues = append(c.catalog.Queues, site.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.2, Objective: 250 * time.Millisecond, Advice: &quick})
		c.catalog.Queues[0].Stretch = 20
		c.catalog.Index()
		c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			if t.Job == "wide" {
				return workTime, site.Done
			}
			return urgentTime, site.Done
		}
		c.start("a")
		time.Sleep(time.Second)
		urgent := tasks(1, 4)
		urgent.Estimate = urgentTime
		for n := range before + int(lostAfter/urgentEvery) {
			if n == before {
				c.submit("wide", tasks(2, 2))
			}
			c.submitTo("urgent", fmt.Sprintf("urgent%d", n), urgent)
			time.Sleep(urgentEvery)
		}
		if c.fleet.Starts(site.TaskID{Job: "wide"}) == 0 {
			t.Errorf("no task was started within %v", lostAfter)
		}
	})
}

// TestIdleJobsShareLimitReservedForGang guards against jobs that start nothing beside idle workers and half of their team's limit, since a gang waits for more of it and the first of them takes what is released.
func TestIdleJobsShareLimitReservedForGang(t *testing.T) {
	inCell(t, 12, func(c *cell) {
		const jobs = 6
		c.limitTeam(50_000, 20)
		c.outcome = longRuns
		// These runs last longer than estimated, so that the gang is expected to start soon.
		c.submit("long", tasks(2, 8))
		c.start("a")
		time.Sleep(4 * time.Second)
		c.submit("gang", gang(5, 9))
		time.Sleep(100 * time.Millisecond)
		later := tasks(8, 2)
		later.Estimate = time.Minute
		for n := range jobs {
			c.submit(fmt.Sprintf("later%d", n), later)
		}
		time.Sleep(lostAfter)
		for n := range jobs {
			if id := fmt.Sprintf("later%d", n); c.fleet.Starts(site.TaskID{Job: id}) == 0 {
				t.Errorf("%s has not started within %v", id, lostAfter)
			}
		}
	})
}
