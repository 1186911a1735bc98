package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/standin/memplatform"
)

type (
	// network decides what happens to calls. The first matching rule applies.
	network struct {
		mu     sync.Mutex
		rules  []*rule
		frozen map[string]chan struct{}
		dead   map[string]bool
		// truncations is the number of results still to be truncated.
		truncations int
	}

	// call is one call between two machines.
	call struct {
		from, to, op string
		// kinds lists the record kinds of an append.
		kinds string
	}

	// rule applies to matching calls, at most count times and not after until. A
	// zero count or until means no bound.
	rule struct {
		match func(c call) bool
		count int
		until time.Time
		// before and after run before and after the call is delivered. An error
		// from before prevents the delivery, and one from after replaces the
		// reply.
		before func(ctx context.Context) error
		after  func(ctx context.Context) error
		// lateBy delays the delivery of the request; the caller times out
		// meanwhile.
		lateBy time.Duration
		hits   int
	}
)

func (nw *network) thaw(entry string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if ch := nw.frozen[entry]; ch != nil {
		close(ch)
		delete(nw.frozen, entry)
	}
}

func (nw *network) thawAll() {
	for i := 1; i <= maxEntries; i++ {
		nw.thaw(fmt.Sprintf("entry-%d", i))
	}
}

func (nw *network) add(r *rule) *rule {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.rules = append(nw.rules, r)
	return r
}

// cut blocks calls from one machine to another for d. An empty name matches all
// machines.
func (nw *network) cut(from, to string, d time.Duration) {
	nw.add(&rule{
		match:  func(c call) bool { return (from == "" || c.from == from) && (to == "" || c.to == to) },
		until:  time.Now().Add(d),
		before: hang,
	})
}

// hang blocks until the caller gives up.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// intercept delivers a call, with the faults of the matching rule.
func (nw *network) intercept(ctx context.Context, c call, deliver func(ctx context.Context) error) error {
	if err := nw.awaitThaw(ctx, c.from); err != nil {
		return err
	}
	r := nw.rule(c)
	if r != nil && r.before != nil {
		if err := r.before(ctx); err != nil {
			return err
		}
	}
	if err := nw.checkAlive(c); err != nil {
		return err
	}
	if err := nw.awaitThaw(ctx, c.to); err != nil {
		return err
	}
	if r != nil && r.lateBy > 0 {
		time.AfterFunc(r.lateBy, func() { _ = deliver(context.WithoutCancel(ctx)) })
		return hang(ctx)
	}
	err := deliver(ctx)
	if r != nil && r.after != nil {
		if lost := r.after(ctx); lost != nil {
			return lost
		}
	}
	if nw.checkAlive(c) != nil {
		return errConnectionLost
	}
	if frozenErr := nw.awaitThaw(ctx, c.from); frozenErr != nil {
		return frozenErr
	}
	return err
}

// takeTruncation reports whether the next result should be truncated.
func (nw *network) takeTruncation() bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.truncations == 0 {
		return false
	}
	nw.truncations--
	return true
}

func (nw *network) checkAlive(c call) error {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.dead[c.to] {
		return platform.Refuse(platform.Unreachable, "%s is gone", c.to)
	}
	if nw.dead[c.from] {
		return errConnectionLost
	}
	return nil
}

// markDead marks a machine as dead. It returns false if the machine was dead
// already.
func (nw *network) markDead(id string) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.dead[id] {
		return false
	}
	nw.dead[id] = true
	return true
}

