package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// partitionWithSuccess lets the first run of a job of 4 cores succeed on w0 while w0 is partitioned for so long that
// the job is given up there and done on w1.
func partitionWithSuccess(c *cell, a *vm) {
	c.t.Helper()
	c.submit("lost", tasks(1, 4))
	time.Sleep(500 * time.Millisecond)
	partitioned := c.fleet.Worker("w0")
	partitioned.SetSilent(true)
	c.fleet.Add("w1", "s", partitioned.Capacity())
	expectPhase(c, a, "lost", 12*time.Second, job.Completed)
	partitioned.SetSilent(false)
	time.Sleep(3 * time.Second)
}

// TestKeptEndsDoNotHideRuns: after the end of a given-up run a worker kept all its ends, and hid all but 500 of them with their runs.
func TestKeptEndsDoNotHideRuns(t *testing.T) {
	for _, c := range []struct {
		name string
		// atOnce is the number of tasks of a job, which run at once.
		jobs, atOnce int
		size         resource.Vector
	}{
		{"runs one after the other", 700, 4, resource.Vector{MilliCPU: 1000, MemoryMB: 100}},
		{"more runs at once than a list has rows", 2, 1900, resource.Vector{MilliCPU: 10, MemoryMB: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 1, func(cell *cell) {
				cell.outcome = func(task site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
					if task.Job == "lost" {
						return workTime, site.Done
					}
					return 300 * time.Millisecond, site.Done
				}
				a := cell.start("a")
				time.Sleep(time.Second)
				partitionWithSuccess(cell, a)
				step := job.Step{Count: c.atOnce, Size: c.size, Estimate: 300 * time.Millisecond}
				for i := range c.jobs {
					cell.submit(fmt.Sprintf("job%d", i), step)
					time.Sleep(100 * time.Millisecond)
				}
				for i := range c.jobs {
					expectPhase(cell, a, fmt.Sprintf("job%d", i), time.Minute, job.Completed)
				}
			})
		})
	}
}

// TestWorkerFullOfEnds checks when a worker that keeps ends gets no new runs.
func TestWorkerFullOfEnds(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name       string
		capped     bool
		ends, runs int
		want       bool
	}{
		{"ends that are acknowledged", false, maxEndedRows, 0, false},
		{"few ends", true, 3, 8, false},
		{"one run left", true, maxKeptEnds - 9, 8, false},
		{"no run left", true, maxKeptEnds - 8, 8, true},
		{"a full list", true, maxEndedRows, 0, true},
	} {
		wk := &worker{id: "w", listed: true, boot: 1, upstream: site.Upstream{Boot: 1}, ackCapped: c.capped, keptEnds: c.ends, runs: map[runKey]*run{}}
		for i := range c.runs {
			wk.runs[runKey{number: int64(i)}] = nil
		}
		if got := wk.fullOfEnds(); got != c.want || wk.usable(now) == got {
			t.Errorf("%s: full %v, usable %v, want full %v", c.name, got, wk.usable(now), c.want)
		}
	}
}
