package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/platform"
)

type (
	// released ends a handover.
	released struct {
		id      string
		session *session
	}
)

const (
	// reserveRelease is how long a released worker is kept for the next home.
	reserveRelease = 2 * time.Second
	// handoversAtOnce bounds the workers handed over at a time.
	handoversAtOnce = 4
)

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
