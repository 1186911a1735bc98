package client

import (
	"context"
	"net/http"
	"sync"
	"time"
)

type (
	// balancer simulates the platform's load balancer: it polls the readiness of
	// each entry VM and distributes requests round-robin over the ready ones.
	balancer struct {
		entries []string
		http    *http.Client

		mu    sync.Mutex
		ready []string
		next  int
	}
)

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

func newBalancer(entries []string, hc *http.Client) *balancer {
	return &balancer{entries: entries, http: hc}
}

// run updates the list of ready entry VMs until ctx is done.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.checkAll(ctx)
		sleep(ctx, checkInterval)
	}
}

func (b *balancer) checkAll(ctx context.Context) {
	ready := make([]bool, len(b.entries))
	var wg sync.WaitGroup
	for i, base := range b.entries {
		wg.Go(func() { ready[i] = b.isReady(ctx, base) })
	}
	wg.Wait()
	var list []string
	for i, base := range b.entries {
		if ready[i] {
			list = append(list, base)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = list
}

func (b *balancer) isReady(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady blocks until at least one entry VM is ready.
func (b *balancer) waitReady(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		n := len(b.ready)
		b.mu.Unlock()
		if n > 0 {
			return
		}
		sleep(ctx, checkInterval)
	}
}

// pick returns the next ready entry VM. If none is ready, it picks from all.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.ready
	if len(list) == 0 {
		list = b.entries
	}
	b.next++
	return list[b.next%len(list)]
}
