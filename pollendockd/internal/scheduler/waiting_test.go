package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/site"
)

// TestEndlessTaskRestartsBeforeBacklog: an endless task that had ended waited for its query behind all jobs, which can wait less than its estimate.
func TestEndlessTaskRestartsBeforeBacklog(t *testing.T) {
	inCell(t, 20, func(c *cell) {
		const firstRun = 5 * time.Second
		c.advise(site.Advice{Base: 300 * time.Millisecond, PerUpstream: time.Millisecond, TicketLifetime: 2 * time.Second}, 1)
		c.outcome = func(task site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
			switch {
			case task.Job != "endless":
				return 100 * time.Millisecond, site.Done
			case run == 1:
				return firstRun, site.Failed
			}
			return time.Hour, site.Done
		}
		c.start("a")
		time.Sleep(3 * time.Second)
		step := tasks(1, 1)
		step.Endless = true
		step.Estimate = 24 * time.Hour
		c.submit("endless", step)
		time.Sleep(firstRun - time.Second)
		for i := range 40 {
			c.submit(fmt.Sprintf("job%d", i), tasks(2, 1))
			time.Sleep(150 * time.Millisecond)
		}
		expectStarts(c, "endless", 0, 2)
	})
}
