package entry

import (
	"context"
	"fmt"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/resource"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// lookup is a lookup in progress.
	lookup struct {
		AuthenticatedLookup
		ctx     context.Context
		reply   chan LookupResult
		arrived time.Time
		// forwarded is set for lookups that must not be forwarded: they came
		// from a peer, or a peer returned them.
		forwarded bool
		// started is set once an attempt has started or may have started without
		// a good result. The lookup can then no longer be reported as not run.
		started bool
		// attempts counts the attempts that started.
		attempts int64
		// startsSent counts the start requests sent.
		startsSent int
		// lease is the minimum lease of the next attempt.
		lease time.Duration
		// sentToPeer is set once the lookup has been forwarded to a peer.
		sentToPeer bool
		// avoidWorker is the worker on which the last attempt failed.
		avoidWorker string
		// answered is set once the final answer has been sent.
		answered bool
	}

	// lookupQueue holds the waiting lookups of a team.
	lookupQueue struct {
		list []*lookup
	}

	// forwardDone carries the result of a forwarded lookup.
	forwardDone struct {
		l     *lookup
		peer  *peerView
		reply *peer.LookupReply
		err   error
	}
)

const (
	// forwardReplyMargin is how long after the deadline a peer's reply is still
	// awaited.
	forwardReplyMargin = 200 * time.Millisecond
	// maxMissesPerPass bounds the lookups of a team that one pass fails to
	// start.
	maxMissesPerPass = 32
	// maxRetryTokens and retryTokensPerLookup define a token bucket that limits
	// retries to a fraction of the lookups.
	maxRetryTokens       = 20.0
	retryTokensPerLookup = 0.1
)

func newLookup(ctx context.Context, req *AuthenticatedLookup, forwarded bool) *lookup {
	return &lookup{
		AuthenticatedLookup: *req, ctx: ctx, reply: make(chan LookupResult, 1),
		arrived: time.Now(), forwarded: forwarded,
	}
}

// answer sends the final answer, once.
func (l *lookup) answer(out LookupResult) {
	if l.answered {
		return
	}
	l.answered = true
	l.reply <- out
}

// refuse answers that the lookup has not run, or that it may have run if an
// attempt has started.
func (l *lookup) refuse(c code.Code, detail string, after time.Duration) {
	if l.started {
		l.answer(LookupResult{Code: code.MayHaveRun, Detail: detail, RetryAfter: after})
		return
	}
	l.answer(LookupResult{Code: c, Detail: detail, RetryAfter: after})
}

func (c *control) enqueue(l *lookup) {
	q := c.lookups[l.Team]
	if q == nil {
		q = &lookupQueue{}
		c.lookups[l.Team] = q
	}
	if len(q.list) >= maxLookupQueue {
		l.refuse(code.QueueFull, fmt.Sprintf("%d lookups of the team are waiting", len(q.list)), retryAfterBusy)
		return
	}
	c.retryBudget = min(maxRetryTokens, c.retryBudget+retryTokensPerLookup)
	q.list = append(q.list, l)
	c.dirty = true
}

// requeue puts a lookup back at the head of its queue after an attempt, unless
// it has reached the attempt limit or the retry budget is spent.
func (c *control) requeue(l *lookup) {
	if l.answered {
		return
	}
	if l.attempts >= c.maxLookupAttempts() {
		l.refuse(code.NoRoom, fmt.Sprintf("%d attempts failed", l.attempts), retryAfterBusy)
		return
	}
	if c.retryBudget < 1 {
		l.refuse(code.NoRoom, "too many lookups are being retried", retryAfterBusy)
		return
	}
	c.retryBudget--
	q := c.lookups[l.Team]
	if q == nil {
		q = &lookupQueue{}
		c.lookups[l.Team] = q
	}
	q.list = append([]*lookup{l}, q.list...)
	c.dirty = true
}

// placeLookups starts all lookups that can start. Smaller lookups of a team may
// overtake larger ones.
func (c *control) placeLookups(now time.Time) {
	for _, q := range c.lookups {
		kept := q.list[:0]
		misses := 0
		for i, l := range q.list {
			if misses >= maxMissesPerPass {
				kept = append(kept, q.list[i:]...)
				break
			}
			if c.startLookup(l, now) {
				continue
			}
			misses++
			kept = append(kept, l)
		}
		clear(q.list[len(kept):])
		q.list = kept
	}
}

// startLookup starts, forwards or expires l. It returns false if l has to keep
// waiting.
func (c *control) startLookup(l *lookup, now time.Time) bool {
	if l.ctx.Err() != nil || !now.Before(l.Deadline) {
		c.expireLookup(l)
		return true
	}
	if !c.serving() {
		return false
	}
	if c.allEvacuated() {
		l.refuse(code.NoRoom, "all data centres with workers are evacuated", retryAfterBusy)
		return true
	}
	if u := c.chooseLookupWorker(l, now); u != nil {
		c.startAttempt(u, l, now)
		return true
	}
	increasePending := c.ensureAllocation(l, now)
	return !increasePending && !l.forwarded && c.forward(l)
}

