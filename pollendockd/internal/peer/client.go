package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

type (
	// Handler serves the calls of peers.
	Handler interface {
		Exchange(ctx context.Context, r *ExchangeRequest) (*ExchangeReply, error)
		Lookup(ctx context.Context, r *LookupRequest) (*LookupReply, error)
		Offer(ctx context.Context, r *OfferRequest) (*OfferReply, error)
		State(ctx context.Context, r *StateRequest) (*StateReply, error)
	}

	// Client calls the Handler of another entry VM. Its calls share a connection. A
	// connection on which calls remain unanswered may be dead. It is closed, and the
	// next call opens a new one.
	Client struct {
		addr netip.AddrPort

		mu   sync.Mutex
		conn *rpc.Client
		// lastAnswerAt is the time of the last answer. unansweredSince is the start of
		// the first call since then that ended without an answer.
		lastAnswerAt    time.Time
		unansweredSince time.Time
	}
)

const (
	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second
	// silenceLimit is the time without an answer after which a connection is closed.
	// A single call that is cancelled earlier is no evidence of a dead connection.
	silenceLimit = 250 * time.Millisecond

	traceHeader  = "traceparent"
	methodPrefix = "Peer."
)

var (
	// Class wraps the errors of this package.
	Class = errs.Class("peer")
	// NotSent wraps the errors of calls that certainly did not reach the peer.
	NotSent = errs.Class("peer not reached")
)

// NewClient returns a client for the entry VM at addr.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{addr: addr}
}

// Exchange implements Handler.
func (c *Client) Exchange(ctx context.Context, r *ExchangeRequest) (*ExchangeReply, error) {
	reply := &ExchangeReply{}
	return reply, c.Call(ctx, "Exchange", r, reply)
}

// Lookup implements Handler.
func (c *Client) Lookup(ctx context.Context, r *LookupRequest) (*LookupReply, error) {
	r.Trace = traceFrom(ctx)
	reply := &LookupReply{}
	return reply, c.Call(ctx, "Lookup", r, reply)
}

// Offer implements Handler.
func (c *Client) Offer(ctx context.Context, r *OfferRequest) (*OfferReply, error) {
	r.Trace = traceFrom(ctx)
	reply := &OfferReply{}
	return reply, c.Call(ctx, "Offer", r, reply)
}

// State implements Handler.
func (c *Client) State(ctx context.Context, r *StateRequest) (*StateReply, error) {
	reply := &StateReply{}
	return reply, c.Call(ctx, "State", r, reply)
}

// Call calls a method of the peer. An error of class NotSent means that the call did not
// reach the peer.
func (c *Client) Call(ctx context.Context, method string, in, out any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return NotSent.Wrap(err)
	}
	began := time.Now()
	call := conn.Go(methodPrefix+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == rpc.ErrShutdown {
			c.discard(conn)
		}
		c.recordAnswer()
		return Class.Wrap(call.Error)
	case <-ctx.Done():
		if c.recordUnanswered(began) {
			c.discard(conn)
		}
		return Class.Wrap(ctx.Err())
	}
}

func (c *Client) recordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswerAt = time.Now()
	c.unansweredSince = time.Time{}
}

// recordUnanswered records a call that got no answer, with its start time. It reports
// whether calls have been unanswered for at least silenceLimit.
func (c *Client) recordUnanswered(began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastAnswerAt.After(began) {
		return false
	}
	if c.unansweredSince.IsZero() {
		c.unansweredSince = began
	}
	return time.Since(c.unansweredSince) >= silenceLimit
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr.String())
	if err != nil {
		return nil, err
	}
	c.conn = rpc.NewClient(conn)
	c.unansweredSince = time.Time{}
	return c.conn, nil
}

func (c *Client) discard(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func traceFrom(ctx context.Context) Trace {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return Trace{Parent: carrier[traceHeader]}
}

func (t Trace) context(ctx context.Context) context.Context {
	carrier := propagation.MapCarrier{traceHeader: t.Parent}
	return otel.GetTextMapPropagator().Extract(ctx, carrier)
}
