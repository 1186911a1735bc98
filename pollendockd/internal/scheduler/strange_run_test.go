package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestRunOfEndedJobEndsNoLeader guards against a process that exits because a worker runs a task
// of a job that has ended.
func TestRunOfEndedJobEndsNoLeader(t *testing.T) {
	inCell(t, 3, func(c *cell) {
		v := c.start("n1")
		c.submit("a", tasks(1, 2))
		expectPhase(c, v, "a", 10*time.Second, job.Completed)
		time.Sleep(time.Second)
		c.fleet.Worker("w0").AlterReplies(func(h *site.HoldReply) {
			h.Running = append(h.Running, site.RunStatus{Task: site.TaskID{Job: "a"}, Run: 1})
		})
		time.Sleep(2 * time.Second)
		c.submit("b", tasks(4, 4))
		c.submit("c", gang(2, 6))
		expectPhase(c, v, "b", 15*time.Second, job.Completed)
		expectPhase(c, v, "c", 15*time.Second, job.Completed)
	})
}

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
