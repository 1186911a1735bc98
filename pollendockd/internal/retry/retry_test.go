package retry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pollendock.example/cell/transfer"
	"pollendock.example/pollendockd/internal/sleep"
)

// TestUntil: recovery is noticed within the interval plus the time of a call, whether the
// service was unresponsive, refused calls, or is slow.
func TestUntil(t *testing.T) {
	refused := errors.New("refused")
	for _, c := range []struct {
		name string
		// outage is the behaviour of a call before the service recovers.
		outage  func(ctx context.Context) error
		latency time.Duration
	}{
		{"silent", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, 0},
		{"refuses", func(context.Context) error { return refused }, 0},
		{"slow", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recoveredAt := time.Now().Add(3 * time.Second)
				err := Until(t.Context(), func(ctx context.Context) error {
					if time.Now().Before(recoveredAt) {
						return c.outage(ctx)
					}
					sleep.For(ctx, c.latency)
					return ctx.Err()
				})
				if late := time.Since(recoveredAt); err != nil || late > interval+c.latency {
					t.Errorf("noticed %v after recovery, %v", late, err)
				}
				synctest.Wait()
			})
		})
	}
}

// TestUntilEnds: Until returns when its context ends.
func TestUntilEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := Until(ctx, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error is %v", err)
		}
		synctest.Wait()
	})
}

// TestUntilLeavesTheLinkToOneResponse: a response that takes longer than the timeout arrives,
// alone from the moment at which it begins.
func TestUntilLeavesTheLinkToOneResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			latency = time.Second
			parts   = 30
			gap     = 100 * time.Millisecond
		)
		var receiving, most atomic.Int64
		err := Until(t.Context(), func(ctx context.Context) error {
			sleep.For(ctx, latency)
			for n := range parts {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				transfer.Received(ctx)
				if at := receiving.Add(1); n > parts/2 && at > most.Load() {
					most.Store(at)
				}
				sleep.For(ctx, gap)
				receiving.Add(-1)
			}
			return nil
		})
		if err != nil || most.Load() != 1 {
			t.Errorf("%d responses arrived at a time, %v", most.Load(), err)
		}
		synctest.Wait()
	})
}
