package probe

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pollendock.example/pollendockd/internal/pause"
)

// TestUntil: a service that is back is noticed within a gap and the time of a call,
// whether it was silent, refused, or is slow.
func TestUntil(t *testing.T) {
	refused := errors.New("refused")
	for _, c := range []struct {
		name string
		// away is what a call does before the service is back.
		away  func(ctx context.Context) error
		takes time.Duration
	}{
		{"silent", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, 0},
		{"refuses", func(context.Context) error { return refused }, 0},
		{"slow", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				back := time.Now().Add(3 * time.Second)
				err := Until(t.Context(), func(ctx context.Context) error {
					if time.Now().Before(back) {
						return c.away(ctx)
					}
					pause.For(ctx, c.takes)
					return ctx.Err()
				})
				if late := time.Since(back); err != nil || late > gap+c.takes {
					t.Errorf("noticed %v after it was back, %v", late, err)
				}
				synctest.Wait()
			})
		})
	}
}

// TestUntilEnds: it gives up with its context.
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
