package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// Listener is a listener whose connections have an account in a Ledger.
	Listener struct {
		net.Listener
		ledger *Ledger
		group  *group
		// connectionBytes is the charge of a connection that has sent nothing.
		connectionBytes int64
		// http is set if the connections carry HTTP, whose server says where a request ends.
		// Otherwise a written answer ends what came before it.
		http bool
	}

	// conn is a connection of a Listener.
	conn struct {
		net.Conn
		ledger  *Ledger
		account *account
		http    bool
		// inHead is set while a request line and headers arrive.
		inHead atomic.Bool
		once   sync.Once
	}

	connKey struct{}
)

const (
	// goroutineBytes is the memory of a connection's goroutine and of the server's buffers.
	goroutineBytes = 16 << 10
	// The receive buffers are what the kernel holds of bytes that the process has not read. Peers
	// send megabytes over long distances.
	httpReceiveBuffer = 16 << 10
	rpcReceiveBuffer  = 64 << 10
	// lineBytes is what net/http holds of a header line, beside its bytes.
	lineBytes = 128
	// copies is how often a byte that has arrived is held: as received and as parsed.
	copies = 2

	// writeTimeout bounds how long a client may leave writePart bytes of an answer unread.
	writeTimeout = 10 * time.Second
	writePart    = 16 << 10
	// descriptorPause is the wait for descriptors to become free.
	descriptorPause = 5 * time.Millisecond
)

var errShed = errors.New("the connection was shed: clients hold too much memory")

// Listen listens for HTTP requests, of at most limit connections at a time.
func (l *Ledger) Listen(name string, addr netip.AddrPort, limit int) (*Listener, error) {
	ln := &Listener{ledger: l, group: &group{name: name, limit: limit}, http: true}
	return ln, ln.listen(addr, httpReceiveBuffer)
}

// ListenRPC listens for calls, each of which is answered by a write.
func (l *Ledger) ListenRPC(name string, addr netip.AddrPort, limit int) (*Listener, error) {
	ln := &Listener{ledger: l, group: &group{name: name, limit: limit, rpc: true}}
	return ln, ln.listen(addr, rpcReceiveBuffer)
}

// listen sets the receive buffer of the connections that will be accepted. A system that refuses it
// has its own.
func (ln *Listener) listen(addr netip.AddrPort, receiveBuffer int) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	var err error
	ln.connectionBytes = goroutineBytes + int64(receiveBuffer)
	ln.Listener, err = config.Listen(context.Background(), "tcp", addr.String())
	return err
}

// Accept implements net.Listener. It never refuses an ordinary caller for the sake of one that
// holds more.
func (ln *Listener) Accept() (net.Conn, error) {
	for {
		ln.ledger.awaitLeavers()
		raw, err := ln.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(descriptorPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, ledger: ln.ledger, http: ln.http}
		c.inHead.Store(true)
		c.account = &account{group: ln.group, base: ln.connectionBytes, charge: ln.connectionBytes, close: func() { _ = raw.Close() }}
		if ln.ledger.open(c.account) {
			return c, nil
		}
		_ = c.Close()
	}
}

// Serve serves HTTP requests whose handler gets whole bodies.
func (ln *Listener) Serve(server *http.Server, bodies Bodies) error {
	server.Handler = wholeBodies(server.Handler, bodies)
	server.ConnState = followState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return server.Serve(ln)
}

// followState starts a connection's account anew for each request and each idle time.
func followState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.ledger.setHandling(c.account, false)
	case http.StateIdle:
		c.ledger.begin(c.account)
		c.inHead.Store(true)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	cost := int64(n) * copies
	if c.http {
		cost += int64(bytes.Count(p[:n], []byte{'\n'})) * lineBytes
	}
	if !c.ledger.add(c.account, cost) {
		return 0, errShed
	}
	return n, err
}

// Write implements net.Conn. A client that goes on reading may be slow.
func (c *conn) Write(p []byte) (int, error) {
	if !c.http {
		c.ledger.endCall(c.account)
	}
	written := 0
	for {
		if c.http {
			// The answer is decided. A client that doesn't read it may be shed.
			c.ledger.setHandling(c.account, false)
		}
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(p[written:min(written+writePart, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.ledger.remove(c.account) })
	return c.Conn.Close()
}