// awaitThaw waits while a machine is frozen.
func (nw *network) awaitThaw(ctx context.Context, id string) error {
	for {
		nw.mu.Lock()
		ch := nw.frozen[id]
		nw.mu.Unlock()
		if ch == nil {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (nw *network) rule(c call) *rule {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, r := range nw.rules {
		if r.count > 0 && r.hits >= r.count || !r.until.IsZero() && time.Now().After(r.until) || !r.match(c) {
			continue
		}
		r.hits++
		return r
	}
	return nil
}

// The sim types implement the dependencies of an Entry. They send each call
// through the network.
type (
	simLog struct {
		c    *testCell
		from string
	}
	simVMs struct {
		c    *testCell
		from string
	}
	simDialer struct {
		c    *testCell
		from string
	}
	simWorker struct {
		c        *testCell
		from, to string
	}
	simPeer struct {
		c    *testCell
		from string
		addr netip.AddrPort
	}
)

const (
	callMargin = time.Second
	// maxEntries bounds the number of entry VMs in a test.
	maxEntries = 9
	// replaceAfter is how long the platform takes to replace a dead VM.
	replaceAfter = 30 * time.Second
)

// recordKinds returns the record kinds of an append, such as "accept,dispatch".
func recordKinds(records []json.RawMessage) string {
	var kinds []string
	for _, data := range records {
		for _, kind := range []string{"accept", "dispatch", "settle", "home", "publish", "ceiling", "cancel", "retire", "join", "leave", "lost", "snapshot"} {
			if strings.Contains(string(data), `"`+kind+`":{`) {
				kinds = append(kinds, kind)
			}
		}
	}
	return strings.Join(kinds, ",")
}

func (l simLog) Append(ctx context.Context, records []json.RawMessage) (int64, error) {
	var first int64
	err := l.c.network.intercept(ctx, call{l.from, "log", "append", recordKinds(records)}, func(ctx context.Context) error {
		var err error
		first, err = l.c.log.Append(ctx, records)
		return err
	})
	return first, err
}

func (l simLog) Read(ctx context.Context, from int64, wait time.Duration) (*platform.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	var page *platform.LogPage
	err := l.c.network.intercept(ctx, call{l.from, "log", "read", ""}, func(ctx context.Context) error {
		var err error
		page, err = l.c.log.Read(ctx, from, wait)
		return err
	})
	if err == nil && l.c.tamper.page != nil {
		l.c.tamper.page(l.from, page)
	}
	return page, err
}

func (v simVMs) List(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callMargin)
	defer cancel()
	var vms []platform.VM
	err := v.c.network.intercept(ctx, call{v.from, "vms", "list", ""}, func(ctx context.Context) error {
		var err error
		vms, err = v.c.vms.List(ctx)
		return err
	})
	return vms, err
}

func (d simDialer) Worker(addr netip.AddrPort) platform.Worker {
	return simWorker{d.c, d.from, fmt.Sprintf("worker-%d", int(addr.Port())-8999)}
}

func (d simDialer) Peer(addr netip.AddrPort) peer.Handler {
	return simPeer{d.c, d.from, addr}
}

func (w simWorker) call(ctx context.Context, op string, wait time.Duration, deliver func(ctx context.Context, real *memplatform.Worker) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	return w.c.network.intercept(ctx, call{w.from, w.to, op, ""}, func(ctx context.Context) error {
		return deliver(ctx, w.c.worker(w.to))
	})
}

func (w simWorker) Claim(ctx context.Context, r *platform.ClaimRequest) (out *platform.Claim, err error) {
	err = w.call(ctx, "claim", 0, func(ctx context.Context, real *memplatform.Worker) error {
		out, err = real.Claim(ctx, r)
		return err
	})
	if err == nil && w.c.tamper.claim != nil {
		w.c.tamper.claim(out)
	}
	return out, err
}

func (w simWorker) Release(ctx context.Context, r *platform.ReleaseRequest) error {
	return w.call(ctx, "release", 0, func(ctx context.Context, real *memplatform.Worker) error { return real.Release(ctx, r) })
}

func (w simWorker) Start(ctx context.Context, r *platform.StartRequest) (out *platform.TaskStatus, err error) {
	op := "start"
	if r.Fixed {
		op = "startLookup"
	}
	err = w.call(ctx, op, r.Wait, func(ctx context.Context, real *memplatform.Worker) error {
		out, err = real.Start(ctx, r)
		return err
	})
	if err == nil && w.c.tamper.start != nil {
		w.c.tamper.start(out)
	}
	if err == nil && out.State == platform.Ended && w.c.network.takeTruncation() {
		out.Data = out.Data[:len(out.Data)/2]
	}
	return out, err
}

func (w simWorker) Stop(ctx context.Context, r *platform.StopRequest) (out *platform.TaskStatus, err error) {
	err = w.call(ctx, "stop", 0, func(ctx context.Context, real *memplatform.Worker) error {
		out, err = real.Stop(ctx, r)
		return err
	})
	if err == nil && w.c.tamper.stop != nil {
		w.c.tamper.stop(out)
	}
	return out, err
}

func (w simWorker) Watch(ctx context.Context, r *platform.WatchRequest) (out *platform.WatchReply, err error) {
	err = w.call(ctx, "watch", r.Wait, func(ctx context.Context, real *memplatform.Worker) error {
		out, err = real.Watch(ctx, r)
		return err
	})
	if err == nil && len(out.Ended) > 0 && w.c.network.takeTruncation() {
		out.Ended[0].Data = "cut"
	}
	return out, err
}

func (w simWorker) Forget(ctx context.Context, r *platform.ForgetRequest) error {
	return w.call(ctx, "forget", 0, func(ctx context.Context, real *memplatform.Worker) error { return real.Forget(ctx, r) })
}

func (p simPeer) target() *testEntry {
	for _, e := range p.c.all() {
		if e.addr == p.addr {
			return e
		}
	}
	return nil
}

func (p simPeer) call(ctx context.Context, op string, deliver func(ctx context.Context, h peer.Handler) error) error {
	e := p.target()
	if e == nil {
		return errConnectionLost
	}
	err := p.c.network.intercept(ctx, call{p.from, e.id, op, ""}, func(ctx context.Context) error { return deliver(ctx, e.PeerHandler()) })
	if platform.HasReason(err, platform.Unreachable) {
		return peer.NotSent.Wrap(err)
	}
	return err
}

func (p simPeer) Exchange(ctx context.Context, r *peer.ExchangeRequest) (out *peer.ExchangeReply, err error) {
	err = p.call(ctx, "exchange", func(ctx context.Context, h peer.Handler) error {
		out, err = h.Exchange(ctx, r)
		return err
	})
	if err == nil && p.c.tamper.view != nil {
		p.c.tamper.view(p.target().id, &out.View)
	}
	return out, err
}

func (p simPeer) Lookup(ctx context.Context, r *peer.LookupRequest) (out *peer.LookupReply, err error) {
	err = p.call(ctx, "forward", func(ctx context.Context, h peer.Handler) error {
		out, err = h.Lookup(ctx, r)
		return err
	})
	return out, err
}

func (p simPeer) Offer(ctx context.Context, r *peer.OfferRequest) (out *peer.OfferReply, err error) {
	err = p.call(ctx, "offer", func(ctx context.Context, h peer.Handler) error {
		out, err = h.Offer(ctx, r)
		return err
	})
	return out, err
}

func (p simPeer) State(ctx context.Context, r *peer.StateRequest) (out *peer.StateReply, err error) {
	err = p.call(ctx, "state", func(ctx context.Context, h peer.Handler) error {
		out, err = h.State(ctx, r)
		return err
	})
	return out, err
}
