package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
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

// TestSilentWorkersKeepNoOthersUnasked guards against a new leader that asks idle workers only once
// the leases of many silent ones have expired.
func TestSilentWorkersKeepNoOthersUnasked(t *testing.T) {
	const cut = 400
	inCell(t, cut, func(c *cell) {
		c.outcome = func(id site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			if id.Job == "long" {
				return time.Minute, site.Done
			}
			return time.Second, site.Done
		}
		a := c.start("a")
		time.Sleep(3 * time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		c.submit("long", tasks(cut, 8))
		time.Sleep(3 * time.Second)
		for i := range cut {
			c.fleet.Worker(fmt.Sprintf("w%d", i)).SetSilent(true)
		}
		for i := range 4 {
			c.fleet.Add(fmt.Sprintf("x%d", i), "s", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
		}
		a.kill()
		time.Sleep(time.Second)
		c.submit("short", tasks(4, 2))
		began := time.Now()
		expectPhase(c, b, "short", 40*time.Second, job.Completed)
		if took := time.Since(began); took > 6*time.Second {
			t.Errorf("a job beside idle workers took %v", took)
		}
	})
}
