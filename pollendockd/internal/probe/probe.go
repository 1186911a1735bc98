// Package probe finds out when a service that has stopped answering is back.
package probe

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// gap parts the calls. A service that is back is noticed that soon, and its
	// callers do not all come in the same instant.
	gap = 250 * time.Millisecond
	// timeout bounds a call: a slow service is waited for that long, while a call
	// to a silent one may hang on a connection that was lost.
	timeout = 1200 * time.Millisecond
)

// Until makes a call again and again until one succeeds or ctx ends. A call does
// not wait for those before it, so several may run at the same time.
func Until(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, 1+timeout/gap)
	timer := time.NewTimer(rand.N(gap))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-answers:
			if err == nil {
				return nil
			}
		case <-timer.C:
			timer.Reset(gap)
			go func() {
				ctx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				err := call(ctx)
				select {
				case answers <- err:
				case <-ctx.Done():
				}
			}()
		}
	}
}
