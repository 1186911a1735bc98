package cluster

import (
	"context"
	"errors"
	"slices"
	"testing"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// fakeAdvisor allows the first worker of each query, or fails.
type fakeAdvisor struct {
	err error
}

func (a *fakeAdvisor) Advise(_ context.Context, _ string, _ int, workers []string) ([]site.Ticket, error) {
	return []site.Ticket{{Upstream: workers[0], Ticket: "t"}}, a.err
}

// TestAnswersOfAdvisorAreKept checks that a VM keeps answers, and nothing of queries that fail.
func TestAnswersOfAdvisorAreKept(t *testing.T) {
	advisor := &fakeAdvisor{}
	a := KeepAnswers(advisor, job.NewView())
	if _, err := a.Advise(t.Context(), "j", 1, []string{"w1", "w2"}); err != nil {
		t.Fatal(err)
	}
	advisor.err = errors.New("no answer")
	if _, err := a.Advise(t.Context(), "failed", 0, []string{"w1"}); err == nil {
		t.Error("a query that fails has no error")
	}
	s := &Server{advisor: a}
	var reply AnswersReply
	if err := s.Answers(&AnswersRequest{}, &reply); err != nil {
		t.Fatal(err)
	}
	if len(reply.Steps) != 1 {
		t.Fatalf("%+v, want the answers for one step", reply.Steps)
	}
	got := reply.Steps[0]
	if got.Job != "j" || got.Step != 1 || !slices.Equal(got.Allowed, []string{"w1"}) || !slices.Equal(got.Refused, []string{"w2"}) {
		t.Errorf("%+v", got)
	}
}

// TestAnswersOfPeer checks that a VM that keeps no answers, as those of earlier versions, returns an
// error.
func TestAnswersOfPeer(t *testing.T) {
	p := newPair(t)
	for _, name := range []string{"b", "unknown"} {
		if steps, err := p.peers.Answers(t.Context(), name); err == nil {
			t.Errorf("%s: %v and no error", name, steps)
		}
	}
}
