package cluster

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	// Request is a forwarded request of a caller.
	Request struct {
		At site.Address
		// Draft is set for Submit.
		Draft *job.Submission
		// Least is the lowest catalog version by which the request may be served.
		Least int64
	}

	// Outcome is the outcome of a forwarded request.
	Outcome struct {
		Code   code.Code
		Detail string
		Status site.Status
		// Version is the catalog version by which the request was served.
		Version int64
		// RetryAfter is the delay after which a refused caller should retry; 0 for
		// none.
		RetryAfter time.Duration
	}

	// attempt is one call of a forwarded request.
	attempt struct {
		out Outcome
		err error
	}
)

const (
	forwardTimeout = 1200 * time.Millisecond
	// firstRecordsTimeout is how long a request waits for the first records of a VM that
	// has just started, which are read again each firstRecordsInterval.
	firstRecordsTimeout  = 400 * time.Millisecond
	firstRecordsInterval = 25 * time.Millisecond
)

// Submit forwards the submission of a job.
func (p *Peers) Submit(ctx context.Context, addr site.Address, draft *job.Submission, minVersion int64) (int64, error) {
	out, err := p.forward(ctx, "Submit", &Request{At: addr, Draft: draft, Least: minVersion})
	return out.Version, err
}

// Status forwards a status request.
func (p *Peers) Status(ctx context.Context, addr site.Address, minVersion int64) (*site.Status, int64, error) {
	out, err := p.forward(ctx, "Status", &Request{At: addr, Least: minVersion})
	return &out.Status, out.Version, err
}

// Cancel forwards the cancellation of a job.
func (p *Peers) Cancel(ctx context.Context, addr site.Address, minVersion int64) (int64, error) {
	out, err := p.forward(ctx, "Cancel", &Request{At: addr, Least: minVersion})
	return out.Version, err
}

// forward tries other VMs until one has served the request. Requests for jobs are
// idempotent, so a request may be forwarded again after a call without an answer. The
// outcome stays unknown then unless a VM serves it: a refusal by the second VM says nothing
// about the first.
func (p *Peers) forward(ctx context.Context, method string, r *Request) (*Outcome, error) {
	began := time.Now()
	failure := site.ErrRefused.New("no other VM is likely to serve it")
	candidates := p.awaitCandidates(ctx)
	if len(candidates) == 0 {
		failure = site.ErrRefused.New("no other VM is known")
	}
	targets := planRoute(candidates, time.Now())
	asked := 0
	for i := range targets {
		m := &targets[i]
		if ctx.Err() != nil {
			break
		}
		asked++
		a := p.attempt(ctx, m, method, r)
		switch result := a.contact(); {
		case result == servedContact && (a.out.Code == code.OK || !site.ErrUnknown.Has(failure)):
			p.recordForward(method, r, m.Name, asked, began, nil)
			return &a.out, a.servedErr()
		case result == failedContact || result == unansweredContact:
			failure = site.ErrUnknown.New("%s: %v", m.Name, a.reason())
		case !site.ErrUnknown.Has(failure):
			failure = site.ErrRefused.New("%s: %v", m.Name, a.reason())
		}
	}
	p.recordForward(method, r, "", asked, began, failure)
	return &Outcome{}, failure
}

// awaitCandidates returns the other VMs. A VM that has just started knows none before it has
// read the first records, which takes less time than a refused caller stays away.
func (p *Peers) awaitCandidates(ctx context.Context) []candidate {
	for deadline := time.Now().Add(firstRecordsTimeout); ; sleep.For(ctx, firstRecordsInterval) {
		list := p.candidates()
		if len(list) > 0 || ctx.Err() != nil || !time.Now().Before(deadline) {
			return list
		}
	}
}

// attempt forwards a request to one VM.
func (p *Peers) attempt(ctx context.Context, m *job.Member, method string, r *Request) *attempt {
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	a := &attempt{}
	a.err = p.client(m, forRequests).Call(callCtx, method, r, &a.out)
	if a.err == nil || ctx.Err() == nil {
		// A caller that has gone, or whose time is up, says nothing about the VM.
		p.recordContact(m.Incarnation, a.contact())
	}
	return a
}

// contact classifies the attempt.
func (a *attempt) contact() contactResult {
	var answered rpc.ServerError
	switch {
	case peer.NotSent.Has(a.err):
		return unreachableContact
	case errors.As(a.err, &answered), a.out.Code == code.AcceptUnknown:
		return failedContact
	case a.err != nil:
		return unansweredContact
	case a.out.Code == code.LogDown, a.out.Code == code.NotReady:
		return refusedContact
	}
	return servedContact
}

// servedErr returns the error with which the other VM served the request, or nil.
func (a *attempt) servedErr() error {
	if a.out.Code == code.OK {
		return nil
	}
	return code.Refuse(a.out.Code, a.out.RetryAfter, "%s", a.out.Detail)
}

func (a *attempt) reason() string {
	if a.err != nil {
		return a.err.Error()
	}
	return a.out.Detail
}

// recordForward logs and counts a request that was forwarded, or for which no VM is likely
// to serve it. Successful status requests are too frequent to be logged.
func (p *Peers) recordForward(method string, r *Request, servedBy string, asked int, began time.Time, failure error) {
	outcome := "ok"
	switch {
	case site.ErrUnknown.Has(failure):
		outcome = "unknown"
	case failure != nil:
		outcome = "refused"
	}
	p.counts.Count("relayed_"+outcome, 1)
	if method == "Status" && failure == nil {
		return
	}
	_ = level.Info(p.logger).Log("msg", "relayed", "method", method, "path", r.At.Path, "outcome", outcome, "servedBy", servedBy,
		"asked", asked, "leastVersion", r.Least, "tookMs", time.Since(began).Milliseconds(), "err", failure)
}
