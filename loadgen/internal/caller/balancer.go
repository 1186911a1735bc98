package caller

import (
	"context"
	"net/http"
	"sync"
	"time"
)

type (
	// balancer plays the platform's balancer: it asks each entry VM whether it
	// is ready and sends requests to the ready ones in turn.
	balancer struct {
		entries []string
		http    *http.Client

		mu    sync.Mutex
		ready []string
		next  int
	}
)

const (
	checkEvery   = 200 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
)

func newBalancer(entries []string, hc *http.Client) *balancer {
	return &balancer{entries: entries, http: hc}
}

// watch keeps the list of ready entry VMs until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		b.check(ctx)
		pause(ctx, checkEvery)
	}
}

func (b *balancer) check(ctx context.Context) {
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

// awaitReady waits until every entry VM that answers is ready.
func (b *balancer) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		n := len(b.ready)
		b.mu.Unlock()
		if n > 0 {
			return
		}
		pause(ctx, checkEvery)
	}
}

// pick returns the next ready entry VM; any one if none is ready.
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
