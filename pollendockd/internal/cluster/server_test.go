package cluster

import (
	"context"
	"testing"

	"pollendock.example/cell/code"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/scheduler"
)

// brokenHandler panics.
type brokenHandler struct {
	fakeHandler
}

func (h *brokenHandler) SubmitLocal(context.Context, site.Address, *job.Submission) error {
	panic("unexpected")
}

// TestMalformedCalls: one malformed call of another VM, or a panic while handling one,
// used to end the whole process. It is answered with an error, and the process continues.
func TestMalformedCalls(t *testing.T) {
	p := newPair(t)
	member := p.peers.memberByIncarnation("b/1")
	client := p.peers.client(member, forRequests)
	var out Outcome
	if err := client.Call(t.Context(), "Submit", &Request{}, &out); err != nil || out.Code != code.BadRequest {
		t.Errorf("a submission without a job: code %d, %v", out.Code, err)
	}
	if err := client.Call(t.Context(), "Advise", &scheduler.AdviceQuery{}, &AdviceReply{}); err == nil {
		t.Error("a query without an advisor has no error")
	}
	if err := client.Call(t.Context(), "Answers", &AnswersRequest{}, &AnswersReply{}); err == nil {
		t.Error("a request for answers without an advisor has no error")
	}
	if err := client.Call(t.Context(), "Offer", &OfferRequest{Relay: true}, &OfferReply{}); err == nil {
		t.Error("an offer without records has no error")
	}
	if _, _, err := p.peers.Status(t.Context(), site.Address{}, 0); err != nil {
		t.Errorf("afterwards: %v", err)
	}
	broken := newPairOf(t, &brokenHandler{})
	draft := &job.Submission{Spec: "x", Steps: []job.Step{{Count: 1}}}
	if _, err := broken.peers.Submit(t.Context(), site.Address{}, draft, 0); !site.ErrUnknown.Has(err) {
		t.Errorf("a panic gives %v", err)
	}
	if _, _, err := broken.peers.Status(t.Context(), site.Address{}, 0); err != nil {
		t.Errorf("after a panic: %v", err)
	}
}
