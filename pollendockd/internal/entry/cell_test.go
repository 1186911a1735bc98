package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/standin/role"
)

type (
	// testCell is a whole cell in one bubble of testing/synctest. Every call
	// between its machines passes a wire, where faults are brought about.
	testCell struct {
		t       *testing.T
		log     *role.Log
		vms     *role.VMs
		workers map[string]*role.Worker
		entries map[string]*testEntry
		wires   *wires
		limits  map[string]resource.Vector
		caps    map[string]resource.Vector
		stories []*story
		tamper  tamper
		// leftAt is when a worker was listed as leaving.
		leftAt map[string]time.Time
		// options are changed by tests before they start entry VMs.
		snapshotEvery time.Duration
		// replacing makes the platform replace dead entry VMs.
		replacing atomic.Bool
		replaceMu sync.Mutex
	}

	// tamper breaks a rule on purpose, to show that the judge finds it.
	tamper struct {
		claim func(*platform.Claim)
		stop  func(*platform.TaskStatus)
		start func(*platform.TaskStatus)
		page  func(from string, page *platform.LogPage)
		view  func(from string, v *peer.View)
	}

	testEntry struct {
		*Entry
		id     string
		addr   netip.AddrPort
		cancel context.CancelFunc
		ended  chan struct{}
	}

	// story is one request with its answer.
	story struct {
		tag           string
		kind          config.Kind
		count         int
		nonIdempotent bool
		answer        api.Answer
		answered      bool
		sent          time.Time
		took          time.Duration
		budget        time.Duration
		// patch is set for a configuration patch, number is its version.
		patch  bool
		number int64
		// via is the entry VM that took the request.
		via string
	}
)

const (
	testTeam  = "atlas"
	testKey   = "atlas-key"
	otherTeam = "borea"
	otherKey  = "borea-key"
	bootKey   = "operator-key"
	// withdrawnTag marks lookups that were sent once a withdrawal was in force.
	withdrawnTag = "withdrawn-"
)

var (
	errWire   = errors.New("the connection was lost")
	testSize  = resource.Vector{MilliCPU: 1000, MemoryMB: 1024, Slots: 1}
	testLimit = resource.Vector{MilliCPU: 12000, MemoryMB: 64000, Accelerators: 4, Slots: 12}
	workerCap = resource.Vector{MilliCPU: 8000, MemoryMB: 16384, Accelerators: 1, Slots: 4}
)

// runCell runs fn in a bubble with a cell of entries and workers, and judges
// the history at the end.
func runCell(t *testing.T, entries, workers int, fn func(c *testCell)) {
	t.Helper()
	inBubble(t, entries, workers, func(c *testCell) {
		fn(c)
		for _, breach := range c.breaches() {
			t.Error(breach)
		}
	})
}

func inBubble(t *testing.T, entries, workers int, fn func(c *testCell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, workers)
		defer c.end()
		for i := range entries {
			c.startEntry(fmt.Sprintf("entry-%d", i+1), i)
		}
		c.publishFirst()
		// The entry VMs come up one after the other and then share the workers.
		c.settle(5 * time.Second)
		fn(c)
	})
}

// end stops all entry VMs and lets the timers of tasks and rules run out.
func (c *testCell) end() {
	c.replacing.Store(false)
	time.Sleep(2 * replaceAfter)
	for _, e := range c.all() {
		e.cancel()
	}
	c.wires.thawAll()
	for _, e := range c.all() {
		<-e.ended
	}
	time.Sleep(time.Hour)
}

func newTestCell(t *testing.T, workers int) *testCell {
	c := &testCell{
		t:       t,
		log:     role.NewLog(role.LogOptions{AppendsPerSecond: 400, Retention: time.Hour}),
		vms:     role.NewVMs(time.Second),
		workers: map[string]*role.Worker{},
		entries: map[string]*testEntry{},
		wires:   &wires{frozen: map[string]chan struct{}{}, dead: map[string]bool{}},
		limits:  map[string]resource.Vector{testTeam: testLimit, otherTeam: testLimit},
		caps:    map[string]resource.Vector{},
		leftAt:  map[string]time.Time{},

		snapshotEvery: 30 * time.Second,
	}
	for i := range workers {
		c.addWorker(fmt.Sprintf("worker-%d", i+1), i)
	}
	return c
}

func (c *testCell) addWorker(id string, i int) {
	c.wires.mu.Lock()
	c.workers[id] = role.NewWorker(id, workerCap)
	c.caps[id] = workerCap
	c.wires.mu.Unlock()
	c.vms.Put(platform.VM{
		ID: id, Role: platform.WorkerRole, Addr: addrOf(9000 + i),
		DataCentre: fmt.Sprintf("dc-%d", i%3), Rack: fmt.Sprintf("rack-%d", i/2),
	})
}

