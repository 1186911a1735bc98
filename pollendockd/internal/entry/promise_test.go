package entry

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/resource"
	"pollendock.example/standin/role"
)

// TestFaultPairs brings about two faults, at steps and of kinds drawn by rapid.
// make soak draws more.
func TestFaultPairs(t *testing.T) {
	var able []fault
	for _, f := range faults {
		if f.arm != nil {
			able = append(able, f)
		}
	}
	// rapid.Check cannot run its cases in bubbles of their own, so the pairs
	// are drawn first.
	type pair struct {
		s    step
		list []fault
	}
	var pairs []pair
	seed, checks := os.Getenv("POLLENDOCK_SEED"), os.Getenv("POLLENDOCK_CHECKS")
	if seed == "" {
		seed, checks = "1", "100"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %s, %s pairs", seed, checks)
	rapid.Check(t, func(rt *rapid.T) {
		s := steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]
		a := able[rapid.IntRange(0, len(able)-1).Draw(rt, "first")]
		b := able[rapid.IntRange(0, len(able)-1).Draw(rt, "second")]
		for _, f := range []fault{a, b} {
			if f.cannot != nil && f.cannot(s) != "" {
				return
			}
		}
		pairs = append(pairs, pair{s, []fault{a, b}})
	})
	for i, p := range pairs {
		t.Run(fmt.Sprintf("%d/%s/%s/%s+%s", i, p.s.story, p.s.name, p.list[0].name, p.list[1].name), func(t *testing.T) {
			t.Parallel()
			runFault(t, p.s, p.list)
		})
	}
}

// TestEntriesAndWorkerDie: two of three entry VMs and a worker die at once. The
// platform replaces them, and the worker's tasks are given up.
func TestEntriesAndWorkerDie(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.replacing.Store(true)
		c.submit(order{entry: "entry-1", tag: "long", kind: config.Batch, count: 12, run: 12 * time.Second, nonIdempotent: true})
		c.settle(3 * time.Second)
		c.kill("entry-2")
		c.kill("entry-3")
		for _, w := range c.entry("entry-1").Cell().Workers {
			if w.Durable.Slots > 0 && !strings.HasPrefix(w.Home, "entry-1") {
				c.killWorker(w.ID)
			}
		}
		c.awaitAnswers(4 * time.Minute)
	})
}

// TestLookupsNeedNoLog: the log is down for a minute, and an entry VM dies on
// the way. Durable work is refused as not run, at once.
func TestLookupsNeedNoLog(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		for i := range 3 {
			c.lookup(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("warm-%d", i), 20*time.Millisecond)
		}
		c.settle(time.Second)
		c.log.SetFaults(role.LogFaults{Down: true})
		c.settle(5 * time.Second)
		var all []*story
		for i := range 40 {
			if i == 20 {
				c.kill("entry-3")
			}
			all = append(all, c.lookup(fmt.Sprintf("entry-%d", i%2+1), fmt.Sprintf("lookup-%d", i), 20*time.Millisecond))
			c.settle(time.Second)
		}
		sent := time.Now()
		a := c.entry("entry-1").Accept(context.Background(), &JobOrder{Team: testTeam, KeyName: "k1", Spec: ledger.Spec{
			Kind: config.Batch, Size: testSize, Count: 1, Idempotent: true,
		}})
		if a.Code != code.LogDown || a.RetryAfterMs == 0 || time.Since(sent) > 100*time.Millisecond {
			t.Errorf("durable work with the log down: %+v after %s", a, time.Since(sent))
		}
		c.log.SetFaults(role.LogFaults{})
		c.settle(10 * time.Second)
		for _, s := range all {
			expectCode(t, s, code.OK)
		}
	})
}

// TestPeersPassWithdrawalOn: an entry VM that cannot reach the log has a
// withdrawal from its peers within 2 s.
func TestPeersPassWithdrawalOn(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.wires.cut("entry-3", "log", time.Minute)
		c.settle(3 * time.Second)
		s := c.operate("entry-1", "withdrawal", `{"teams":{"borea":{"keys":{"k1":null}}}}`)
		c.settle(2 * time.Second)
		expectCode(t, s, code.OK)
		if _, _, known := c.entry("entry-3").Identify(otherKey); known {
			t.Error("entry-3 still takes the key")
		}
	})
}

