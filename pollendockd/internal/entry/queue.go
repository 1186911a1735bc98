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
	// lookup is one lookup until its final answer.
	lookup struct {
		LookupOrder
		ctx     context.Context
		reply   chan Outcome
		arrived time.Time
		// forwarded lookups came from a peer and are not passed on again.
		forwarded bool
		// started is set once an attempt started without a good result.
		started bool
		// attempts counts the attempts that started.
		attempts int64
		// tries counts the starts that were sent.
		tries int
		// lease is the least lease of the next attempt.
		lease time.Duration
		// asked is set while a peer has the lookup.
		asked bool
		// avoid is the worker on which the last attempt failed.
		avoid string
		// answered is set once the final answer was given.
		answered bool
	}

	// lookupQueue holds the waiting lookups of a team.
	lookupQueue struct {
		list []*lookup
	}

	// forwardDone ends a forwarded lookup.
	forwardDone struct {
		l     *lookup
		peer  *peerView
		reply *peer.LookupReply
		err   error
	}
)

const (
	// forwardMargin is what a peer's answer may take beyond the deadline.
	forwardMargin = 200 * time.Millisecond
	// queueScan bounds the waiting lookups of a team that one pass looks at.
	queueScan = 32
	// retryTokens and retryEarn bound retries to a part of the lookups.
	retryTokens = 20.0
	retryEarn   = 0.1
)

func newLookup(ctx context.Context, o *LookupOrder, forwarded bool) *lookup {
	return &lookup{
		LookupOrder: *o, ctx: ctx, reply: make(chan Outcome, 1),
		arrived: time.Now(), forwarded: forwarded,
	}
}

// answer gives the final answer, once.
func (l *lookup) answer(out Outcome) {
	if l.answered {
		return
	}
	l.answered = true
	l.reply <- out
}

// refuse answers that the lookup has not run, unless an attempt has started.
func (l *lookup) refuse(c code.Code, detail string, after time.Duration) {
	if l.started {
		l.answer(Outcome{Code: code.MayHaveRun, Detail: detail, RetryAfter: after})
		return
	}
	l.answer(Outcome{Code: c, Detail: detail, RetryAfter: after})
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
	c.retryBudget = min(retryTokens, c.retryBudget+retryEarn)
	q.list = append(q.list, l)
	c.dirty = true
}

// requeue puts a lookup back at the head after an attempt, within the budget.
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

// placeLookups starts what can start. A team's waiting lookups do not wait for
// a larger one before them.
func (c *control) placeLookups(now time.Time) {
	for _, q := range c.lookups {
		kept := q.list[:0]
		misses := 0
		for i, l := range q.list {
			if misses >= queueScan {
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

// startLookup starts l on a worker, or ends it; false leaves it waiting.
func (c *control) startLookup(l *lookup, now time.Time) bool {
	if l.ctx.Err() != nil || !now.Before(l.Deadline) {
		c.expireLookup(l)
		return true
	}
	if !c.serving() {
		return false
	}
	if u := c.chooseForLookup(l, now); u != nil {
		c.runLookup(u, l, now)
		return true
	}
	rising := c.raiseCeiling(l, now)
	return !rising && !l.forwarded && c.forward(l)
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

// tickLookups ends or passes on what has waited long.
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

// forward passes a lookup to the peer with the most free slots.
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
	if best == nil || l.asked {
		return false
	}
	// Until the next heartbeat the peer is assumed to have one slot less.
	best.view.FreeSlots--
	l.asked = true
	c.forwarding++
	r := &peer.LookupRequest{
		Key: l.Key, RequestID: l.RequestID, Size: l.Size, ExpectedRun: l.ExpectedRun,
		Left: time.Until(l.Deadline), Payload: l.Payload,
	}
	c.e.spawn(func() {
		ctx, cancel := context.WithDeadline(l.ctx, l.Deadline.Add(forwardMargin))
		defer cancel()
		reply, err := best.handler.Lookup(ctx, r)
		c.e.post(forwardDone{l, best, reply, err})
	})
	return true
}

// handle answers with what the peer said. A peer that gave no answer may have
// run the lookup; one that had no room leaves it here to wait on.
func (m forwardDone) handle(c *control) {
	c.forwarding--
	l := m.l
	if peer.NotSent.Has(m.err) {
		m.peer.heard = time.Time{}
		l.asked = false
		c.requeue(l)
		return
	}
	if m.err != nil || m.reply.RequestID != l.RequestID {
		l.started = true
		l.refuse(code.MayHaveRun, "a peer entry VM gave no answer", retryAfterBusy)
		return
	}
	if notRunHere(m.reply.Code) && !l.started && time.Now().Before(l.Deadline) && !c.stopping {
		l.forwarded = true
		c.enqueue(l)
		return
	}
	if l.started && m.reply.Code >= code.BadRequest {
		l.refuse(m.reply.Code, m.reply.Detail, m.reply.RetryAfter)
		return
	}
	l.answer(Outcome{
		Code: m.reply.Code, Detail: m.reply.Detail, Data: m.reply.Data,
		Digest: m.reply.Digest, RetryAfter: m.reply.RetryAfter,
	})
}

// notRunHere reports whether a peer's refusal leaves room for a try elsewhere.
func notRunHere(c code.Code) bool {
	return c == code.NoRoom || c == code.NotReady || c == code.Isolated || c == code.OverLimit || c == code.QueueFull
}

// failLookups answers every waiting lookup.
func (c *control) failLookups(cause code.Code, detail string) {
	for _, q := range c.lookups {
		for _, l := range q.list {
			l.refuse(cause, detail, retryAfterBusy)
		}
		q.list = nil
	}
}

// physicalRoom returns what nothing runs on at a worker, set aside or not.
func (c *control) physicalRoom(u *upstream) resource.Vector {
	w := c.state.Workers[u.id]
	if w == nil {
		return resource.Vector{}
	}
	return w.Capacity.Sub(c.state.Load(u.id)).Sub(u.lookupLoad).Sub(u.pending).Sub(u.held)
}

// lookupRoom returns what a team's lookups may still hold on a worker.
func (c *control) lookupRoom(u *upstream, team string) resource.Vector {
	w := c.state.Workers[u.id]
	if w == nil {
		return resource.Vector{}
	}
	physical := c.physicalRoom(u)
	allowed := w.Allocations[team].Sub(u.falling[team]).Sub(u.lookupUse[team])
	return physical.Min(allowed)
}
