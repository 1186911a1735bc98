package helper

import (
	"context"

	"pollendock.example/cell/code"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/scheduler"
)

// NewServer returns the server of a process, whose calls run under ctx. The advisor
// is nil where there is none.
func NewServer(ctx context.Context, incarnation string, advisor Advisor, desk Desk, leader Leader, book Follower, relay Relay) *Server {
	return &Server{ctx: ctx, incarnation: incarnation, advisor: advisor, desk: desk, leader: leader, book: book, relay: relay}
}

// Yield serves the call of that name.
func (s *Server) Yield(r *YieldRequest, _ *YieldReply) error {
	s.leader.Yield(r.Epoch)
	return nil
}

// Offer serves the call of that name.
func (s *Server) Offer(r *OfferRequest, reply *OfferReply) error {
	reply.Next, reply.Reads = s.book.Offer(r.Entries)
	if r.Relay && len(r.Entries) > 0 {
		s.relay.Relay(r.Entries[0].Offset)
	}
	return nil
}

// Accept serves the call of that name.
func (s *Server) Accept(r *AcceptRequest, reply *AcceptReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, acceptServe)
	defer cancel()
	err := s.leader.Accept(ctx, r.Entries)
	reply.Done = err == nil
	reply.Refused = site.ErrRefused.Has(err)
	if err != nil {
		reply.Detail = err.Error()
	}
	return nil
}

// Advise serves the call of that name.
func (s *Server) Advise(q *scheduler.AdviceQuery, reply *AdviceReply) error {
	var err error
	reply.Tickets, err = s.advisor.Advise(s.ctx, q.Job, q.Step, q.Workers)
	return err
}

// Submit serves the call of that name.
func (s *Server) Submit(r *Request, reply *Outcome) error {
	return s.serve(r, reply, func(ctx context.Context) error { return s.desk.SubmitHere(ctx, r.At, r.Draft) })
}

// Status serves the call of that name.
func (s *Server) Status(r *Request, reply *Outcome) error {
	return s.serve(r, reply, func(ctx context.Context) error {
		status, err := s.desk.StatusHere(ctx, r.At)
		if err == nil {
			reply.Status = *status
		}
		return err
	})
}

// Cancel serves the call of that name.
func (s *Server) Cancel(r *Request, reply *Outcome) error {
	return s.serve(r, reply, func(ctx context.Context) error { return s.desk.CancelHere(ctx, r.At) })
}

// serve runs fn unless the catalog here is older than the sender's callers have
// seen.
func (s *Server) serve(r *Request, reply *Outcome, fn func(ctx context.Context) error) error {
	reply.Version = s.desk.Version()
	if reply.Version < r.Least {
		reply.Code, reply.Detail = code.NotReady, "the catalog is older than asked for"
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	reply.Code, reply.Detail = code.Of(fn(ctx))
	return nil
}
