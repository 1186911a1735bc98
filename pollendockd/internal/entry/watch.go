package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/pause"
)

type (
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
)

// watchBackoff is the time before a watch that failed is sent again.
const watchBackoff = 50 * time.Millisecond

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
			pause.For(ctx, watchBackoff)
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
