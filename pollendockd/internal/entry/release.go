package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/platform"
)

type (
	// releaseDone reports that a release request has finished.
	releaseDone struct {
		id      string
		session *session
	}
)

const (
	// releaseReserveTime is how long a released worker is reserved for the next
	// owner.
	releaseReserveTime = 2 * time.Second
	// maxHandovers limits the workers handed over at the same time.
	maxHandovers = 4
)

// maybeRelease begins to release a worker if another VM should own it. It
// reports whether it did.
func (c *control) maybeRelease(u *upstream, now time.Time) bool {
	next := c.desiredOwners[u.id]
	// Without the log the next owner could not record its claim, and the worker
	// would get no work.
	stable := c.stopping || now.Sub(c.nodesChangedAt) > handoverStableTime && !c.e.appender.Down()
	if next == c.incarnation || next == "" && !c.stopping || !stable {
		return false
	}
	u.phase = releasing
	return true
}

// continueRelease sends the release request once this VM has no lookups,
// dispatches or reservations left on the worker.
func (c *control) continueRelease(u *upstream) {
	if c.desiredOwners[u.id] == c.incarnation && !u.releaseInFlight {
		u.phase = owned
		return
	}
	if len(u.lookups) > 0 || !u.pending.IsZero() || !u.held.IsZero() || u.releaseInFlight {
		return
	}
	u.releaseInFlight = true
	s := u.session
	next := c.desiredOwners[u.id]
	ctx := c.ctx
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		defer cancel()
		_ = u.client.Release(ctx, &platform.ReleaseRequest{Token: s.token, Next: next, Reserve: releaseReserveTime})
		c.e.post(releaseDone{u.id, s})
	})
}

func (m releaseDone) handle(c *control) {
	u := c.upstreams[m.id]
	if u == nil || u.session != m.session {
		return
	}
	level.Info(c.e.deps.Logger).Log("msg", "worker claim released", "worker", m.id)
	c.dropClaim(u)
}
