package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollendock.example/cell/site"
)

type (
	// Advisor says which workers may run a step. It serves the calls of each
	// calling VM in turn.
	Advisor struct {
		advice site.Advice
		// good is the part of workers that may run a step, from 0 to 1.
		good float64

		mu    sync.Mutex
		turns map[string]chan struct{}
		calls int
	}
)

// goodSteps is the fineness with which workers are drawn.
const goodSteps = 1000

// NewAdvisor returns an advisor that takes as long as the advice says, and
// allows a part of the workers.
func NewAdvisor(advice site.Advice, good float64) *Advisor {
	return &Advisor{advice: advice, good: good, turns: map[string]chan struct{}{}}
}

// Advise answers a query that came by way of a VM.
func (a *Advisor) Advise(ctx context.Context, through, jobID string, step int, workers []string) ([]site.Ticket, error) {
	turn := a.turn(through)
	select {
	case turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-turn }()
	select {
	case <-time.After(a.advice.Base + time.Duration(len(workers))*a.advice.PerUpstream):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var tickets []site.Ticket
	for _, id := range workers {
		if a.allows(jobID, step, id) {
			tickets = append(tickets, site.Ticket{Upstream: id, Ticket: fmt.Sprintf("%s.%d at %s", jobID, step, id)})
		}
	}
	return tickets, nil
}

// Calls returns the number of queries so far.
func (a *Advisor) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func (a *Advisor) turn(through string) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if a.turns[through] == nil {
		a.turns[through] = make(chan struct{}, 1)
	}
	return a.turns[through]
}

// allows draws the workers of a step, always the same ones.
func (a *Advisor) allows(jobID string, step int, worker string) bool {
	drawn := xxhash.Sum64String(fmt.Sprint(jobID, step, worker)) % goodSteps
	return float64(drawn) < a.good*goodSteps
}
