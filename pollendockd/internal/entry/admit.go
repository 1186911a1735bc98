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
	// LookupOrder is a lookup that was received and authenticated.
	LookupOrder struct {
		RequestID   string
		Team        string
		Key         string
		Size        resource.Vector
		ExpectedRun time.Duration
		Deadline    time.Time
		Payload     string
	}

	// Outcome is the final answer to a lookup.
	Outcome struct {
		Code       code.Code
		Detail     string
		Data       string
		Digest     string
		RetryAfter time.Duration
	}

	// JobOrder is durable work that was received and authenticated.
	JobOrder struct {
		RequestID string
		Team      string
		KeyName   string
		Version   int64
		Spec      ledger.Spec
		// Wait is how long the answer may wait for the end of the job.
		Wait time.Duration
	}

	// lookupArrived hands a lookup to the control goroutine.
	lookupArrived struct {
		l *lookup
	}

	// peerFace is an Entry as its peers see it, since Entry.Lookup serves callers.
	peerFace struct{ *Entry }

	// jobArrived hands a job to the control goroutine.
	jobArrived struct {
		order *JobOrder
		reply chan api.Answer
	}
)

const (
	// acceptMargin is how long the caller of durable work waits for the log.
	acceptMargin = 5 * time.Second
	// bootstrapName is the key name of the bootstrap key in the history.
	bootstrapName = "bootstrap"
)

var (
	// Class wraps the errors of this package.
	Class = errs.Class("entry")

	errStopped   = Class.New("the entry VM was stopped")
	errOtherCell = Class.New("the caller belongs to another cell")
)

// Identify returns the owner of a key by the configuration in force here.
func (e *Entry) Identify(key string) (config.Identity, int64, bool) {
	p := e.published.Load()
	if p.bootstrap && e.opt.BootstrapHash != "" && config.HashKey(key) == e.opt.BootstrapHash {
		return config.Identity{KeyName: bootstrapName, Operator: true}, 0, true
	}
	id, ok := p.document.Identify(key)
	return id, p.number, ok
}

// Ready reports whether the balancer may send requests here.
func (e *Entry) Ready() bool {
	return e.published.Load().ready
}

// Serving returns an error with a code if no new work may be taken.
func (e *Entry) Serving() error {
	p := e.published.Load()
	switch {
	case p.bootstrap || !p.caughtUp:
		return code.New(code.NotReady, "no configuration is in force here")
	case !p.serving:
		return code.New(code.Isolated, "this entry VM reaches neither the log nor enough of its peers")
	}
	return nil
}

// Lookup runs a lookup to its final answer.
func (e *Entry) Lookup(ctx context.Context, o *LookupOrder) Outcome {
	l := newLookup(ctx, o, false)
	e.post(lookupArrived{l})
	select {
	case out := <-l.reply:
		return out
	case <-e.done:
		return lastWord(l)
	}
}

// lastWord returns the answer that was given just before the control goroutine
// ended, if any.
func lastWord(l *lookup) Outcome {
	select {
	case out := <-l.reply:
		return out
	default:
		return Outcome{Code: code.MayHaveRun, Detail: errStopped.Error()}
	}
}

// Accept makes durable work durable, and waits for its end if asked to.
func (e *Entry) Accept(ctx context.Context, o *JobOrder) api.Answer {
	m := jobArrived{o, make(chan api.Answer, 1)}
	e.post(m)
	timer := time.NewTimer(acceptMargin)
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
	if a.Code != code.Accepted || o.Wait <= 0 {
		return a
	}
	return e.Status(ctx, o.Team, a.Job, o.Wait)
}

func (m lookupArrived) handle(c *control) {
	if c.stopping && !m.l.forwarded && c.forward(m.l) {
		return
	}
	if c.stopping {
		m.l.answer(Outcome{Code: code.NotReady, Detail: "this entry VM is stopping", RetryAfter: retryAfterBusy})
		return
	}
	c.enqueue(m.l)
}

