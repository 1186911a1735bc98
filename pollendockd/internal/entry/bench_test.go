package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
	"pollendock.example/pollendockd/internal/peer"
)

type benchDialer struct{}

func (benchDialer) Worker(netip.AddrPort) platform.Worker { return nil }
func (benchDialer) Peer(netip.AddrPort) peer.Handler      { return nil }

// benchControl returns a control state that owns all workers, with a queue of
// jobs and a number of running tasks. No other goroutine runs during the
// benchmark.
func benchControl(b *testing.B, workers, running, queued int) *control {
	b.Helper()
	e := New(Options{EntryID: "entry-1"}, Deps{Dialer: benchDialer{}, Logger: log.NewNopLogger(), Metrics: tally.NoopScope})
	c := e.c
	c.caughtUp, c.joined = true, true
	c.start()
	c.mustApply(b, &ledger.Record{Join: &ledger.Join{EntryID: "entry-1"}})
	doc := config.Empty()
	doc.Operators["board"] = config.Key{Hash: config.HashKey("op")}
	for i := range 31 {
		name := fmt.Sprintf("team-%d", i)
		doc.Teams[name] = config.Team{
			Share: 1, Limit: resource.Vector{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Slots: 1 << 40}, QueueCount: 1 << 19, QueueBytes: 1 << 30,
			Keys: map[string]config.Key{"k": {Hash: config.HashKey(name)}},
		}
	}
	c.state.Document = doc
	c.state.Number = 1
	for i := range workers {
		id := fmt.Sprintf("worker-%d", i)
		c.updateWorker(platform.VM{ID: id, Addr: addrOf(9000 + i)}, time.Now())
		c.mustApply(b, &ledger.Record{Home: &ledger.Home{Worker: id, Boot: "b", Epoch: 1, Capacity: benchWorkerCapacity}})
		u := c.upstreams[id]
		u.phase = owned
		u.session = &session{cancel: func() {}}
		u.watchedAt = time.Now().Add(time.Hour)
	}
	for i := range queued {
		c.mustApply(b, &ledger.Record{Accept: &ledger.Accept{
			Job: newJobID(), Team: fmt.Sprintf("team-%d", i%31), KeyName: "k",
			Spec: ledger.Spec{Kind: config.Batch, Count: 10, Size: testSize, Idempotent: true, Payload: `{"tag":"bench","runMs":100}`},
		}})
	}
	for done := 0; done < running; {
		c.dirty, c.lastPassAt = true, time.Time{}
		c.placeAll()
		done += c.commitDispatches(b)
	}
	return c
}

func (c *control) mustApply(b *testing.B, r *ledger.Record) {
	b.Helper()
	c.seq++
	r.By, r.Seq, r.At = c.incarnation, c.seq, time.Now()
	if result := c.state.Apply(c.state.Next, r); result.Code != code.OK {
		b.Fatal(result)
	}
}

// commitDispatches applies the pending dispatches without starting anything at
// the workers. It returns the number of tasks.
func (c *control) commitDispatches(b *testing.B) int {
	b.Helper()
	refs := make([]ledger.TaskRef, 0, len(c.pendingTasks))
	for ref := range c.pendingTasks {
		refs = append(refs, ref)
	}
	for _, id := range c.state.WorkerIDs() {
		u := c.upstreams[id]
		for !u.pending.IsZero() && len(refs) > 0 {
			ref := refs[len(refs)-1]
			refs = refs[:len(refs)-1]
			j := c.state.Jobs[ref.Job]
			c.mustApply(b, &ledger.Record{Dispatch: &ledger.Dispatch{Job: ref.Job, Placements: []ledger.Placement{{Task: ref.Task, Attempt: j.Tasks[ref.Task].Attempt + 1, Worker: id}}}})
			u.pending = u.pending.Sub(j.Spec.Size)
		}
	}
	n := len(c.pendingTasks)
	c.pendingTasks = map[ledger.TaskRef]bool{}
	c.pendingUse = map[string]resource.Vector{}
	c.recordWaiters = map[int64]func(int64, ledger.ApplyResult){}
	c.e.appender.Reset()
	return n
}

// BenchmarkPlacement measures the placement decisions of one entry VM that owns
// every worker: choosing the team, job and worker, and creating the record.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{50, 325, 1300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchControl(b, workers, workers*5, 6000)
			decisions := 0
			var passes []time.Duration
			b.ResetTimer()
			for b.Loop() {
				start := time.Now()
				c.dirty, c.lastPassAt = true, time.Time{}
				c.placeAll()
				passes = append(passes, time.Since(start))
				b.StopTimer()
				decisions += c.discardDispatches()
				b.StartTimer()
			}
			sort.Slice(passes, func(i, j int) bool { return passes[i] < passes[j] })
			if decisions > 0 {
				b.ReportMetric(float64(decisions)/b.Elapsed().Seconds(), "placements/s")
				b.ReportMetric(float64(passes[len(passes)*99/100].Microseconds())/1000, "p99-pass-ms")
			}
		})
	}
}

