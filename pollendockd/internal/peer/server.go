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

	// adapter exposes a Handler with the method signatures that net/rpc requires.
	adapter struct {
		ctx context.Context
		h   Handler
	}
)

const tracerName = "pollendockd/peer"

// NewServer returns a server of h on ln. Its calls run under ctx.
func NewServer(ctx context.Context, ln net.Listener, h Handler) (*Server, error) {
	return NewRPCServer(ln, &adapter{ctx: ctx, h: h})
}

// NewRPCServer returns a server on ln for the methods of receiver, which have the
// signature that net/rpc requires.
func NewRPCServer(ln net.Listener, receiver any) (*Server, error) {
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

// Close closes the listener and all connections.
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

// Exchange serves the heartbeat of a peer.
func (a *adapter) Exchange(r *ExchangeRequest, reply *ExchangeReply) error {
	out, err := a.h.Exchange(a.ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}

// Lookup serves a forwarded lookup.
func (a *adapter) Lookup(r *LookupRequest, reply *LookupReply) error {
	ctx, span := a.span(r.Trace, "peer.lookup")
	defer span.End()
	out, err := a.h.Lookup(ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}

// Offer serves a request for capacity for a gang.
func (a *adapter) Offer(r *OfferRequest, reply *OfferReply) error {
	ctx, span := a.span(r.Trace, "peer.offer")
	defer span.End()
	out, err := a.h.Offer(ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}

// State serves a request for the whole state.
func (a *adapter) State(r *StateRequest, reply *StateReply) error {
	out, err := a.h.State(a.ctx, r)
	if err == nil {
		*reply = *out
	}
	return err
}
