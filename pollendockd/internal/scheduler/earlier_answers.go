package scheduler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/advice"
)

// earlierAnswers is what a VM keeps of the answers to queries, of earlier terms too.
type earlierAnswers struct {
	l       *leadership
	through string
	steps   []advice.StepAnswers
	err     error
}

// gatherTimeout limits the time for a VM to return what it keeps.
const gatherTimeout = 2 * time.Second

// gatherAnswers asks each VM what the advisor has answered through it: which workers a step may
// run on lasts longer than a term. What a VM does not return has to be queried again.
func (l *leadership) gatherAnswers() {
	if l.s.deps.Advisor == nil {
		return
	}
	for name := range l.s.deps.View.Members() {
		l.spawn(func(ctx context.Context) event {
			ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
			defer cancel()
			steps, err := l.s.deps.Advisor.Answers(ctx, name)
			return earlierAnswers{l, name, steps, err}
		})
	}
}

func (e earlierAnswers) handle(s *Scheduler) {
	l := e.l
	if !l.current() {
		return
	}
	if e.err != nil {
		_ = level.Info(s.deps.Logger).Log("msg", "no earlier answers of the advisor", "through", e.through, "err", e.err)
		return
	}
	steps, workers := 0, 0
	for i := range e.steps {
		kept := &e.steps[i]
		tj := l.jobs[kept.Job]
		if tj == nil || tj.state.Phase.Final() || kept.Step < 0 || kept.Step >= len(tj.advice) {
			continue
		}
		if n := tj.adviceOf(kept.Step).inherit(kept); n > 0 {
			steps++
			workers += n
		}
	}
	if workers == 0 {
		return
	}
	l.placeNeeded = true
	_ = level.Info(s.deps.Logger).Log("msg", "earlier answers of the advisor", "through", e.through, "steps", steps, "workers", workers,
		"termAgeMs", time.Since(l.startedAt).Milliseconds())
}

// inherit adds earlier answers for workers of which nothing is known, and returns for how many.
// Those that may run the step need a new ticket.
func (a *stepAdvice) inherit(kept *advice.StepAnswers) int {
	before := len(a.tickets) + len(a.refused)
	for _, id := range kept.Allowed {
		if _, known := a.tickets[id]; !known && !a.refused[id] {
			a.tickets[id] = ticket{}
		}
	}
	for _, id := range kept.Refused {
		if _, known := a.tickets[id]; !known {
			a.refused[id] = true
		}
	}
	return len(a.tickets) + len(a.refused) - before
}
