package entry

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// peerView is what is known of another entry VM.
	peerView struct {
		addr    netip.AddrPort
		handler peer.Handler
		view    peer.View
		heard   time.Time
		asked   time.Time
		busy    bool
		// toldAt is when the newest heartbeat that was answered had been sent.
		toldAt time.Time
	}

	// vmsListed is an answer of the list of VMs.
	vmsListed struct {
		vms []platform.VM
	}

	// exchangeDone ends a heartbeat that this VM sent.
	exchangeDone struct {
		addr  netip.AddrPort
		reply *peer.ExchangeReply
		err   error
	}

	// exchangeAsked is a heartbeat of a peer.
	exchangeAsked struct {
		view  peer.View
		reply chan *peer.ExchangeReply
	}

	// peersAsked asks for the peers to recover from.
	peersAsked struct {
		reply chan []peer.Handler
	}

	// stateAsked asks for the serialized state.
	stateAsked struct {
		reply chan []byte
	}
)

const (
	// freshGap is the longest time between two answers of a log that works.
	freshGap = 4 * time.Second
	// rankDelay spreads what one of several entry VMs has to do.
	rankDelay = 300 * time.Millisecond
	// snapshotRankDelay does the same for snapshots.
	snapshotRankDelay = 5 * time.Second
	// stateTimeout bounds the transfer of a state between peers.
	stateTimeout = 10 * time.Second
)

func (c *control) tickMembers(now time.Time) {
	c.keepJoined()
	c.learnPeers()
	c.sendBeacon(now)
	c.sendExchanges(now)
	c.retireSilent(now)
	c.takeSnapshot(now)
}

func (c *control) keepJoined() {
	if c.joined || c.joining || c.stopping || !c.caughtUp || time.Since(c.retiredAt) < rejoinAfter {
		return
	}
	c.joining = true
	r := c.newRecord()
	r.Join = &ledger.Join{
		EntryID: c.opt.EntryID, PeerAddr: c.opt.PeerAddr, DataCentre: c.opt.DataCentre,
	}
	c.submit(r, false, nil)
}

func (c *control) sendBeacon(now time.Time) {
	if !c.joined || now.Sub(c.beaconAt) < beaconEvery {
		return
	}
	c.beaconAt = now
	r := c.newRecord()
	r.Heartbeat = &ledger.Heartbeat{Next: c.state.Next}
	c.submit(r, true, nil)
}

// learnPeers adds the entry VMs that have joined through the log.
func (c *control) learnPeers() {
	for _, inc := range c.state.LiveMembers() {
		c.addPeer(c.state.Members[inc].PeerAddr)
	}
}

func (c *control) addPeer(addr netip.AddrPort) *peerView {
	if addr == c.opt.PeerAddr || !addr.IsValid() {
		return nil
	}
	p := c.peers[addr]
	if p == nil {
		p = &peerView{addr: addr, handler: c.e.deps.Dialer.Peer(addr)}
		c.peers[addr] = p
	}
	return p
}

func (c *control) view() peer.View {
	return peer.View{
		Cell:        c.opt.Cell,
		EntryID:     c.opt.EntryID,
		Incarnation: c.inc,
		DataCentre:  c.opt.DataCentre,
		Addr:        c.opt.PeerAddr,
		Next:        c.state.Next,
		Ready:       c.ready() && c.joined,
		FreeSlots:   c.freeSlots(),
		LogAge:      time.Since(c.fresh),
	}
}

func (c *control) sendExchanges(now time.Time) {
	c.sendExchangesTo(now, func(p *peerView) bool { return now.Sub(p.asked) >= exchangeEvery })
}

// sendExchangesTo sends a heartbeat to each of the chosen peers that has answered
// the last one.
func (c *control) sendExchangesTo(now time.Time, chosen func(*peerView) bool) {
	for _, p := range c.peers {
		if p.busy || !chosen(p) {
			continue
		}
		p.busy = true
		p.asked = now
		r := &peer.ExchangeRequest{View: c.view()}
		ctx := c.ctx
		c.e.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, peerAlive)
			defer cancel()
			reply, err := p.handler.Exchange(ctx, r)
			c.e.post(exchangeDone{p.addr, reply, err})
		})
	}
}

