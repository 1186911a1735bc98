package entry

import (
	"context"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
)

type (
	// phase is how far this VM is home to a worker.
	phase int

	// upstream is a worker as this VM sees it.
	upstream struct {
		id      string
		vm      platform.VM
		listed  bool
		leaving bool
		worker  platform.Worker

		phase   phase
		session *session
		// inventory holds the attempts that the worker knew at the claim.
		inventory map[string]bool
		// whenHome runs once the claim is in the log.
		whenHome []func()
		// handing is set while a release is under way.
		handing   bool
		claimedAt time.Time
		tried     time.Time
		// lostSince is when the worker was last known to answer, while it does
		// not.
		lostSince time.Time

		// watchNumber and watchedAt are of the last watch that was answered.
		watchNumber int64
		watchedAt   time.Time
		used        resource.Vector

		// lookups holds the running lookups by attempt.
		lookups map[string]runningLookup
		// lookupUse is their size by team, lookupLoad in all.
		lookupUse  map[string]resource.Vector
		lookupLoad resource.Vector
		// peak is the greatest lookupUse since peakAt.
		peak   map[string]resource.Vector
		peakAt time.Time
		// falling is what is being given back of the ceilings.
		falling map[string]resource.Vector
		// ceilings is the sum of the ceilings here.
		ceilings resource.Vector
		// pending is what dispatches on their way to the log will hold.
		pending resource.Vector
		// held is what offers to peers hold.
		held resource.Vector

		forget    []string
		forgetAt  time.Time
		failures  int
		rest      time.Duration
		restUntil time.Time
	}

	// assignment is a worker with its recorded home.
	assignment struct {
		worker, home string
	}

	runningLookup struct {
		team string
		size resource.Vector
	}

	// session is one claim.
	session struct {
		token  string
		boot   string
		epoch  int64
		cancel context.CancelFunc
		// renew says whether watches renew the tasks' leases.
		renew atomic.Bool
	}

	// claimAnswered ends a try to claim.
	claimAnswered struct {
		id    string
		inc   string
		claim *platform.Claim
		err   error
	}

	// watched is an answer to a watch.
	watched struct {
		id      string
		session *session
		reply   *platform.WatchReply
		at      time.Time
	}

	// claimLost says that a claim is no longer in force, or not known to be.
	claimLost struct {
		id      string
		session *session
		// again asks for a new claim at once, to settle what is unknown.
		again bool
	}

	// released ends a handover.
	released struct {
		id      string
		session *session
	}
)

const (
	// free workers are not claimed by this VM.
	free phase = iota
	// claiming workers have been asked.
	claiming
	// claimed workers gave their claim, which is not yet in the log.
	claimed
	// home workers may be given work.
	home
	// releasing workers are being handed over.
	releasing
)

const (
	watchBackoff   = 50 * time.Millisecond
	reserveRelease = 2 * time.Second
	callTimeout    = 2 * time.Second
	// handoversAtOnce bounds the workers handed over at a time.
	handoversAtOnce = 4
)

func (c *control) noteWorker(vm platform.VM, now time.Time) {
	u := c.upstreams[vm.ID]
	if u == nil || u.vm.Addr != vm.Addr {
		if u != nil {
			c.dropClaim(u)
		}
		u = &upstream{id: vm.ID, worker: c.e.deps.Dialer.Worker(vm.Addr), peakAt: now}
		u.clearClaim()
		c.upstreams[vm.ID] = u
	}
	if vm.Leaving && !u.leaving {
		level.Info(c.e.deps.Logger).Log("msg", "worker is leaving", "worker", vm.ID)
	}
	u.vm = vm
	u.listed = true
	u.leaving = vm.Leaving
}

func (u *upstream) clearClaim() {
	u.phase = free
	u.session = nil
	u.inventory = nil
	u.whenHome = nil
	u.handing = false
	u.lookups = map[string]runningLookup{}
	u.lookupUse = map[string]resource.Vector{}
	u.lookupLoad = resource.Vector{}
	u.peak = map[string]resource.Vector{}
	u.falling = map[string]resource.Vector{}
	u.pending = resource.Vector{}
	u.held = resource.Vector{}
	u.forget = nil
}

