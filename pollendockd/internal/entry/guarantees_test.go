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
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
	"pollendock.example/standin/memplatform"
)

// TestFaultPairs injects two random faults at a random step. make soak runs more
// of these pairs.
func TestFaultPairs(t *testing.T) {
	var injectable []fault
	for _, f := range faults {
		if f.arm != nil {
			injectable = append(injectable, f)
		}
	}
	// rapid.Check cannot run its cases in separate bubbles, so the pairs are
	// drawn first.
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
		a := injectable[rapid.IntRange(0, len(injectable)-1).Draw(rt, "first")]
		b := injectable[rapid.IntRange(0, len(injectable)-1).Draw(rt, "second")]
		for _, f := range []fault{a, b} {
			if f.inapplicable != nil && f.inapplicable(s) != "" {
				return
			}
		}
		pairs = append(pairs, pair{s, []fault{a, b}})
	})
	for i, p := range pairs {
		t.Run(fmt.Sprintf("%d/%s/%s/%s+%s", i, p.s.scenario, p.s.name, p.list[0].name, p.list[1].name), func(t *testing.T) {
			t.Parallel()
			runFault(t, p.s, p.list)
		})
	}
}

// TestEntriesAndWorkerDie kills two of three entry VMs and a worker at once. The
// platform replaces them, and the worker's tasks are given up.
func TestEntriesAndWorkerDie(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.replacing.Store(true)
		c.submit(jobParams{entry: "entry-1", tag: "long", kind: config.Batch, count: 12, run: 12 * time.Second, nonIdempotent: true})
		c.wait(3 * time.Second)
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

// TestResultCutInClaim kills an entry VM while its workers run tasks. The results
// that the claims of the next owner report are truncated once. The other tasks on
// these workers must not start elsewhere.
func TestResultCutInClaim(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.submit(jobParams{entry: "entry-1", tag: "short", kind: config.Batch, count: 6, run: 3500 * time.Millisecond, nonIdempotent: true})
		c.submit(jobParams{entry: "entry-1", tag: "long", kind: config.Batch, count: 6, run: 40 * time.Second, nonIdempotent: true})
		c.wait(3 * time.Second)
		claimed := map[string]bool{}
		c.tamper.claim = func(claim *platform.Claim) {
			for i := range claim.Tasks {
				task := &claim.Tasks[i]
				if task.State == platform.Ended && !claimed[task.Attempt] {
					claimed[task.Attempt] = true
					task.Data = task.Data[:len(task.Data)/2]
				}
			}
		}
		c.kill(c.ownerOfTask("short"))
		c.awaitAnswers(250 * time.Second)
		if len(claimed) == 0 {
			t.Error("no claim reported a result")
		}
	})
}

// ownerOfTask returns the entry VM that owns a worker with a task of the tag.
func (c *testCell) ownerOfTask(tag string) string {
	for _, w := range c.entry("entry-1").Cell().Workers {
		for _, r := range c.worker(w.ID).Runs() {
			if r.Tag == tag {
				id, _, _ := strings.Cut(w.Home, "~")
				return id
			}
		}
	}
	c.t.Fatalf("no worker runs a task of %s", tag)
	return ""
}

// TestLookupsNeedNoLog takes the log down for 45 s and kills an entry VM
// meanwhile. Lookups must still be served, and durable work must be refused at
// once as not run.
func TestLookupsNeedNoLog(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		for i := range 3 {
			c.lookup(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("warm-%d", i), 20*time.Millisecond)
		}
		c.wait(time.Second)
		c.log.SetFaults(memplatform.LogFaults{Down: true})
		c.wait(5 * time.Second)
		var all []*trackedRequest
		for i := range 40 {
			if i == 20 {
				c.kill("entry-3")
			}
			all = append(all, c.lookup(fmt.Sprintf("entry-%d", i%2+1), fmt.Sprintf("lookup-%d", i), 20*time.Millisecond))
			c.wait(time.Second)
		}
		sent := time.Now()
		a := c.entry("entry-1").Accept(context.Background(), &AuthenticatedJob{Team: testTeam, KeyName: "k1", Spec: ledger.Spec{
			Kind: config.Batch, Size: testSize, Count: 1, Idempotent: true,
		}})
		if a.Code != code.LogDown || a.RetryAfterMs == 0 || time.Since(sent) > 100*time.Millisecond {
			t.Errorf("durable work with the log down: %+v after %s", a, time.Since(sent))
		}
		c.log.SetFaults(memplatform.LogFaults{})
		c.wait(10 * time.Second)
		for _, req := range all {
			expectCode(t, req, code.OK)
		}
	})
}