func (m exchangeDone) handle(c *control) {
	p := c.peers[m.addr]
	if p == nil {
		return
	}
	p.busy = false
	if m.err != nil || c.foreign(m.reply.View) {
		return
	}
	if len(m.reply.Records) > 0 {
		recordsRelayed{m.reply.First, m.reply.Records}.handle(c)
	}
	p.toldAt = p.asked
	c.noteView(p, m.reply.View)
}

// foreign reports whether a view comes from a VM of another cell, whose records
// would be taken for those of this one.
func (c *control) foreign(v peer.View) bool {
	if v.Cell == c.opt.Cell {
		return false
	}
	level.Warn(c.e.deps.Logger).Log("msg", "a VM of another cell", "peer", v.Addr, "entry", v.EntryID, "cell", v.Cell)
	return true
}

func (m exchangeAsked) handle(c *control) {
	if c.foreign(m.view) {
		// The caller sees from the view that it has the wrong address.
		m.reply <- &peer.ExchangeReply{View: peer.View{Cell: c.opt.Cell}}
		return
	}
	if p := c.addPeer(m.view.Addr); p != nil {
		c.noteView(p, m.view)
	}
	reply := &peer.ExchangeReply{View: c.view()}
	if m.view.Next < c.state.Next {
		reply.First = m.view.Next
		reply.Records = c.ring.from(m.view.Next)
	}
	m.reply <- reply
}

// noteView takes in a heartbeat. A peer that reads the log makes this VM as
// fresh as itself, once this VM has applied as much.
func (c *control) noteView(p *peerView, v peer.View) {
	now := time.Now()
	p.view = v
	p.heard = now
	c.lastHeard[v.Incarnation] = now
	if c.state.Next >= v.Next && v.LogAge < freshGap {
		c.noteFresh(now.Add(-v.LogAge))
		if v.Ready {
			c.caughtUp = true
		}
	}
}

func (c *control) noteFresh(at time.Time) {
	if at.Before(c.fresh) {
		return
	}
	if at.Sub(c.fresh) > freshGap {
		c.freshSince = at
	}
	c.fresh = at
}

func (p *peerView) alive(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < peerAlive
}

// isolated reports whether this VM has neither the log nor more than half of
// the live entry VMs, for so long that a newer configuration may be in force.
func (c *control) isolated(now time.Time) bool {
	if now.Sub(c.fresh) <= isolatedAfter {
		return false
	}
	live := map[string]bool{}
	for _, inc := range c.state.LiveMembers() {
		live[c.state.Members[inc].EntryID] = true
	}
	reached := 1
	for _, p := range c.peers {
		if p.alive(now) && live[p.view.EntryID] {
			reached++
		}
	}
	return 2*reached <= len(live)
}

// retireSilent ends incarnations that neither peers nor the log have heard of,
// as far as this VM can tell. The fold refuses it if one appends meanwhile.
func (c *control) retireSilent(now time.Time) {
	if !c.joined || now.Sub(c.fresh) > freshGap || now.Sub(c.freshSince) < retireAfter {
		return
	}
	wait := retireAfter + time.Duration(c.rank())*rankDelay
	for _, inc := range c.state.LiveMembers() {
		if inc == c.inc || now.Sub(c.lastHeard[inc]) < wait || now.Sub(c.seen[inc].at) < wait {
			continue
		}
		// Asked for once in a while, not at every tick.
		c.lastHeard[inc] = now
		level.Warn(c.e.deps.Logger).Log("msg", "retiring a silent incarnation", "incarnation", inc)
		r := c.newRecord()
		r.Retire = &ledger.Retire{Incarnation: inc, LastSeq: c.state.Members[inc].Seq}
		c.submit(r, true, nil)
	}
}

