package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
)

// TestLateAcknowledgementLosesNoEnd guards against a hold that is executed by a later incarnation
// of its worker, which then forgets ends that nobody has read.
func TestLateAcknowledgementLosesNoEnd(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		v := c.start("a")
		time.Sleep(2 * time.Second)
		w := c.fleet.Worker("w0")
		c.submit("j1", tasks(4, 2))
		expectPhase(c, v, "j1", 10*time.Second, job.Completed)
		// The hold that acknowledges the ends is executed late.
		w.DelayHolds(1, 5*time.Second)
		lateAt := time.Now().Add(5 * time.Second)
		time.Sleep(1500 * time.Millisecond)
		w.Reboot()
		time.Sleep(500 * time.Millisecond)
		// j2 ends shortly before that, while the worker cannot be reached.
		time.Sleep(time.Until(lateAt) - workTime - 200*time.Millisecond)
		c.submit("j2", tasks(1, 2))
		time.Sleep(time.Until(lateAt) - 300*time.Millisecond)
		w.SetSilent(true)
		time.Sleep(time.Second)
		w.SetSilent(false)
		expectPhase(c, v, "j2", 30*time.Second, job.Completed)
		time.Sleep(5 * time.Second)
	})
}