// TestPeersRelayRevocation checks that an entry VM without access to the log
// learns of a key revocation from its peers within 2 s.
func TestPeersRelayRevocation(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.network.cut("entry-3", "log", time.Minute)
		c.wait(3 * time.Second)
		req := c.publishUntilFinal("entry-1", "withdrawal", `{"teams":{"borea":{"keys":{"k1":null}}}}`)
		c.wait(2 * time.Second)
		expectCode(t, req, code.OK)
		if _, _, known := c.entry("entry-3").Identify(otherKey); known {
			t.Error("entry-3 still accepts the revoked key")
		}
	})
}

// TestIsolatedEntryRefuses checks that an entry VM that reaches neither the log
// nor its peers refuses work after isolatedAfter, reports itself as not ready,
// and recovers.
func TestIsolatedEntryRefuses(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.network.cut("entry-3", "", time.Minute)
		c.network.cut("", "entry-3", time.Minute)
		c.wait(isolatedAfter + 4*time.Second)
		e := c.entry("entry-3")
		if err := e.Serving(); err == nil || e.Ready() {
			t.Errorf("serving: %v, ready: %t", err, e.Ready())
		}
		c.wait(time.Minute)
		if err := e.Serving(); err != nil {
			t.Errorf("after the partition: %v", err)
		}
	})
}

// TestReadyEntryTakesRecords guards against an entry VM that reports itself as ready before it has
// joined, and refuses what callers then send.
func TestReadyEntryTakesRecords(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.wait(3 * time.Second)
		c.log.SetFaults(memplatform.LogFaults{Delay: 500 * time.Millisecond})
		e := c.startEntry("entry-4", 3)
		for end := time.Now().Add(10 * time.Second); !e.Ready(); c.wait(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the entry VM is not ready")
			}
		}
		if a := c.publish("entry-4", 1, `{"teams":{"borea":{"share":2}}}`); a.Code != code.OK && a.Code != code.Pending {
			t.Errorf("an entry VM that is ready answers %d %s (%s)", a.Code, a.Name, a.Detail)
		}
	})
}

// TestPartition cuts two of four entry VMs off from the log and the other two. A
// revocation must not be reported as active everywhere while the other side may
// still accept the key.
func TestPartition(t *testing.T) {
	runCell(t, 4, 4, func(c *testCell) {
		for _, far := range []string{"entry-3", "entry-4"} {
			for _, near := range []string{"entry-1", "entry-2", "log"} {
				c.network.cut(far, near, 40*time.Second)
				c.network.cut(near, far, 40*time.Second)
			}
		}
		req := c.publishUntilFinal("entry-1", "withdrawal", `{"teams":{"borea":{"keys":{"k1":null}}}}`)
		go c.useRevokedKey(req)
		c.wait(10 * time.Second)
		expectCode(t, req, code.Pending)
		for _, far := range []string{"entry-3", "entry-4"} {
			if c.entry(far).Serving() == nil {
				t.Errorf("%s still serves while it reaches neither the log nor a majority", far)
			}
		}
		c.wait(time.Minute)
	})
}

// TestConcurrentPatches checks that exactly one of two patches to the same
// version is accepted, and that all entry VMs apply the same one.
func TestConcurrentPatches(t *testing.T) {
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

// TestVersionNeverReverts checks that a configuration outlives the retention of
// its log records, also for entry VMs that start later, and that no entry VM
// goes back to a lower version.
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
			c.wait(time.Minute)
		}
		c.kill("entry-2")
		c.startEntry("entry-4", 3)
		c.wait(20 * time.Second)
		look()
		if _, number := c.entry("entry-4").Document(); number != 21 {
			t.Errorf("the new entry VM has version %d, want 21", number)
		}
		c.log.SetFaults(memplatform.LogFaults{Down: true})
		c.startEntry("entry-5", 4)
		c.wait(20 * time.Second)
		if _, number := c.entry("entry-5").Document(); number != 21 {
			t.Errorf("with the log down a new entry VM has version %d from its peers, want 21", number)
		}
	})
}

