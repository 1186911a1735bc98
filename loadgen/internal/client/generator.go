// Package client sends the requests of a mix in an open loop, as many
// independent callers behind the platform's load balancer would.
package client

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/loadgen/internal/workload"
)

type (
	// Attempt is one HTTP request of a call. As a real caller would, a call is
	// retried when its connection breaks.
	Attempt struct {
		Tag     string
		Sent    time.Time
		Latency time.Duration
		Answer  *api.Answer
		// Err is set if no complete answer was received.
		Err error
	}

	// Call records what happened to one arrival.
	Call struct {
		Arrival  *workload.Arrival
		Attempts []Attempt
		// Final is the last answer; nil if none was received in time.
		Final *api.Answer
	}

	// Generator sends requests to the entry VMs that are ready.
	Generator struct {
		balancer *balancer
		http     *http.Client
	}
)

const (
	maxAttempts          = 8
	defaultRetryDelay    = 200 * time.Millisecond
	longPollWait         = 5 * time.Second
	timeoutMargin        = 2 * time.Second
	submitTimeout        = 10 * time.Second
	maxIdleConnsPerEntry = 512
)

// NewGenerator returns a generator for the entry VMs at the given base URLs.
func NewGenerator(entries []string) *Generator {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry, MaxIdleConns: 0}
	hc := &http.Client{Transport: t}
	return &Generator{balancer: newBalancer(entries, hc), http: hc}
}

// Run sends every request of the mix at its time of arrival and returns all
// calls. It waits for durable work to end, until grace after the last arrival.
func (g *Generator) Run(ctx context.Context, mix *workload.Mix, grace time.Duration) []*Call {
	go g.balancer.run(ctx)
	g.balancer.waitReady(ctx)
	calls := make([]*Call, len(mix.Orders))
	start := time.Now()
	last := time.Duration(0)
	if n := len(mix.Orders); n > 0 {
		last = mix.Orders[n-1].At
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(last+grace))
	defer cancel()
	var wg sync.WaitGroup
	for i := range mix.Orders {
		a := &mix.Orders[i]
		calls[i] = &Call{Arrival: a}
		select {
		case <-time.After(time.Until(start.Add(a.At))):
		case <-ctx.Done():
		}
		wg.Go(func() { g.runCall(ctx, calls[i]) })
	}
	wg.Wait()
	return calls
}

func (g *Generator) runCall(ctx context.Context, c *Call) {
	if c.Arrival.Request.Kind == config.Lookup {
		g.runLookup(ctx, c)
		return
	}
	g.runDurable(ctx, c)
}

// runLookup retries a lookup whose connection breaks. Each attempt has its own
// tag, so that the runs at the workers can be told apart.
func (g *Generator) runLookup(ctx context.Context, c *Call) {
	for n := range maxAttempts {
		tag := fmt.Sprintf("%s.%d", c.Arrival.Tag, n)
		r := c.Arrival.Request
		r.Payload = c.Arrival.PayloadFor(tag)
		timeout := time.Duration(r.DeadlineMs) * time.Millisecond
		if c.send(ctx, g.clientFor(c.Arrival.Team), tag, &r, timeout+timeoutMargin) {
			return
		}
		sleep(ctx, defaultRetryDelay)
	}
}

// runDurable submits a job with an idempotency key, retries until the answer is
// known, and then waits through any entry VM until the job has ended. Services
// don't end, so it doesn't wait for them.
func (g *Generator) runDurable(ctx context.Context, c *Call) {
	r := c.Arrival.Request
	r.Payload = c.Arrival.PayloadFor(c.Arrival.Tag)
	r.IdempotencyKey = c.Arrival.Tag
	r.IssuedAt = time.Now()
	for ctx.Err() == nil {
		if c.send(ctx, g.clientFor(c.Arrival.Team), c.Arrival.Tag, &r, submitTimeout) && !retryable(c.Final.Code) {
			break
		}
		sleep(ctx, c.retryDelay())
	}
	if c.Final == nil || c.Final.Code != code.Accepted || r.Kind == config.Service {
		return
	}
	g.pollUntilEnded(ctx, c)
}

// pollUntilEnded polls the state of an accepted job until it has ended.
func (g *Generator) pollUntilEnded(ctx context.Context, c *Call) {
	job := c.Final.Job
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, longPollWait+timeoutMargin)
		a, err := g.clientFor(c.Arrival.Team).Status(callCtx, job, longPollWait)
		cancel()
		if err == nil && a.Job == job {
			c.Final = a
			if a.Code != code.Accepted {
				return
			}
			continue
		}
		sleep(ctx, defaultRetryDelay)
	}
}

// retryable reports whether a caller submits durable work again after an answer
// with this code.
func retryable(c code.Code) bool {
	switch c {
	case code.LogDown, code.NotReady, code.Isolated, code.AcceptUnknown, code.QueueFull:
		return true
	}
	return false
}

// retryDelay returns the delay before the next attempt: the one that the server
// asked for, if any.
func (c *Call) retryDelay() time.Duration {
	if c.Final == nil || c.Final.RetryAfterMs == 0 {
		return defaultRetryDelay
	}
	return time.Duration(c.Final.RetryAfterMs) * time.Millisecond
}

// send makes one attempt and reports whether a complete answer was received.
func (c *Call) send(ctx context.Context, apiClient *api.Client, tag string, r *api.SubmitRequest, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := Attempt{Tag: tag, Sent: time.Now()}
	a.Answer, a.Err = apiClient.Submit(ctx, r)
	a.Latency = time.Since(a.Sent)
	c.Attempts = append(c.Attempts, a)
	if a.Err != nil {
		return false
	}
	c.Final = a.Answer
	return true
}

func (g *Generator) clientFor(team string) *api.Client {
	return api.NewClient(g.balancer.pick(), workload.Key(team), g.http)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