// dropClaim forgets the claim. What runs stays at the worker.
func (c *control) dropClaim(u *upstream) {
	if u.session != nil {
		u.session.cancel()
	}
	u.clearClaim()
	c.dirty = true
}

func (c *control) tickHomes(now time.Time) {
	c.computeWanted(now)
	isolated := c.isolated(now)
	handovers := 0
	for _, u := range c.upstreams {
		if u.phase == releasing {
			handovers++
		}
	}
	for _, u := range c.upstreams {
		switch {
		case isolated:
			if u.phase != free && u.phase != claiming {
				c.dropClaim(u)
			}
		case u.phase == free:
			c.tryClaim(u, now)
		case u.phase == claimed:
			u.session.renew.Store(now.Sub(u.claimedAt) < unrecordedRenew)
		case u.phase == home:
			if (c.stopping || handovers < handoversAtOnce) && c.tryRelease(u, now) {
				handovers++
			}
		case u.phase == releasing:
			c.finishRelease(u)
		}
		if u.phase == home || u.phase == releasing {
			c.tickHome(u, now)
		}
		c.tickLost(u, now)
	}
}

// computeWanted says which entry VM should be home to which worker. The recorded
// home stays unless it has more than its part; the others are placed by
// rendezvous hashing over the entry VMs that are alive and ready.
func (c *control) computeWanted(now time.Time) {
	nodes := c.candidates(now)
	workers := make([]assignment, 0, len(c.upstreams))
	var key strings.Builder
	key.WriteString(strings.Join(nodes, ","))
	for id := range c.upstreams {
		a := assignment{worker: id}
		if w := c.state.Workers[id]; w != nil {
			a.home = w.Home
		}
		workers = append(workers, a)
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].worker < workers[b].worker })
	for _, a := range workers {
		key.WriteString("|" + a.worker + "=" + a.home)
	}
	if key.String() == c.wantedKey {
		return
	}
	c.wantedKey = key.String()
	c.wanted = assign(workers, nodes)
	if joined := strings.Join(nodes, ","); joined != c.wantedNodes {
		c.wantedNodes = joined
		c.wantedAt = now
	}
}

// candidates returns the incarnations that can be home to workers.
func (c *control) candidates(now time.Time) []string {
	var nodes []string
	if !c.stopping && c.caughtUp && !c.isolated(now) {
		nodes = append(nodes, c.inc)
	}
	for _, p := range c.peers {
		if p.alive(now) && p.view.Ready {
			nodes = append(nodes, p.view.Incarnation)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// assign maps workers to nodes, none with more than its part rounded up.
func assign(workers []assignment, nodes []string) map[string]string {
	wanted := map[string]string{}
	if len(nodes) == 0 {
		return wanted
	}
	bound := (len(workers) + len(nodes) - 1) / len(nodes)
	load := map[string]int{}
	for _, node := range nodes {
		load[node] = 0
	}
	for _, a := range workers {
		if n, known := load[a.home]; known && n < bound {
			load[a.home]++
			wanted[a.worker] = a.home
		}
	}
	open := nodes
	for _, node := range nodes {
		if load[node] >= bound {
			open = without(open, node)
		}
	}
	assignRest(workers, wanted, load, open, bound)
	return wanted
}

// assignRest places the workers that are not in wanted yet.
func assignRest(workers []assignment, wanted map[string]string, load map[string]int, open []string, bound int) {
	table := rendezvous.New(open, xxhash.Sum64String)
	for _, a := range workers {
		if wanted[a.worker] != "" {
			continue
		}
		node := table.Lookup(a.worker)
		wanted[a.worker] = node
		load[node]++
		if load[node] == bound {
			// A new table, since removing from one breaks it for the node that
			// takes the free place.
			open = without(open, node)
			table = rendezvous.New(open, xxhash.Sum64String)
		}
	}
}

func without(list []string, drop string) []string {
	var kept []string
	for _, s := range list {
		if s != drop {
			kept = append(kept, s)
		}
	}
	return kept
}

// tryClaim asks a worker for its claim if this VM should be its home, or is so
// by the log: only the recorded home can tell that the worker is lost.
func (c *control) tryClaim(u *upstream, now time.Time) {
	w := c.state.Workers[u.id]
	mine := c.wanted[u.id] == c.inc || w != nil && w.Home == c.inc
	// Before the join is in the log a record of the claim would be void.
	if !mine || !c.joined || c.stopping || now.Sub(u.tried) < claimEvery {
		return
	}
	u.tried = now
	u.phase = claiming
	inc := c.inc
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		claim, err := u.worker.Claim(ctx, &platform.ClaimRequest{Incarnation: inc, Lease: claimLease})
		c.e.post(claimAnswered{u.id, inc, claim, err})
	})
}

func (m claimAnswered) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.phase != claiming || m.inc != c.inc {
		return
	}
	if m.err != nil {
		u.phase = free
		c.noteSilence(u, m.err)
		return
	}
	u.lostSince = time.Time{}
	c.adopt(u, m.claim)
}

