package loopback

import (
	"net"
	"sync"
	"time"
)

type (
	// Link is a network link of limited speed. The connections of its listeners share
	// it for what they send.
	Link struct {
		bytesPerSecond int

		mu sync.Mutex
		// freeAt is when everything sent so far has left the link.
		freeAt time.Time
		sent   int64
	}

	linkListener struct {
		net.Listener
		link *Link
	}

	linkConn struct {
		net.Conn
		link *Link
	}
)

// linkChunkBytes is how much one connection sends before another gets its turn.
const linkChunkBytes = 2 << 10

// NewLink returns a link that is idle.
func NewLink(bytesPerSecond int) *Link {
	return &Link{bytesPerSecond: bytesPerSecond}
}

// Listener returns a listener whose connections send over the link.
func (l *Link) Listener(ln net.Listener) net.Listener {
	return &linkListener{ln, l}
}

// Sent returns the number of bytes that were sent.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// Reserve takes the link for n bytes and returns how long it takes until they have left it.
func (l *Link) Reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	l.sent += int64(n)
	return l.freeAt.Sub(now)
}

// Accept implements net.Listener.
func (ln *linkListener) Accept() (net.Conn, error) {
	conn, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{conn, ln.link}, nil
}

// Write implements net.Conn.
func (c *linkConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(len(data), written+linkChunkBytes)]
		time.Sleep(c.link.Reserve(len(chunk)))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