// discardDispatches discards the pending dispatches and returns the number of
// tasks.
func (c *control) discardDispatches() int {
	n := len(c.pendingTasks)
	for _, u := range c.upstreams {
		u.pending = resource.Vector{}
	}
	c.pendingTasks = map[ledger.TaskRef]bool{}
	c.pendingUse = map[string]resource.Vector{}
	c.recordWaiters = map[int64]func(int64, ledger.ApplyResult){}
	c.e.appender.Reset()
	return n
}

// BenchmarkLookupChoice measures choosing a worker for a lookup.
func BenchmarkLookupChoice(b *testing.B) {
	for _, workers := range []int{8, 145, 1300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchControl(b, workers, 0, 0)
			for _, id := range c.state.WorkerIDs() {
				c.mustApply(b, &ledger.Record{Allocation: &ledger.Allocation{Worker: id, Team: "team-1", Delta: testSize}})
			}
			l := newLookup(context.Background(), &AuthenticatedLookup{Team: "team-1", Size: testSize}, false)
			for b.Loop() {
				if c.chooseLookupWorker(l, time.Now()) == nil {
					b.Fatal("no worker")
				}
			}
		})
	}
}

// BenchmarkTick measures what an idle entry VM does 20 times a second.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 325, 1300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchControl(b, workers, workers*5, 0+workers)
			i := 0
			for b.Loop() {
				now := time.Now()
				if i++; i%int(assignInterval/tickInterval) == 0 {
					c.updateAssignment(now)
				}
				for _, u := range c.upstreams {
					c.stopMarkedAttempts(u)
				}
				c.tickShares()
			}
		})
	}
}

// BenchmarkApply measures applying one accept, dispatch and settle record.
func BenchmarkApply(b *testing.B) {
	c := benchControl(b, 50, 0, 0)
	for b.Loop() {
		job := newJobID()
		c.mustApply(b, &ledger.Record{Accept: &ledger.Accept{Job: job, Team: "team-1", KeyName: "k", Spec: ledger.Spec{Kind: config.Batch, Count: 1, Size: testSize}}})
		c.mustApply(b, &ledger.Record{Dispatch: &ledger.Dispatch{Job: job, Placements: []ledger.Placement{{Attempt: 1, Worker: "worker-1"}}}})
		c.mustApply(b, &ledger.Record{Settle: &ledger.Settle{Job: job, Attempt: 1, EndKind: ledger.Finished, Result: &ledger.Result{Code: code.OK}}})
	}
}

// BenchmarkState measures memory use and snapshot size by the number of jobs and
// workers.
func BenchmarkState(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{50, 0}, {1300, 0}, {50, 1000}, {50, 9000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.jobs), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := benchControl(b, size.workers, 0, size.jobs)
				runtime.GC()
				runtime.ReadMemStats(&after)
				start := time.Now()
				data, err := c.state.Marshal()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(time.Since(start).Milliseconds()), "snapshot-ms")
				b.ReportMetric(float64(len(data)), "snapshot-bytes")
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkPacking fills 50 workers with jobs of mixed sizes in submission
// order. It compares the placed work with that of first-fit-decreasing, which
// knows all jobs in advance.
func BenchmarkPacking(b *testing.B) {
	for _, seed := range []uint64{1, 2, 3} {
		b.Run(fmt.Sprintf("seed=%d", seed), func(b *testing.B) {
			for b.Loop() {
				rng := rand.New(rand.NewPCG(seed, seed))
				c := benchControl(b, 50, 0, 0)
				var sizes []resource.Vector
				for range 600 {
					size := resource.Vector{MilliCPU: 1000 * (1 + rng.Int64N(24)), MemoryMB: 1024 * (1 + rng.Int64N(48)), Slots: 1}
					sizes = append(sizes, size)
					c.mustApply(b, &ledger.Record{Accept: &ledger.Accept{Job: newJobID(), Team: "team-1", KeyName: "k", Spec: ledger.Spec{
						Kind: config.Batch, Count: 1, Size: size, Idempotent: true,
					}}})
				}
				ours := c.placeWaiting(len(sizes))
				b.ReportMetric(ours/firstFitDecreasing(sizes, 50), "of-ffd")
			}
		})
	}
}

// placeWaiting places every waiting job that fits, in order. It returns the
// placed work as the sum of the tasks' dominant shares of a worker.
func (c *control) placeWaiting(jobs int) float64 {
	p := c.newPass(time.Now())
	total := 0.0
	for _, j := range c.state.Waiting("team-1", jobs) {
		if c.placeJob(p, j, 1, true) > 0 {
			total += j.Spec.Size.Dominant(benchWorkerCapacity)
		}
	}
	return total
}

var benchWorkerCapacity = resource.Vector{MilliCPU: 64000, MemoryMB: 131072, Slots: 8}

func firstFitDecreasing(sizes []resource.Vector, workers int) float64 {
	sorted := append([]resource.Vector(nil), sizes...)
	sort.Slice(sorted, func(i, j int) bool {
		return sorted[i].Dominant(benchWorkerCapacity) > sorted[j].Dominant(benchWorkerCapacity)
	})
	left := make([]resource.Vector, workers)
	for i := range left {
		left[i] = benchWorkerCapacity
	}
	total := 0.0
	for _, size := range sorted {
		for i := range left {
			if size.Fits(left[i]) {
				left[i] = left[i].Sub(size)
				total += size.Dominant(benchWorkerCapacity)
				break
			}
		}
	}
	return total
}