// noteSilence keeps since when a worker gives no answers.
func (c *control) noteSilence(u *upstream, err error) {
	if platform.IsRefusal(err) && !platform.HasReason(err, platform.Unreachable) {
		u.lostSince = time.Time{}
		return
	}
	if u.lostSince.IsZero() {
		u.lostSince = time.Now()
	}
}

// adopt takes over a worker with what runs there, and records it.
func (c *control) adopt(u *upstream, claim *platform.Claim) {
	u.clearClaim()
	ctx, cancel := context.WithCancel(c.ctx)
	s := &session{token: claim.Token, boot: claim.Boot, epoch: claim.Epoch, cancel: cancel}
	s.renew.Store(true)
	u.phase = claimed
	u.session = s
	u.claimedAt = time.Now()
	u.watchNumber = 0
	u.inventory = map[string]bool{}
	for _, t := range claim.Tasks {
		u.inventory[t.Attempt] = true
		if isLookup(t.Attempt) && t.State == platform.Running {
			u.addLookup(t.Attempt, t.Team, t.Size)
		}
	}
	tasks := claim.Tasks
	c.e.spawn(func() { c.e.watch(ctx, u.id, u.worker, s) })
	r := c.newRecord()
	r.Home = &ledger.Home{
		Worker: u.id, Boot: claim.Boot, Epoch: claim.Epoch, Capacity: claim.Capacity,
		DataCentre: u.vm.DataCentre, Rack: u.vm.Rack,
	}
	c.submit(r, false, func(_ int64, effect ledger.Effect) {
		if u.session != s {
			return
		}
		if effect.Code != code.OK {
			c.dropClaim(u)
			return
		}
		c.settled(u, tasks)
	})
}

// settled begins to give work to a worker whose claim is in the log. From here
// on this VM has read every outcome that earlier homes recorded.
func (c *control) settled(u *upstream, tasks []platform.TaskStatus) {
	u.phase = home
	u.session.renew.Store(true)
	level.Info(c.e.deps.Logger).Log("msg", "home to worker", "worker", u.id, "epoch", u.session.epoch)
	c.sumCeilings(u)
	for _, t := range tasks {
		c.taskSeen(u, t)
	}
	for _, ref := range c.state.OnWorker(u.id) {
		t := &c.state.Jobs[ref.Job].Tasks[ref.Task]
		if !u.inventory[ledger.AttemptID(ref.Job, ref.Task, t.Attempt)] {
			c.settle(u, ref, t.Attempt, ledger.NotRun, nil, "not in the inventory after a claim")
		}
	}
	for _, fn := range u.whenHome {
		fn()
	}
	u.whenHome = nil
	c.dirty = true
}

