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
	"pollendock.example/standin/role"
)

type (
	// wires decides the fate of calls. Rules are asked in order.
	wires struct {
		mu     sync.Mutex
		rules  []*rule
		frozen map[string]chan struct{}
		dead   map[string]bool
		// spoil is the number of results that arrive cut.
		spoil int
	}

	// call is one call between two machines.
	call struct {
		from, to, op string
		// kinds names the records of an append.
		kinds string
	}

	// rule applies to calls that match, count times, until a time.
	rule struct {
		match func(c call) bool
		count int
		until time.Time
		// before and after run around the effect; an error from before keeps
		// the effect away, one from after loses the answer.
		before func(ctx context.Context) error
		after  func(ctx context.Context) error
		// late is how long after the caller has given up the effect comes.
		late time.Duration
		hits int
	}
)

func (w *wires) thaw(entry string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch := w.frozen[entry]; ch != nil {
		close(ch)
		delete(w.frozen, entry)
	}
}

func (w *wires) thawAll() {
	for i := 1; i <= maxEntries; i++ {
		w.thaw(fmt.Sprintf("entry-%d", i))
	}
}

func (w *wires) add(r *rule) *rule {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rules = append(w.rules, r)
	return r
}

// cut keeps calls between two machines away for d; an empty name matches all.
func (w *wires) cut(from, to string, d time.Duration) {
	w.add(&rule{
		match:  func(c call) bool { return (from == "" || c.from == from) && (to == "" || c.to == to) },
		until:  time.Now().Add(d),
		before: hang,
	})
}

// hang waits for the caller to give up.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// around runs the effect of a call between what the rules do.
func (w *wires) around(ctx context.Context, c call, effect func(ctx context.Context) error) error {
	if err := w.thawed(ctx, c.from); err != nil {
		return err
	}
	r := w.rule(c)
	if r != nil && r.before != nil {
		if err := r.before(ctx); err != nil {
			return err
		}
	}
	if err := w.gone(c); err != nil {
		return err
	}
	if err := w.thawed(ctx, c.to); err != nil {
		return err
	}
	if r != nil && r.late > 0 {
		time.AfterFunc(r.late, func() { _ = effect(context.WithoutCancel(ctx)) })
		return hang(ctx)
	}
	err := effect(ctx)
	if r != nil && r.after != nil {
		if lost := r.after(ctx); lost != nil {
			return lost
		}
	}
	if w.gone(c) != nil {
		return errWire
	}
	if frozenErr := w.thawed(ctx, c.from); frozenErr != nil {
		return frozenErr
	}
	return err
}

// spoils reports whether a result is to arrive cut.
func (w *wires) spoils() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spoil == 0 {
		return false
	}
	w.spoil--
	return true
}

func (w *wires) gone(c call) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead[c.to] {
		return platform.Refuse(platform.Unreachable, "%s is gone", c.to)
	}
	if w.dead[c.from] {
		return errWire
	}
	return nil
}

// die marks a machine as dead; false if it was.
func (w *wires) die(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead[id] {
		return false
	}
	w.dead[id] = true
	return true
}

// thawed waits while a machine is frozen.
func (w *wires) thawed(ctx context.Context, id string) error {
	for {
		w.mu.Lock()
		ch := w.frozen[id]
		w.mu.Unlock()
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

func (w *wires) rule(c call) *rule {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.rules {
		if r.count > 0 && r.hits >= r.count || !r.until.IsZero() && time.Now().After(r.until) || !r.match(c) {
			continue
		}
		r.hits++
		return r
	}
	return nil
}

type (
	wiredLog struct {
		c    *testCell
		from string
	}
	wiredVMs struct {
		c    *testCell
		from string
	}
	wiredDialer struct {
		c    *testCell
		from string
	}
	wiredWorker struct {
		c        *testCell
		from, to string
	}
	wiredPeer struct {
		c    *testCell
		from string
		addr netip.AddrPort
	}
)

const (
	wireMargin = time.Second
	// maxEntries bounds the entry VMs of a test.
	maxEntries = 9
	// replaceAfter is how long the platform takes to replace a dead VM.
	replaceAfter = 30 * time.Second
)

// kindsOf names the records of an append, such as "accept,dispatch".
func kindsOf(records []json.RawMessage) string {
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

func (l wiredLog) Append(ctx context.Context, records []json.RawMessage) (int64, error) {
	var first int64
	err := l.c.wires.around(ctx, call{l.from, "log", "append", kindsOf(records)}, func(ctx context.Context) error {
		var err error
		first, err = l.c.log.Append(ctx, records)
		return err
	})
	return first, err
}

func (l wiredLog) Read(ctx context.Context, from int64, wait time.Duration) (*platform.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+wireMargin)
	defer cancel()
	var page *platform.LogPage
	err := l.c.wires.around(ctx, call{l.from, "log", "read", ""}, func(ctx context.Context) error {
		var err error
		page, err = l.c.log.Read(ctx, from, wait)
		return err
	})
	if err == nil && l.c.tamper.page != nil {
		l.c.tamper.page(l.from, page)
	}
	return page, err
}

func (v wiredVMs) List(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, wireMargin)
	defer cancel()
	var vms []platform.VM
	err := v.c.wires.around(ctx, call{v.from, "vms", "list", ""}, func(ctx context.Context) error {
		var err error
		vms, err = v.c.vms.List(ctx)
		return err
	})
	return vms, err
}

func (d wiredDialer) Worker(addr netip.AddrPort) platform.Worker {
	return wiredWorker{d.c, d.from, fmt.Sprintf("worker-%d", int(addr.Port())-8999)}
}

func (d wiredDialer) Peer(addr netip.AddrPort) peer.Handler {
	return wiredPeer{d.c, d.from, addr}
}

func (w wiredWorker) call(ctx context.Context, op string, wait time.Duration, effect func(ctx context.Context, real *role.Worker) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+wireMargin)
	defer cancel()
	return w.c.wires.around(ctx, call{w.from, w.to, op, ""}, func(ctx context.Context) error {
		return effect(ctx, w.c.worker(w.to))
	})
}