// TestIsolatedEntryRefuses: an entry VM that reaches neither the log nor its
// peers takes no work after the bound, and says so truthfully.
func TestIsolatedEntryRefuses(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.wires.cut("entry-3", "", time.Minute)
		c.wires.cut("", "entry-3", time.Minute)
		c.settle(isolatedAfter + 4*time.Second)
		e := c.entry("entry-3")
		if err := e.Serving(); err == nil || e.Ready() {
			t.Errorf("serving: %v, ready: %t", err, e.Ready())
		}
		c.settle(time.Minute)
		if err := e.Serving(); err != nil {
			t.Errorf("after the cut: %v", err)
		}
	})
}

// TestSplitCell: two of four entry VMs are cut off from the log and from the
// others. A withdrawal on the other side is not said to be in force while the
// cut-off side may still serve the key.
func TestSplitCell(t *testing.T) {
	runCell(t, 4, 4, func(c *testCell) {
		for _, far := range []string{"entry-3", "entry-4"} {
			for _, near := range []string{"entry-1", "entry-2", "log"} {
				c.wires.cut(far, near, 40*time.Second)
				c.wires.cut(near, far, 40*time.Second)
			}
		}
		s := c.operate("entry-1", "withdrawal", `{"teams":{"borea":{"keys":{"k1":null}}}}`)
		go c.useWithdrawnKey(s)
		c.settle(10 * time.Second)
		expectCode(t, s, code.Pending)
		for _, far := range []string{"entry-3", "entry-4"} {
			if c.entry(far).Serving() == nil {
				t.Errorf("%s still serves, with half of the cell and no log", far)
			}
		}
		c.settle(time.Minute)
	})
}

// TestOperatorRace: of two patches on one version exactly one is accepted, and
// every entry VM has the same one.
func TestOperatorRace(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		answers := make(chan code.Code, 2)
		for i := range 2 {
			go func() {
				a := c.publish(fmt.Sprintf("entry-%d", i+1), 1, fmt.Sprintf(`{"teams":{"borea":{"share":%d}}}`, i+5))
				answers <- a.Code
			}()
		}
		first, second := <-answers, <-answers
		if !(first == code.OK && second == code.StaleBase || first == code.StaleBase && second == code.OK) {
			t.Errorf("answers %s and %s", first, second)
		}
		want, _ := c.entry("entry-1").Document()
		for _, e := range c.all() {
			id := e.id
			document, number := e.Document()
			if number != 2 || document.Teams[otherTeam].Share != want.Teams[otherTeam].Share {
				t.Errorf("%s has version %d with share %d", id, number, document.Teams[otherTeam].Share)
			}
		}
	})
}

// TestVersionNeverReverts: a configuration outlives the retention of its
// records, also for an entry VM that starts after that, and at no entry VM is a
// lower version seen after a higher one.
func TestVersionNeverReverts(t *testing.T) {
	inBubble(t, 3, 4, func(c *testCell) {
		c.log.SetRetention(2 * time.Minute)
		highest := map[string]int64{}
		look := func() {
			for _, e := range c.all() {
				id := e.id
				_, number := e.Document()
				if number < highest[id] {
					t.Errorf("%s went from version %d to %d", id, highest[id], number)
				}
				highest[id] = number
			}
		}
		for v := int64(1); v <= 20; v++ {
			if a := c.publish("entry-1", v, fmt.Sprintf(`{"teams":{"borea":{"share":%d}}}`, v)); a.Code != code.OK {
				t.Fatalf("version %d: %+v", v+1, a.Answer)
			}
			look()
			c.settle(time.Minute)
		}
		c.kill("entry-2")
		c.startEntry("entry-4", 3)
		c.settle(20 * time.Second)
		look()
		if _, number := c.entry("entry-4").Document(); number != 21 {
			t.Errorf("the new entry VM has version %d, want 21", number)
		}
		c.log.SetFaults(role.LogFaults{Down: true})
		c.startEntry("entry-5", 4)
		c.settle(20 * time.Second)
		if _, number := c.entry("entry-5").Document(); number != 21 {
			t.Errorf("with the log down a new entry VM has version %d from its peers, want 21", number)
		}
	})
}

