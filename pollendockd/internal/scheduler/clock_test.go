package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestSteppedClocks checks that jobs are served in order of arrival, regardless of the
// clocks of the VMs that accepted them. Lookups of a VM whose clock was 4 s ahead were
// served last, and those of a VM 4 s behind counted as late at once.
func TestSteppedClocks(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("busy", tasks(1, 10))
		time.Sleep(200 * time.Millisecond)
		ids := []string{"ahead", "right", "behind"}
		for i, off := range []time.Duration{4 * time.Second, 0, -4 * time.Second} {
			c.submitAt(time.Now().Add(off), ids[i], tasks(1, 10))
			time.Sleep(200 * time.Millisecond)
		}
		last := time.Time{}
		for _, id := range ids {
			expectPhase(c, a, id, 10*time.Second, job.Completed)
			began := c.fleet.StartedAt(site.TaskID{Job: id})
			if began.Before(last) {
				t.Errorf("%s started %v before the job that arrived earlier", id, last.Sub(began))
			}
			last = began
		}
	})
}