// TestConfirmedEverywhere checks that once an entry VM has reported a version as
// active everywhere, no other one reports a VM as unconfirmed, at whatever time
// between two heartbeats it is asked.
func TestConfirmedEverywhere(t *testing.T) {
	const rounds = 20
	runCell(t, 3, 2, func(c *testCell) {
		// Shifts the heartbeats of entry-4 against those of the others.
		c.wait(exchangeInterval / 2)
		c.startEntry("entry-4", 3)
		c.wait(5 * time.Second)
		for i := range rounds {
			a := c.publish("entry-4", int64(i+1), fmt.Sprintf(`{"teams":{%q:{"share":%d}}}`, testTeam, i+2))
			if a.Code != code.OK {
				t.Fatalf("patch %d: %+v", i, a)
			}
			for _, e := range c.all() {
				if missing := e.Unconfirmed(); len(missing) > 0 {
					t.Errorf("patch %d: %s reports %v as unconfirmed", i, e.id, missing)
				}
			}
			c.wait(exchangeInterval + 37*time.Millisecond)
		}
	})
}

// TestUnreachableReportedUnconfirmed checks that an unreachable VM is reported
// as unconfirmed without a long wait.
func TestUnreachableReportedUnconfirmed(t *testing.T) {
	runCell(t, 4, 2, func(c *testCell) {
		c.network.cut("entry-3", "", 20*time.Second)
		c.network.cut("", "entry-3", 20*time.Second)
		go c.publish("entry-1", 1, fmt.Sprintf(`{"teams":{%q:{"share":3}}}`, testTeam))
		c.wait(time.Second)
		asked := time.Now()
		missing := c.entry("entry-2").Unconfirmed()
		if len(missing) != 1 || !strings.HasPrefix(missing[0], "entry-3") {
			t.Errorf("unconfirmed by %v, want entry-3", missing)
		}
		if took := time.Since(asked); took > 2*peerTimeout {
			t.Errorf("answered after %v", took)
		}
	})
}

// TestIdempotencyKeys checks that a repeat of a non-idempotent request through
// any entry VM gets the outcome of the first one, and that another request with
// the same key is refused.
func TestIdempotencyKeys(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		params := jobParams{entry: "entry-1", tag: "wage", kind: config.Batch, run: time.Second, nonIdempotent: true}
		first := c.submit(params)
		params.entry = "entry-2"
		second := c.submit(params)
		c.wait(5 * time.Second)
		params.entry = "entry-3"
		third := c.submit(params)
		c.wait(2 * time.Second)
		for _, req := range []*trackedRequest{first, second, third} {
			expectCode(t, req, code.OK)
			if req.answer.Job != first.answer.Job {
				t.Errorf("job %s, want %s", req.answer.Job, first.answer.Job)
			}
		}
		spec := ledger.Spec{Kind: config.Batch, Size: testSize, Count: 1, IdempotencyKey: "wage", IssuedAt: time.Now(), Digest: "other"}
		a := c.entry("entry-2").Accept(context.Background(), &AuthenticatedJob{Team: testTeam, KeyName: "k1", Spec: spec})
		if a.Code != code.KeyReused {
			t.Errorf("another request with the same key: %s", a.Name)
		}
		spec.IdempotencyKey, spec.IssuedAt = "old", time.Now().Add(-ledger.OutcomeRetention-time.Minute)
		a = c.entry("entry-2").Accept(context.Background(), &AuthenticatedJob{Team: testTeam, KeyName: "k1", Spec: spec})
		if a.Code != code.KeyTooOld {
			t.Errorf("a key older than the window: %s", a.Name)
		}
	})
}

// TestNeverFits checks that work that can never run is refused at once, with the
// NeverFits code.
func TestNeverFits(t *testing.T) {
	cases := []struct {
		name   string
		params jobParams
	}{
		{"larger than any worker", jobParams{kind: config.Batch, size: resource.Vector{MilliCPU: 9000, MemoryMB: 1, Slots: 1}}},
		{"gang larger than the limit", jobParams{kind: config.Gang, count: 13}},
		{"accelerators that no worker has", jobParams{kind: config.Batch, size: resource.Vector{MilliCPU: 1, MemoryMB: 1, Accelerators: 2, Slots: 1}}},
		{"gang larger than the cell", jobParams{kind: config.Gang, count: 3, size: resource.Vector{MilliCPU: 1, MemoryMB: 9000, Accelerators: 1, Slots: 1}}},
	}
	runCell(t, 3, 2, func(c *testCell) {
		for _, tc := range cases {
			tc.params.entry, tc.params.tag = "entry-1", tc.name
			req := c.submit(tc.params)
			c.wait(500 * time.Millisecond)
			expectCode(t, req, code.NeverFits)
		}
	})
}

