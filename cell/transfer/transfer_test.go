package transfer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestWithTimeout: what ends a call is a silence, not its length.
func TestWithTimeout(t *testing.T) {
	const silence = time.Second
	cases := []struct {
		name string
		// gaps are the times between the parts of the response.
		gaps []time.Duration
		want error
		ends time.Duration
	}{
		{"no response", nil, context.DeadlineExceeded, silence},
		{"one part, then silence", []time.Duration{900 * time.Millisecond}, context.DeadlineExceeded, 1900 * time.Millisecond},
		{"parts for longer than the silence", []time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond}, context.DeadlineExceeded, 3700 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			ctx, cancel := WithTimeout(t.Context(), silence)
			defer cancel()
			for _, gap := range c.gaps {
				time.Sleep(gap)
				Received(ctx)
				if !Receiving(ctx) {
					t.Errorf("%s: not receiving", c.name)
				}
			}
			<-ctx.Done()
			if took := time.Since(began); took != c.ends || !errors.Is(context.Cause(ctx), c.want) {
				t.Errorf("%s: ended after %v with %v", c.name, took, context.Cause(ctx))
			}
			if Receiving(ctx) {
				t.Errorf("%s: still receiving", c.name)
			}
		})
	}
}

// TestTrickle: a response that trickles ends, too.
func TestTrickle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := WithTimeout(t.Context(), time.Second)
		defer cancel()
		took := make(chan time.Duration, 1)
		context.AfterFunc(ctx, func() { took <- time.Since(began) })
		for ctx.Err() == nil {
			Received(ctx)
			time.Sleep(time.Second / 2)
		}
		if got := <-took; got != maxTime {
			t.Errorf("ended after %v", got)
		}
	})
}