// taskSeen handles one attempt that the worker knows.
func (c *control) taskSeen(u *upstream, t platform.TaskStatus) {
	if isLookup(t.Attempt) {
		c.lookupSeen(u, t)
		return
	}
	ref, attempt, ok := c.findAttempt(t.Attempt)
	if !ok || c.state.Jobs[ref.Job].Tasks[ref.Task].Worker != u.id {
		c.strayTask(u, t)
		return
	}
	if t.State != platform.Running {
		c.attemptEnded(u, ref, attempt, t)
	}
}

// strayTask drops an attempt of which the log knows the end.
func (c *control) strayTask(u *upstream, t platform.TaskStatus) {
	if t.State != platform.Running {
		u.forget = append(u.forget, t.Attempt)
		return
	}
	level.Warn(c.e.deps.Logger).Log("msg", "stopping an attempt that is not bound here", "worker", u.id, "attempt", t.Attempt)
	c.stopAttempt(u, t.Attempt)
}

// homeRecorded notes that another VM is home to a worker now.
func (c *control) homeRecorded(_ int64, r *ledger.Record) {
	u := c.upstreams[r.Home.Worker]
	if u == nil || r.By == c.inc || u.session == nil {
		return
	}
	if r.Home.Boot == u.session.boot && r.Home.Epoch < u.session.epoch {
		return
	}
	c.dropClaim(u)
}

// watch renews a claim until it is lost.
func (e *Entry) watch(ctx context.Context, id string, w platform.Worker, s *session) {
	after := int64(0)
	answered := time.Now()
	wait := time.Duration(0)
	for ctx.Err() == nil {
		r := &platform.WatchRequest{Token: s.token, After: after, Wait: wait, Lease: claimLease}
		if s.renew.Load() {
			r.TaskLease = taskLease
		}
		reply, err := w.Watch(ctx, r)
		switch {
		case err == nil:
			answered = time.Now()
			after = reply.Seq
			wait = watchWait
			e.post(watched{id, s, reply, answered})
		case platform.HasReason(err, platform.StaleClaim) || time.Since(answered) > claimLease:
			e.post(claimLost{id: id, session: s})
			return
		default:
			pause(ctx, watchBackoff)
		}
	}
}

func (m watched) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	u.watchNumber = m.reply.Number
	u.watchedAt = m.at
	u.used = m.reply.Used
	if u.phase == claimed {
		// The inventory is settled once the claim is in the log; until then
		// only what ended since is kept for that time.
		c.holdEnded(u, m.reply.Ended)
		return
	}
	for _, t := range m.reply.Ended {
		c.taskSeen(u, t)
	}
}

// holdEnded repeats the watch's findings once the claim is recorded.
func (c *control) holdEnded(u *upstream, ended []platform.TaskStatus) {
	if len(ended) == 0 {
		return
	}
	s := u.session
	u.whenHome = append(u.whenHome, func() {
		if u.session != s {
			return
		}
		for _, t := range ended {
			c.taskSeen(u, t)
		}
	})
}

func (m claimLost) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	level.Warn(c.e.deps.Logger).Log("msg", "claim lost", "worker", m.id)
	silentSince := u.watchedAt
	c.dropClaim(u)
	if m.again {
		u.tried = time.Time{}
		return
	}
	if u.lostSince.IsZero() {
		u.lostSince = silentSince
	}
}

// tickLost gives up the tasks of a worker that has been out of reach for so
// long that every lease there has run out, whoever renewed it.
func (c *control) tickLost(u *upstream, now time.Time) {
	w := c.state.Workers[u.id]
	if u.lostSince.IsZero() || w == nil || w.Home == "" || now.Sub(u.lostSince) < lostAfter || !c.joined {
		return
	}
	if w.Home != c.inc && !(c.wanted[u.id] == c.inc && c.retiredLong(w.Home)) {
		return
	}
	u.lostSince = now
	level.Warn(c.e.deps.Logger).Log("msg", "worker is lost", "worker", u.id)
	r := c.newRecord()
	r.Lost = &ledger.Lost{Worker: u.id, Boot: w.Boot, Home: w.Home}
	c.submit(r, true, nil)
}