// TestGracefulStop checks that every request at a stopping entry VM gets a
// complete answer, and that durable work ends.
func TestGracefulStop(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		var all []*trackedRequest
		for i := range 60 {
			if i == 30 {
				go c.stop(c.otherOwner())
			}
			if i == 55 {
				// By now the load balancer has noticed that the VM is not ready.
				break
			}
			all = append(all, c.lookup(fmt.Sprintf("entry-%d", i%3+1), fmt.Sprintf("lookup-%d", i), 200*time.Millisecond))
			c.wait(20 * time.Millisecond)
		}
		batch := c.submit(jobParams{entry: "entry-1", tag: "batch", kind: config.Batch, count: 4, run: 5 * time.Second, nonIdempotent: true})
		c.wait(20 * time.Second)
		expectCode(t, batch, code.OK)
		for _, req := range all {
			// The load balancer may still send requests after the stop has
			// begun. They may be refused, but must be answered.
			if req.answer.Code != code.NotReady {
				expectCode(t, req, code.OK)
			}
		}
	})
}

// TestLeavingWorker checks that a leaving worker gets no new work after a few
// seconds and that its services move to other workers.
func TestLeavingWorker(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.submit(jobParams{entry: "entry-1", tag: "service", kind: config.Service, count: 4, run: -time.Millisecond}).budget = 0
		c.wait(2 * time.Second)
		c.markLeaving("worker-1")
		for i := range 10 {
			c.submit(jobParams{entry: "entry-1", tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, run: 300 * time.Millisecond})
			c.wait(time.Second)
		}
		c.wait(5 * time.Second)
		used, _ := c.workers["worker-1"].Used()
		if used.Slots != 0 {
			t.Errorf("worker-1 still runs tasks of size %s", used)
		}
		c.requests = c.requests[1:]
	})
}

// TestFailingWorker checks that a worker on which every task fails gets few
// tasks.
func TestFailingWorker(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		c.workers["worker-1"].SetFaults(memplatform.WorkerFaults{FailTasks: true})
		var all []*trackedRequest
		for i := range 40 {
			all = append(all, c.lookup("entry-1", fmt.Sprintf("lookup-%d", i), 20*time.Millisecond))
			all = append(all, c.submit(jobParams{entry: "entry-2", tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, run: 20 * time.Millisecond}))
			c.wait(250 * time.Millisecond)
		}
		c.wait(10 * time.Second)
		for _, req := range all {
			expectCode(t, req, code.OK)
		}
		if n := len(c.workers["worker-1"].Runs()); n > 20 {
			t.Errorf("the failing worker got %d tasks", n)
		}
	})
}

// TestBulkCancel checks that 1000 queued and running jobs are canceled in
// bounded time, and that no started task is reported as not run.
func TestBulkCancel(t *testing.T) {
	runCell(t, 3, 4, func(c *testCell) {
		const jobs = 1000
		for i := range jobs {
			c.submit(jobParams{entry: fmt.Sprintf("entry-%d", i%3+1), tag: fmt.Sprintf("job-%d", i), kind: config.Batch, count: 4, run: time.Minute})
		}
		c.wait(6 * time.Second)
		start := time.Now()
		c.cancelAll()
		c.awaitAnswers(time.Minute)
		if took := time.Since(start); took > 10*time.Second {
			t.Errorf("%d jobs canceled after %s", jobs, took)
		}
	})
}

