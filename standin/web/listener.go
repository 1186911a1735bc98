package web

import (
	"net"
	"sync"
)

type (
	// boundListener closes connections beyond its bound at once.
	boundListener struct {
		net.Listener
		bound int

		mu   sync.Mutex
		open int
	}

	boundConn struct {
		net.Conn
		once  sync.Once
		close func()
	}
)

// BoundListener returns a listener that keeps at most bound connections open
// and turns away any more.
func BoundListener(ln net.Listener, bound int) net.Listener {
	return &boundListener{Listener: ln, bound: bound}
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.enter() {
			return &boundConn{Conn: conn, close: l.leave}, nil
		}
		_ = conn.Close()
	}
}

func (l *boundListener) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.bound {
		return false
	}
	l.open++
	return true
}

func (l *boundListener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.once.Do(c.close)
	return c.Conn.Close()
}
