package request

import (
	"context"
	"time"

	"pollendock.example/cell/site"
)

type (
	// Stream is the log of durable records.
	Stream interface {
		Append(ctx context.Context, entries []site.Entry) (int64, error)
	}

	// batchAppender combines the records of concurrent callers into batches, and has
	// at most one append in flight.
	batchAppender struct {
		stream Stream
		queue  chan appendRequest
	}

	appendRequest struct {
		entries []site.Entry
		reply   chan error
	}
)

const (
	appendTimeout    = 1500 * time.Millisecond
	queueCapacity    = 256
	maxBatchRequests = 64
	// maxBatchBytes is the size from which on a batch takes no further request.
	maxBatchBytes = 400 << 10
)

func newBatchAppender(stream Stream) *batchAppender {
	return &batchAppender{stream: stream, queue: make(chan appendRequest, queueCapacity)}
}

// run appends batches until ctx ends.
func (a *batchAppender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-a.queue:
			a.appendBatch(ctx, a.collectBatch(first))
		}
	}
}

func (a *batchAppender) collectBatch(first appendRequest) []appendRequest {
	batch := []appendRequest{first}
	size := first.size()
	for len(batch) < maxBatchRequests && size < maxBatchBytes {
		select {
		case next := <-a.queue:
			batch = append(batch, next)
			size += next.size()
		default:
			return batch
		}
	}
	return batch
}

// size returns the length of the entries in bytes.
func (r *appendRequest) size() int {
	total := 0
	for i := range r.entries {
		total += r.entries[i].Size()
	}
	return total
}

func (a *batchAppender) appendBatch(ctx context.Context, batch []appendRequest) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var entries []site.Entry
	for _, req := range batch {
		entries = append(entries, req.entries...)
	}
	_, err := a.stream.Append(ctx, entries)
	for _, req := range batch {
		req.reply <- err
	}
}

// makeDurable makes entries durable. An error of class site.ErrRefused means that they
// are not durable and never will be.
func (a *batchAppender) makeDurable(ctx context.Context, entries []site.Entry) error {
	req := appendRequest{entries, make(chan error, 1)}
	select {
	case a.queue <- req:
	default:
		return site.ErrRefused.New("too many requests wait for the stream")
	}
	select {
	case err := <-req.reply:
		return err
	case <-ctx.Done():
		return site.ErrUnknown.Wrap(ctx.Err())
	}
}
