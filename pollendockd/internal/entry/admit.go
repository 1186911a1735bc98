package entry

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// AuthenticatedLookup is a lookup whose API key has been verified.
	AuthenticatedLookup struct {
		RequestID   string
		Team        string
		Key         string
		Size        resource.Vector
		ExpectedRun time.Duration
		Deadline    time.Time
		Payload     string
	}

	// LookupResult is the final answer to a lookup.
	LookupResult struct {
		Code       code.Code
		Detail     string
		Data       string
		Digest     string
		RetryAfter time.Duration
	}

	// AuthenticatedJob is a durable job submission whose API key has been
	// verified.
	AuthenticatedJob struct {
		RequestID string
		Team      string
		KeyName   string
		Version   int64
		Spec      ledger.Spec
		// Wait is how long the call may block until the job ends.
		Wait time.Duration
	}

	// lookupReceived passes a lookup to the control goroutine.
	lookupReceived struct {
		l *lookup
	}

	// peerHandler adapts an Entry to peer.Handler. It is a separate type because
	// Entry.Lookup, which serves clients, has another signature.
	peerHandler struct{ *Entry }

	// jobReceived passes a job to the control goroutine.
	jobReceived struct {
		job   *AuthenticatedJob
		reply chan api.Answer
	}
)

const (
	// acceptTimeout is how long a submission or cancellation waits for the log.
	acceptTimeout = 5 * time.Second
	// bootstrapKeyName identifies the bootstrap key in the configuration
	// history.
	bootstrapKeyName = "bootstrap"
	// notJoined is the detail of a refusal that callers may take elsewhere.
	notJoined = "this entry VM has not joined through the log yet"
)

var (
	// Class wraps the errors of this package.
	Class = errs.Class("entry")

	errStopped   = Class.New("the entry VM was stopped")
	errOtherCell = Class.New("the caller belongs to another cell")
)

// Identify returns the identity that an API key belongs to and the number of the
// configuration version that was consulted.
func (e *Entry) Identify(key string) (config.Identity, int64, bool) {
	p := e.sharedState.Load()
	if p.bootstrap && e.opt.BootstrapHash != "" && config.HashKey(key) == e.opt.BootstrapHash {
		return config.Identity{KeyName: bootstrapKeyName, Operator: true}, 0, true
	}
	id, ok := p.document.Identify(key)
	return id, p.number, ok
}

// Ready reports whether the load balancer may send requests to this VM.
func (e *Entry) Ready() bool {
	return e.sharedState.Load().ready
}

// Serving returns nil if this VM accepts new work, and otherwise an error with a
// result code.
func (e *Entry) Serving() error {
	p := e.sharedState.Load()
	switch {
	case p.bootstrap || !p.caughtUp:
		return code.New(code.NotReady, "no configuration is in force here")
	case !p.serving:
		return code.New(code.Isolated, "this entry VM reaches neither the log nor enough of its peers")
	}
	return nil
}

// Lookup runs a lookup and returns its final result.
func (e *Entry) Lookup(ctx context.Context, req *AuthenticatedLookup) LookupResult {
	l := newLookup(ctx, req, false)
	e.post(lookupReceived{l})
	select {
	case out := <-l.reply:
		return out
	case <-e.done:
		return resultAtShutdown(l)
	}
}

// resultAtShutdown returns the result that was sent just before the control
// goroutine exited. Without one the lookup may have run.
func resultAtShutdown(l *lookup) LookupResult {
	select {
	case out := <-l.reply:
		return out
	default:
		return LookupResult{Code: code.MayHaveRun, Detail: errStopped.Error()}
	}
}

// Accept appends a job to the log and, if req.Wait is positive, waits for the
// job to end.
func (e *Entry) Accept(ctx context.Context, req *AuthenticatedJob) api.Answer {
	m := jobReceived{req, make(chan api.Answer, 1)}
	e.post(m)
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	var a api.Answer
	select {
	case a = <-m.reply:
	case <-timer.C:
		return api.NewAnswer(code.AcceptUnknown, "the log has not answered in time")
	case <-ctx.Done():
		return api.NewAnswer(code.AcceptUnknown, "the caller has gone")
	case <-e.done:
		return api.NewAnswer(code.AcceptUnknown, errStopped.Error())
	}
	if a.Code != code.Accepted || req.Wait <= 0 {
		return a
	}
	return e.Status(ctx, req.Team, a.Job, req.Wait)
}

