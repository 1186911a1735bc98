package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/ledger"
)

type (
	// stopAsked begins a graceful stop.
	stopAsked struct {
		done chan struct{}
	}
)

// Stop ends gracefully: the VM takes no new work, finishes or passes on its
// lookups, hands its workers over and leaves. It returns early with ctx.
func (e *Entry) Stop(ctx context.Context) error {
	m := stopAsked{make(chan struct{})}
	e.post(m)
	select {
	case <-m.done:
		return nil
	case <-e.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m stopAsked) handle(c *control) {
	level.Info(c.e.deps.Logger).Log("msg", "stopping")
	c.stopping = true
	c.stopSince = time.Now()
	c.stopWaiters = append(c.stopWaiters, m.done)
	for _, q := range c.lookups {
		kept := q.list[:0]
		for _, l := range q.list {
			if l.forwarded || !c.forward(l) {
				kept = append(kept, l)
			}
		}
		q.list = kept
	}
	c.publish()
}

// tickStop leaves once nothing is left to do here.
func (c *control) tickStop(now time.Time) {
	if !c.stopping || c.leaving || now.Sub(c.stopSince) < stopLinger {
		return
	}
	for _, u := range c.upstreams {
		if u.phase != free && u.phase != claiming {
			return
		}
	}
	c.failLookups(code.NotReady, "this entry VM is stopping")
	if len(c.running) > 0 || c.forwarding > 0 || len(c.publishing) > 0 {
		return
	}
	c.leaving = true
	c.leave()
}

// leave appends the end of the incarnation. With the log down it just ends;
// the peers retire it later.
func (c *control) leave() {
	if !c.joined || c.e.appender.Down() {
		c.finishStop()
		return
	}
	r := c.newRecord()
	r.Leave = &ledger.Leave{}
	c.submit(r, true, func(_ int64, effect ledger.ApplyResult) {
		if effect.Code != code.OK {
			level.Warn(c.e.deps.Logger).Log("msg", "left without a record", "err", effect.Detail)
		}
		c.finishStop()
	})
}

func (c *control) finishStop() {
	for _, done := range c.stopWaiters {
		close(done)
	}
	c.stopWaiters = nil
}
