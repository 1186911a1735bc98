package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pollendock.example/cell/loopback"
)

type (
	// linkFault is what a fault does to a link: change is called with 1 as it begins, and
	// with -1 at its end. Faults of one link may overlap.
	linkFault struct {
		change func(p *proxy, d int32)
		// resets is set if the connections are reset at the end, because one that lost data
		// never recovers.
		resets bool
	}

	// proxy forwards TCP connections to one address and simulates the faults of an
	// unreliable network.
	proxy struct {
		// ln is nil if others accept the connections.
		ln     net.Listener
		target string
		dialer net.Dialer
		// uplink and downlink are the VM's own link, nil if its speed isn't limited.
		uplink, downlink *loopback.Link

		delay atomic.Int64 // time.Duration
		// lostRequests and lostResponses count the faults that drop the data to and from
		// the target but keep connections open.
		lostRequests, lostResponses atomic.Int32
		// heldRequests counts the faults that hold the data to the target back until they
		// are over.
		heldRequests atomic.Int32
		// shuffled counts the faults that delay each response for a random time.
		shuffled atomic.Int32

		mu    sync.Mutex
		conns map[net.Conn]bool
	}

	// direction is one direction of a link. Its faults are nil if it can't have them.
	direction struct {
		lost, held, shuffled *atomic.Int32
		link                 *loopback.Link
	}
)

const (
	copyBufferSize = 32 << 10
	heldPoll       = 10 * time.Millisecond
	// slowLink is the delay of the data on a slow link.
	slowLink = 150 * time.Millisecond
	// maxShuffle is the longest delay of a response that others overtake.
	maxShuffle = 600 * time.Millisecond
)

// Faults of a link.
var (
	// loseAll drops the data of both directions.
	loseAll = linkFault{func(p *proxy, d int32) { p.lostRequests.Add(d); p.lostResponses.Add(d) }, true}
	// loseRequests and loseResponses drop the data of one direction.
	loseRequests  = linkFault{func(p *proxy, d int32) { p.lostRequests.Add(d) }, true}
	loseResponses = linkFault{func(p *proxy, d int32) { p.lostResponses.Add(d) }, true}
	// holdRequests delivers requests, also those that their callers have given up, once the
	// fault is over, as a network does that sends lost packets again.
	holdRequests = linkFault{func(p *proxy, d int32) { p.heldRequests.Add(d); p.lostResponses.Add(d) }, false}
	// resetOnly resets the connections as it begins and at its end.
	resetOnly = linkFault{func(p *proxy, d int32) {
		if d > 0 {
			p.resetConns()
		}
	}, true}
	// shuffleResponses delays each response for a time of its own, so that those on different
	// connections overtake each other.
	shuffleResponses = linkFault{func(p *proxy, d int32) { p.shuffled.Add(d) }, false}
	slowDown         = linkFault{func(p *proxy, d int32) { p.delay.Add(int64(d) * int64(slowLink)) }, true}
)

// newProxy returns a proxy that listens on a free port.
func newProxy(e *entryVM, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := newLink(e, target)
	p.ln = ln
	go p.accept()
	return p, nil
}

// newLink returns a proxy without a listener. It forwards from the address of the machine whose link
// it is.
func newLink(e *entryVM, target string) *proxy {
	p := &proxy{target: target, uplink: e.uplink, downlink: e.downlink, conns: map[net.Conn]bool{}}
	p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(e.ip, 0))
	return p
}

func (p *proxy) addr() string {
	return p.ln.Addr().String()
}

func (p *proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(in net.Conn) {
	out, err := p.dialer.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.track(in, out)
	go p.copy(out, in, direction{lost: &p.lostRequests, held: &p.heldRequests, link: p.uplink})
	p.copy(in, out, direction{lost: &p.lostResponses, shuffled: &p.shuffled, link: p.downlink})
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy forwards the data of one direction. Once data is lost, the connection never
// carries any again in this direction, also after the fault is over.
func (p *proxy) copy(to, from net.Conn, d direction) {
	defer p.closeConns(to, from)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if d.link != nil {
				time.Sleep(d.link.Reserve(n))
			}
			time.Sleep(time.Duration(p.delay.Load()))
			if isActive(d.shuffled) {
				time.Sleep(time.Duration(rand.Int64N(int64(maxShuffle))))
			}
			for isActive(d.held) {
				time.Sleep(heldPoll)
			}
			if isActive(d.lost) {
				p.drain(from)
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// isActive reports whether any fault of a kind is active.
func isActive(faults *atomic.Int32) bool {
	return faults != nil && faults.Load() > 0
}

// drain discards data, which keeps the connection open until its peer closes it.
func (p *proxy) drain(from net.Conn) {
	_, _ = io.Copy(io.Discard, from)
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// resetConns aborts all connections. With a linger time of 0, the peers receive a
// TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// begin begins a fault and returns the function that ends it.
func (p *proxy) begin(f linkFault) (end func()) {
	f.change(p, 1)
	return func() {
		f.change(p, -1)
		if f.resets {
			p.resetConns()
		}
	}
}