// retiredLong reports whether a retired incarnation has certainly stopped
// renewing: this VM reaches at least half of the VMs that were live then, so
// the retired one, if it still runs, is isolated by its own reckoning.
func (c *control) retiredLong(inc string) bool {
	m := c.state.Members[inc]
	if m == nil {
		return true
	}
	if !m.Retired || c.state.Clock.Sub(m.RetiredAt) < lostAfter {
		return false
	}
	if m.Left {
		return true
	}
	now := time.Now()
	total := map[string]bool{}
	for _, other := range c.state.Members {
		if !other.Left {
			total[other.EntryID] = true
		}
	}
	reached := 1
	for _, p := range c.peers {
		if p.alive(now) && total[p.view.EntryID] {
			reached++
		}
	}
	return 2*reached >= len(total)
}

// tryRelease hands a worker over once another VM should be its home and no
// lookup runs there under this VM's eyes.
func (c *control) tryRelease(u *upstream, now time.Time) bool {
	next := c.wanted[u.id]
	// A handover needs the log, or the next home can give no work out.
	settled := c.stopping || now.Sub(c.wantedAt) > settleHome && !c.e.appender.Down()
	if next == c.inc || next == "" && !c.stopping || !settled {
		return false
	}
	u.phase = releasing
	return true
}

// finishRelease releases a worker on which nothing of this VM is under way.
func (c *control) finishRelease(u *upstream) {
	if c.wanted[u.id] == c.inc && !u.handing {
		u.phase = home
		return
	}
	if len(u.lookups) > 0 || !u.pending.IsZero() || !u.held.IsZero() || u.handing {
		return
	}
	u.handing = true
	s := u.session
	next := c.wanted[u.id]
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = u.worker.Release(ctx, &platform.ReleaseRequest{Token: s.token, Next: next, Reserve: reserveRelease})
		c.e.post(released{u.id, s})
	})
}

func (m released) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	level.Info(c.e.deps.Logger).Log("msg", "worker handed over", "worker", m.id)
	c.dropClaim(u)
}

// tickHome does the upkeep of one worker.
func (c *control) tickHome(u *upstream, now time.Time) {
	c.stopMarked(u)
	c.sendForget(u, now)
	c.adjustCeilings(u, now)
}

// sendForget drops ended attempts whose outcome is durable.
func (c *control) sendForget(u *upstream, now time.Time) {
	if len(u.forget) == 0 || now.Sub(u.forgetAt) < watchWait {
		return
	}
	u.forgetAt = now
	r := &platform.ForgetRequest{Token: u.session.token, Attempts: u.forget}
	u.forget = nil
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// A lost Forget leaves the attempts to the worker's own bound.
		_ = u.worker.Forget(ctx, r)
	})
}

// room returns what is left on a worker for durable tasks and new ceilings.
func (c *control) room(u *upstream) resource.Vector {
	w := c.state.Workers[u.id]
	if w == nil {
		return resource.Vector{}
	}
	return w.Capacity.Sub(c.state.Load(u.id)).Sub(u.ceilings).Sub(u.pending).Sub(u.held)
}

// usable reports whether new work may go to a worker.
func (u *upstream) usable(now time.Time) bool {
	return u.phase == home && !u.leaving && !now.Before(u.restUntil)
}

// noteFailure counts a failure in a row. A worker that fails everything rests,
// longer each time, and is then tried with one task before more.
func (u *upstream) noteFailure(now time.Time) {
	u.failures++
	if u.failures < failuresBeforeRest {
		return
	}
	u.rest = min(max(2*u.rest, firstRest), maxRest)
	u.restUntil = now.Add(u.rest)
}

func (u *upstream) noteSuccess() {
	u.failures = 0
	u.rest = 0
}

// freeSlots is the number of lookups that the VM's workers have slots for.
func (c *control) freeSlots() int64 {
	now := time.Now()
	n := int64(0)
	for _, u := range c.upstreams {
		if u.usable(now) {
			n += max(0, c.physicalRoom(u).Slots)
		}
	}
	return n
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