// TestConfirmedEverywhere: once one entry VM has said that a version is in force
// everywhere, no other one names a VM that has not confirmed it, at whatever
// point between two heartbeats it is asked.
func TestConfirmedEverywhere(t *testing.T) {
	const rounds = 20
	runCell(t, 3, 2, func(c *testCell) {
		// The heartbeats of this one come between those of the others.
		c.settle(exchangeEvery / 2)
		c.startEntry("entry-4", 3)
		c.settle(5 * time.Second)
		for i := range rounds {
			a := c.publish("entry-4", int64(i+1), fmt.Sprintf(`{"teams":{%q:{"share":%d}}}`, testTeam, i+2))
			if a.Code != code.OK {
				t.Fatalf("patch %d: %+v", i, a)
			}
			for _, e := range c.all() {
				if missing := e.Unconfirmed(); len(missing) > 0 {
					t.Errorf("patch %d: %s says that %v have not confirmed it", i, e.id, missing)
				}
			}
			c.settle(exchangeEvery + 37*time.Millisecond)
		}
	})
}

// TestUnreachableIsNamed: a VM that cannot be asked is named as not having
// confirmed, and the operator is not kept waiting for it.
func TestUnreachableIsNamed(t *testing.T) {
	runCell(t, 4, 2, func(c *testCell) {
		c.wires.cut("entry-3", "", 20*time.Second)
		c.wires.cut("", "entry-3", 20*time.Second)
		go c.publish("entry-1", 1, fmt.Sprintf(`{"teams":{%q:{"share":3}}}`, testTeam))
		c.settle(time.Second)
		asked := time.Now()
		missing := c.entry("entry-2").Unconfirmed()
		if len(missing) != 1 || !strings.HasPrefix(missing[0], "entry-3") {
			t.Errorf("not confirmed by %v, want entry-3", missing)
		}
		if took := time.Since(asked); took > 2*peerAlive {
			t.Errorf("answered after %v", took)
		}
	})
}

// TestRepeatsThroughAnyEntry: a repeat of a non-idempotent request gets the
// first one's outcome, and another request under its key is refused.
func TestRepeatsThroughAnyEntry(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		o := order{entry: "entry-1", tag: "wage", kind: config.Batch, run: time.Second, nonIdempotent: true}
		first := c.submit(o)
		o.entry = "entry-2"
		second := c.submit(o)
		c.settle(5 * time.Second)
		o.entry = "entry-3"
		third := c.submit(o)
		c.settle(2 * time.Second)
		for _, s := range []*story{first, second, third} {
			expectCode(t, s, code.OK)
			if s.answer.Job != first.answer.Job {
				t.Errorf("job %s, want %s", s.answer.Job, first.answer.Job)
			}
		}
		spec := ledger.Spec{Kind: config.Batch, Size: testSize, Count: 1, IdempotencyKey: "wage", IssuedAt: time.Now(), Digest: "other"}
		a := c.entry("entry-2").Accept(context.Background(), &JobOrder{Team: testTeam, KeyName: "k1", Spec: spec})
		if a.Code != code.KeyReused {
			t.Errorf("another request under the key: %s", a.Name)
		}
		spec.IdempotencyKey, spec.IssuedAt = "old", time.Now().Add(-ledger.OutcomeRetention-time.Minute)
		a = c.entry("entry-2").Accept(context.Background(), &JobOrder{Team: testTeam, KeyName: "k1", Spec: spec})
		if a.Code != code.KeyTooOld {
			t.Errorf("a key older than the window: %s", a.Name)
		}
	})
}

