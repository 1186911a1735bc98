// Package journal moves records between an entry VM and the platform's log:
// appends in groups, and reads in log order.
package journal

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/pause"
)

type (
	// Appender appends records in the order in which they were submitted, many
	// in one append, one append at a time. A group whose answer was lost is
	// appended again until an answer comes; readers ignore repeats by Seq.
	Appender struct {
		log     platform.Log
		gap     time.Duration
		dropped func(seqs []int64)

		mu    sync.Mutex
		queue []item
		wake  chan struct{}
		down  bool
	}

	item struct {
		seq  int64
		data json.RawMessage
		// droppable records are given up when the log is known to be down.
		droppable bool
		// sent is set once the record may be in the log.
		sent bool
	}
)

const (
	maxGroupRecords = 512
	maxGroupBytes   = 512 << 10
	appendTimeout   = 2 * time.Second
	firstBackoff    = 50 * time.Millisecond
	maxBackoff      = time.Second
)

// NewAppender returns an appender that leaves gap between its appends. It
// calls dropped with the Seqs of records that are certainly not in the log and
// will not be appended.
func NewAppender(log platform.Log, gap time.Duration, dropped func(seqs []int64)) *Appender {
	return &Appender{log: log, gap: gap, dropped: dropped, wake: make(chan struct{}, 1)}
}

// Submit queues a record.
func (a *Appender) Submit(r *ledger.Record, droppable bool) {
	data, err := json.Marshal(r)
	if err != nil {
		panic("journal: record cannot be encoded: " + err.Error())
	}
	a.mu.Lock()
	a.queue = append(a.queue, item{seq: r.Seq, data: data, droppable: droppable})
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

// Reset drops the queue, because its incarnation has ended.
func (a *Appender) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = nil
}

// Idle reports whether nothing waits to be appended.
func (a *Appender) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) == 0
}

// Run appends until ctx ends.
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

// drain appends groups until the queue is empty.
func (a *Appender) drain(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		group := a.group()
		if len(group) == 0 {
			return
		}
		err := a.append(ctx, group)
		a.settle(group, err)
		wait := a.gap
		if err != nil {
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = firstBackoff
		}
		pause.For(ctx, wait)
	}
}

func (a *Appender) group() []item {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	n := 0
	for n < len(a.queue) && n < maxGroupRecords && (n == 0 || size+len(a.queue[n].data) <= maxGroupBytes) {
		size += len(a.queue[n].data)
		n++
	}
	return append([]item(nil), a.queue[:n]...)
}

func (a *Appender) append(ctx context.Context, group []item) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]json.RawMessage, 0, len(group))
	for _, it := range group {
		records = append(records, it.data)
	}
	_, err := a.log.Append(ctx, records)
	return err
}

// settle takes the group off the queue after success. After a refusal it gives
// up what is droppable and was never sent; after any other error the group may
// be in the log and stays at the head of the queue.
func (a *Appender) settle(group []item, err error) {
	a.mu.Lock()
	a.down = err != nil
	if len(a.queue) < len(group) || a.queue[0].seq != group[0].seq {
		a.mu.Unlock()
		return
	}
	var given []int64
	switch {
	case err == nil:
		a.queue = append([]item(nil), a.queue[len(group):]...)
	default:
		if !platform.IsRefusal(err) {
			a.markSent(len(group))
		}
		given = a.giveUp()
	}
	a.mu.Unlock()
	if len(given) > 0 {
		a.dropped(given)
	}
}

func (a *Appender) markSent(n int) {
	for i := range n {
		a.queue[i].sent = true
	}
}

func (a *Appender) giveUp() []int64 {
	var given []int64
	kept := a.queue[:0]
	for _, it := range a.queue {
		if it.droppable && !it.sent {
			given = append(given, it.seq)
			continue
		}
		kept = append(kept, it)
	}
	a.queue = kept
	return given
}
