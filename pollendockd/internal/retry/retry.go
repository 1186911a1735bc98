// Package retry repeats calls to a service that stopped answering until it is available
// again.
package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// interval is the time between calls, which bounds how late the recovery of the
	// service is noticed. The first call is delayed by a random part of it, so that the
	// callers of a service do not call at the same moment.
	interval = 250 * time.Millisecond
	// timeout bounds a call. It is long enough for a slow service, and ends calls that
	// hang on a lost connection.
	timeout = 1200 * time.Millisecond
)

// Until repeats a call until it succeeds or ctx ends. A call does not wait for earlier
// ones, so several may run concurrently.
func Until(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, 1+timeout/interval)
	timer := time.NewTimer(rand.N(interval))
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
			timer.Reset(interval)
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