// TestNeverFits: work that can never run is refused at once, with the reason.
func TestNeverFits(t *testing.T) {
	cases := []struct {
		name string
		o    order
	}{
		{"larger than any worker", order{kind: config.Batch, size: resource.Vector{MilliCPU: 9000, MemoryMB: 1, Slots: 1}}},
		{"gang larger than the limit", order{kind: config.Gang, count: 13}},
		{"accelerators that no worker has", order{kind: config.Batch, size: resource.Vector{MilliCPU: 1, MemoryMB: 1, Accelerators: 2, Slots: 1}}},
		{"gang larger than the cell", order{kind: config.Gang, count: 3, size: resource.Vector{MilliCPU: 1, MemoryMB: 9000, Accelerators: 1, Slots: 1}}},
	}
	runCell(t, 3, 2, func(c *testCell) {
		for _, tc := range cases {
			tc.o.entry, tc.o.tag = "entry-1", tc.name
			s := c.submit(tc.o)
			c.settle(500 * time.Millisecond)
			expectCode(t, s, code.NeverFits)
		}
	})
}

// TestGracefulStop: every request at an entry VM that stops gets a whole
// answer, and its work goes on.
func TestGracefulStop(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		var all []*story
		for i := range 60 {
			if i == 30 {
				go c.stop(c.otherHome())
			}
			if i == 55 {
				// By now the balancer has seen that the VM is not ready.
				break
			}
			all = append(all, c.lookup(fmt.Sprintf("entry-%d", i%3+1), fmt.Sprintf("lookup-%d", i), 200*time.Millisecond))
			c.settle(20 * time.Millisecond)
		}
		batch := c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 4, run: 5 * time.Second, nonIdempotent: true})
		c.settle(20 * time.Second)
		expectCode(t, batch, code.OK)
		for _, s := range all {
			// The balancer may send requests after the stop began; they may be
			// refused, but not cut.
			if s.answer.Code != code.NotReady {
				expectCode(t, s, code.OK)
			}
		}
	})
}

// TestLeavingWorker: no new work after a few seconds; services move.
func TestLeavingWorker(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.submit(order{entry: "entry-1", tag: "service", kind: config.Service, count: 4, run: -time.Millisecond}).budget = 0
		c.settle(2 * time.Second)
		c.leave("worker-1")
		for i := range 10 {
			c.submit(order{entry: "entry-1", tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, run: 300 * time.Millisecond})
			c.settle(time.Second)
		}
		c.settle(5 * time.Second)
		used, _ := c.workers["worker-1"].Used()
		if used.Slots != 0 {
			t.Errorf("worker-1 still holds %s", used)
		}
		c.stories = c.stories[1:]
	})
}

// TestFailingWorker: a worker that fails everything it starts gets few tasks,
// and is used again once it works.
func TestFailingWorker(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.workers["worker-1"].SetFaults(role.WorkerFaults{FailTasks: true})
		var all []*story
		for i := range 40 {
			all = append(all, c.lookup("entry-1", fmt.Sprintf("lookup-%d", i), 20*time.Millisecond))
			all = append(all, c.submit(order{entry: "entry-2", tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, run: 20 * time.Millisecond}))
			c.settle(250 * time.Millisecond)
		}
		c.settle(10 * time.Second)
		for _, s := range all {
			expectCode(t, s, code.OK)
		}
		if n := len(c.workers["worker-1"].Runs()); n > 20 {
			t.Errorf("the failing worker was given %d tasks", n)
		}
	})
}

// TestCancelWave: thousands of queued and running jobs are canceled in bounded
// time, and what started is never said not to have run.
func TestCancelWave(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		const jobs = 1000
		for i := range jobs {
			c.submit(order{entry: fmt.Sprintf("entry-%d", i%3+1), tag: fmt.Sprintf("job-%d", i), kind: config.Batch, count: 4, run: time.Minute})
		}
		c.settle(6 * time.Second)
		start := time.Now()
		c.cancelAll()
		c.awaitAnswers(time.Minute)
		if took := time.Since(start); took > 10*time.Second {
			t.Errorf("%d jobs canceled after %s", jobs, took)
		}
	})
}

