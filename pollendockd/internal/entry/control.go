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
	// control is the state that only the control goroutine accesses.
	control struct {
		e   *Entry
		opt *Options
		ctx context.Context

		incarnation string
		// seq is the sequence number of the newest record of this VM.
		seq int64
		// joining is set while the join record is pending. joined is set once it
		// is in the log.
		joining bool
		joined  bool
		state   *ledger.State
		// recordWaiters holds the callbacks of pending records by sequence
		// number.
		recordWaiters map[int64]func(offset int64, result ledger.ApplyResult)
		recordCache   recordCache

		// lastLogContact is when the log, or a peer that reads the log, last
		// answered. Since logContactSince no two answers were more than
		// maxLogGap apart.
		lastLogContact  time.Time
		logContactSince time.Time
		// caughtUp is set once the state includes the end of the log.
		caughtUp           bool
		lastLogHeartbeatAt time.Time
		retiredAt          time.Time
		lastSnapshotAt     time.Time
		stopping           bool
		stopStartedAt      time.Time
		leaving            bool
		stopWaiters        []chan struct{}
		lastPassAt         time.Time
		lastAssignAt       time.Time
		lastMetricsAt      time.Time
		lastPreemptionAt   time.Time
		// versionOffset is the log offset of the active configuration version.
		versionOffset int64

		peers map[netip.AddrPort]*peerView
		// lastHeard and lastAppends hold the time of the last heartbeat and the
		// last record, by incarnation.
		lastHeard   map[string]time.Time
		lastAppends map[string]memberAppend

		// listedVMs is the VM list as last read.
		listedVMs []platform.VM
		upstreams map[string]*upstream
		// desiredOwners maps workers to the incarnations that should own them.
		// assignmentInput and assignmentNodes describe what it was computed
		// from. nodesChangedAt is when the nodes last changed.
		desiredOwners   map[string]string
		assignmentInput string
		assignmentNodes string
		nodesChangedAt  time.Time

		// lookups and demands are by team.
		lookups      map[string]*lookupQueue
		demands      map[string]*demand
		retryBudget  float64
		attemptCount int64
		// forwardedCount is the number of lookups that peers are running for
		// this VM.
		forwardedCount  int
		runningAttempts map[string]*lookupAttempt
		// pendingUse is the capacity for dispatches that are not in the log yet,
		// by team.
		pendingUse map[string]resource.Vector
		// meanShares is the moving average of the weighted share, by team.
		meanShares map[string]float64
		// pendingTasks holds the tasks of dispatches that are not in the log yet.
		pendingTasks map[ledger.TaskRef]bool
		// keptFree holds the workers that are kept free for suspects, by id.
		keptFree map[string]freeKept
		// settling holds the attempts with a pending settle record and the jobs
		// with a pending cancel record for an expired deadline.
		settling map[string]bool
		// stopsInFlight holds the attempts that are being stopped.
		stopsInFlight  map[string]bool
		jobWaiters     map[string][]*jobWaiter
		publishWaiters []*publishWaiter
		confirmWaiters []*confirmWaiter
		reservations   []*reservation
		// gatheringOffers is set during a round of offers.
		gatheringOffers bool
		lastGatherAt    time.Time
		// dirty is set if there may be something to place.
		dirty bool
	}

	// memberAppend is the last record of an incarnation that was seen in the
	// log.
	memberAppend struct {
		seq int64
		at  time.Time
	}

	// recordCache holds the newest log records, to relay them to peers.
	recordCache struct {
		first   int64
		records []json.RawMessage
	}

	// pageRead carries a page of the log.
	pageRead struct {
		page *platform.LogPage
	}

	// recordsRelayed carries log records received from a peer.
	recordsRelayed struct {
		first   int64
		records []json.RawMessage
	}

	// stateRestored replaces the state by a newer one from a snapshot or a peer.
	stateRestored struct {
		state *ledger.State
		done  chan struct{}
	}

	// recordsDropped lists records that are known not to be in the log.
	recordsDropped struct {
		seqs []int64
	}

	// followerSink implements recordlog.Sink by posting to the control goroutine.
	followerSink struct {
		e *Entry
	}
)

func newControl(e *Entry) *control {
	c := &control{
		e:             e,
		opt:           &e.opt,
		ctx:           context.Background(),
		state:         ledger.New(),
		peers:         map[netip.AddrPort]*peerView{},
		lastHeard:     map[string]time.Time{},
		lastAppends:   map[string]memberAppend{},
		upstreams:     map[string]*upstream{},
		desiredOwners: map[string]string{},
		lookups:       map[string]*lookupQueue{},
		jobWaiters:    map[string][]*jobWaiter{},
	}
	c.resetIncarnation()
	return c
}