func addrOf(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

func (c *testCell) startEntry(id string, i int) *testEntry {
	e := &testEntry{id: id, addr: addrOf(8000 + i), ended: make(chan struct{})}
	seeds := []netip.AddrPort{addrOf(8000), addrOf(8001), addrOf(8002)}
	deps := Deps{
		Log: wiredLog{c, id}, VMs: wiredVMs{c, id}, Dialer: wiredDialer{c, id},
		Logger: testLogger(), Metrics: tally.NoopScope,
	}
	e.Entry = New(Options{
		EntryID: id, DataCentre: fmt.Sprintf("dc-%d", i%3), PeerAddr: e.addr, Seeds: seeds,
		BootstrapHash: config.HashKey(bootKey), AppendGap: 20 * time.Millisecond, SnapshotEvery: c.snapshotEvery,
	}, deps)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	c.wires.mu.Lock()
	c.entries[id] = e
	c.wires.mu.Unlock()
	go func() {
		defer close(e.ended)
		_ = e.Run(ctx)
	}()
	return e
}

// firstDocument has two teams with one key each.
func firstDocument() json.RawMessage {
	team := func(key string) config.Team {
		return config.Team{
			Share: 1, Limit: testLimit, QueueCount: 10000, QueueBytes: 1 << 24,
			Keys: map[string]config.Key{"k1": {Hash: config.HashKey(key)}},
		}
	}
	data, err := json.Marshal(struct {
		Operators map[string]config.Key  `json:"operators"`
		Teams     map[string]config.Team `json:"teams"`
	}{
		Operators: map[string]config.Key{"board": {Hash: config.HashKey(bootKey)}},
		Teams:     map[string]config.Team{testTeam: team(testKey), otherTeam: team(otherKey)},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// entry returns the entry VM of a name.
func (c *testCell) entry(id string) *testEntry {
	c.wires.mu.Lock()
	defer c.wires.mu.Unlock()
	return c.entries[id]
}

// worker returns the worker of a name.
func (c *testCell) worker(id string) *role.Worker {
	c.wires.mu.Lock()
	defer c.wires.mu.Unlock()
	return c.workers[id]
}

// killWorker ends a worker and its tasks for good.
func (c *testCell) killWorker(id string) {
	if !c.wires.die(id) {
		return
	}
	c.worker(id).Reboot()
	if c.replacing.Load() {
		time.AfterFunc(replaceAfter, c.replaceWorker)
	}
}

// replaceWorker adds a worker for a dead one.
func (c *testCell) replaceWorker() {
	c.replaceMu.Lock()
	defer c.replaceMu.Unlock()
	c.wires.mu.Lock()
	n := len(c.workers)
	c.wires.mu.Unlock()
	c.addWorker(fmt.Sprintf("worker-%d", n+1), n)
}

// all returns the entry VMs, dead ones too.
func (c *testCell) all() []*testEntry {
	c.wires.mu.Lock()
	defer c.wires.mu.Unlock()
	var list []*testEntry
	for i := 1; i <= maxEntries; i++ {
		if e := c.entries[fmt.Sprintf("entry-%d", i)]; e != nil {
			list = append(list, e)
		}
	}
	return list
}

// replace starts a new entry VM for a dead one, as the platform does.
func (c *testCell) replace() {
	c.replaceMu.Lock()
	defer c.replaceMu.Unlock()
	n := len(c.all())
	if n < maxEntries && c.replacing.Load() {
		c.startEntry(fmt.Sprintf("entry-%d", n+1), n)
	}
}

func (c *testCell) publishFirst() {
	c.settle(time.Second)
	a := c.publish("entry-1", 0, string(firstDocument()))
	if a.Code != code.OK {
		c.t.Fatalf("first configuration: %+v", a)
	}
}

func (c *testCell) publish(entry string, base int64, merge string) api.PatchAnswer {
	e := c.entry(entry)
	id, _, known := e.Identify(bootKey)
	if !known {
		return api.PatchAnswer{Answer: api.NewAnswer(code.Unauthenticated, "")}
	}
	return e.Publish(context.Background(), id, config.Patch{
		Base: base, Author: "test", Reason: "test", Merge: json.RawMessage(merge),
	})
}

// operate publishes a patch as an operator who repeats it against the newest
// version until the answer is final, and records it as a story.
func (c *testCell) operate(entry, tag, merge string) *story {
	s := &story{tag: tag, sent: time.Now(), budget: 2 * time.Minute, via: entry, patch: true}
	c.stories = append(c.stories, s)
	go func() {
		for time.Since(s.sent) < s.budget {
			e := c.alive(entry)
			_, number := e.Document()
			a := c.publish(e.id, number, merge)
			s.answer = a.Answer
			s.number = a.Number
			if a.Code == code.OK || a.Code == code.Pending {
				break
			}
			entry = ""
			time.Sleep(500 * time.Millisecond)
		}
		s.took = time.Since(s.sent)
		s.answered = true
	}()
	return s
}

func (c *testCell) settle(d time.Duration) {
	time.Sleep(d)
}

func payload(tag string, run time.Duration) string {
	return fmt.Sprintf(`{"tag":%q,"runMs":%d,"answerBytes":20}`, tag, run.Milliseconds())
}

// lookup sends a lookup and returns its story, not yet answered.
func (c *testCell) lookup(entry, tag string, run time.Duration) *story {
	const deadline = 5 * time.Second
	s := &story{tag: tag, kind: config.Lookup, count: 1, sent: time.Now(), budget: deadline + time.Second, via: entry}
	c.stories = append(c.stories, s)
	e := c.entry(entry)
	go func() {
		o := &AuthenticatedLookup{
			RequestID: tag, Team: testTeam, Key: testKey, Size: testSize, ExpectedRun: run,
			Deadline: time.Now().Add(deadline), Payload: payload(tag, run),
		}
		out := e.Lookup(context.Background(), o)
		s.answer = api.NewAnswer(out.Code, out.Detail)
		s.answer.Data, s.answer.Digest = out.Data, out.Digest
		s.took = time.Since(s.sent)
		s.answered = true
	}()
	return s
}

// order is durable work of a test.
type order struct {
	entry, tag    string
	kind          config.Kind
	count         int
	run           time.Duration
	nonIdempotent bool
	urgent        bool
	deadline      time.Duration
	size          resource.Vector
}

// submit sends durable work as a caller who repeats it with the same key
// through other entry VMs until the end is known.
func (c *testCell) submit(o order) *story {
	if o.count == 0 {
		o.count = 1
	}
	if o.size == (resource.Vector{}) {
		o.size = testSize
	}
	s := &story{
		tag: o.tag, kind: o.kind, count: o.count, nonIdempotent: o.nonIdempotent,
		sent: time.Now(), budget: 4 * time.Minute,
	}
	c.stories = append(c.stories, s)
	spec := ledger.Spec{
		Kind: o.kind, Size: o.size, Count: o.count, ExpectedRun: o.run, Idempotent: !o.nonIdempotent,
		Urgent: o.urgent, IdempotencyKey: o.tag, IssuedAt: time.Now(), Payload: payload(o.tag, o.run), Digest: o.tag,
	}
	if o.deadline > 0 {
		spec.Deadline = time.Now().Add(o.deadline)
	}
	go c.follow(s, o.entry, spec)
	return s
}

func (c *testCell) follow(s *story, entry string, spec ledger.Spec) {
	for time.Since(s.sent) < s.budget {
		e := c.alive(entry)
		a := e.Accept(context.Background(), &AuthenticatedJob{
			Team: testTeam, KeyName: "k1", Spec: spec, Wait: 5 * time.Second,
		})
		s.answer = a
		switch a.Code {
		case code.Accepted, code.LogDown, code.NotReady, code.AcceptUnknown, code.Isolated, code.QueueFull:
			time.Sleep(500 * time.Millisecond)
			entry = ""
			continue
		}
		s.took = time.Since(s.sent)
		s.answered = true
		return
	}
}

// alive returns the entry VM of the name if it runs, and any other that runs
// if not.
func (c *testCell) alive(entry string) *testEntry {
	c.wires.mu.Lock()
	defer c.wires.mu.Unlock()
	if e := c.entries[entry]; e != nil && !c.wires.dead[entry] {
		return e
	}
	for i := 1; i <= maxEntries; i++ {
		id := fmt.Sprintf("entry-%d", i)
		if e := c.entries[id]; e != nil && !c.wires.dead[id] && c.wires.frozen[id] == nil {
			return e
		}
	}
	return c.entries["entry-1"]
}

// kill ends an entry VM without a word.
func (c *testCell) kill(entry string) {
	if !c.wires.die(entry) {
		return
	}
	c.entry(entry).cancel()
	if c.replacing.Load() {
		time.AfterFunc(replaceAfter, c.replace)
	}
}

// freeze stops an entry VM like SIGSTOP and thaws it after d.
func (c *testCell) freeze(entry string, d time.Duration) {
	c.wires.mu.Lock()
	thawed := make(chan struct{})
	c.wires.frozen[entry] = thawed
	c.wires.mu.Unlock()
	// A frozen VM answers nobody until it is thawed.
	for _, s := range c.stories {
		if s.via == entry && !s.answered {
			s.budget += d
		}
	}
	e := c.entry(entry)
	go e.post(frozen{thawed})
	time.AfterFunc(d, func() { c.wires.thaw(entry) })
}

// frozen holds the control goroutine.
type frozen struct{ thawed chan struct{} }

func (m frozen) handle(*control) { <-m.thawed }

// testLogger writes to standard error if POLLENDOCK_TEST_LOG is set.
func testLogger() log.Logger {
	if os.Getenv("POLLENDOCK_TEST_LOG") == "" {
		return log.NewNopLogger()
	}
	return log.With(log.NewLogfmtLogger(os.Stderr), "ts", log.DefaultTimestampUTC)
}
