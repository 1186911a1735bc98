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
	// peerView is what this VM knows about another entry VM.
	peerView struct {
		addr     netip.AddrPort
		handler  peer.Handler
		view     peer.View
		heardAt  time.Time
		sentAt   time.Time
		inFlight bool
		// ackedSentAt is the send time of the newest heartbeat that the peer
		// answered.
		ackedSentAt time.Time
	}

	// vmsListed carries the VM list.
	vmsListed struct {
		vms []platform.VM
	}

	// exchangeDone carries the result of a heartbeat that this VM sent.
	exchangeDone struct {
		addr  netip.AddrPort
		reply *peer.ExchangeReply
		err   error
	}

	// exchangeReceived is a heartbeat from a peer.
	exchangeReceived struct {
		view  peer.View
		reply chan *peer.ExchangeReply
	}

	// peersRequest asks for the peers that the state can be fetched from.
	peersRequest struct {
		reply chan []peer.Handler
	}

	// stateRequest asks for the serialized state.
	stateRequest struct {
		reply chan []byte
	}
)

const (
	// maxLogGap is the maximum time between two answers of a working log.
	maxLogGap = 4 * time.Second
	// rankDelay staggers actions that any of several entry VMs can take.
	rankDelay = 300 * time.Millisecond
	// snapshotRankDelay staggers snapshots in the same way.
	snapshotRankDelay = 5 * time.Second
	// stateTimeout limits the transfer of the state from a peer.
	stateTimeout = 10 * time.Second
)

func (c *control) tickMembers(now time.Time) {
	c.ensureJoined()
	c.addMembers()
	c.appendHeartbeat(now)
	c.sendExchanges(now)
	c.retireSilent(now)
	c.takeSnapshot(now)
}

