package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
)

type (
	// phase is the state of this VM's ownership of a worker.
	phase int

	// upstream is a worker as seen by this VM.
	upstream struct {
		id      string
		vm      platform.VM
		leaving bool
		client  platform.Worker

		phase   phase
		session *session
		// inventory is the set of attempts that the worker reported with the
		// claim.
		inventory map[string]bool
		// onOwned holds functions to run once the claim is in the log.
		onOwned []func()
		// releaseInFlight is set while a release request is being sent.
		releaseInFlight bool
		claimedAt       time.Time
		lastClaimTry    time.Time
		// unreachableSince is the time from which on the worker is known not to
		// answer; zero while it answers.
		unreachableSince time.Time

		// watchNumber and watchedAt describe the last watch that was answered.
		watchNumber int64
		watchedAt   time.Time

		// lookups maps attempt IDs to running lookups.
		lookups map[string]runningLookup
		// lookupUse is the capacity that running lookups use, by team.
		// lookupLoad is their total.
		lookupUse  map[string]resource.Vector
		lookupLoad resource.Vector
		// peak is the maximum of lookupUse since peakSince.
		peak      map[string]resource.Vector
		peakSince time.Time
		// pendingDecreases holds the allocation decreases that are not in the
		// log yet, by team.
		pendingDecreases map[string]resource.Vector
		// allocated is the sum of all teams' allocations on this worker.
		allocated resource.Vector
		// pending is the capacity for dispatches and allocation increases that
		// are not in the log yet.
		pending resource.Vector
		// held is the capacity reserved for gangs of peers.
		held resource.Vector

		toForget     []string
		lastForgetAt time.Time
		failures     int
		backoff      time.Duration
		backoffUntil time.Time
	}

	runningLookup struct {
		team string
		size resource.Vector
	}

	// session is one claim on a worker.
	session struct {
		token  string
		boot   string
		epoch  int64
		cancel context.CancelFunc
		// renewTasks tells whether watches renew the task leases.
		renewTasks atomic.Bool
	}

	// claimDone carries the result of a claim request.
	claimDone struct {
		id          string
		incarnation string
		claim       *platform.Claim
		err         error
	}
)

const (
	// unclaimed workers are not claimed by this VM.
	unclaimed phase = iota
	// claiming workers have been sent a claim request.
	claiming
	// claimed workers have granted the claim, but it is not in the log yet.
	claimed
	// owned workers can be given work.
	owned
	// releasing workers are being handed over to another VM.
	releasing
)

const (
	workerCallTimeout = 2 * time.Second
)

func (c *control) updateWorker(vm platform.VM, now time.Time) {
	u := c.upstreams[vm.ID]
	if u == nil || u.vm.Addr != vm.Addr {
		if u != nil {
			c.dropClaim(u)
		}
		u = &upstream{id: vm.ID, client: c.e.deps.Dialer.Worker(vm.Addr), peakSince: now}
		u.resetClaim()
		c.upstreams[vm.ID] = u
	}
	if vm.Leaving && !u.leaving {
		level.Info(c.e.deps.Logger).Log("msg", "worker is leaving", "worker", vm.ID)
	}
	u.vm = vm
	u.leaving = vm.Leaving
}

func (u *upstream) resetClaim() {
	u.phase = unclaimed
	u.session = nil
	u.inventory = nil
	u.onOwned = nil
	u.releaseInFlight = false
	u.lookups = map[string]runningLookup{}
	u.lookupUse = map[string]resource.Vector{}
	u.lookupLoad = resource.Vector{}
	u.peak = map[string]resource.Vector{}
	u.pendingDecreases = map[string]resource.Vector{}
	u.pending = resource.Vector{}
	u.held = resource.Vector{}
	u.toForget = nil
}

// dropClaim discards the claim locally. Tasks keep running on the worker.
func (c *control) dropClaim(u *upstream) {
	if u.session != nil {
		u.session.cancel()
	}
	u.resetClaim()
	c.dirty = true
}