func (c *control) expireLookup(l *lookup) {
	switch {
	case l.ctx.Err() != nil:
		l.refuse(code.Expired, "the caller has gone", 0)
	case !l.Size.Fits(c.state.Unused(l.Team)):
		l.refuse(code.OverLimit, "the team is at its upper limit", retryAfterBusy)
	default:
		l.refuse(code.NoRoom, "no worker had room before the deadline", retryAfterBusy)
	}
}

// tickLookups expires lookups past their deadline and forwards those that have
// waited long.
func (c *control) tickLookups(now time.Time) {
	c.answerOverdue(now)
	for _, q := range c.lookups {
		kept := q.list[:0]
		for _, l := range q.list {
			switch {
			case l.ctx.Err() != nil || !now.Before(l.Deadline):
				c.expireLookup(l)
			case !l.forwarded && now.Sub(l.arrived) > forwardAfter && c.forward(l):
			default:
				kept = append(kept, l)
			}
		}
		clear(q.list[len(kept):])
		q.list = kept
	}
}

// forward sends a lookup to the peer with the most free slots.
func (c *control) forward(l *lookup) bool {
	now := time.Now()
	var best *peerView
	for _, p := range c.peers {
		if !p.alive(now) || !p.view.Ready || p.view.FreeSlots <= 0 {
			continue
		}
		if best == nil || p.view.FreeSlots > best.view.FreeSlots {
			best = p
		}
	}
	if best == nil || l.sentToPeer {
		return false
	}
	// Accounts for the lookup until the next heartbeat updates the count.
	best.view.FreeSlots--
	l.sentToPeer = true
	c.forwardedCount++
	r := &peer.LookupRequest{
		Key: l.Key, RequestID: l.RequestID, Size: l.Size, ExpectedRun: l.ExpectedRun,
		Left: time.Until(l.Deadline), Payload: l.Payload,
	}
	c.e.spawn(func() {
		ctx, cancel := context.WithDeadline(l.ctx, l.Deadline.Add(forwardReplyMargin))
		defer cancel()
		reply, err := best.handler.Lookup(ctx, r)
		c.e.post(forwardDone{l, best, reply, err})
	})
	return true
}

// handle answers with the peer's reply. If there is no reply, the peer may have
// run the lookup. If the peer refused it for a reason that need not hold on other
// VMs, such as a lack of room, it waits here again.
func (m forwardDone) handle(c *control) {
	c.forwardedCount--
	l := m.l
	if peer.NotSent.Has(m.err) {
		m.peer.heardAt = time.Time{}
		l.sentToPeer = false
		c.requeue(l)
		return
	}
	if m.err != nil || m.reply.RequestID != l.RequestID {
		l.started = true
		l.refuse(code.MayHaveRun, "a peer entry VM gave no answer", retryAfterBusy)
		return
	}
	if retryableElsewhere(m.reply.Code) && !l.started && time.Now().Before(l.Deadline) && !c.stopping {
		l.forwarded = true
		c.enqueue(l)
		return
	}
	if l.started && m.reply.Code >= code.BadRequest {
		l.refuse(m.reply.Code, m.reply.Detail, m.reply.RetryAfter)
		return
	}
	l.answer(LookupResult{
		Code: m.reply.Code, Detail: m.reply.Detail, Data: m.reply.Data,
		Digest: m.reply.Digest, RetryAfter: m.reply.RetryAfter,
	})
}

// retryableElsewhere reports whether a lookup that a peer refused may run on
// another VM.
func retryableElsewhere(c code.Code) bool {
	return c == code.NoRoom || c == code.NotReady || c == code.Isolated || c == code.OverLimit || c == code.QueueFull
}

// failLookups answers all waiting lookups with the given code.
func (c *control) failLookups(cause code.Code, detail string) {
	for _, q := range c.lookups {
		for _, l := range q.list {
			l.refuse(cause, detail, retryAfterBusy)
		}
		q.list = nil
	}
}

// idleCapacity returns the capacity of a worker that is neither in use nor
// pending nor reserved for a gang. Unlike available, it includes the unused part
// of allocations.
func (c *control) idleCapacity(u *upstream) resource.Vector {
	w := c.state.Workers[u.id]
	if w == nil {
		return resource.Vector{}
	}
	return w.Capacity.Sub(c.state.Load(u.id)).Sub(u.lookupLoad).Sub(u.pending).Sub(u.held)
}

// lookupCapacity returns the capacity that new lookups of a team may use on a
// worker.
func (c *control) lookupCapacity(u *upstream, team string) resource.Vector {
	w := c.state.Workers[u.id]
	if w == nil {
		return resource.Vector{}
	}
	idle := c.idleCapacity(u)
	allowed := w.Allocations[team].Sub(u.pendingDecreases[team]).Sub(u.lookupUse[team])
	return idle.Min(allowed)
}