// resetIncarnation starts a new incarnation and clears the state that belongs to
// the previous one.
func (c *control) resetIncarnation() {
	c.incarnation = newIncarnation(c.opt.EntryID)
	c.joining = false
	c.joined = false
	c.recordWaiters = map[int64]func(int64, ledger.ApplyResult){}
	c.runningAttempts = map[string]*lookupAttempt{}
	c.demands = map[string]*demand{}
	c.retryBudget = maxRetryTokens
	c.pendingUse = map[string]resource.Vector{}
	c.meanShares = map[string]float64{}
	c.pendingTasks = map[ledger.TaskRef]bool{}
	c.keptFree = map[string]freeKept{}
	c.settling = map[string]bool{}
	c.stopsInFlight = map[string]bool{}
	c.reservations = nil
}

func (c *control) start() {
	now := time.Now()
	c.lastLogContact = now
	c.logContactSince = now
	c.lastSnapshotAt = now
	for _, addr := range c.opt.Seeds {
		c.addPeer(addr)
	}
}

// tick runs everything that depends on the time.
func (c *control) tick() {
	now := time.Now()
	c.tickMembers(now)
	c.tickWorkers(now)
	c.tickLookups(now)
	c.tickShares()
	c.tickJobs(now)
	c.answerPublishWaiters(now)
	c.answerConfirmWaiters(now)
	c.tickStop(now)
	c.tickMetrics(now)
	c.shareState()
	c.dirty = true
}

// submit queues a record for the log. The waiter is called with the result of
// applying the record, with LogDown if a droppable record was dropped, or with
// AcceptUnknown if the incarnation ended first.
func (c *control) submit(r *ledger.Record, droppable bool, waiter func(offset int64, result ledger.ApplyResult)) {
	if waiter != nil {
		c.recordWaiters[r.Seq] = waiter
	}
	c.e.appender.Submit(r, droppable)
}

func (m pageRead) handle(c *control) {
	c.noteLogContact(time.Now())
	c.applyRecords(m.page.First, m.page.Records)
	if c.state.Next >= m.page.End {
		c.caughtUp = true
	}
}

func (m recordsRelayed) handle(c *control) {
	c.applyRecords(m.first, m.records)
	c.e.follower.Skip(c.state.Next)
}

func (m stateRestored) handle(c *control) {
	defer close(m.done)
	if m.state.Next <= c.state.Next {
		return
	}
	if c.joined || c.joining {
		c.restartIncarnation()
	}
	document := c.state.Document
	c.state = m.state
	c.reportEvacuations(document)
	c.versionOffset = m.state.Next - 1
	c.recordCache = recordCache{first: m.state.Next}
	c.afterApply()
}

func (m recordsDropped) handle(c *control) {
	for _, seq := range m.seqs {
		c.notifyWaiter(seq, 0, ledger.ApplyResult{Code: code.LogDown, Detail: "the log takes no records"})
	}
}

func (c *control) notifyWaiter(seq, offset int64, result ledger.ApplyResult) {
	waiter := c.recordWaiters[seq]
	if waiter == nil {
		return
	}
	delete(c.recordWaiters, seq)
	waiter(offset, result)
}

// applyRecords applies the records that have not been applied yet, in log order.
func (c *control) applyRecords(first int64, records []json.RawMessage) {
	for i, data := range records {
		offset := first + int64(i)
		if offset < c.state.Next {
			continue
		}
		if offset > c.state.Next {
			return
		}
		c.applyRecord(offset, data)
	}
	if len(records) > 0 {
		c.afterApply()
	}
}

func (c *control) applyRecord(offset int64, data json.RawMessage) {
	c.recordCache.add(offset, data)
	var r ledger.Record
	if err := json.Unmarshal(data, &r); err != nil {
		level.Error(c.e.deps.Logger).Log("msg", "failed to decode log record", "offset", offset, "err", err)
		c.state.Next = offset + 1
		return
	}
	snapshotAt, document := c.state.SnapshotAt, c.state.Document
	result := c.state.Apply(offset, &r)
	if c.state.SnapshotAt != snapshotAt {
		c.lastSnapshotAt = time.Now()
	}
	c.lastAppends[r.By] = memberAppend{seq: r.Seq, at: time.Now()}
	if r.By == c.incarnation {
		c.ownRecordApplied(offset, &r, result)
	}
	c.reactToRecord(offset, &r, result)
	c.reportEvacuations(document)
}