// TestQueueBounds checks that a team's queue is bounded and that refused jobs do
// not run.
func TestQueueBounds(t *testing.T) {
	runCell(t, 3, 2, func(c *testCell) {
		if a := c.publish("entry-1", 1, `{"teams":{"atlas":{"queueCount":20}}}`); a.Code != code.OK {
			t.Fatal(a.Answer)
		}
		full := 0
		for i := range 30 {
			a := c.entry("entry-1").Accept(context.Background(), &AuthenticatedJob{Team: testTeam, KeyName: "k1", Spec: ledger.Spec{
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

// TestUrgentPreemptsBatch checks that urgent work starts within 3.5 s in a cell
// full of batch work, and that the batch work still ends.
func TestUrgentPreemptsBatch(t *testing.T) {
	runCell(t, 3, 2, func(c *testCell) {
		batch := c.submit(jobParams{entry: "entry-1", tag: "batch", kind: config.Batch, count: 8, run: 20 * time.Second})
		c.wait(2 * time.Second)
		urgent := c.submit(jobParams{entry: "entry-2", tag: "urgent", kind: config.Batch, run: 100 * time.Millisecond, urgent: true})
		c.wait(4 * time.Second)
		expectCode(t, urgent, code.OK)
		if urgent.took > 3600*time.Millisecond {
			t.Errorf("urgent work ended after %s", urgent.took)
		}
		c.awaitAnswers(2 * time.Minute)
		expectCode(t, batch, code.OK)
	})
}

// TestUrgentPrecedesPreemptedBatch checks that urgent work gets the capacity of the
// batch work that was stopped for it, whichever VM is its primary scheduler.
func TestUrgentPrecedesPreemptedBatch(t *testing.T) {
	runCell(t, 3, 1, func(c *testCell) {
		for i := range 4 {
			c.submit(jobParams{entry: "entry-1", tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, run: 20 * time.Second})
		}
		c.wait(2 * time.Second)
		for i := range 8 {
			urgent := c.submit(jobParams{entry: "entry-2", tag: fmt.Sprintf("urgent-%d", i), kind: config.Batch, run: 100 * time.Millisecond, urgent: true})
			c.wait(4 * time.Second)
			expectCode(t, urgent, code.OK)
			if urgent.took > 3600*time.Millisecond {
				t.Errorf("%s ended after %s", urgent.tag, urgent.took)
			}
		}
		c.awaitAnswers(2 * time.Minute)
	})
}

// TestGangInBusyCell checks that a gang as large as the cell is scheduled while
// batch work keeps arriving, and that the batch work is not starved either.
func TestGangInBusyCell(t *testing.T) {
	runCell(t, 3, 3, func(c *testCell) {
		for i := range 30 {
			c.submit(jobParams{entry: fmt.Sprintf("entry-%d", i%3+1), tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, count: 4, run: 2 * time.Second})
		}
		gang := c.submit(jobParams{entry: "entry-1", tag: "gang", kind: config.Gang, count: 12, run: time.Second})
		c.awaitAnswers(3 * time.Minute)
		expectCode(t, gang, code.OK)
	})
}

// TestLimitHolds checks that all durable work of a team is served while its
// lookups compete for the same limit. The history checker verifies that both
// together stay within the limit.
func TestLimitHolds(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		var all []*trackedRequest
		for i := range 12 {
			all = append(all, c.submit(jobParams{entry: fmt.Sprintf("entry-%d", i%3+1), tag: fmt.Sprintf("batch-%d", i), kind: config.Batch, count: 4, run: 2 * time.Second}))
		}
		for i := range 60 {
			c.lookup(fmt.Sprintf("entry-%d", i%3+1), fmt.Sprintf("lookup-%d", i), 100*time.Millisecond)
			c.wait(100 * time.Millisecond)
		}
		c.awaitAnswers(2 * time.Minute)
		for _, req := range all {
			expectCode(t, req, code.OK)
		}
	})
}

// TestAssign checks that every worker gets one owner and no entry VM more than
// its even share. When an entry VM is removed, only its workers move.
func TestAssign(t *testing.T) {
	var workers []ownedWorker
	for i := range 50 {
		workers = append(workers, ownedWorker{fmt.Sprintf("worker-%03d", i), "gone"})
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
		for _, node := range assignOwners(workers, tc.nodes) {
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
	six := assignOwners(workers, cases[3].nodes)
	for i := range workers {
		workers[i].owner = six[workers[i].worker]
	}
	for worker, node := range assignOwners(workers, []string{"a", "b", "c", "d", "e"}) {
		if six[worker] != "f" && six[worker] != node {
			t.Errorf("%s moved from %s to %s", worker, six[worker], node)
		}
	}
}
