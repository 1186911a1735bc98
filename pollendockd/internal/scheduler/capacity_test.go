package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
)

func cores(n int64) resource.Vector {
	return resource.Vector{MilliCPU: n * 1000, MemoryMB: 10_000}
}

// TestShrunkWorkerIsNotOvercommitted guards against starts that a worker had room for only
// before it shrank. The simulated fleet reports them.
func TestShrunkWorkerIsNotOvercommitted(t *testing.T) {
	for _, c := range []struct {
		name  string
		while func(c *cell, shrink func())
	}{
		{"at any time", func(_ *cell, shrink func()) { shrink() }},
		{"after the decision", func(c *cell, shrink func()) {
			c.store.SetSilent(true)
			shrink()
			time.Sleep(4 * time.Second)
			c.store.SetSilent(false)
		}},
		{"with a new leader", func(c *cell, shrink func()) {
			shrink()
			c.vms["a"].kill()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cl *cell) {
				cl.start("a")
				time.Sleep(time.Second)
				v := cl.start("b")
				time.Sleep(time.Second)
				cl.submit("before", tasks(2, 4))
				time.Sleep(time.Second)
				for i := range 4 {
					cl.submit(fmt.Sprintf("job%d", i), tasks(1, 4))
				}
				// The leader decides within a millisecond, the append takes longer.
				time.Sleep(time.Millisecond)
				c.while(cl, func() {
					cl.fleet.Worker("w0").SetCapacity(cores(5))
					cl.fleet.Worker("w1").SetCapacity(cores(5))
				})
				time.Sleep(4 * time.Second)
				cl.submit("gang", gang(2, 4))
				time.Sleep(3 * time.Second)
				cl.fleet.Worker("w0").SetCapacity(cores(20))
				cl.submit("large", tasks(1, 16))
				for _, id := range []string{"before", "job0", "job1", "job2", "job3", "gang", "large"} {
					expectPhase(cl, v, id, 40*time.Second, job.Completed)
				}
			})
		})
	}
}