func (m jobArrived) handle(c *control) {
	switch {
	case c.stopping:
		m.reply <- retryLater(code.NotReady, "this entry VM is stopping", retryAfterBusy)
	case !c.joined:
		m.reply <- retryLater(code.LogDown, "this entry VM has not joined through the log yet", retryAfterLog)
	case c.e.appender.Down():
		m.reply <- retryLater(code.LogDown, "the log takes no records", retryAfterLog)
	default:
		c.acceptJob(m)
	}
}

func (c *control) acceptJob(m jobArrived) {
	r := c.newRecord()
	r.Accept = &ledger.Accept{
		Job: newJobID(), Team: m.order.Team, KeyName: m.order.KeyName,
		Spec: m.order.Spec, Version: m.order.Version, UnknownCapacities: c.unsized(),
	}
	c.submit(r, true, func(_ int64, effect ledger.ApplyResult) {
		m.reply <- acceptAnswer(effect)
	})
}

// unsized counts the listed workers that no home has recorded yet. A VM that
// has not read the list knows of at least one that it can't name.
func (c *control) unsized() int {
	if len(c.listed) == 0 {
		return 1
	}
	n := 0
	for _, vm := range c.listed {
		if vm.Role == platform.WorkerRole && !vm.Leaving && c.state.Workers[vm.ID] == nil {
			n++
		}
	}
	return n
}

func acceptAnswer(effect ledger.ApplyResult) api.Answer {
	switch effect.Code {
	case code.OK:
		a := api.NewAnswer(code.Accepted, "")
		a.Job = effect.Job
		return a
	case code.LogDown:
		return retryLater(code.LogDown, effect.Detail, retryAfterLog)
	case code.QueueFull:
		return retryLater(code.QueueFull, effect.Detail, retryAfterBusy)
	}
	return api.NewAnswer(effect.Code, effect.Detail)
}

func retryLater(c code.Code, detail string, after time.Duration) api.Answer {
	a := api.NewAnswer(c, detail)
	a.RetryAfterMs = after.Milliseconds()
	return a
}

// forwarded serves a lookup that a peer passed on. The key is checked again.
func (e *Entry) forwarded(ctx context.Context, r *peer.LookupRequest) (*peer.LookupReply, error) {
	id, _, known := e.Identify(r.Key)
	if !known || id.Operator {
		return lookupReply(r, Outcome{Code: code.Unauthenticated, Detail: "the key is not granted"}), nil
	}
	if err := e.Serving(); err != nil {
		c, detail := code.Of(err)
		return lookupReply(r, Outcome{Code: c, Detail: detail}), nil
	}
	o := &LookupOrder{
		RequestID: r.RequestID, Team: id.Team, Key: r.Key, Size: r.Size,
		ExpectedRun: r.ExpectedRun, Deadline: time.Now().Add(r.Left), Payload: r.Payload,
	}
	l := newLookup(ctx, o, true)
	e.post(lookupArrived{l})
	select {
	case out := <-l.reply:
		return lookupReply(r, out), nil
	case <-ctx.Done():
		return nil, Class.Wrap(ctx.Err())
	case <-e.done:
		return lookupReply(r, lastWord(l)), nil
	}
}

func lookupReply(r *peer.LookupRequest, out Outcome) *peer.LookupReply {
	return &peer.LookupReply{
		RequestID: r.RequestID, Code: out.Code, Detail: out.Detail,
		Data: out.Data, Digest: out.Digest, RetryAfter: out.RetryAfter,
	}
}

// PeerHandler returns the Entry as its peers see it.
func (e *Entry) PeerHandler() peer.Handler {
	return peerFace{e}
}

// Lookup implements peer.Handler.
func (f peerFace) Lookup(ctx context.Context, r *peer.LookupRequest) (*peer.LookupReply, error) {
	return f.forwarded(ctx, r)
}