func (c *control) ensureJoined() {
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

func (c *control) appendHeartbeat(now time.Time) {
	if !c.joined || now.Sub(c.lastLogHeartbeatAt) < logHeartbeatInterval {
		return
	}
	c.lastLogHeartbeatAt = now
	r := c.newRecord()
	r.Heartbeat = &ledger.Heartbeat{Next: c.state.Next}
	c.submit(r, true, nil)
}

// addMembers adds a peer for each entry VM that has joined through the log.
func (c *control) addMembers() {
	for _, incarnation := range c.state.LiveMembers() {
		c.addPeer(c.state.Members[incarnation].PeerAddr)
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
		Incarnation: c.incarnation,
		DataCentre:  c.opt.DataCentre,
		Addr:        c.opt.PeerAddr,
		Next:        c.state.Next,
		Ready:       c.ready(),
		FreeSlots:   c.freeSlots(),
		LogAge:      time.Since(c.lastLogContact),
	}
}

func (c *control) sendExchanges(now time.Time) {
	c.sendExchangesTo(now, func(p *peerView) bool { return now.Sub(p.sentAt) >= exchangeInterval })
}

// sendExchangesTo sends a heartbeat to each chosen peer that has no heartbeat in
// flight.
func (c *control) sendExchangesTo(now time.Time, chosen func(*peerView) bool) {
	for _, p := range c.peers {
		if p.inFlight || !chosen(p) {
			continue
		}
		p.inFlight = true
		p.sentAt = now
		r := &peer.ExchangeRequest{View: c.view()}
		ctx := c.ctx
		c.e.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
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
	p.inFlight = false
	if m.err != nil || c.fromOtherCell(m.reply.View) {
		return
	}
	if len(m.reply.Records) > 0 {
		recordsRelayed{m.reply.First, m.reply.Records}.handle(c)
	}
	p.ackedSentAt = p.sentAt
	c.applyView(p, m.reply.View)
}

// fromOtherCell reports whether a view is from a VM of another cell. Its log
// records must not be applied here: they would be taken for records of this
// cell.
func (c *control) fromOtherCell(v peer.View) bool {
	if v.Cell == c.opt.Cell {
		return false
	}
	level.Warn(c.e.deps.Logger).Log("msg", "ignored a VM of another cell", "peer", v.Addr, "entry", v.EntryID, "cell", v.Cell)
	return true
}

func (m exchangeReceived) handle(c *control) {
	if c.fromOtherCell(m.view) {
		// The cell in the view tells the sender that it has a wrong address.
		m.reply <- &peer.ExchangeReply{View: peer.View{Cell: c.opt.Cell}}
		return
	}
	if p := c.addPeer(m.view.Addr); p != nil {
		c.applyView(p, m.view)
	}
	reply := &peer.ExchangeReply{View: c.view()}
	if m.view.Next < c.state.Next {
		reply.First = m.view.Next
		reply.Records = c.recordCache.since(m.view.Next)
	}
	m.reply <- reply
}

// applyView processes a heartbeat. Contact with a peer that reads the log counts
// as contact with the log if this VM has applied as many records as the peer.
func (c *control) applyView(p *peerView, v peer.View) {
	now := time.Now()
	p.view = v
	p.heardAt = now
	c.lastHeard[v.Incarnation] = now
	if c.state.Next >= v.Next && v.LogAge < maxLogGap {
		c.noteLogContact(now.Add(-v.LogAge))
		if v.Ready {
			c.caughtUp = true
		}
	}
}

func (c *control) noteLogContact(at time.Time) {
	if at.Before(c.lastLogContact) {
		return
	}
	if at.Sub(c.lastLogContact) > maxLogGap {
		c.logContactSince = at
	}
	c.lastLogContact = at
}

func (p *peerView) alive(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < peerTimeout
}

// isolated reports whether this VM has had contact with neither the log nor more
// than half of the live entry VMs for so long that a newer configuration may be
// active.
func (c *control) isolated(now time.Time) bool {
	if now.Sub(c.lastLogContact) <= isolatedAfter {
		return false
	}
	live := map[string]bool{}
	for _, incarnation := range c.state.LiveMembers() {
		live[c.state.Members[incarnation].EntryID] = true
	}
	reached := 1
	for _, p := range c.peers {
		if p.alive(now) && live[p.view.EntryID] {
			reached++
		}
	}
	return 2*reached <= len(live)
}

// retireSilent retires incarnations that have neither sent a heartbeat nor
// appended to the log, as far as this VM knows. The retirement has no effect if
// the incarnation appends a record in the meantime.
func (c *control) retireSilent(now time.Time) {
	if !c.joined || now.Sub(c.lastLogContact) > maxLogGap || now.Sub(c.logContactSince) < retireAfter {
		return
	}
	wait := retireAfter + time.Duration(c.rank())*rankDelay
	for _, incarnation := range c.state.LiveMembers() {
		if incarnation == c.incarnation || now.Sub(c.lastHeard[incarnation]) < wait || now.Sub(c.lastAppends[incarnation].at) < wait {
			continue
		}
		// Prevents another retirement on every tick.
		c.lastHeard[incarnation] = now
		level.Warn(c.e.deps.Logger).Log("msg", "retiring an unresponsive incarnation", "incarnation", incarnation)
		r := c.newRecord()
		r.Retire = &ledger.Retire{Incarnation: incarnation, LastSeq: c.state.Members[incarnation].Seq}
		c.submit(r, true, nil)
	}
}

// rank returns the position of this VM among the live incarnations.
func (c *control) rank() int {
	return sort.SearchStrings(c.state.LiveMembers(), c.incarnation)
}

// takeSnapshot appends the state to the log, so that older records can be
// deleted.
func (c *control) takeSnapshot(now time.Time) {
	if !c.joined || c.opt.SnapshotEvery <= 0 || c.stopping {
		return
	}
	wait := c.opt.SnapshotEvery + time.Duration(c.rank())*snapshotRankDelay
	if now.Sub(c.lastSnapshotAt) < wait {
		return
	}
	c.lastSnapshotAt = now
	data, err := c.state.Marshal()
	if err != nil {
		level.Error(c.e.deps.Logger).Log("msg", "failed to encode snapshot", "err", err)
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
	c.listedVMs = m.vms
	for _, vm := range m.vms {
		switch vm.Role {
		case platform.EntryRole:
			c.addPeer(vm.Addr)
		case platform.WorkerRole:
			c.updateWorker(vm, now)
		}
	}
	c.dropStalePeers(m.vms, now)
}

// dropStalePeers removes silent peers that are not listed, not seeds and not
// members.
func (c *control) dropStalePeers(vms []platform.VM, now time.Time) {
	keep := map[netip.AddrPort]bool{}
	for _, addr := range c.opt.Seeds {
		keep[addr] = true
	}
	for _, vm := range vms {
		keep[vm.Addr] = true
	}
	for _, incarnation := range c.state.LiveMembers() {
		keep[c.state.Members[incarnation].PeerAddr] = true
	}
	for addr, p := range c.peers {
		if !keep[addr] && !p.alive(now) && !p.inFlight {
			delete(c.peers, addr)
		}
	}
}

func (m stateRequest) handle(c *control) {
	if !c.caughtUp {
		m.reply <- nil
		return
	}
	data, err := c.state.Marshal()
	if err != nil {
		level.Error(c.e.deps.Logger).Log("msg", "failed to encode state for a peer", "err", err)
	}
	m.reply <- data
}

// Recover implements recordlog.Sink. It fetches the state from a peer.
func (s *followerSink) Recover(ctx context.Context, oldest int64) *ledger.State {
	handlers := make(chan []peer.Handler, 1)
	s.e.post(peersRequest{handlers})
	select {
	case list := <-handlers:
		return fetchState(ctx, s.e.opt.Cell, list, oldest)
	case <-s.e.done:
		return nil
	}
}

func (m peersRequest) handle(c *control) {
	var list []peer.Handler
	for _, p := range c.peers {
		list = append(list, p.handler)
	}
	m.reply <- list
}

func fetchState(ctx context.Context, cell string, list []peer.Handler, oldest int64) *ledger.State {
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
	m := exchangeReceived{r.View, make(chan *peer.ExchangeReply, 1)}
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
	m := stateRequest{make(chan []byte, 1)}
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
