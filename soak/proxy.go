package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// proxy carries connections to one address, and does to them what a bad
	// network would.
	proxy struct {
		ln     net.Listener
		target string

		delay  atomic.Int64 // time.Duration
		silent atomic.Bool
		// deaf drops only what comes back.
		deaf atomic.Bool

		mu    sync.Mutex
		conns map[net.Conn]bool
	}
)

const (
	copyBytes = 32 << 10
)

// newProxy listens on a free port of ip.
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
		go p.carry(conn)
	}
}

func (p *proxy) carry(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.track(in, out)
	go p.copy(out, in, func() bool { return p.silent.Load() })
	p.copy(in, out, func() bool { return p.silent.Load() || p.deaf.Load() })
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy carries one direction. What is cut stays cut: a connection that went
// silent never speaks again.
func (p *proxy) copy(to, from net.Conn, cut func() bool) {
	defer p.drop(to, from)
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			if cut() {
				p.hang(from)
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

// hang keeps a silent connection open until its other end gives it up.
func (p *proxy) hang(from net.Conn) {
	_, _ = io.Copy(io.Discard, from)
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) heal() {
	p.delay.Store(0)
	p.silent.Store(false)
	p.deaf.Store(false)
}
