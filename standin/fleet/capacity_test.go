package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestStartOnWorkerThatShrinksAgain guards against counting a start as one beyond a worker's
// capacity that fits the capacity of shortly before, when the worker shrinks again.
func TestStartOnWorkerThatShrinksAgain(t *testing.T) {
	cores := func(n int64) resource.Vector { return resource.Vector{MilliCPU: 1000 * n, MemoryMB: 1000} }
	for _, c := range []struct {
		name string
		// shrunkTo are the capacities, in cores, that the worker has one after the other.
		shrunkTo []int64
		// after is the time between two of them, and until the start.
		after time.Duration
		size  int64
		want  int
	}{
		{"the capacity before it shrank", []int64{16, 8}, 600 * time.Millisecond, 13, 0},
		{"the capacity before it shrank twice", []int64{16, 8, 4}, 400 * time.Millisecond, 13, 0},
		{"the capacity before it shrank three times", []int64{16, 12, 8, 4}, 300 * time.Millisecond, 13, 0},
		{"a capacity too long ago", []int64{16, 8, 4}, 600 * time.Millisecond, 13, 1},
		{"the second capacity of three", []int64{16, 8, 4}, 600 * time.Millisecond, 7, 0},
		{"more than it ever had", []int64{16, 8, 16, 4}, 100 * time.Millisecond, 17, 1},
		{"the last capacity", []int64{16, 8, 4}, 10 * time.Second, 5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(
					func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return time.Minute, site.Done },
					func(site.TaskID) (resource.Vector, int) { return cores(c.size), 0 },
				)
				w := f.Add("w", "s", cores(c.shrunkTo[0]))
				for _, n := range c.shrunkTo[1:] {
					time.Sleep(c.after)
					w.SetCapacity(cores(n))
				}
				time.Sleep(c.after)
				if _, err := w.Start(t.Context(), &site.StartRequest{Task: site.TaskID{Job: "j"}, Run: 1, LeaseEnd: w.Clock() + time.Hour}); err != nil {
					t.Fatal(err)
				}
				if n := len(f.Violations()); n != c.want {
					t.Errorf("violations %v, want %d", f.Violations(), c.want)
				}
			})
		})
	}
}
