package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/site"
)

// TestIdleJobUsesCapacityReservedForYoungerGang guards against a job that starts nothing beside idle workers for as long as a gang, which came after it, has them reserved.
func TestIdleJobUsesCapacityReservedForYoungerGang(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		const (
			shortTime = 3 * time.Second
			longTime  = 5 * time.Minute
			gangTime  = 20 * time.Second
		)
		c.addUnadvisedQueue()
		c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			if t.Job == "short" {
				return shortTime, site.Done
			}
			return longTime, site.Done
		}
		long, short, slow, wide := tasks(2, 10), tasks(4, 10), tasks(1, 1), gang(6, 10)
		long.Estimate, short.Estimate, slow.Estimate, wide.Estimate = longTime, shortTime, 2*longTime, gangTime
		c.submitTo("unadvised", "long", long)
		c.submitTo("unadvised", "short", short)
		c.start("a")
		time.Sleep(time.Second)
		c.submitTo("unadvised", "older", slow)
		time.Sleep(100 * time.Millisecond)
		c.submitTo("unadvised", "wide", wide)
		time.Sleep(100 * time.Millisecond)
		c.submitTo("unadvised", "younger", slow)
		time.Sleep(shortTime + lostAfter)
		if c.fleet.Starts(site.TaskID{Job: "older"}) == 0 {
			t.Error("the older job has not started")
		}
		if c.fleet.Starts(site.TaskID{Job: "younger"}) != 0 {
			t.Error("the younger job has started")
		}
	})
}
