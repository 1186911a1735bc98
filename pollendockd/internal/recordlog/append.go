// Package recordlog appends records of an entry VM to the platform's log in batches, and
// reads the log in order.
package recordlog

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	// Appender appends records in the order of their submission. It combines them
	// into batches and has at most one append in flight. A batch whose answer was lost
	// is appended again until there is an answer; readers ignore duplicates by Seq.
	Appender struct {
		log       platform.Log
		interval  time.Duration
		onDropped func(seqs []int64)

		mu    sync.Mutex
		queue []queuedRecord
		wake  chan struct{}
		down  bool
	}

	queuedRecord struct {
		seq  int64
		data json.RawMessage
		// droppable records are dropped when an append fails, unless they may be in
		// the log.
		droppable bool
		// sent is set once an append has failed that may have written the record.
		sent bool
	}
)

const (
	maxBatchRecords = 512
	maxBatchBytes   = 512 << 10
	appendTimeout   = 2 * time.Second
	firstBackoff    = 50 * time.Millisecond
	maxBackoff      = time.Second
)

// NewAppender returns an appender that waits for interval between its appends. It calls
// onDropped with the Seqs of records that are certainly not in the log and will not be
// appended.
func NewAppender(log platform.Log, interval time.Duration, onDropped func(seqs []int64)) *Appender {
	return &Appender{log: log, interval: interval, onDropped: onDropped, wake: make(chan struct{}, 1)}
}

// Submit adds a record to the queue.
func (a *Appender) Submit(r *ledger.Record, droppable bool) {
	data, err := json.Marshal(r)
	if err != nil {
		panic("journal: failed to encode record: " + err.Error())
	}
	a.mu.Lock()
	a.queue = append(a.queue, queuedRecord{seq: r.Seq, data: data, droppable: droppable})
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Down reports whether the last append failed.
func (a *Appender) Down() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.down
}

// Reset clears the queue. It is called when the incarnation that submitted the records has
// ended.
func (a *Appender) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = nil
}

// Idle reports whether the queue is empty.
func (a *Appender) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) == 0
}

// Run appends queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) error {
	for {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		a.drain(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// drain appends batches until the queue is empty.
func (a *Appender) drain(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		batch := a.batch()
		if len(batch) == 0 {
			return
		}
		err := a.append(ctx, batch)
		a.finishAppend(batch, err)
		wait := a.interval
		if err != nil {
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = firstBackoff
		}
		sleep.For(ctx, wait)
	}
}

func (a *Appender) batch() []queuedRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	n := 0
	for n < len(a.queue) && n < maxBatchRecords && (n == 0 || size+len(a.queue[n].data) <= maxBatchBytes) {
		size += len(a.queue[n].data)
		n++
	}
	return append([]queuedRecord(nil), a.queue[:n]...)
}

func (a *Appender) append(ctx context.Context, batch []queuedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]json.RawMessage, 0, len(batch))
	for _, rec := range batch {
		records = append(records, rec.data)
	}
	_, err := a.log.Append(ctx, records)
	return err
}

// finishAppend removes the batch from the queue after success. After a failure it drops
// the droppable records that cannot be in the log. After a failure other than a refusal,
// the batch may be in the log and stays at the head of the queue.
func (a *Appender) finishAppend(batch []queuedRecord, err error) {
	a.mu.Lock()
	a.down = err != nil
	if len(a.queue) < len(batch) || a.queue[0].seq != batch[0].seq {
		a.mu.Unlock()
		return
	}
	var droppedSeqs []int64
	switch {
	case err == nil:
		a.queue = append([]queuedRecord(nil), a.queue[len(batch):]...)
	default:
		if !platform.IsRefusal(err) {
			a.markSent(len(batch))
		}
		droppedSeqs = a.dropUnsent()
	}
	a.mu.Unlock()
	if len(droppedSeqs) > 0 {
		a.onDropped(droppedSeqs)
	}
}

func (a *Appender) markSent(n int) {
	for i := range n {
		a.queue[i].sent = true
	}
}

func (a *Appender) dropUnsent() []int64 {
	var droppedSeqs []int64
	kept := a.queue[:0]
	for _, rec := range a.queue {
		if rec.droppable && !rec.sent {
			droppedSeqs = append(droppedSeqs, rec.seq)
			continue
		}
		kept = append(kept, rec)
	}
	a.queue = kept
	return droppedSeqs
}
