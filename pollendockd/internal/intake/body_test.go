package intake

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/code"
)

type (
	// pipes is a listener of connections within the process.
	pipes struct {
		conns chan net.Conn
	}
)

const (
	testBodyTimeout = 10 * time.Second
	testBodyBytes   = 100
)

func (p *pipes) Accept() (net.Conn, error) {
	c, open := <-p.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// serveBodies serves a handler that answers with the body's length and the code of its error, and
// returns a connection to it.
func serveBodies(t *testing.T) net.Conn {
	t.Helper()
	client, raw := net.Pipe()
	p := &pipes{conns: make(chan net.Conn, 1)}
	p.conns <- raw
	ledger := NewLedger(Limits{ClientBytes: 1 << 20}, log.NewNopLogger(), noCounts{})
	ln := &Listener{Listener: p, ledger: ledger, group: &group{limit: 1}, http: true}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		number, _ := code.Of(err)
		_, _ = fmt.Fprintf(w, "%d bytes, %d", len(body), number)
	})}
	go func() { _ = ln.Serve(server, Bodies{MaxBytes: testBodyBytes, Timeout: testBodyTimeout}) }()
	t.Cleanup(func() {
		close(p.conns)
		_ = server.Close()
		_ = client.Close()
		synctest.Wait()
		if ledger.held != 0 {
			t.Errorf("%d bytes are held", ledger.held)
		}
	})
	return client
}

// TestBodies sends a body a byte at a time.
func TestBodies(t *testing.T) {
	for _, test := range []struct {
		name     string
		declared int
		sent     int
		gap      time.Duration
		want     string
	}{
		{"whole", 20, 20, 0, "20 bytes, 1000"},
		{"slow, but going on", 20, 20, testBodyTimeout - time.Second, "20 bytes, 1000"},
		{"stops short", 20, 19, 0, "19 bytes, 2013"},
		{"too long", testBodyBytes + 1, testBodyBytes + 1, 0, "101 bytes, 1000"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := serveBodies(t)
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", test.declared)
				for range test.sent {
					time.Sleep(test.gap)
					_, _ = io.WriteString(c, "x")
				}
				answer, _ := io.ReadAll(c)
				if _, got, _ := strings.Cut(string(answer), "\r\n\r\n"); got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}

// TestSlowReaderGetsWholeAnswer: a reader that goes on is served however long that takes.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, raw := net.Pipe()
		ledger := NewLedger(Limits{ClientBytes: 1 << 20}, log.NewNopLogger(), noCounts{})
		c := &conn{Conn: raw, ledger: ledger, account: &account{group: &group{limit: 1}, close: func() {}}}
		ledger.open(c.account)
		written := make(chan error, 1)
		const parts = 5
		go func() {
			_, err := c.Write(make([]byte, parts*writePart))
			written <- err
		}()
		for range parts {
			time.Sleep(writeTimeout - time.Second)
			if _, err := io.ReadFull(client, make([]byte, writePart)); err != nil {
				t.Fatal(err)
			}
		}
		if err := <-written; err != nil {
			t.Error(err)
		}
	})
}

// TestShedRequestIsNotHandled: a connection that was shed as its body ended would leave its caller
// without the answer to a job that was taken.
func TestShedRequestIsNotHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedgerTest()
		a := l.connect("a", l.callers)
		l.add(a, 2*testBytes)
		c := &conn{ledger: l.Ledger, account: a}
		handled := false
		h := wholeBodies(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }), Bodies{})
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		defer func() {
			if p := recover(); p != http.ErrAbortHandler || handled {
				t.Errorf("recovered %v, handled %v", p, handled)
			}
		}()
		h.ServeHTTP(httptest.NewRecorder(), r.WithContext(context.WithValue(r.Context(), connKey{}, c)))
	})
}

// TestAnswerNobodyReads: the connection of a client that reads no answer stayed open for ever.
func TestAnswerNobodyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := serveBodies(t)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(writeTimeout + time.Second)
		if _, err := io.ReadAll(c); err != nil {
			t.Error(err)
		}
		if _, err := io.WriteString(c, "GET"); err == nil {
			t.Error("the connection is open")
		}
	})
}
