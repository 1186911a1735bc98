package helper

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/scheduler"
)

var (
	errEmptyOffer = errors.New("an offer without records")
	errNoAdvisor  = errors.New("this VM knows no advisor")
)

// NewServer returns the server of a process, whose calls run under ctx. The advisor
// is nil where there is none.
func NewServer(ctx context.Context, incarnation string, advisor Advisor, desk Desk, leader Leader, book Follower, relay Relay, logger log.Logger) *Server {
	return &Server{ctx: ctx, incarnation: incarnation, advisor: advisor, desk: desk, leader: leader, book: book, relay: relay, logger: logger}
}

// contain turns a panic of a call into its error: net/rpc would let one malformed
// call end the process.
func (s *Server) contain(method string, err *error) {
	p := recover()
	if p == nil {
		return
	}
	*err = fmt.Errorf("%s failed unexpectedly: %v", method, p)
	_ = level.Error(s.logger).Log("msg", "a call of another VM failed unexpectedly", "method", method, "panic", p, "stack", string(debug.Stack()))
}

// Yield serves the call of that name.
func (s *Server) Yield(r *YieldRequest, _ *YieldReply) (err error) {
	defer s.contain("Yield", &err)
	s.leader.Yield(r.Epoch)
	return nil
}

// Offer serves the call of that name.
func (s *Server) Offer(r *OfferRequest, reply *OfferReply) (err error) {
	defer s.contain("Offer", &err)
	if len(r.Entries) == 0 {
		return errEmptyOffer
	}
	reply.Next, reply.Reads = s.book.Offer(r.Entries)
	if r.Relay {
		s.relay.Relay(r.Entries[0].Offset)
	}
	return nil
}

// Accept serves the call of that name.
func (s *Server) Accept(r *AcceptRequest, reply *AcceptReply) (err error) {
	defer s.contain("Accept", &err)
	ctx, cancel := context.WithTimeout(s.ctx, acceptServe)
	defer cancel()
	accepted := s.leader.Accept(ctx, r.Entries)
	reply.Done = accepted == nil
	reply.Refused = site.ErrRefused.Has(accepted)
	if accepted != nil {
		reply.Detail = accepted.Error()
	}
	return nil
}

// Advise serves the call of that name.
func (s *Server) Advise(q *scheduler.AdviceQuery, reply *AdviceReply) (err error) {
	defer s.contain("Advise", &err)
	if s.advisor == nil {
		return errNoAdvisor
	}
	reply.Tickets, err = s.advisor.Advise(s.ctx, q.Job, q.Step, q.Workers)
	return err
}

// Submit serves the call of that name.
func (s *Server) Submit(r *Request, reply *Outcome) (err error) {
	defer s.contain("Submit", &err)
	if r.Draft == nil {
		reply.Code, reply.Detail = code.BadRequest, "no job"
		return nil
	}
	return s.serve(r, reply, func(ctx context.Context) error { return s.desk.SubmitHere(ctx, r.At, r.Draft) })
}

// Status serves the call of that name.
func (s *Server) Status(r *Request, reply *Outcome) (err error) {
	defer s.contain("Status", &err)
	return s.serve(r, reply, func(ctx context.Context) error {
		status, err := s.desk.StatusHere(ctx, r.At)
		if err == nil {
			reply.Status = *status
		}
		return err
	})
}

// Cancel serves the call of that name.
func (s *Server) Cancel(r *Request, reply *Outcome) (err error) {
	defer s.contain("Cancel", &err)
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