// TestQueueBounds: a team's queue is bounded; what is refused has not run.
func TestQueueBounds(t *testing.T) {
	runCell(t, 3, 2, func(c *testCell) {
		if a := c.publish("entry-1", 1, `{"teams":{"atlas":{"queueCount":20}}}`); a.Code != code.OK {
			t.Fatal(a.Answer)
		}
		full := 0
		for i := range 30 {
			a := c.entry("entry-1").Accept(context.Background(), &JobOrder{Team: testTeam, KeyName: "k1", Spec: ledger.Spec{
				Kind: config.Batch, Size: testSize, Count: 4, Idempotent: true, Payload: payload(fmt.Sprintf("job-%d", i), time.Hour),
			}})
			if a.Code == code.QueueFull {
				full++
			}
		}
		if full < 20 {
			t.Errorf("%d of 30 jobs were refused", full)
		}
	})
}

// TestUrgentDisplacesBatch: urgent work starts within 3.5 s in a cell full of
// batch work, and the batch work ends all the same.
func TestUrgentDisplacesBatch(t *testing.T) {
	runCell(t, 3, 2, func(c *testCell) {
		batch := c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 8, run: 20 * time.Second})
		c.settle(2 * time.Second)
		urgent := c.submit(order{entry: "entry-2", tag: "urgent", kind: config.Batch, run: 100 * time.Millisecond, urgent: true})
		c.settle(4 * time.Second)
		expectCode(t, urgent, code.OK)
		if urgent.took > 3600*time.Millisecond {
			t.Errorf("urgent work ended after %s", urgent.took)
		}
		c.awaitAnswers(2 * time.Minute)
		expectCode(t, batch, code.OK)
	})
}

// TestGangInBusyCell: a gang as large as the cell gets its turn while batch
// work keeps coming, and the batch work gets its turn too.
func TestGangInBusyCell(t *testing.T) {
	runCell(t, 3, 3, func(c *testCell) {
		for i := range 30 {
			c.submit(order{entry: fmt.Sprintf("entry-%d", i%3+1), tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, count: 4, run: 2 * time.Second})
		}
		gang := c.submit(order{entry: "entry-1", tag: "gang", kind: config.Gang, count: 12, run: time.Second})
		c.awaitAnswers(3 * time.Minute)
		expectCode(t, gang, code.OK)
	})
}

// TestLimitHolds: lookups and durable work of one team together stay within
// its limit, which the judge checks, and all of it is served in the end.
func TestLimitHolds(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		var all []*story
		for i := range 12 {
			all = append(all, c.submit(order{entry: fmt.Sprintf("entry-%d", i%3+1), tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, count: 4, run: 2 * time.Second}))
		}
		for i := range 60 {
			c.lookup(fmt.Sprintf("entry-%d", i%3+1), fmt.Sprintf("lookup-%d", i), 100*time.Millisecond)
			c.settle(100 * time.Millisecond)
		}
		c.awaitAnswers(2 * time.Minute)
		for _, s := range all {
			expectCode(t, s, code.OK)
		}
	})
}

// TestAssign: every worker has one home and no entry VM more than its part. With
// one entry VM less, only its workers move.
func TestAssign(t *testing.T) {
	var workers []assignment
	for i := range 50 {
		workers = append(workers, assignment{fmt.Sprintf("worker-%03d", i), "gone"})
	}
	cases := []struct {
		nodes []string
		bound int
	}{
		{nil, 0},
		{[]string{"a"}, 50},
		{[]string{"a", "b", "c"}, 17},
		{[]string{"a", "b", "c", "d", "e", "f"}, 9},
	}
	for _, tc := range cases {
		load := map[string]int{}
		for _, node := range assign(workers, tc.nodes) {
			load[node]++
		}
		total := 0
		for node, n := range load {
			total += n
			if n > tc.bound {
				t.Errorf("%d nodes: %s has %d workers, at most %d", len(tc.nodes), node, n, tc.bound)
			}
		}
		if len(tc.nodes) > 0 && total != len(workers) {
			t.Errorf("%d nodes: %d workers assigned", len(tc.nodes), total)
		}
	}
	six := assign(workers, cases[3].nodes)
	for i := range workers {
		workers[i].home = six[workers[i].worker]
	}
	for worker, node := range assign(workers, []string{"a", "b", "c", "d", "e"}) {
		if six[worker] != "f" && six[worker] != node {
			t.Errorf("%s moved from %s to %s", worker, six[worker], node)
		}
	}
}
