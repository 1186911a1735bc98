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
