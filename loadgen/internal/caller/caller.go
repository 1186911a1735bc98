// Package caller sends orders in open loop, as many callers behind the
// platform's balancer would.
package caller

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/loadgen/internal/rehearsal"
)

type (
	// Try is one request of an order. An order whose connection was cut is
	// repeated, as a caller would.
	Try struct {
		Tag    string
		Sent   time.Time
		Took   time.Duration
		Answer *api.Answer
		// Err is set if no whole answer came.
		Err error
	}

	// Story is everything that happened to one order.
	Story struct {
		Arrival *rehearsal.Arrival
		Tries   []Try
		// Final is the last answer, nil if none came in time.
		Final *api.Answer
	}

	// Fleet sends orders to whichever entry VM is ready.
	Fleet struct {
		balancer *balancer
		http     *http.Client
	}
)

const (
	maxTries      = 8
	retryPause    = 200 * time.Millisecond
	pollWait      = 5 * time.Second
	answerMargin  = 2 * time.Second
	defaultBudget = 10 * time.Second
	maxConns      = 512
)

// NewFleet returns a fleet in front of the entry VMs at the base URLs.
func NewFleet(entries []string) *Fleet {
	t := &http.Transport{MaxIdleConnsPerHost: maxConns, MaxIdleConns: 0}
	hc := &http.Client{Transport: t}
	return &Fleet{balancer: newBalancer(entries, hc), http: hc}
}

// Run sends every order of the mix at its time and returns the stories. It
// waits for durable work until grace after the last order.
func (f *Fleet) Run(ctx context.Context, mix *rehearsal.Mix, grace time.Duration) []*Story {
	go f.balancer.watch(ctx)
	f.balancer.awaitReady(ctx)
	stories := make([]*Story, len(mix.Orders))
	start := time.Now()
	last := time.Duration(0)
	if n := len(mix.Orders); n > 0 {
		last = mix.Orders[n-1].At
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(last+grace))
	defer cancel()
	var wg sync.WaitGroup
	for i := range mix.Orders {
		o := &mix.Orders[i]
		stories[i] = &Story{Arrival: o}
		select {
		case <-time.After(time.Until(start.Add(o.At))):
		case <-ctx.Done():
		}
		wg.Go(func() { f.play(ctx, stories[i]) })
	}
	wg.Wait()
	return stories
}

func (f *Fleet) play(ctx context.Context, s *Story) {
	if s.Arrival.Request.Kind == config.Lookup {
		f.lookup(ctx, s)
		return
	}
	f.durable(ctx, s)
}

// lookup repeats a lookup whose connection was cut. Each try has a tag of its
// own, so that the runs at the workers can be told apart.
func (f *Fleet) lookup(ctx context.Context, s *Story) {
	for n := range maxTries {
		tag := fmt.Sprintf("%s.%d", s.Arrival.Tag, n)
		r := s.Arrival.Request
		r.Payload = s.Arrival.PayloadFor(tag)
		budget := time.Duration(r.DeadlineMs) * time.Millisecond
		if s.attempt(ctx, f.client(s.Arrival.Team), tag, &r, budget+answerMargin) {
			return
		}
		pause(ctx, retryPause)
	}
}

// durable submits with an idempotency key, repeats until the answer is known,
// and then waits for the end of the job through any entry VM.
func (f *Fleet) durable(ctx context.Context, s *Story) {
	r := s.Arrival.Request
	r.Payload = s.Arrival.PayloadFor(s.Arrival.Tag)
	r.IdempotencyKey = s.Arrival.Tag
	r.IssuedAt = time.Now()
	for ctx.Err() == nil {
		if s.attempt(ctx, f.client(s.Arrival.Team), s.Arrival.Tag, &r, defaultBudget) && !retryable(s.Final.Code) {
			break
		}
		pause(ctx, s.comeBack())
	}
	if s.Final == nil || s.Final.Code != code.Accepted || r.Kind == config.Service {
		return
	}
	f.follow(ctx, s)
}

// follow asks for the job's state until it has ended.
func (f *Fleet) follow(ctx context.Context, s *Story) {
	job := s.Final.Job
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, pollWait+answerMargin)
		a, err := f.client(s.Arrival.Team).Status(callCtx, job, pollWait)
		cancel()
		if err == nil && a.Job == job {
			s.Final = a
			if a.Code != code.Accepted {
				return
			}
			continue
		}
		pause(ctx, retryPause)
	}
}

// retryable reports whether the caller of durable work asks again.
func retryable(c code.Code) bool {
	switch c {
	case code.LogDown, code.NotReady, code.Isolated, code.AcceptUnknown, code.QueueFull:
		return true
	}
	return false
}

// comeBack is when the caller asks again.
func (s *Story) comeBack() time.Duration {
	if s.Final == nil || s.Final.RetryAfterMs == 0 {
		return retryPause
	}
	return time.Duration(s.Final.RetryAfterMs) * time.Millisecond
}

// attempt sends one request; true if a whole answer came.
func (s *Story) attempt(ctx context.Context, client *api.Client, tag string, r *api.SubmitRequest, budget time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	t := Try{Tag: tag, Sent: time.Now()}
	t.Answer, t.Err = client.Submit(ctx, r)
	t.Took = time.Since(t.Sent)
	s.Tries = append(s.Tries, t)
	if t.Err != nil {
		return false
	}
	s.Final = t.Answer
	return true
}

func (f *Fleet) client(team string) *api.Client {
	return api.NewClient(f.balancer.pick(), rehearsal.Key(team), f.http)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
