package journal

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/pause"
)

type (
	// Follower reads the log in order.
	Follower struct {
		log  platform.Log
		sink Sink
		from atomic.Int64
	}

	// Sink takes what the follower reads.
	Sink interface {
		// Page is called for every answer of the log, also an empty one.
		Page(ctx context.Context, page *platform.LogPage)
		// Restore is called with a state from a snapshot, when the records
		// after the present state are no longer kept.
		Restore(ctx context.Context, s *ledger.State)
		// Recover returns a state from a peer, or nil. It is called before
		// snapshots in the log are searched.
		Recover(ctx context.Context, oldest int64) *ledger.State
	}
)

const (
	readWait    = 2 * time.Second
	readBackoff = 200 * time.Millisecond
)

// NewFollower returns a follower that starts at the first offset.
func NewFollower(log platform.Log, sink Sink) *Follower {
	return &Follower{log: log, sink: sink}
}

// Skip moves the follower to an offset that is known from elsewhere.
func (f *Follower) Skip(next int64) {
	if next > f.from.Load() {
		f.from.Store(next)
	}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	// The first read does not wait, so that an empty log is known at once.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := f.log.Read(ctx, f.from.Load(), wait)
		switch {
		case err == nil:
			wait = readWait
			f.sink.Page(ctx, page)
			f.Skip(page.First + int64(len(page.Records)))
		case platform.HasReason(err, platform.Trimmed):
			f.restore(ctx)
		default:
			pause.For(ctx, readBackoff)
		}
	}
	return ctx.Err()
}

// restore finds a state from which the kept records go on.
func (f *Follower) restore(ctx context.Context) {
	oldest, err := f.oldest(ctx)
	if err != nil {
		pause.For(ctx, readBackoff)
		return
	}
	s := f.sink.Recover(ctx, oldest)
	if s == nil {
		s = f.search(ctx, oldest)
	}
	if s == nil {
		pause.For(ctx, readBackoff)
		return
	}
	f.sink.Restore(ctx, s)
	f.Skip(s.Next)
}

func (f *Follower) oldest(ctx context.Context) (int64, error) {
	// A read from the greatest offset is never trimmed and tells the oldest.
	page, err := f.log.Read(ctx, 1<<62, 0)
	if err != nil {
		return 0, err
	}
	return page.Oldest, nil
}

// search returns the newest complete snapshot whose following records are
// still kept, or nil.
func (f *Follower) search(ctx context.Context, oldest int64) *ledger.State {
	var found *ledger.State
	var parts ledger.SnapshotAssembler
	from := oldest
	for ctx.Err() == nil {
		page, err := f.log.Read(ctx, from, 0)
		if err != nil {
			return nil
		}
		for _, data := range page.Records {
			s := addPart(&parts, data)
			if s != nil && s.Next >= oldest {
				found = s
			}
		}
		from = page.First + int64(len(page.Records))
		if from >= page.End {
			return found
		}
	}
	return nil
}

func addPart(parts *ledger.SnapshotAssembler, data json.RawMessage) *ledger.State {
	var r ledger.Record
	if json.Unmarshal(data, &r) != nil {
		return nil
	}
	s, err := parts.Add(&r)
	if err != nil {
		return nil
	}
	return s
}
