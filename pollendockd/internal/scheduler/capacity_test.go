package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

const (
	testHeartbeat = 1500 * time.Millisecond
	testContact   = 3 * time.Second
	// testOutage is longer than a capacity may be relied on after it has shrunk.
	testOutage = testHeartbeat + testContact + time.Second
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

// register makes the workers write their entries to the store with each heartbeat. The worker
// at index i does so i times 0.4 s after the first one.
func (c *cell) register(workers int) {
	c.bounds.Heartbeat = testHeartbeat
	c.bounds.Contact = testContact
	c.fleet.Register(c.store, testHeartbeat)
	c.fleet.SetShrinkNotice(testHeartbeat + testContact)
	now := time.Now()
	for i := range workers {
		c.fleet.Worker(fmt.Sprintf("w%d", i)).SetHeartbeat(now.Add(time.Duration(i) * 400 * time.Millisecond))
	}
}

// shrinkAll takes half of the capacity of the workers away.
func (c *cell) shrinkAll(workers int) {
	for i := range workers {
		c.fleet.Worker(fmt.Sprintf("w%d", i)).SetCapacity(cores(5))
	}
}

// expectStartWithin checks that a task of the job is started within a time after since.
func expectStartWithin(c *cell, id string, since time.Time, within time.Duration) {
	c.t.Helper()
	for c.fleet.Starts(site.TaskID{Job: id}) == 0 {
		if time.Since(since) > within {
			c.t.Errorf("no task of job %s was started within %v", id, within)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// inEachFleet runs a test with workers that rewrite their entries with each heartbeat, with workers
// that do so only after a change, and with workers whose entries do not tell their clocks.
func inEachFleet(t *testing.T, name string, workers int, fn func(c *cell)) {
	for _, style := range []struct {
		name string
		set  func(f *fleet.Fleet)
	}{
		{"each heartbeat", func(*fleet.Fleet) {}},
		{"changes only", (*fleet.Fleet).WriteChangesOnly},
		{"no clocks", (*fleet.Fleet).OmitClocks},
	} {
		t.Run(name+"/"+style.name, func(t *testing.T) {
			inCell(t, workers, func(c *cell) {
				c.register(workers)
				style.set(c.fleet)
				fn(c)
			})
		})
	}
}

// TestWorkersShrinkDuringOutage guards against starts by what the workers had written before
// they shrank, while they could not write. The first read of the list after an outage counted
// as news of every worker on it.
func TestWorkersShrinkDuringOutage(t *testing.T) {
	const workers = 3
	for _, c := range []struct {
		name       string
		begin, end func(c *cell)
	}{
		{"store silent", func(c *cell) { c.store.SetSilent(true) }, func(c *cell) { c.store.SetSilent(false) }},
		{"store refuses", func(c *cell) { c.store.SetUnavailable(true) }, func(c *cell) { c.store.SetUnavailable(false) }},
		{"entries dropped", func(c *cell) { c.store.SetSilent(true) }, func(c *cell) {
			c.fleet.DropEntries()
			c.store.SetSilent(false)
		}},
		{"new incarnations meanwhile", func(c *cell) { c.store.SetSilent(true) }, func(c *cell) {
			for i := range workers {
				c.fleet.Worker(fmt.Sprintf("w%d", i)).Reboot()
			}
			time.Sleep(time.Second)
			c.store.SetSilent(false)
		}},
		{"leader killed meanwhile", func(c *cell) { c.store.SetSilent(true) }, func(c *cell) {
			c.vms["a"].kill()
			c.store.SetSilent(false)
		}},
		{"leader killed after it", func(c *cell) { c.store.SetSilent(true) }, func(c *cell) {
			c.store.SetSilent(false)
			time.Sleep(50 * time.Millisecond)
			c.vms["a"].kill()
		}},
		{"all VMs new", func(c *cell) { c.store.SetSilent(true) }, func(c *cell) {
			c.vms["a"].kill()
			c.vms["b"].kill()
			c.store.SetSilent(false)
			c.start("c")
		}},
		{"list silent for the leader", func(c *cell) { c.vms["a"].stream.listSilent.Store(true) }, func(c *cell) { c.vms["a"].stream.listSilent.Store(false) }},
	} {
		inEachFleet(t, c.name, workers, func(cl *cell) {
			cl.start("a")
			time.Sleep(2 * time.Second)
			v := cl.start("b")
			time.Sleep(3 * time.Second)
			// These end during the outage, and leave room to those that wait.
			cl.submit("before", tasks(workers, 7))
			time.Sleep(200 * time.Millisecond)
			for i := range workers {
				cl.submit(fmt.Sprintf("wide%d", i), tasks(1, 8))
			}
			for i := range workers {
				cl.submit(fmt.Sprintf("narrow%d", i), tasks(1, 4))
			}
			c.begin(cl)
			cl.shrinkAll(workers)
			time.Sleep(testOutage)
			c.end(cl)
			if n := cl.vms["c"]; n != nil {
				v = n
			}
			for i := range workers {
				expectPhase(cl, v, fmt.Sprintf("narrow%d", i), 12*time.Second, job.Completed)
			}
			cl.fleet.Worker("w0").SetCapacity(cores(10))
			for i := range workers {
				expectPhase(cl, v, fmt.Sprintf("wide%d", i), 30*time.Second, job.Completed)
			}
		})
	}
}

// TestWorkersAreUsedAfterOutage checks that each worker is used again as soon as it has told
// its capacity, and all of them once they would have told a change of it.
func TestWorkersAreUsedAfterOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		// changesOnly is set if an entry is rewritten only after a change.
		changesOnly bool
		// changes is set if the worker has changed.
		changes bool
		// heartbeat is the time of its first heartbeat after the outage.
		heartbeat time.Duration
		within    time.Duration
	}{
		{"rewritten", false, false, 300 * time.Millisecond, 300*time.Millisecond + 2*pollInterval},
		{"rewritten later", false, false, 900 * time.Millisecond, 900*time.Millisecond + 2*pollInterval},
		{"changed", true, true, 300 * time.Millisecond, 300*time.Millisecond + 2*pollInterval},
		{"changed later", true, true, 900 * time.Millisecond, 900*time.Millisecond + 2*pollInterval},
		{"unchanged", true, false, 300 * time.Millisecond, testHeartbeat + entryDelay + 2*pollInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cl *cell) {
				cl.register(2)
				if c.changesOnly {
					cl.fleet.WriteChangesOnly()
				}
				cl.start("a")
				time.Sleep(5 * time.Second)
				cl.submit("before", tasks(1, 4))
				time.Sleep(100 * time.Millisecond)
				cl.store.SetSilent(true)
				if c.changes {
					cl.fleet.Worker("w0").SetCapacity(cores(5))
				}
				time.Sleep(testOutage)
				cl.store.SetSilent(false)
				back := time.Now()
				cl.fleet.Worker("w0").SetHeartbeat(back.Add(c.heartbeat))
				cl.fleet.Worker("w1").SetHeartbeat(back.Add(testHeartbeat))
				cl.submit("next", tasks(1, 4))
				expectStartWithin(cl, "next", back, c.within)
			})
		})
	}
}

