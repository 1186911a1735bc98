package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	// watchReplied carries the reply to a watch.
	watchReplied struct {
		id      string
		session *session
		reply   *platform.WatchReply
		at      time.Time
	}

	// claimLost reports that a claim is no longer valid, or may not be.
	claimLost struct {
		id      string
		session *session
		// reclaim requests a new claim at once, to settle attempts whose outcome
		// is unknown.
		reclaim bool
	}
)

// watchBackoff is the delay after a failed watch.
const watchBackoff = 50 * time.Millisecond

// watch renews a claim until the claim is lost.
func (e *Entry) watch(ctx context.Context, id string, w platform.Worker, s *session) {
	after := int64(0)
	answered := time.Now()
	wait := time.Duration(0)
	for ctx.Err() == nil {
		r := &platform.WatchRequest{Token: s.token, After: after, Wait: wait, Lease: claimLease}
		if s.renewTasks.Load() {
			r.TaskLease = taskLease
		}
		reply, err := w.Watch(ctx, r)
		switch {
		case err == nil:
			answered = time.Now()
			after = reply.Seq
			wait = watchPollTimeout
			e.post(watchReplied{id, s, reply, answered})
		case platform.HasReason(err, platform.StaleClaim) || time.Since(answered) > claimLease:
			e.post(claimLost{id: id, session: s})
			return
		default:
			sleep.For(ctx, watchBackoff)
		}
	}
}

func (m watchReplied) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	u.watchNumber = m.reply.Number
	u.watchedAt = m.at
	if u.phase == claimed {
		// The inventory is settled once the claim is in the log. Attempts that
		// end before that are kept until then.
		c.deferEnded(u, m.reply.Ended)
		return
	}
	for _, t := range m.reply.Ended {
		c.handleReportedTask(u, t)
	}
}

// deferEnded processes the ended attempts once the claim is in the log.
func (c *control) deferEnded(u *upstream, ended []platform.TaskStatus) {
	if len(ended) == 0 {
		return
	}
	s := u.session
	u.onOwned = append(u.onOwned, func() {
		if u.session != s {
			return
		}
		for _, t := range ended {
			c.handleReportedTask(u, t)
		}
	})
}

// recordClaimError tracks since when a worker has been unreachable. A refusal by
// the worker itself shows that it is reachable.
func (c *control) recordClaimError(u *upstream, err error) {
	if platform.IsRefusal(err) && !platform.HasReason(err, platform.Unreachable) {
		u.unreachableSince = time.Time{}
		return
	}
	if u.unreachableSince.IsZero() {
		u.unreachableSince = time.Now()
	}
}

func (m claimLost) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	level.Warn(c.e.deps.Logger).Log("msg", "worker claim lost", "worker", m.id)
	silentSince := u.watchedAt
	c.dropClaim(u)
	if m.reclaim {
		u.lastClaimTry = time.Time{}
		return
	}
	if u.unreachableSince.IsZero() {
		u.unreachableSince = silentSince
	}
}

// reportLost gives up the tasks of a worker that has been unreachable for so
// long that every task lease there has expired, whichever VM renewed it.
func (c *control) reportLost(u *upstream, now time.Time) {
	w := c.state.Workers[u.id]
	if u.unreachableSince.IsZero() || w == nil || w.Home == "" || now.Sub(u.unreachableSince) < workerLostAfter || !c.joined {
		return
	}
	if w.Home != c.incarnation && !(c.desiredOwners[u.id] == c.incarnation && c.stoppedRenewing(w.Home)) {
		return
	}
	u.unreachableSince = now
	level.Warn(c.e.deps.Logger).Log("msg", "worker lost; giving up its tasks", "worker", u.id)
	r := c.newRecord()
	r.Lost = &ledger.Lost{Worker: u.id, Boot: w.Boot, Home: w.Home}
	c.submit(r, true, nil)
}

// stoppedRenewing reports whether a retired incarnation has certainly stopped
// renewing task leases. This VM reaches at least half of the entry VMs that have
// not left, so the retired incarnation, if it still runs, can reach no majority
// and considers itself isolated.
func (c *control) stoppedRenewing(incarnation string) bool {
	m := c.state.Members[incarnation]
	if m == nil {
		return true
	}
	if !m.Retired || c.state.Clock.Sub(m.RetiredAt) < workerLostAfter {
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
