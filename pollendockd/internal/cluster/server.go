package cluster

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

// NewServer returns a server whose calls run under ctx. The advisor is nil if this VM has
// none.
func NewServer(ctx context.Context, incarnation string, advisor AdvisorWithAnswers, handler RequestHandler, leader Leader, follower Follower, relay Relay, logger log.Logger) *Server {
	return &Server{ctx: ctx, incarnation: incarnation, advisor: advisor, handler: handler, leader: leader, follower: follower, relay: relay, logger: logger}
}

// recoverPanic converts a panic of a call into an error. With net/rpc alone, one
// malformed call would end the process.
func (s *Server) recoverPanic(method string, err *error) {
	p := recover()
	if p == nil {
		return
	}
	*err = fmt.Errorf("%s failed unexpectedly: %v", method, p)
	_ = level.Error(s.logger).Log("msg", "panic while serving a call of a peer", "method", method, "panic", p, "stack", string(debug.Stack()))
}

// Yield serves a report that the leader cannot append.
func (s *Server) Yield(r *YieldRequest, _ *YieldReply) (err error) {
	defer s.recoverPanic("Yield", &err)
	s.leader.Yield(r.Epoch)
	return nil
}

// Offer applies records that another VM offers.
func (s *Server) Offer(r *OfferRequest, reply *OfferReply) (err error) {
	defer s.recoverPanic("Offer", &err)
	if len(r.Entries) == 0 {
		return errEmptyOffer
	}
	reply.Next, reply.Reads = s.follower.Offer(r.Entries)
	if r.Relay {
		s.relay.Relay(r.Entries[0].Offset)
	}
	return nil
}

// Accept makes the entries of another VM durable if this VM is the leader.
func (s *Server) Accept(r *AcceptRequest, reply *AcceptReply) (err error) {
	defer s.recoverPanic("Accept", &err)
	ctx, cancel := context.WithTimeout(s.ctx, acceptServeTimeout)
	defer cancel()
	acceptErr := s.leader.Accept(ctx, r.Entries)
	reply.Done = acceptErr == nil
	reply.Refused = site.ErrRefused.Has(acceptErr)
	reply.Admission = site.AdmissionErrorOf(acceptErr)
	if acceptErr != nil {
		reply.Detail = acceptErr.Error()
	}
	return nil
}

// Advise queries the advisor for another VM.
func (s *Server) Advise(q *scheduler.AdviceQuery, reply *AdviceReply) (err error) {
	defer s.recoverPanic("Advise", &err)
	if s.advisor == nil {
		return errNoAdvisor
	}
	reply.Tickets, err = s.advisor.Advise(s.ctx, q.Job, q.Step, q.Workers)
	return err
}

// Submit serves a forwarded submission.
func (s *Server) Submit(r *Request, reply *Outcome) (err error) {
	defer s.recoverPanic("Submit", &err)
	if r.Draft == nil {
		reply.Code, reply.Detail = code.BadRequest, "no job"
		return nil
	}
	return s.serve(r, reply, func(ctx context.Context) error { return s.handler.SubmitLocal(ctx, r.At, r.Draft) })
}

// Status serves a forwarded status request.
func (s *Server) Status(r *Request, reply *Outcome) (err error) {
	defer s.recoverPanic("Status", &err)
	return s.serve(r, reply, func(ctx context.Context) error {
		status, err := s.handler.StatusLocal(ctx, r.At)
		if err == nil {
			reply.Status = *status
		}
		return err
	})
}

// Cancel serves a forwarded cancellation.
func (s *Server) Cancel(r *Request, reply *Outcome) (err error) {
	defer s.recoverPanic("Cancel", &err)
	return s.serve(r, reply, func(ctx context.Context) error { return s.handler.CancelLocal(ctx, r.At) })
}

// serve runs fn unless this VM's catalog is older than the version that the request
// needs.
func (s *Server) serve(r *Request, reply *Outcome, fn func(ctx context.Context) error) error {
	reply.Version = s.handler.Version()
	if reply.Version < r.Least {
		reply.Code, reply.Detail = code.NotReady, "the catalog is older than asked for"
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, serveTimeout)
	defer cancel()
	err := fn(ctx)
	reply.Code, reply.Detail = code.Of(err)
	reply.RetryAfter = code.RetryAfterOf(err)
	return nil
}
