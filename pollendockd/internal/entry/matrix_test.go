package entry

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/standin/role"
)

type (
	// step is a point of a story, found by the call that passes a wire there.
	step struct {
		story string
		name  string
		match func(c call) bool
	}

	// fault is brought about at a step.
	fault struct {
		name string
		// arm fills in the rule that fires at the step.
		arm func(c *testCell, r *rule, at *call)
		// cannot says why the fault cannot occur at a step; empty if it can.
		cannot func(s step) string
	}

	// play runs a story from before its first step to after its last.
	play struct {
		name string
		run  func(c *testCell)
	}
)

// faultTime is how long a passing fault lasts: longer than every lease but the
// bound after which a worker is lost.
const faultTime = 20 * time.Second

func opIs(op string) func(c call) bool {
	return func(c call) bool { return c.op == op }
}

func appendOf(kind string) func(c call) bool {
	return func(c call) bool { return c.op == "append" && strings.Contains(c.kinds, kind) }
}

var plays = []play{
	{"lookup", func(c *testCell) { c.lookup("entry-1", "lookup", 50*time.Millisecond) }},
	{"batch", func(c *testCell) {
		c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 3, run: 3 * time.Second})
	}},
	{"settlement", func(c *testCell) {
		c.submit(order{entry: "entry-1", tag: "settlement", kind: config.Batch, run: 3 * time.Second, nonIdempotent: true})
	}},
	{"gang", func(c *testCell) {
		c.submit(order{entry: "entry-1", tag: "gang", kind: config.Gang, count: 12, run: 3 * time.Second})
	}},
	{"patch", func(c *testCell) { c.operate("entry-1", "patch", `{"teams":{"borea":{"share":2}}}`) }},
	{"withdrawal", func(c *testCell) {
		s := c.operate("entry-1", "withdrawal", `{"teams":{"borea":{"keys":{"k1":null}}}}`)
		go c.useWithdrawnKey(s)
	}},
	{"limit", func(c *testCell) {
		c.submit(order{entry: "entry-1", tag: "before", kind: config.Batch, count: 8, run: 30 * time.Second})
		c.settle(2 * time.Second)
		c.operate("entry-1", "lower", `{"teams":{"atlas":{"limit":{"milliCpu":4000}}}}`)
	}},
	{"takeover", func(c *testCell) {
		c.submit(order{entry: "entry-1", tag: "long", kind: config.Batch, count: 6, run: 12 * time.Second, nonIdempotent: true})
		c.settle(time.Second)
		c.kill(c.otherHome())
	}},
	{"stop", func(c *testCell) {
		c.submit(order{entry: "entry-1", tag: "long", kind: config.Batch, count: 6, run: 12 * time.Second})
		c.settle(time.Second)
		go c.stop(c.otherHome())
	}},
}

var steps = []step{
	{"lookup", "ceiling", appendOf("ceiling")},
	{"lookup", "start", opIs("startLookup")},
	{"batch", "accept", appendOf("accept")},
	{"batch", "dispatch", appendOf("dispatch")},
	{"batch", "start", opIs("start")},
	{"batch", "settle", appendOf("settle")},
	{"settlement", "accept", appendOf("accept")},
	{"settlement", "dispatch", appendOf("dispatch")},
	{"settlement", "start", opIs("start")},
	{"settlement", "watch", opIs("watch")},
	{"settlement", "settle", appendOf("settle")},
	{"settlement", "forget", opIs("forget")},
	{"gang", "offer", opIs("offer")},
	{"gang", "dispatch", appendOf("dispatch")},
	{"gang", "start", opIs("start")},
	{"gang", "settle", appendOf("settle")},
	{"patch", "publish", appendOf("publish")},
	{"patch", "exchange", opIs("exchange")},
	{"withdrawal", "publish", appendOf("publish")},
	{"withdrawal", "exchange", opIs("exchange")},
	{"limit", "publish", appendOf("publish")},
	{"limit", "stop", opIs("stop")},
	{"takeover", "claim", opIs("claim")},
	{"takeover", "home", appendOf("home")},
	{"takeover", "retire", appendOf("retire")},
	{"stop", "release", opIs("release")},
	{"stop", "claim", opIs("claim")},
	{"stop", "leave", appendOf("leave")},
}

