// Package retry repeats calls to a service that stopped answering until it is available
// again.
package retry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"pollendock.example/cell/transfer"
)

const (
	// interval is the time between calls, which bounds how late the recovery of the
	// service is noticed. The first call is delayed by a random part of it, so that the
	// callers of a service do not call at the same moment.
	interval = 250 * time.Millisecond
	// timeout ends a call that has received nothing for so long. It is long enough for a
	// slow service, and ends calls that hang on a lost connection.
	timeout = 1200 * time.Millisecond
)

type (
	// call is a call that may still be running.
	call struct {
		ctx    context.Context
		cancel context.CancelFunc
	}

	calls []call
)

// Until repeats a call until it succeeds or ctx ends. A call does not wait for earlier
// ones, so several may run concurrently. Once a response arrives, its call is the only one:
// others would be sent the same data, and all would take longer.
func Until(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, 1+timeout/interval)
	var running calls
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
			running = running.remaining()
			if running.receiving() {
				continue
			}
			callCtx, cancelCall := transfer.WithTimeout(ctx, timeout)
			running = append(running, call{callCtx, cancelCall})
			go func() {
				defer cancelCall()
				err := do(callCtx)
				select {
				case answers <- err:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// remaining returns the calls that have not ended. If the response to one of them is
// arriving, it ends the others.
func (c calls) remaining() calls {
	c = slices.DeleteFunc(c, func(c call) bool { return c.ctx.Err() != nil })
	first := slices.IndexFunc(c, call.receiving)
	if first < 0 {
		return c
	}
	for i := range c {
		if i != first {
			c[i].cancel()
		}
	}
	return calls{c[first]}
}

// receiving reports whether the response to one of the calls is arriving.
func (c calls) receiving() bool {
	return slices.ContainsFunc(c, call.receiving)
}

func (c call) receiving() bool {
	return transfer.Receiving(c.ctx)
}
