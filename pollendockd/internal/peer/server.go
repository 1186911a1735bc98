package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
)

type (
	// Server serves a Handler over net/rpc.
	Server struct {
		ln  net.Listener
		rpc *rpc.Server

		mu    sync.Mutex
		conns map[net.Conn]bool
	}

	// adapter gives a Handler the method shape of net/rpc.
	adapter struct {
		ctx context.Context
		h   Handler
	}
)

const tracerName = "pollendockd/peer"

// NewServer returns a server on ln whose calls run under ctx.
func NewServer(ctx context.Context, ln net.Listener, h Handler) (*Server, error) {
	return NewServerOf(ln, &adapter{ctx: ctx, h: h})
}

// NewServerOf returns a server on ln that serves the methods of receiver, which
// have the shape that net/rpc asks for.
func NewServerOf(ln net.Listener, receiver any) (*Server, error) {
	s := &Server{ln: ln, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName("Peer", receiver); err != nil {
		return nil, Class.Wrap(err)
	}
	return s, nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return Class.Wrap(err)
		}
		s.track(conn, true)
		go func() {
			s.rpc.ServeConn(conn)
			s.track(conn, false)
		}()
	}
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = true
		return
	}
	delete(s.conns, conn)
}

func (a *adapter) span(t Trace, name string) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(t.context(a.ctx), name, trace.WithSpanKind(trace.SpanKindServer))
}

// Exchange serves the call of that name.
func (a *adapter) Exchange(r *ExchangeRequest, reply *ExchangeReply) error {
	out, err := a.h.Exchange(a.ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}

// Lookup serves the call of that name.
func (a *adapter) Lookup(r *LookupRequest, reply *LookupReply) error {
	ctx, span := a.span(r.Trace, "peer.lookup")
	defer span.End()
	out, err := a.h.Lookup(ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}

// Offer serves the call of that name.
func (a *adapter) Offer(r *OfferRequest, reply *OfferReply) error {
	ctx, span := a.span(r.Trace, "peer.offer")
	defer span.End()
	out, err := a.h.Offer(ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}

// State serves the call of that name.
func (a *adapter) State(r *StateRequest, reply *StateReply) error {
	out, err := a.h.State(a.ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}