var faults = []fault{
	{"entry killed before", func(c *testCell, r *rule, at *call) {
		r.before = func(context.Context) error { c.kill(at.from); return errWire }
	}, nil},
	{"entry killed after", func(c *testCell, r *rule, at *call) {
		r.after = func(context.Context) error { c.kill(at.from); return errWire }
	}, nil},
	{"entry paused", func(c *testCell, r *rule, at *call) {
		r.before = func(ctx context.Context) error { c.freeze(at.from, faultTime); return nil }
	}, nil},
	{"worker killed before", func(c *testCell, r *rule, at *call) {
		r.before = func(context.Context) error { c.killWorker(at.to); return errWire }
	}, needsWorker},
	{"worker killed after", func(c *testCell, r *rule, at *call) {
		r.after = func(context.Context) error { c.killWorker(at.to); return errWire }
	}, needsWorker},
	{"worker rebooted", func(c *testCell, r *rule, at *call) {
		r.after = func(context.Context) error { c.worker(at.to).Reboot(); return errWire }
	}, needsWorker},
	{"worker paused", func(c *testCell, r *rule, at *call) {
		r.before = func(context.Context) error {
			c.worker(at.to).Pause()
			time.AfterFunc(faultTime, c.worker(at.to).Resume)
			return nil
		}
	}, needsWorker},
	{"log down", func(c *testCell, r *rule, _ *call) {
		r.before = func(context.Context) error { c.logFault(role.LogFaults{Down: true}); return nil }
	}, nil},
	{"log slow", func(c *testCell, r *rule, _ *call) {
		r.before = func(context.Context) error { c.logFault(role.LogFaults{Delay: 1500 * time.Millisecond}); return nil }
	}, nil},
	{"log answers lost", func(c *testCell, r *rule, _ *call) {
		r.before = func(context.Context) error { c.logFault(role.LogFaults{LoseAnswers: 3}); return nil }
	}, nil},
	{"request lost", func(_ *testCell, r *rule, _ *call) { r.before = hang }, nil},
	{"answer lost", func(_ *testCell, r *rule, _ *call) { r.after = hang }, nil},
	{"request late", func(_ *testCell, r *rule, _ *call) { r.late = faultTime }, nil},
	{"link cut both ways", func(c *testCell, r *rule, at *call) {
		r.before = func(ctx context.Context) error {
			c.wires.cut(at.from, at.to, faultTime)
			c.wires.cut(at.to, at.from, faultTime)
			return hang(ctx)
		}
	}, nil},
	{"link cut one way", func(c *testCell, r *rule, at *call) {
		from, to := at, at
		r.after = func(ctx context.Context) error {
			c.wires.add(&rule{
				match: func(c call) bool { return c.from == from.from && c.to == to.to },
				until: time.Now().Add(faultTime), after: hang,
			})
			return hang(ctx)
		}
	}, nil},
	{"entry cut off", func(c *testCell, r *rule, at *call) {
		r.before = func(ctx context.Context) error {
			c.wires.cut(at.from, "", faultTime)
			c.wires.cut("", at.from, faultTime)
			return hang(ctx)
		}
	}, nil},
	{"stale VM list", func(c *testCell, r *rule, _ *call) {
		r.before = func(context.Context) error {
			c.vms.SetDown(true)
			time.AfterFunc(faultTime, func() { c.vms.SetDown(false) })
			return nil
		}
	}, nil},
	{"worker failing starts", func(c *testCell, r *rule, at *call) {
		r.before = func(context.Context) error { c.workerFault(at.to, role.WorkerFaults{FailStarts: true}); return nil }
	}, needsWorker},
	{"worker failing tasks", func(c *testCell, r *rule, at *call) {
		r.before = func(context.Context) error { c.workerFault(at.to, role.WorkerFaults{FailTasks: true}); return nil }
	}, needsWorker},
	{"results cut", func(c *testCell, r *rule, _ *call) {
		r.before = func(context.Context) error { c.wires.spoilNext(2); return nil }
	}, func(s step) string {
		if s.story == "patch" || s.story == "withdrawal" {
			return "the story has no results"
		}
		return ""
	}},
	{"two operators", func(c *testCell, r *rule, _ *call) {
		r.before = func(context.Context) error {
			for _, id := range []string{"entry-1", "entry-2"} {
				go c.publish(id, 1, fmt.Sprintf(`{"teams":{"borea":{"share":%d}}}`, 3+len(id)))
			}
			return nil
		}
	}, nil},
	{"cancel wave", func(c *testCell, r *rule, _ *call) {
		r.before = func(context.Context) error { c.cancelAll(); return nil }
	}, func(s step) string {
		if s.story == "lookup" || s.story == "patch" || s.story == "withdrawal" {
			return "the story has no durable work"
		}
		return ""
	}},
	{"false sizes", nil, func(step) string { return "workers hold each task to its declared size" }},
}