// ownRecordApplied notifies the waiter of a record that this incarnation
// appended.
func (c *control) ownRecordApplied(offset int64, r *ledger.Record, result ledger.ApplyResult) {
	if r.Join != nil {
		c.joined = true
		c.joining = false
		level.Info(c.e.deps.Logger).Log("msg", "joined", "incarnation", c.incarnation, "offset", offset)
	}
	if result.Code == code.NotReady {
		return
	}
	c.notifyWaiter(r.Seq, offset, result)
}

// reactToRecord takes the local actions that a record requires, whichever VM
// appended it.
func (c *control) reactToRecord(offset int64, r *ledger.Record, result ledger.ApplyResult) {
	switch {
	case result.Code != code.OK || result.Repeat:
	case r.Dispatch != nil:
		c.startDispatched(r.Dispatch)
	case r.Home != nil:
		c.ownerRecorded(r)
	case r.Publish != nil:
		c.versionOffset = offset
		level.Info(c.e.deps.Logger).Log("msg", "configuration version applied", "version", result.Number, "offset", offset)
	}
}

// afterApply updates what any record may have changed.
func (c *control) afterApply() {
	if c.joined && !c.leaving && !c.state.Live(c.incarnation) {
		c.restartIncarnation()
	}
	c.shareState()
	c.answerEndedJobs()
	c.dirty = true
}

// restartIncarnation begins a new incarnation after this one was retired or the
// state was replaced. Worker claims are left to expire. Tasks keep running there
// and are taken over by the next claim.
func (c *control) restartIncarnation() {
	level.Warn(c.e.deps.Logger).Log("msg", "this incarnation was retired; rejoining with a new one", "incarnation", c.incarnation)
	c.retiredAt = time.Now()
	c.e.appender.Reset()
	for _, waiter := range c.recordWaiters {
		waiter(0, ledger.ApplyResult{Code: code.AcceptUnknown, Detail: "the entry VM was retired meanwhile"})
	}
	for _, u := range c.upstreams {
		c.dropClaim(u)
	}
	c.resetIncarnation()
}

// abort answers all pending calls when the process exits.
func (c *control) abort() {
	for _, waiter := range c.recordWaiters {
		waiter(0, ledger.ApplyResult{Code: code.AcceptUnknown, Detail: "the entry VM was stopped"})
	}
	c.recordWaiters = map[int64]func(int64, ledger.ApplyResult){}
	c.failLookups(code.NotReady, "the entry VM was stopped")
	for _, list := range c.jobWaiters {
		for _, w := range list {
			w.reply <- w.underway()
		}
	}
	c.jobWaiters = map[string][]*jobWaiter{}
}

// shareState updates the state that request goroutines read.
func (c *control) shareState() {
	p := &sharedState{
		number:    c.state.Number,
		document:  c.state.Document,
		ready:     c.ready(),
		serving:   c.serving(),
		bootstrap: c.state.Number == 0,
		caughtUp:  c.caughtUp,
	}
	old := c.e.sharedState.Load()
	if *old != *p {
		c.e.sharedState.Store(p)
	}
}

// ready reports whether the load balancer may send requests to this VM.
func (c *control) ready() bool {
	return c.serving() && c.joined && c.state.Number > 0 && !c.stopping
}

// serving reports whether this VM accepts new work.
func (c *control) serving() bool {
	return c.caughtUp && !c.isolated(time.Now())
}

func (r *recordCache) add(offset int64, data json.RawMessage) {
	if len(r.records) == 0 {
		r.first = offset
	}
	r.records = append(r.records, data)
	if len(r.records) > 2*recordCacheSize {
		r.records = append([]json.RawMessage(nil), r.records[recordCacheSize:]...)
		r.first += recordCacheSize
	}
}

// since returns the records from offset next on. It stops once it has
// maxRelayBytes of them.
func (r *recordCache) since(next int64) []json.RawMessage {
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

// Page implements recordlog.Sink.
func (s *followerSink) Page(_ context.Context, page *platform.LogPage) {
	s.e.post(pageRead{page})
}

// Restore implements recordlog.Sink.
func (s *followerSink) Restore(_ context.Context, state *ledger.State) {
	m := stateRestored{state, make(chan struct{})}
	s.e.post(m)
	select {
	case <-m.done:
	case <-s.e.done:
	}
}
