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
	// phase is how far this VM is home to a worker.
	phase int

	// upstream is a worker as this VM sees it.
	upstream struct {
		id      string
		vm      platform.VM
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
	callTimeout = 2 * time.Second
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
	if now.Sub(c.assignedAt) >= assignEvery {
		c.assignedAt = now
		c.computeWanted(now)
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
	c.submit(r, false, func(_ int64, effect ledger.ApplyResult) {
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
func (c *control) homeRecorded(r *ledger.Record) {
	u := c.upstreams[r.Home.Worker]
	if u == nil || r.By == c.inc || u.session == nil {
		return
	}
	if r.Home.Boot == u.session.boot && r.Home.Epoch < u.session.epoch {
		return
	}
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
