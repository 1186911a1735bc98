package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"pollendock.example/cell/code"
)

type (
	// Bodies are the limits of bodies.
	Bodies struct {
		MaxBytes int64
		// Timeout is how long nothing may arrive of a body.
		Timeout time.Duration
	}

	// body is what has arrived of a body. After its bytes it returns err.
	body struct {
		parts [][]byte
		err   error
	}
)

const (
	minPart = 512
	maxPart = 32 << 10
)

// wholeBodies returns a handler that calls next once the body of a request has arrived, or has more
// than it may. Until then the connection may be shed.
func wholeBodies(next http.Handler, limits Bodies) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.inHead.Store(false)
		if r.Body != nil && r.Body != http.NoBody {
			b := c.readBody(w, r.Body, limits)
			if b.err != io.EOF {
				w.Header().Set("Connection", "close")
			}
			r.Body, r.ContentLength = b, b.length()
		}
		if !c.ledger.setHandling(c.account, true) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// readBody reads up to one byte more than a body may have.
func (c *conn) readBody(w http.ResponseWriter, r io.Reader, limits Bodies) *body {
	control := http.NewResponseController(w)
	b := &body{}
	size := minPart
	for left := limits.MaxBytes + 1; b.err == nil && left > 0; {
		part := make([]byte, min(int64(size), left))
		if !c.ledger.add(c.account, int64(len(part))*copies) {
			b.err = errShed
			break
		}
		n := 0
		for n < len(part) && b.err == nil {
			_ = control.SetReadDeadline(time.Now().Add(limits.Timeout))
			var read int
			read, b.err = r.Read(part[n:])
			n += read
		}
		b.parts = append(b.parts, part[:n])
		left -= int64(n)
		size = min(size*2, maxPart)
	}
	_ = control.SetReadDeadline(time.Time{})
	if errors.Is(b.err, os.ErrDeadlineExceeded) {
		b.err = code.New(code.BodyTimeout, "nothing of the body arrived for %v", limits.Timeout)
	}
	return b
}

func (b *body) length() int64 {
	n := int64(0)
	for _, part := range b.parts {
		n += int64(len(part))
	}
	return n
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	for len(b.parts) > 0 && len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
	}
	if len(b.parts) == 0 {
		if b.err == nil {
			return 0, io.EOF
		}
		return 0, b.err
	}
	n := copy(p, b.parts[0])
	b.parts[0] = b.parts[0][n:]
	return n, nil
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }
