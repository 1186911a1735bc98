package httpapi

import (
	"net"
	"sync"
)

type (
	// limitListener closes connections above its limit immediately.
	limitListener struct {
		net.Listener
		limit int

		mu   sync.Mutex
		open int
	}

	limitConn struct {
		net.Conn
		once  sync.Once
		close func()
	}
)

// LimitListener returns a listener that keeps at most limit connections open
// and closes further ones as soon as it accepts them.
func LimitListener(ln net.Listener, limit int) net.Listener {
	return &limitListener{Listener: ln, limit: limit}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &limitConn{Conn: conn, close: l.release}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.once.Do(c.close)
	return c.Conn.Close()
}