func (c *control) tickWorkers(now time.Time) {
	if now.Sub(c.lastAssignAt) >= assignInterval {
		c.lastAssignAt = now
		c.updateAssignment(now)
	}
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
			if u.phase != unclaimed && u.phase != claiming {
				c.dropClaim(u)
			}
		case u.phase == unclaimed:
			c.maybeClaim(u, now)
		case u.phase == claimed:
			u.session.renewTasks.Store(now.Sub(u.claimedAt) < unrecordedRenewal)
		case u.phase == owned:
			if (c.stopping || handovers < maxHandovers) && c.maybeRelease(u, now) {
				handovers++
			}
		case u.phase == releasing:
			c.continueRelease(u)
		}
		if u.phase == owned || u.phase == releasing {
			c.tickOwned(u, now)
		}
		c.reportLost(u, now)
	}
}

// maybeClaim sends a claim request if this VM should own the worker or the log
// records it as owner. The recorded owner tries even if another VM should own
// the worker: a worker is normally reported lost by its recorded owner.
func (c *control) maybeClaim(u *upstream, now time.Time) {
	w := c.state.Workers[u.id]
	mine := c.desiredOwners[u.id] == c.incarnation || w != nil && w.Home == c.incarnation
	// A claim recorded before this VM's join would have no effect.
	if !mine || !c.joined || c.stopping || now.Sub(u.lastClaimTry) < claimInterval {
		return
	}
	u.lastClaimTry = now
	u.phase = claiming
	incarnation := c.incarnation
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		defer cancel()
		claim, err := u.client.Claim(ctx, &platform.ClaimRequest{Incarnation: incarnation, Lease: claimLease})
		c.e.post(claimDone{u.id, incarnation, claim, err})
	})
}

func (m claimDone) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.phase != claiming || m.incarnation != c.incarnation {
		return
	}
	if m.err != nil {
		u.phase = unclaimed
		c.recordClaimError(u, m.err)
		return
	}
	u.unreachableSince = time.Time{}
	c.takeOver(u, m.claim)
}

// takeOver adopts a claimed worker with its running tasks and records the claim
// in the log.
func (c *control) takeOver(u *upstream, claim *platform.Claim) {
	u.resetClaim()
	ctx, cancel := context.WithCancel(c.ctx)
	s := &session{token: claim.Token, boot: claim.Boot, epoch: claim.Epoch, cancel: cancel}
	s.renewTasks.Store(true)
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
	c.e.spawn(func() { c.e.watch(ctx, u.id, u.client, s) })
	r := c.newRecord()
	r.Home = &ledger.Home{
		Worker: u.id, Boot: claim.Boot, Epoch: claim.Epoch, Capacity: claim.Capacity,
		DataCentre: u.vm.DataCentre, Rack: u.vm.Rack,
	}
	c.submit(r, false, func(_ int64, result ledger.ApplyResult) {
		if u.session != s {
			return
		}
		if result.Code != code.OK {
			c.dropClaim(u)
			return
		}
		c.claimRecorded(u, tasks)
	})
}

// claimRecorded starts to schedule on a worker whose claim is in the log. By now
// this VM has applied every outcome that earlier owners recorded.
func (c *control) claimRecorded(u *upstream, tasks []platform.TaskStatus) {
	u.phase = owned
	u.session.renewTasks.Store(true)
	level.Info(c.e.deps.Logger).Log("msg", "worker claim recorded", "worker", u.id, "epoch", u.session.epoch)
	c.updateAllocationSum(u)
	for _, t := range tasks {
		c.handleReportedTask(u, t)
	}
	for _, ref := range c.state.OnWorker(u.id) {
		t := &c.state.Jobs[ref.Job].Tasks[ref.Task]
		if !u.inventory[ledger.AttemptID(ref.Job, ref.Task, t.Attempt)] {
			c.settleAttempt(u, ref, t.Attempt, ledger.NotRun, nil, "not in the inventory after a claim")
		}
	}
	for _, fn := range u.onOwned {
		fn()
	}
	u.onOwned = nil
	c.dirty = true
}

