package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestWideJobDoesNotChangeLeaders: the state of 10,000 running tasks outgrew a record, and each leader ended with its refused append.
func TestWideJobDoesNotChangeLeaders(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 4 * workTime, site.Done }
		for i := range 100 {
			c.fleet.Add(fmt.Sprintf("i-75a3e5e7-%08x", i), "s", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
		}
		a := c.start("a")
		time.Sleep(time.Second)
		c.start("b")
		time.Sleep(time.Second)
		c.submit("wide", job.Step{Count: job.MaxTasks, Size: resource.Vector{MilliCPU: 100, MemoryMB: 1}, Estimate: 4 * workTime})
		expectPhase(c, a, "wide", 8*workTime, job.Completed)
		if list := leaders(c); len(list) != 1 {
			t.Errorf("leaders are %v", list)
		}
	})
}
