package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// busyLink takes the longer for a hold, the more of them are under way.
type busyLink struct {
	Worker
	underWay *atomic.Int64
}

func (b busyLink) Hold(ctx context.Context, r *site.HoldRequest) (*site.HoldReply, error) {
	const timePerHold = time.Millisecond
	n := b.underWay.Add(1)
	defer b.underWay.Add(-1)
	select {
	case <-time.After(time.Duration(n) * timePerHold):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return b.Worker.Hold(ctx, r)
}

// TestNewLeaderReachesManyWorkers guards against a leader of a large cell that starts
// nothing, since it sends holds to all workers at once and all of them time out.
func TestNewLeaderReachesManyWorkers(t *testing.T) {
	inCell(t, 3000, func(c *cell) {
		var underWay atomic.Int64
		c.linkTo = func(w Worker) Worker { return busyLink{w, &underWay} }
		v := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(100, 6))
		expectPhase(c, v, "j1", workTime+3*time.Second, job.Completed)
	})
}
