package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestStrangeRun checks that a run of a task that a known job does not have costs neither
// the process nor the job.
func TestStrangeRun(t *testing.T) {
	for _, task := range []site.TaskID{{Job: "a", Step: 3}, {Job: "a", Index: 9}, {Job: "a", Step: job.MaxSteps - 1, Index: job.MaxTasks - 1}, {Job: "a", Occurrence: 4}, {Job: "none"}} {
		inCell(t, 1, func(c *cell) {
			v := c.start("n1")
			w := c.fleet.Worker("w0")
			w.AlterReplies(func(h *site.HoldReply) {
				h.Running = append(h.Running, site.RunStatus{Task: task, Run: 1})
			})
			c.submit("a", tasks(2, 2))
			time.Sleep(time.Second)
			w.AlterReplies(nil)
			expectPhase(c, v, "a", 15*time.Second, job.Completed)
		})
	}
}
