package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
)

type (
	// control is the state that the control goroutine owns.
	control struct {
		e   *Entry
		opt *Options
		ctx context.Context

		inc     string
		seq     int64
		joining bool
		joined  bool
		state   *ledger.State
		waiters map[int64]func(offset int64, effect ledger.ApplyResult)
		ring    ring

		// fresh is when the log, or a peer that reads it, last answered.
		fresh       time.Time
		freshSince  time.Time
		caughtUp    bool
		beaconAt    time.Time
		retiredAt   time.Time
		snapAt      time.Time
		stopping    bool
		stopSince   time.Time
		leaving     bool
		stopWaiters []chan struct{}
		placedAt    time.Time
		assignedAt  time.Time
		measuredAt  time.Time
		displacedAt time.Time
		// publishedAt is the offset of the newest version.
		publishedAt int64

		peers     map[netip.AddrPort]*peerView
		lastHeard map[string]time.Time
		seen      map[string]seenMember

		// listed is the last list of VMs that was read.
		listed      []platform.VM
		upstreams   map[string]*upstream
		wanted      map[string]string
		wantedKey   string
		wantedNodes string
		wantedAt    time.Time

		lookups      map[string]*lookupQueue
		demands      map[string]*demand
		retryBudget  float64
		attemptCount int64
		// forwarding counts the lookups that peers have.
		forwarding   int
		running      map[string]*attemptRun
		pendingUse   map[string]resource.Vector
		meanLevel    map[string]float64
		pendingTasks map[ledger.TaskRef]bool
		settling     map[string]bool
		stopAsked    map[string]bool
		followers    map[string][]*jobWaiter
		publishing   []*publishWaiter
		confirming   []*confirmWaiter
		holds        []*hold
		gathering    bool
		gatheredAt   time.Time
		dirty        bool
	}

	// seenMember is what was last seen of an incarnation in the log.
	seenMember struct {
		seq int64
		at  time.Time
	}

	// ring holds the newest records, to pass on to peers.
	ring struct {
		first   int64
		records []json.RawMessage
	}

	// pageRead is an answer of the log.
	pageRead struct {
		page *platform.LogPage
	}

	// recordsRelayed is what a peer passed on.
	recordsRelayed struct {
		first   int64
		records []json.RawMessage
	}

	// stateRestored replaces the state by a newer one.
	stateRestored struct {
		state *ledger.State
		done  chan struct{}
	}

	// recordsDropped names records that are certainly not in the log.
	recordsDropped struct {
		seqs []int64
	}

	// sink passes the follower's findings to the control goroutine.
	sink struct {
		e *Entry
	}
)

func newControl(e *Entry) *control {
	c := &control{
		e:         e,
		opt:       &e.opt,
		ctx:       context.Background(),
		state:     ledger.New(),
		peers:     map[netip.AddrPort]*peerView{},
		lastHeard: map[string]time.Time{},
		seen:      map[string]seenMember{},
		upstreams: map[string]*upstream{},
		wanted:    map[string]string{},
		lookups:   map[string]*lookupQueue{},
		followers: map[string][]*jobWaiter{},
	}
	c.clearIncarnation()
	return c
}

// clearIncarnation drops what belongs to one incarnation.
func (c *control) clearIncarnation() {
	c.inc = newIncarnation(c.opt.EntryID)
	c.joining = false
	c.joined = false
	c.waiters = map[int64]func(int64, ledger.ApplyResult){}
	c.running = map[string]*attemptRun{}
	c.demands = map[string]*demand{}
	c.retryBudget = retryTokens
	c.pendingUse = map[string]resource.Vector{}
	c.meanLevel = map[string]float64{}
	c.pendingTasks = map[ledger.TaskRef]bool{}
	c.settling = map[string]bool{}
	c.stopAsked = map[string]bool{}
	c.holds = nil
}

func (c *control) start() {
	now := time.Now()
	c.fresh = now
	c.freshSince = now
	c.snapAt = now
	for _, addr := range c.opt.Seeds {
		c.addPeer(addr)
	}
}

// tick looks at everything that depends on time.
func (c *control) tick() {
	now := time.Now()
	c.tickMembers(now)
	c.tickHomes(now)
	c.tickLookups(now)
	c.tickShares()
	c.tickJobs(now)
	c.tickPublishing(now)
	c.tickConfirming(now)
	c.tickStop(now)
	c.tickMetrics(now)
	c.publish()
	c.dirty = true
}

// submit queues a record. The waiter is called with its effect; with LogDown
// if a droppable record was given up; and with AcceptUnknown if the
// incarnation ended first.
func (c *control) submit(r *ledger.Record, droppable bool, waiter func(offset int64, effect ledger.ApplyResult)) {
	if waiter != nil {
		c.waiters[r.Seq] = waiter
	}
	c.e.appender.Submit(r, droppable)
}

func (m pageRead) handle(c *control) {
	c.noteFresh(time.Now())
	c.applyAll(m.page.First, m.page.Records)
	if c.state.Next >= m.page.End {
		c.caughtUp = true
	}
}

func (m recordsRelayed) handle(c *control) {
	c.applyAll(m.first, m.records)
	c.e.follower.Skip(c.state.Next)
}

func (m stateRestored) handle(c *control) {
	defer close(m.done)
	if m.state.Next <= c.state.Next {
		return
	}
	if c.joined || c.joining {
		c.endIncarnation()
	}
	c.state = m.state
	c.publishedAt = m.state.Next - 1
	c.ring = ring{first: m.state.Next}
	c.afterApply()
}

func (m recordsDropped) handle(c *control) {
	for _, seq := range m.seqs {
		c.answerRecord(seq, 0, ledger.ApplyResult{Code: code.LogDown, Detail: "the log takes no records"})
	}
}