func (w wiredWorker) Claim(ctx context.Context, r *platform.ClaimRequest) (out *platform.Claim, err error) {
	err = w.call(ctx, "claim", 0, func(ctx context.Context, real *role.Worker) error {
		out, err = real.Claim(ctx, r)
		return err
	})
	if err == nil && w.c.tamper.claim != nil {
		w.c.tamper.claim(out)
	}
	return out, err
}

func (w wiredWorker) Release(ctx context.Context, r *platform.ReleaseRequest) error {
	return w.call(ctx, "release", 0, func(ctx context.Context, real *role.Worker) error { return real.Release(ctx, r) })
}

func (w wiredWorker) Start(ctx context.Context, r *platform.StartRequest) (out *platform.TaskStatus, err error) {
	op := "start"
	if r.Fixed {
		op = "startLookup"
	}
	err = w.call(ctx, op, r.Wait, func(ctx context.Context, real *role.Worker) error {
		out, err = real.Start(ctx, r)
		return err
	})
	if err == nil && w.c.tamper.start != nil {
		w.c.tamper.start(out)
	}
	if err == nil && out.State == platform.Ended && w.c.wires.spoils() {
		out.Data = out.Data[:len(out.Data)/2]
	}
	return out, err
}

func (w wiredWorker) Stop(ctx context.Context, r *platform.StopRequest) (out *platform.TaskStatus, err error) {
	err = w.call(ctx, "stop", 0, func(ctx context.Context, real *role.Worker) error {
		out, err = real.Stop(ctx, r)
		return err
	})
	if err == nil && w.c.tamper.stop != nil {
		w.c.tamper.stop(out)
	}
	return out, err
}

func (w wiredWorker) Watch(ctx context.Context, r *platform.WatchRequest) (out *platform.WatchReply, err error) {
	err = w.call(ctx, "watch", r.Wait, func(ctx context.Context, real *role.Worker) error {
		out, err = real.Watch(ctx, r)
		return err
	})
	if err == nil && len(out.Ended) > 0 && w.c.wires.spoils() {
		out.Ended[0].Data = "cut"
	}
	return out, err
}

func (w wiredWorker) Forget(ctx context.Context, r *platform.ForgetRequest) error {
	return w.call(ctx, "forget", 0, func(ctx context.Context, real *role.Worker) error { return real.Forget(ctx, r) })
}

func (p wiredPeer) target() *testEntry {
	for _, e := range p.c.all() {
		if e.addr == p.addr {
			return e
		}
	}
	return nil
}

func (p wiredPeer) call(ctx context.Context, op string, effect func(ctx context.Context, h peer.Handler) error) error {
	e := p.target()
	if e == nil {
		return errWire
	}
	err := p.c.wires.around(ctx, call{p.from, e.id, op, ""}, func(ctx context.Context) error { return effect(ctx, e.PeerHandler()) })
	if platform.HasReason(err, platform.Unreachable) {
		return peer.NotSent.Wrap(err)
	}
	return err
}

func (p wiredPeer) Exchange(ctx context.Context, r *peer.ExchangeRequest) (out *peer.ExchangeReply, err error) {
	err = p.call(ctx, "exchange", func(ctx context.Context, h peer.Handler) error {
		out, err = h.Exchange(ctx, r)
		return err
	})
	if err == nil && p.c.tamper.view != nil {
		p.c.tamper.view(p.target().id, &out.View)
	}
	return out, err
}

func (p wiredPeer) Lookup(ctx context.Context, r *peer.LookupRequest) (out *peer.LookupReply, err error) {
	err = p.call(ctx, "forward", func(ctx context.Context, h peer.Handler) error {
		out, err = h.Lookup(ctx, r)
		return err
	})
	return out, err
}

func (p wiredPeer) Offer(ctx context.Context, r *peer.OfferRequest) (out *peer.OfferReply, err error) {
	err = p.call(ctx, "offer", func(ctx context.Context, h peer.Handler) error {
		out, err = h.Offer(ctx, r)
		return err
	})
	return out, err
}

func (p wiredPeer) State(ctx context.Context, r *peer.StateRequest) (out *peer.StateReply, err error) {
	err = p.call(ctx, "state", func(ctx context.Context, h peer.Handler) error {
		out, err = h.State(ctx, r)
		return err
	})
	return out, err
}
