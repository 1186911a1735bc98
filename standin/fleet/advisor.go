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
	// Advisor simulates the platform's advisor, which decides which workers may
	// run a step. It serves one call at a time for each calling VM.
	Advisor struct {
		advice site.Advice
		// good is the fraction of workers that may run a step, from 0 to 1.
		good float64

		mu    sync.Mutex
		sems  map[string]chan struct{}
		calls int
	}
)

// drawResolution is the number of distinct values of a draw.
const drawResolution = 1000

// NewAdvisor returns an advisor that takes the time given in advice for a call
// and allows the fraction good of the workers.
func NewAdvisor(advice site.Advice, good float64) *Advisor {
	return &Advisor{advice: advice, good: good, sems: map[string]chan struct{}{}}
}

// Advise serves a call that was made through the given VM.
func (a *Advisor) Advise(ctx context.Context, vm, jobID string, step int, workers []string) ([]site.Ticket, error) {
	sem := a.sem(vm)
	select {
	case sem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-sem }()
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

// Calls returns the number of calls so far.
func (a *Advisor) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// sem returns the semaphore of a calling VM and counts the call.
func (a *Advisor) sem(vm string) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if a.sems[vm] == nil {
		a.sems[vm] = make(chan struct{}, 1)
	}
	return a.sems[vm]
}

// allows decides by a hash whether a worker may run a step, so that the result
// is always the same.
func (a *Advisor) allows(jobID string, step int, worker string) bool {
	drawn := xxhash.Sum64String(fmt.Sprint(jobID, step, worker)) % drawResolution
	return float64(drawn) < a.good*drawResolution
}
