// Package transfer bounds calls by the progress of their responses. A fixed time would
// have to be long enough for the largest response over the slowest link: a call that is
// cut off has to begin again, and a response that never fits never arrives.
package transfer

import (
	"context"
	"io"
	"sync"
	"time"
)

type (
	// progress is the state of a call's response.
	progress struct {
		silence time.Duration
		timer   *time.Timer

		mu sync.Mutex
		// beganAt is when the first byte arrived; zero before.
		beganAt time.Time
	}

	// progressKey is the context key of a *progress.
	progressKey struct{}

	// reader reports what it reads to the call of a context.
	reader struct {
		ctx context.Context
		r   io.Reader
	}
)

// maxTime ends calls whose responses trickle.
const maxTime = 20 * time.Second

// WithTimeout returns a context for a call. It ends once the call has received nothing for
// the time silence.
func WithTimeout(parent context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(parent, max(silence, maxTime))
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{silence: silence}
	p.timer = time.AfterFunc(silence, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, progressKey{}, p), func() {
		p.timer.Stop()
		cancel(nil)
		cancelTotal()
	}
}

// Reader returns a reader of a response that tells the context of its call what arrives.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	return &reader{ctx, r}
}

// Read implements io.Reader.
func (r *reader) Read(data []byte) (int, error) {
	n, err := r.r.Read(data)
	if n > 0 {
		Received(r.ctx)
	}
	return n, err
}

// Received notes that a part of the response has arrived. It does nothing for a context
// that is not of WithTimeout.
func Received(ctx context.Context) {
	p := of(ctx)
	if p == nil || ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.beganAt.IsZero() {
		p.beganAt = time.Now()
	}
	p.timer.Reset(p.silence)
}

// BeganAt returns when the first part of the response arrived, or the zero time.
func BeganAt(ctx context.Context) time.Time {
	p := of(ctx)
	if p == nil {
		return time.Time{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.beganAt
}

// Receiving reports whether a part of the response has arrived and the call goes on.
func Receiving(ctx context.Context) bool {
	return ctx.Err() == nil && !BeganAt(ctx).IsZero()
}

func of(ctx context.Context) *progress {
	p, _ := ctx.Value(progressKey{}).(*progress)
	return p
}