func (c *control) answerRecord(seq, offset int64, effect ledger.ApplyResult) {
	waiter := c.waiters[seq]
	if waiter == nil {
		return
	}
	delete(c.waiters, seq)
	waiter(offset, effect)
}

// applyAll folds the records that are new, in log order.
func (c *control) applyAll(first int64, records []json.RawMessage) {
	for i, data := range records {
		offset := first + int64(i)
		if offset < c.state.Next {
			continue
		}
		if offset > c.state.Next {
			return
		}
		c.applyOne(offset, data)
	}
	if len(records) > 0 {
		c.afterApply()
	}
}

func (c *control) applyOne(offset int64, data json.RawMessage) {
	c.ring.add(offset, data)
	var r ledger.Record
	if err := json.Unmarshal(data, &r); err != nil {
		level.Error(c.e.deps.Logger).Log("msg", "record cannot be decoded", "offset", offset, "err", err)
		c.state.Next = offset + 1
		return
	}
	snapshotAt := c.state.SnapshotAt
	effect := c.state.Apply(offset, &r)
	if c.state.SnapshotAt != snapshotAt {
		c.snapAt = time.Now()
	}
	c.seen[r.By] = seenMember{seq: r.Seq, at: time.Now()}
	if r.By == c.inc {
		c.ownApplied(offset, &r, effect)
	}
	c.follow(offset, &r, effect)
}

// ownApplied answers the waiter of an own record.
func (c *control) ownApplied(offset int64, r *ledger.Record, effect ledger.ApplyResult) {
	if r.Join != nil {
		c.joined = true
		c.joining = false
		level.Info(c.e.deps.Logger).Log("msg", "joined", "incarnation", c.inc, "offset", offset)
	}
	if effect.Code == code.NotReady {
		return
	}
	c.answerRecord(r.Seq, offset, effect)
}

// follow does what a record asks of this entry VM, whoever appended it.
func (c *control) follow(offset int64, r *ledger.Record, effect ledger.ApplyResult) {
	switch {
	case effect.Code != code.OK || effect.Repeat:
	case r.Dispatch != nil:
		c.dispatched(r.Dispatch)
	case r.Home != nil:
		c.homeRecorded(r)
	case r.Publish != nil:
		c.publishedAt = offset
		level.Info(c.e.deps.Logger).Log("msg", "configuration in force", "version", effect.Number, "offset", offset)
	}
}

// afterApply looks at what may have changed with any record.
func (c *control) afterApply() {
	if c.joined && !c.leaving && !c.state.Live(c.inc) {
		c.endIncarnation()
	}
	c.publish()
	c.answerFollowers()
	c.dirty = true
}

// endIncarnation starts over after peers have retired this incarnation. The
// workers' claims are left to run out; what runs there is adopted again.
func (c *control) endIncarnation() {
	level.Warn(c.e.deps.Logger).Log("msg", "this incarnation was retired", "incarnation", c.inc)
	c.retiredAt = time.Now()
	c.e.appender.Reset()
	for _, waiter := range c.waiters {
		waiter(0, ledger.ApplyResult{Code: code.AcceptUnknown, Detail: "the entry VM was retired meanwhile"})
	}
	for _, u := range c.upstreams {
		c.dropClaim(u)
	}
	c.clearIncarnation()
}

// abort answers what is left when the process ends.
func (c *control) abort() {
	for _, waiter := range c.waiters {
		waiter(0, ledger.ApplyResult{Code: code.AcceptUnknown, Detail: "the entry VM was stopped"})
	}
	c.waiters = map[int64]func(int64, ledger.ApplyResult){}
	c.failLookups(code.NotReady, "the entry VM was stopped")
	for _, list := range c.followers {
		for _, w := range list {
			w.reply <- w.underway()
		}
	}
	c.followers = map[string][]*jobWaiter{}
}

// publish renews the view for request goroutines.
func (c *control) publish() {
	p := &published{
		number:    c.state.Number,
		document:  c.state.Document,
		ready:     c.ready(),
		serving:   c.serving(),
		bootstrap: c.state.Number == 0,
		caughtUp:  c.caughtUp,
	}
	old := c.e.published.Load()
	if *old != *p {
		c.e.published.Store(p)
	}
}

// ready reports whether the balancer may send requests here.
func (c *control) ready() bool {
	return c.serving() && c.state.Number > 0 && !c.stopping
}

// serving reports whether new work may be taken.
func (c *control) serving() bool {
	return c.caughtUp && !c.isolated(time.Now())
}

func (r *ring) add(offset int64, data json.RawMessage) {
	if len(r.records) == 0 {
		r.first = offset
	}
	r.records = append(r.records, data)
	if len(r.records) > 2*ringSize {
		r.records = append([]json.RawMessage(nil), r.records[ringSize:]...)
		r.first += ringSize
	}
}

// from returns records from offset next on, within maxRelayBytes.
func (r *ring) from(next int64) []json.RawMessage {
	if next < r.first || next >= r.first+int64(len(r.records)) {
		return nil
	}
	size := 0
	rest := r.records[next-r.first:]
	n := 0
	for n < len(rest) && size < maxRelayBytes {
		size += len(rest[n])
		n++
	}
	return rest[:n]
}

// Page implements journal.Sink.
func (s *sink) Page(_ context.Context, page *platform.LogPage) {
	s.e.post(pageRead{page})
}

// Restore implements journal.Sink.
func (s *sink) Restore(_ context.Context, state *ledger.State) {
	m := stateRestored{state, make(chan struct{})}
	s.e.post(m)
	select {
	case <-m.done:
	case <-s.e.done:
	}
}
