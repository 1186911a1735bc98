package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/ledger"
)

type (
	// stopRequest begins a graceful stop.
	stopRequest struct {
		done chan struct{}
	}
)

// Stop shuts down gracefully: the VM accepts no new work, finishes or forwards
// its lookups, releases its workers and leaves the cell. It returns early if ctx
// is done.
func (e *Entry) Stop(ctx context.Context) error {
	m := stopRequest{make(chan struct{})}
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

func (m stopRequest) handle(c *control) {
	level.Info(c.e.deps.Logger).Log("msg", "stopping")
	c.stopping = true
	c.stopStartedAt = time.Now()
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
	c.shareState()
}

// tickStop leaves the cell once this VM has released its workers and has no
// pending calls.
func (c *control) tickStop(now time.Time) {
	if !c.stopping || c.leaving || now.Sub(c.stopStartedAt) < minStopDuration {
		return
	}
	for _, u := range c.upstreams {
		if u.phase != unclaimed && u.phase != claiming {
			return
		}
	}
	c.failLookups(code.NotReady, "this entry VM is stopping")
	if len(c.runningAttempts) > 0 || c.forwardedCount > 0 || len(c.publishWaiters) > 0 {
		return
	}
	c.leaving = true
	c.appendLeave()
}

// appendLeave records the end of the incarnation. If the log is down it stops
// without a record, and the peers retire the incarnation later.
func (c *control) appendLeave() {
	if !c.joined || c.e.appender.Down() {
		c.finishStop()
		return
	}
	r := c.newRecord()
	r.Leave = &ledger.Leave{}
	c.submit(r, true, func(_ int64, result ledger.ApplyResult) {
		if result.Code != code.OK {
			level.Warn(c.e.deps.Logger).Log("msg", "failed to record the leave in the log", "err", result.Detail)
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