func needsWorker(s step) string {
	switch s.name {
	case "start", "watch", "forget", "stop", "claim", "release":
		return ""
	}
	return "the step has no worker"
}

func (c *testCell) logFault(f role.LogFaults) {
	c.log.SetFaults(f)
	time.AfterFunc(faultTime, func() { c.log.SetFaults(role.LogFaults{}) })
}

func (c *testCell) workerFault(id string, f role.WorkerFaults) {
	c.worker(id).SetFaults(f)
	time.AfterFunc(faultTime, func() { c.worker(id).SetFaults(role.WorkerFaults{}) })
}

func (w *wires) spoilNext(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoil = n
}

func (c *testCell) cancelAll() {
	for _, s := range c.stories {
		if s.answer.Job != "" {
			go c.alive("entry-2").Cancel(context.Background(), testTeam, s.answer.Job)
		}
	}
}

// otherHome returns an entry VM other than the first that is home to a worker.
func (c *testCell) otherHome() string {
	for _, w := range c.entry("entry-1").Cell().Workers {
		id, _, _ := strings.Cut(w.Home, "~")
		if id != "entry-1" {
			return id
		}
	}
	c.t.Error("no other entry VM is home to a worker")
	return "entry-2"
}

// busyHome returns an entry VM other than the first that is home to a worker
// with durable tasks.
func (c *testCell) busyHome() string {
	for _, w := range c.entry("entry-1").Cell().Workers {
		id, _, _ := strings.Cut(w.Home, "~")
		if id != "entry-1" && w.Durable.Slots > 0 {
			return id
		}
	}
	c.t.Error("no other entry VM is home to a busy worker")
	return "entry-2"
}

// useWithdrawnKey sends lookups under a key through every entry VM from the
// moment its withdrawal was answered as in force. The judge finds any that run.
func (c *testCell) useWithdrawnKey(s *story) {
	n := 0
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if !s.answered || s.answer.Code != code.OK {
			continue
		}
		for _, e := range c.all() {
			n++
			go useKey(e, fmt.Sprintf("%s%d", withdrawnTag, n))
		}
	}
}

func useKey(e *testEntry, tag string) {
	id, _, known := e.Identify(otherKey)
	if !known {
		return
	}
	e.Lookup(context.Background(), &AuthenticatedLookup{
		RequestID: tag, Team: id.Team, Key: otherKey, Size: testSize,
		Deadline: time.Now().Add(5 * time.Second), Payload: payload(tag, time.Millisecond),
	})
}

func (c *testCell) stop(entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_ = c.entry(entry).Stop(ctx)
	c.kill(entry)
}