// rank is the place of this VM among the live ones.
func (c *control) rank() int {
	return sort.SearchStrings(c.state.LiveMembers(), c.inc)
}

// takeSnapshot appends the state, so that records may be dropped by the log.
func (c *control) takeSnapshot(now time.Time) {
	if !c.joined || c.opt.SnapshotEvery <= 0 || c.stopping {
		return
	}
	wait := c.opt.SnapshotEvery + time.Duration(c.rank())*snapshotRankDelay
	if now.Sub(c.snapAt) < wait {
		return
	}
	c.snapAt = now
	data, err := c.state.Marshal()
	if err != nil {
		level.Error(c.e.deps.Logger).Log("msg", "snapshot failed", "err", err)
		return
	}
	for _, part := range ledger.SplitSnapshot(data, c.state.Next) {
		r := c.newRecord()
		r.Snapshot = part
		c.submit(r, false, nil)
	}
	c.e.deps.Metrics.Gauge("snapshot_bytes").Update(float64(len(data)))
}

func (m vmsListed) handle(c *control) {
	now := time.Now()
	c.listed = m.vms
	for _, vm := range m.vms {
		switch vm.Role {
		case platform.EntryRole:
			c.addPeer(vm.Addr)
		case platform.WorkerRole:
			c.noteWorker(vm, now)
		}
	}
	c.dropOldPeers(m.vms, now)
}

// dropOldPeers forgets peers that are neither listed nor seeds nor heard of.
func (c *control) dropOldPeers(vms []platform.VM, now time.Time) {
	keep := map[netip.AddrPort]bool{}
	for _, addr := range c.opt.Seeds {
		keep[addr] = true
	}
	for _, vm := range vms {
		keep[vm.Addr] = true
	}
	for _, inc := range c.state.LiveMembers() {
		keep[c.state.Members[inc].PeerAddr] = true
	}
	for addr, p := range c.peers {
		if !keep[addr] && !p.alive(now) && !p.busy {
			delete(c.peers, addr)
		}
	}
}

func (m stateAsked) handle(c *control) {
	if !c.caughtUp {
		m.reply <- nil
		return
	}
	data, err := c.state.Marshal()
	if err != nil {
		level.Error(c.e.deps.Logger).Log("msg", "state cannot be encoded", "err", err)
	}
	m.reply <- data
}

// Recover implements journal.Sink: it asks the peers for their state.
func (s *sink) Recover(ctx context.Context, oldest int64) *ledger.State {
	handlers := make(chan []peer.Handler, 1)
	s.e.post(peersAsked{handlers})
	select {
	case list := <-handlers:
		return recoverFrom(ctx, s.e.opt.Cell, list, oldest)
	case <-s.e.done:
		return nil
	}
}

func (m peersAsked) handle(c *control) {
	var list []peer.Handler
	for _, p := range c.peers {
		list = append(list, p.handler)
	}
	m.reply <- list
}

func recoverFrom(ctx context.Context, cell string, list []peer.Handler, oldest int64) *ledger.State {
	for _, h := range list {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		reply, err := h.State(ctx, &peer.StateRequest{Cell: cell})
		cancel()
		if err != nil || len(reply.Data) == 0 {
			continue
		}
		state, err := ledger.Unmarshal(reply.Data)
		if err == nil && state.Next >= oldest {
			return state
		}
	}
	return nil
}

// Exchange implements peer.Handler.
func (e *Entry) Exchange(ctx context.Context, r *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	m := exchangeAsked{r.View, make(chan *peer.ExchangeReply, 1)}
	e.post(m)
	select {
	case reply := <-m.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.done:
		return nil, errStopped
	}
}

// State implements peer.Handler.
func (e *Entry) State(ctx context.Context, r *peer.StateRequest) (*peer.StateReply, error) {
	if r.Cell != e.opt.Cell {
		return nil, errOtherCell
	}
	m := stateAsked{make(chan []byte, 1)}
	e.post(m)
	select {
	case data := <-m.reply:
		return &peer.StateReply{Data: data}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.done:
		return nil, errStopped
	}
}