func (m lookupReceived) handle(c *control) {
	if c.stopping && !m.l.forwarded && c.forward(m.l) {
		return
	}
	if c.stopping {
		m.l.answer(LookupResult{Code: code.NotReady, Detail: "this entry VM is stopping", RetryAfter: retryAfterBusy})
		return
	}
	c.enqueue(m.l)
}

func (m jobReceived) handle(c *control) {
	switch {
	case c.stopping:
		m.reply <- retryLater(code.NotReady, "this entry VM is stopping", retryAfterBusy)
	case !c.joined:
		m.reply <- retryLater(code.LogDown, notJoined, retryAfterLog)
	case c.e.appender.Down():
		m.reply <- retryLater(code.LogDown, "the log takes no records", retryAfterLog)
	default:
		c.acceptJob(m)
	}
}

func (c *control) acceptJob(m jobReceived) {
	r := c.newRecord()
	r.Accept = &ledger.Accept{
		Job: newJobID(), Team: m.job.Team, KeyName: m.job.KeyName,
		Spec: m.job.Spec, Version: m.job.Version, UnknownCapacities: c.countUnknownCapacity(),
	}
	c.submit(r, true, func(_ int64, result ledger.ApplyResult) {
		m.reply <- acceptAnswer(result)
	})
}

// countUnknownCapacity returns the number of listed workers whose capacity is
// not in the log yet because no entry VM has claimed them. Before the VM list
// has been read, it assumes that there is at least one.
func (c *control) countUnknownCapacity() int {
	if len(c.listedVMs) == 0 {
		return 1
	}
	n := 0
	for _, vm := range c.listedVMs {
		if vm.Role == platform.WorkerRole && !vm.Leaving && c.state.Workers[vm.ID] == nil {
			n++
		}
	}
	return n
}

func acceptAnswer(result ledger.ApplyResult) api.Answer {
	switch result.Code {
	case code.OK:
		a := api.NewAnswer(code.Accepted, "")
		a.Job = result.Job
		return a
	case code.LogDown:
		return retryLater(code.LogDown, result.Detail, retryAfterLog)
	case code.QueueFull:
		return retryLater(code.QueueFull, result.Detail, retryAfterBusy)
	}
	return api.NewAnswer(result.Code, result.Detail)
}

func retryLater(c code.Code, detail string, after time.Duration) api.Answer {
	a := api.NewAnswer(c, detail)
	a.RetryAfterMs = after.Milliseconds()
	return a
}

// lookupForPeer serves a lookup that a peer forwarded. It verifies the API key
// again.
func (e *Entry) lookupForPeer(ctx context.Context, r *peer.LookupRequest) (*peer.LookupReply, error) {
	id, _, known := e.Identify(r.Key)
	if !known || id.Operator {
		return lookupReply(r, LookupResult{Code: code.Unauthenticated, Detail: "the key is not granted"}), nil
	}
	if err := e.Serving(); err != nil {
		c, detail := code.Of(err)
		return lookupReply(r, LookupResult{Code: c, Detail: detail}), nil
	}
	req := &AuthenticatedLookup{
		RequestID: r.RequestID, Team: id.Team, Key: r.Key, Size: r.Size,
		ExpectedRun: r.ExpectedRun, Deadline: time.Now().Add(r.Left), Payload: r.Payload,
	}
	l := newLookup(ctx, req, true)
	e.post(lookupReceived{l})
	select {
	case out := <-l.reply:
		return lookupReply(r, out), nil
	case <-ctx.Done():
		return nil, Class.Wrap(ctx.Err())
	case <-e.done:
		return lookupReply(r, resultAtShutdown(l)), nil
	}
}

func lookupReply(r *peer.LookupRequest, out LookupResult) *peer.LookupReply {
	return &peer.LookupReply{
		RequestID: r.RequestID, Code: out.Code, Detail: out.Detail,
		Data: out.Data, Digest: out.Digest, RetryAfter: out.RetryAfter,
	}
}

// PeerHandler returns the handler for requests from other entry VMs.
func (e *Entry) PeerHandler() peer.Handler {
	return peerHandler{e}
}

// Lookup implements peer.Handler.
func (h peerHandler) Lookup(ctx context.Context, r *peer.LookupRequest) (*peer.LookupReply, error) {
	return h.lookupForPeer(ctx, r)
}
