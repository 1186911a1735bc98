package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestEndOfRunThatIsNotRecordedIsNotAcknowledged guards against acknowledging the success of a
// run that the records have given up but that its worker still lists as running.
func TestEndOfRunThatIsNotRecordedIsNotAcknowledged(t *testing.T) {
	for runTime := 400 * time.Millisecond; runTime < 1200*time.Millisecond; runTime += 10 * time.Millisecond {
		inCell(t, 0, func(c *cell) {
			c.fleet.Add("w0", "s", resource.Vector{MilliCPU: 20_000, MemoryMB: 10_000})
			c.catalog.Teams[0].Limit = resource.Vector{MilliCPU: 10_000}
			c.outcome = func(id site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
				if id.Job == "j1" && run == 1 {
					return runTime, site.Done
				}
				return workTime, site.Done
			}
			v := c.start("a")
			time.Sleep(2 * time.Second)
			// The job waits for its team's limit, and its first run is one that was given up.
			c.submit("first", tasks(1, 8))
			time.Sleep(100 * time.Millisecond)
			c.submit("j1", tasks(1, 4))
			time.Sleep(100 * time.Millisecond)
			l, _ := v.replica.Leader()
			if _, err := c.fleet.Worker("w0").Start(c.ctx, &site.StartRequest{Task: site.TaskID{Job: "j1"}, Run: 1, Token: l.Epoch, LeaseEnd: time.Minute}); err != nil {
				t.Fatal(err)
			}
			expectPhase(c, v, "j1", 30*time.Second, job.Completed)
			time.Sleep(2 * time.Second)
		})
	}
}
