package fleet

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollendock.example/cell/site"
	"pollendock.example/platform"
)

type (
	// Advisor simulates the platform's advisor, which decides which workers may
	// run a step. It serves one call at a time for each calling VM.
	Advisor struct {
		terms func(jobID string) AdviceTerms
		// maxWaiting is the number of calls of a VM that may wait, 0 for no limit.
		maxWaiting int
		// boot returns the incarnation of a worker; nil if tickets don't depend on it.
		boot func(worker string) int64

		mu      sync.Mutex
		sems    map[string]chan struct{}
		waiting map[string]int
		calls   int
		// resumed is closed when the advisor answers again; nil if it isn't silent.
		resumed chan struct{}
	}

	// AdviceTerms are the terms on which the advisor serves the queue of a job.
	AdviceTerms struct {
		site.Advice
		// Good is the fraction of workers that may run a step, from 0 to 1.
		Good float64
	}

	// VMAdvisor serves the calls of one VM.
	VMAdvisor struct {
		advisor *Advisor
		vm      string
	}
)

const (
	// drawResolution is the number of distinct values of a draw.
	drawResolution = 1000
	// maxWaitingCalls is the number of calls of a VM that may wait at the platform's advisor.
	maxWaitingCalls = 32
)

// NewAdvisor returns an advisor that takes the time given in advice for a call
// and allows the fraction good of the workers.
func NewAdvisor(advice site.Advice, good float64) *Advisor {
	terms := AdviceTerms{Advice: advice, Good: good}
	return &Advisor{
		terms: func(string) AdviceTerms { return terms },
		sems:  map[string]chan struct{}{}, waiting: map[string]int{},
	}
}

// NewAdvisorOf returns an advisor of several queues for the workers of the fleet. A ticket holds
// for one incarnation of a worker, see CheckTickets.
func NewAdvisorOf(f *Fleet, terms func(jobID string) AdviceTerms) *Advisor {
	return &Advisor{
		terms: terms, maxWaiting: maxWaitingCalls, boot: f.bootOf,
		sems: map[string]chan struct{}{}, waiting: map[string]int{},
	}
}

// For returns the advisor as the given VM calls it.
func (a *Advisor) For(vm string) *VMAdvisor {
	return &VMAdvisor{a, vm}
}

// Advise implements platform.AdviceService.
func (v *VMAdvisor) Advise(ctx context.Context, jobID string, step int, workers []string) ([]site.Ticket, error) {
	return v.advisor.Advise(ctx, v.vm, jobID, step, workers)
}

// SetSilent makes calls hang, or answers them again.
func (a *Advisor) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case silent && a.resumed == nil:
		a.resumed = make(chan struct{})
	case !silent && a.resumed != nil:
		close(a.resumed)
		a.resumed = nil
	}
}

// Advise serves a call that was made through the given VM.
func (a *Advisor) Advise(ctx context.Context, vm, jobID string, step int, workers []string) ([]site.Ticket, error) {
	sem, err := a.enter(vm)
	if err != nil {
		return nil, err
	}
	err = a.serve(ctx, sem, a.terms(jobID).callTime(len(workers)))
	a.leave(vm)
	if err != nil {
		return nil, err
	}
	var tickets []site.Ticket
	for _, id := range workers {
		if a.Allows(jobID, step, id) {
			tickets = append(tickets, site.Ticket{Upstream: id, Ticket: a.ticket(jobID, step, id)})
		}
	}
	return tickets, nil
}

// serve waits for the VM's turn and takes the time of a call.
func (a *Advisor) serve(ctx context.Context, sem chan struct{}, callTime time.Duration) error {
	select {
	case sem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-sem }()
	select {
	case <-time.After(callTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-a.answering():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t AdviceTerms) callTime(workers int) time.Duration {
	return t.Base + time.Duration(workers)*t.PerUpstream
}

// answering returns a channel that is closed unless the advisor is silent.
func (a *Advisor) answering() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.resumed != nil {
		return a.resumed
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// ticket issues a ticket. Its text says for what and until when it holds.
func (a *Advisor) ticket(jobID string, step int, worker string) string {
	until := time.Now().Add(a.terms(jobID).TicketLifetime)
	boot := int64(0)
	if a.boot != nil {
		boot = a.boot(worker)
	}
	return ticketPrefix(jobID, step, worker, boot) + strconv.FormatInt(until.UnixMicro(), 10)
}

func ticketPrefix(jobID string, step int, worker string, boot int64) string {
	return fmt.Sprintf("%s.%d at %s of %d until ", jobID, step, worker, boot)
}

// ticketHolds reports whether a ticket was issued for the step and the incarnation of the worker
// and has not expired.
func ticketHolds(ticket, jobID string, step int, worker string, boot int64) bool {
	text, found := strings.CutPrefix(ticket, ticketPrefix(jobID, step, worker, boot))
	if !found {
		return false
	}
	until, err := strconv.ParseInt(text, 10, 64)
	return err == nil && time.Now().Before(time.UnixMicro(until))
}

// Calls returns the number of calls so far.
func (a *Advisor) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// enter counts a call of a VM and returns the semaphore of the VM.
func (a *Advisor) enter(vm string) (chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// One call is served, the others wait.
	if a.maxWaiting > 0 && a.waiting[vm] > a.maxWaiting {
		return nil, platform.ErrAdvisorBusy
	}
	a.calls++
	a.waiting[vm]++
	if a.sems[vm] == nil {
		a.sems[vm] = make(chan struct{}, 1)
	}
	return a.sems[vm], nil
}

func (a *Advisor) leave(vm string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[vm]--
}

// Allows decides by a hash whether a worker may run a step, so that the result
// is always the same.
func (a *Advisor) Allows(jobID string, step int, worker string) bool {
	drawn := xxhash.Sum64String(fmt.Sprint(jobID, step, worker)) % drawResolution
	return float64(drawn) < a.terms(jobID).Good*drawResolution
}