// TestNoStartHeldWithoutOutage checks that starts are not held while the store answers, also
// under another leader and across failures that are shorter than a heartbeat.
func TestNoStartHeldWithoutOutage(t *testing.T) {
	const within = 700 * time.Millisecond
	for _, c := range []struct {
		name   string
		inject func(c *cell)
		within time.Duration
	}{
		{"quiet", func(*cell) {}, within},
		{"leader killed", func(c *cell) { c.vms["a"].kill() }, time.Second + within},
		{"list silent for a moment", func(c *cell) {
			c.vms["a"].stream.listSilent.Store(true)
			time.Sleep(600 * time.Millisecond)
			c.vms["a"].stream.listSilent.Store(false)
		}, within},
		{"slow reads", func(c *cell) { c.store.SetReadDelay(400 * time.Millisecond) }, within + 800*time.Millisecond},
	} {
		inEachFleet(t, c.name, 2, func(cl *cell) {
			cl.start("a")
			time.Sleep(2 * time.Second)
			cl.start("b")
			time.Sleep(3 * time.Second)
			c.inject(cl)
			for i := range 20 {
				id := fmt.Sprintf("job%d", i)
				cl.submit(id, tasks(1, 1))
				expectStartWithin(cl, id, time.Now(), c.within)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// TestEntryAge checks until when a start relies on an entry whose age the worker's clock tells.
func TestEntryAge(t *testing.T) {
	opt := Options{Bounds: site.Bounds{Heartbeat: testHeartbeat, Contact: testContact}}
	asked := time.Now()
	const limit = testHeartbeat + testContact - startTimeout
	for _, c := range []struct {
		name         string
		clock, entry time.Duration
		boot         int64
		want         time.Time
	}{
		{"written as it was asked", time.Minute, time.Minute, 7, asked.Add(limit)},
		{"older by the slowest clock", time.Minute, time.Minute - 980*time.Millisecond, 7, asked.Add(limit - time.Second)},
		{"written after the answer", time.Minute, time.Minute + time.Second, 7, asked.Add(limit)},
		{"of another incarnation", time.Minute, time.Minute, 6, time.Time{}},
		{"without a clock", time.Minute, 0, 7, time.Time{}},
	} {
		l := &leadership{s: New(opt, Deps{}), workers: map[string]*worker{}}
		wk := l.workerOf("w")
		wk.boot, wk.clock, wk.clockAskedAt = 7, c.clock, asked
		wk.upstream = site.Upstream{Boot: c.boot, Clock: c.entry}
		l.confirmWritten(wk)
		if d := wk.capacityUntil.Sub(c.want).Abs(); d > time.Millisecond {
			t.Errorf("%s: known until %v, want %v", c.name, wk.capacityUntil.Sub(asked), c.want.Sub(asked))
		}
	}
}

// TestHeldWorkersAreNoOverload guards against refusals of jobs while only some workers have told
// their capacity since an outage.
func TestHeldWorkersAreNoOverload(t *testing.T) {
	const workers = 6
	inCell(t, workers, func(c *cell) {
		c.register(workers)
		a := c.start("a")
		time.Sleep(5 * time.Second)
		if n := countRefused(c, c.burst(a, "before", 4, 2*time.Second)); n > 0 {
			t.Errorf("%d jobs were refused before the outage", n)
		}
		c.store.SetSilent(true)
		c.fleet.Worker("w0").SetCapacity(cores(5))
		time.Sleep(testOutage)
		c.store.SetSilent(false)
		c.fleet.Worker("w0").SetHeartbeat(time.Now())
		for i := 1; i < workers; i++ {
			c.fleet.Worker(fmt.Sprintf("w%d", i)).SetHeartbeat(time.Now().Add(testHeartbeat))
		}
		time.Sleep(200 * time.Millisecond)
		if n := countRefused(c, c.burst(a, "after", 12, 1500*time.Millisecond)); n > 0 {
			t.Errorf("%d jobs were refused after the outage", n)
		}
	})
}

// TestCutOffWorkerShrinks guards against starts on a worker that has shrunk while it alone could not
// write, under the same leader and under another one. The others are used all the while.
func TestCutOffWorkerShrinks(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader killed: %v", kill), func(t *testing.T) {
			inCell(t, 3, func(c *cell) {
				c.register(3)
				c.start("a")
				time.Sleep(2 * time.Second)
				c.start("b")
				time.Sleep(3 * time.Second)
				w := c.fleet.Worker("w0")
				w.SetCutFromStore(true)
				w.SetCapacity(cores(2))
				time.Sleep(testHeartbeat + testContact - 200*time.Millisecond)
				if kill {
					c.vms["a"].kill()
				}
				for i := range 10 {
					id := fmt.Sprintf("job%d", i)
					c.submit(id, tasks(2, 4))
					expectStartWithin(c, id, time.Now(), 2*time.Second)
					time.Sleep(workTime / 2)
				}
				if n := w.Running(); n > 0 {
					t.Errorf("%d tasks run on the worker that is cut off", n)
				}
				w.SetCutFromStore(false)
				back := time.Now()
				c.submit("narrow", tasks(12, 2))
				for w.Running() == 0 && time.Since(back) < 3*testHeartbeat {
					time.Sleep(10 * time.Millisecond)
				}
				if w.Running() == 0 {
					t.Error("nothing runs on the worker although it has written again")
				}
			})
		})
	}
}

// TestStartIsNotRepeatedTooLate guards against the repetition of a start request that got no answer,
// once the worker may have shrunk for too long. The first request is sent shortly before that.
func TestStartIsNotRepeatedTooLate(t *testing.T) {
	for before := 100 * time.Millisecond; before <= 400*time.Millisecond; before += 50 * time.Millisecond {
		t.Run(before.String(), func(t *testing.T) {
			inCell(t, 1, func(c *cell) {
				c.register(1)
				a := c.start("a")
				time.Sleep(5 * time.Second)
				w := c.fleet.Worker("w0")
				w.SetHeartbeat(time.Now())
				time.Sleep(20 * time.Millisecond)
				w.SetCutFromStore(true)
				w.SetCapacity(cores(2))
				time.Sleep(testHeartbeat + testContact - startTimeout - before)
				w.LoseStarts(maxStartAttempts - 1)
				c.submit("job", tasks(1, 4))
				time.Sleep(2 * time.Second)
				w.SetCapacity(cores(10))
				w.SetCutFromStore(false)
				expectPhase(c, a, "job", 10*time.Second, job.Completed)
				expectStarts(c, "job", 0, 1)
			})
		})
	}
}

// TestChangeAndBackBetweenReads guards against holding all workers for ever where entries are not
// rewritten: a worker that had shrunk and grown again while the list could not be read seemed to have
// rewritten its entry.
func TestChangeAndBackBetweenReads(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.register(2)
		c.fleet.WriteChangesOnly()
		a := c.start("a")
		time.Sleep(5 * time.Second)
		for i := range 3 {
			a.stream.listSilent.Store(true)
			time.Sleep(time.Second)
			c.shrinkAll(2)
			time.Sleep(2 * testHeartbeat)
			for _, id := range []string{"w0", "w1"} {
				c.fleet.Worker(id).SetCapacity(cores(10))
			}
			time.Sleep(2 * testHeartbeat)
			a.stream.listSilent.Store(false)
			time.Sleep(10 * time.Second)
			id := fmt.Sprintf("job%d", i)
			c.submit(id, tasks(1, 4))
			expectPhase(c, a, id, 6*time.Second, job.Completed)
		}
	})
}
