package scheduler

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/loopback"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/sleep"
)

// sendOver returns once n bytes have left the link. It reports false if ctx ends before.
func sendOver(ctx context.Context, link *loopback.Link, n int) bool {
	const chunkBytes = 2 << 10
	for ; n > 0 && ctx.Err() == nil; n -= chunkBytes {
		sleep.For(ctx, link.Reserve(min(n, chunkBytes)))
	}
	return ctx.Err() == nil
}

// TestLargeAppendOverSlowLink: a burst of jobs is accepted by a leader over a link on which the
// records take one second. The append is not sent several times at once, and it ends.
func TestLargeAppendOverSlowLink(t *testing.T) {
	const (
		linkBytes = 400 << 10 // a second
		jobs      = 100
		specBytes = 4000
		within    = 2500 * time.Millisecond
	)
	inCell(t, 10, func(c *cell) {
		v := c.start("a")
		time.Sleep(3 * time.Second)
		link := loopback.NewLink(linkBytes)
		v.stream.uplink.Store(link)
		var wg sync.WaitGroup
		var mu sync.Mutex
		failures := map[string]int{}
		accepted, bytes := 0, 0
		began := time.Now()
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			c.entry(began, id, tasks(1, 1))
			sub := *c.subs[id]
			sub.Spec = strings.Repeat("x", specBytes)
			e, err := job.SubmissionEntry(&sub)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(e.Value)
			c.subs[id] = &sub
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(c.ctx, within)
				defer cancel()
				err := v.scheduler.Accept(ctx, []site.Entry{e})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted++
				} else {
					failures[err.Error()]++
				}
			})
		}
		wg.Wait()
		took := time.Since(began)
		t.Logf("%d of %d accepted after %v, %d bytes of records, %d sent, %v", accepted, jobs, took, bytes, link.Sent(), failures)
		if accepted < jobs {
			t.Errorf("%d of %d jobs are accepted", accepted, jobs)
		}
		if link.Sent() > int64(2*bytes) {
			t.Errorf("%d bytes were sent for records of %d", link.Sent(), bytes)
		}
	})
}