func playOf(name string) play {
	for _, p := range plays {
		if p.name == name {
			return p
		}
	}
	panic("no story " + name)
}

// TestMatrix brings about every fault at every step. Whatever happens, the
// history keeps the promises, every caller has a final answer, and new work is
// served once the fault has passed.
func TestMatrix(t *testing.T) {
	table := &matrixTable{marks: map[string]string{}}
	t.Cleanup(table.print)
	for _, s := range steps {
		for _, f := range faults {
			t.Run(fmt.Sprintf("%s/%s/%s", s.story, s.name, f.name), func(t *testing.T) {
				if f.cannot != nil && f.cannot(s) != "" {
					t.Logf("cannot occur: %s", f.cannot(s))
					table.mark(s, f, "-")
					return
				}
				t.Cleanup(func() { table.mark(s, f, map[bool]string{true: "FAIL", false: "ok"}[t.Failed()]) })
				t.Parallel()
				runFault(t, s, []fault{f})
			})
		}
	}
}

// matrixTable is what make matrix prints.
type matrixTable struct {
	mu    sync.Mutex
	marks map[string]string
}

func (m *matrixTable) mark(s step, f fault, mark string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marks[s.story+"/"+s.name+"/"+f.name] = mark
}

func (m *matrixTable) print() {
	if os.Getenv("POLLENDOCK_MATRIX") == "" {
		return
	}
	totals := map[string]int{}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	for i, f := range faults {
		_, _ = fmt.Fprintf(tw, "fault %d\t%s\n", i+1, f.name)
	}
	_ = tw.Flush()
	for _, s := range steps {
		name := s.story + "/" + s.name
		_, _ = fmt.Fprint(tw, name)
		for _, f := range faults {
			mark := m.marks[name+"/"+f.name]
			totals[mark]++
			_, _ = fmt.Fprint(tw, "\t"+mark)
		}
		_, _ = fmt.Fprintln(tw)
	}
	_ = tw.Flush()
	fmt.Printf("%d pass, %d fail, %d cannot occur\n", totals["ok"], totals["FAIL"], totals["-"])
}

// runFault plays a story and brings about the faults, each at the next call
// that matches the step.
func runFault(t *testing.T, s step, list []fault) {
	runCell(t, 3, 4, func(c *testCell) {
		c.replacing.Store(true)
		first := c.armFault(s, list[0])
		for _, f := range list[1:] {
			c.armFault(s, f)
		}
		playOf(s.story).run(c)
		c.awaitAnswers(200 * time.Second)
		if first.hits == 0 {
			t.Errorf("the step was not reached")
		}
		c.settle(faultTime + replaceAfter)
		c.wires.disarm()
		c.expectService()
	})
}

// disarm drops the faults that have not come about.
func (w *wires) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rules = nil
}

func (c *testCell) armFault(s step, f fault) *rule {
	r := &rule{count: 1}
	at := &call{}
	r.match = func(seen call) bool {
		if !s.match(seen) {
			return false
		}
		if r.hits == 0 {
			*at = seen
		}
		return true
	}
	f.arm(c, r, at)
	return c.wires.add(r)
}

// awaitAnswers waits until every story has its answer, or for d.
func (c *testCell) awaitAnswers(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		open := false
		for _, s := range c.stories {
			open = open || !s.answered
		}
		if !open {
			return
		}
		time.Sleep(time.Second)
	}
}

// expectService sends new work, which must be served.
func (c *testCell) expectService() {
	c.t.Helper()
	entry := c.alive("").id
	lookup := c.lookup(entry, "after-lookup", 20*time.Millisecond)
	batch := c.submit(order{entry: entry, tag: "after-batch", kind: config.Batch, run: time.Second})
	c.awaitAnswers(100 * time.Second)
	expectCode(c.t, lookup, code.OK)
	expectCode(c.t, batch, code.OK)
}
