package cluster

import (
	"context"
	"sync"
	"time"

	"pollendock.example/cell/advice"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// AnsweringAdvisor calls the advisor from this VM and keeps its answers for later leaders.
	AnsweringAdvisor struct {
		advisor Advisor
		// ended reports whether a job has ended, as far as this VM knows.
		ended func(job string) bool

		mu      sync.Mutex
		answers *advice.Answers
	}

	// AnswersRequest asks for what the advisor has answered through a VM.
	AnswersRequest struct{}

	// AnswersReply is the reply to an AnswersRequest.
	AnswersReply struct {
		Steps []advice.StepAnswers
	}
)

// KeepAnswers returns an advisor that keeps the answers of another one, for the jobs in the view
// that have not ended.
func KeepAnswers(a Advisor, view *job.View) *AnsweringAdvisor {
	ended := func(id string) bool {
		j := view.Job(id)
		return j != nil && j.Phase().Final()
	}
	return &AnsweringAdvisor{advisor: a, ended: ended, answers: advice.NewAnswers()}
}

// Advise queries the advisor.
func (a *AnsweringAdvisor) Advise(ctx context.Context, jobID string, step int, workers []string) ([]site.Ticket, error) {
	tickets, err := a.advisor.Advise(ctx, jobID, step, workers)
	if err != nil {
		return nil, err
	}
	allowed := make([]string, 0, len(tickets))
	for i := range tickets {
		allowed = append(allowed, tickets[i].Upstream)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers.Add(time.Now(), jobID, step, workers, allowed)
	return tickets, nil
}

// Answers returns what is kept.
func (a *AnsweringAdvisor) Answers() []advice.StepAnswers {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers.DropEnded(a.ended)
	return a.answers.List(time.Now())
}

// Answers serves a new leader.
func (s *Server) Answers(_ *AnswersRequest, reply *AnswersReply) (err error) {
	defer s.recoverPanic("Answers", &err)
	if s.advisor == nil {
		return errNoAdvisor
	}
	reply.Steps = s.advisor.Answers()
	return nil
}

// Answers returns what the advisor has answered through the VM of that name. VMs of earlier
// versions return an error.
func (p *Peers) Answers(ctx context.Context, through string) ([]advice.StepAnswers, error) {
	if through == p.name {
		return p.advisor.Answers(), nil
	}
	m, isMember := p.view.Members()[through]
	if !isMember {
		return nil, peer.NotSent.New("%s is no longer a member", through)
	}
	var reply AnswersReply
	err := p.client(&m, forAnswers).Call(ctx, "Answers", &AnswersRequest{}, &reply)
	return reply.Steps, err
}
