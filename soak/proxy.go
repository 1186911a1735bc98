package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// proxy forwards TCP connections to one address and simulates the faults of an
	// unreliable network.
	proxy struct {
		ln     net.Listener
		target string

		delay atomic.Int64 // time.Duration
		// blackhole drops the data of both directions but keeps connections open.
		blackhole atomic.Bool
		// dropResponses drops only the data from the target.
		dropResponses atomic.Bool

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

const (
	copyBufferSize = 32 << 10
)

// newProxy listens on a free port of ip and forwards to target.
func newProxy(ip, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
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
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.track(in, out)
	go p.copy(out, in, func() bool { return p.blackhole.Load() })
	p.copy(in, out, func() bool { return p.blackhole.Load() || p.dropResponses.Load() })
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy forwards the data of one direction. Once cut returns true, the connection
// never carries data again in this direction, also after the fault is over.
func (p *proxy) copy(to, from net.Conn, cut func() bool) {
	defer p.closeConns(to, from)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			if cut() {
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

func (p *proxy) clearFaults() {
	p.delay.Store(0)
	p.blackhole.Store(false)
	p.dropResponses.Store(false)
}