// handleReportedTask handles an attempt that the worker reports.
func (c *control) handleReportedTask(u *upstream, t platform.TaskStatus) {
	if isLookup(t.Attempt) {
		c.handleReportedLookup(u, t)
		return
	}
	ref, attempt, ok := c.findAttempt(t.Attempt)
	if !ok || c.state.Jobs[ref.Job].Tasks[ref.Task].Worker != u.id {
		c.handleUnboundTask(u, t)
		return
	}
	if t.State != platform.Running {
		c.attemptEnded(u, ref, attempt, t)
	}
}

// handleUnboundTask stops or forgets an attempt that the log no longer assigns
// to this worker: the end of the attempt is in the log already.
func (c *control) handleUnboundTask(u *upstream, t platform.TaskStatus) {
	if t.State != platform.Running {
		u.toForget = append(u.toForget, t.Attempt)
		return
	}
	level.Warn(c.e.deps.Logger).Log("msg", "stopping an attempt that the log does not assign to this worker", "worker", u.id, "attempt", t.Attempt)
	c.stopAttempt(u, t.Attempt)
}

// ownerRecorded drops this VM's claim once the log records another owner.
func (c *control) ownerRecorded(r *ledger.Record) {
	u := c.upstreams[r.Home.Worker]
	if u == nil || r.By == c.incarnation || u.session == nil {
		return
	}
	if r.Home.Boot == u.session.boot && r.Home.Epoch < u.session.epoch {
		return
	}
	c.dropClaim(u)
}

// tickOwned runs the periodic work for one worker.
func (c *control) tickOwned(u *upstream, now time.Time) {
	c.stopMarkedAttempts(u)
	c.sendForget(u, now)
	c.releaseUnusedAllocations(u, now)
}

// sendForget lets the worker drop ended attempts whose outcome is durable.
func (c *control) sendForget(u *upstream, now time.Time) {
	if len(u.toForget) == 0 || now.Sub(u.lastForgetAt) < watchPollTimeout {
		return
	}
	u.lastForgetAt = now
	r := &platform.ForgetRequest{Token: u.session.token, Attempts: u.toForget}
	u.toForget = nil
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		defer cancel()
		// If the request is lost, the worker keeps the attempts until its own
		// bound.
		_ = u.client.Forget(ctx, r)
	})
}

// available returns the capacity of a worker that is free for durable tasks and
// for larger allocations.
func (c *control) available(u *upstream) resource.Vector {
	w := c.state.Workers[u.id]
	if w == nil {
		return resource.Vector{}
	}
	return w.Capacity.Sub(c.state.Load(u.id)).Sub(u.allocated).Sub(u.pending).Sub(u.held)
}

// usable reports whether new work may be placed on a worker.
func (c *control) usable(u *upstream, now time.Time) bool {
	return u.phase == owned && !u.leaving && !c.evacuated(u) && !now.Before(u.backoffUntil)
}

// recordFailure counts consecutive failures. A worker that keeps failing gets no
// work for a backoff period that doubles each time. After that it is tried with
// one task before it gets more.
func (u *upstream) recordFailure(now time.Time) {
	u.failures++
	if u.failures < failuresBeforeBackoff {
		return
	}
	u.backoff = min(max(2*u.backoff, initialBackoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

func (u *upstream) recordSuccess() {
	u.failures = 0
	u.backoff = 0
}

// freeSlots returns the number of lookups that this VM's workers have free slots
// for.
func (c *control) freeSlots() int64 {
	now := time.Now()
	n := int64(0)
	for _, u := range c.upstreams {
		if c.usable(u, now) {
			n += max(0, c.idleCapacity(u).Slots)
		}
	}
	return n
}
