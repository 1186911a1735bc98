package recordlog

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	// Follower reads the log in order.
	Follower struct {
		log  platform.Log
		sink Sink
		from atomic.Int64
	}

	// Sink receives the pages and states that the follower reads.
	Sink interface {
		// Page is called for every answer of the log, even if it has no records.
		Page(ctx context.Context, page *platform.LogPage)
		// Restore is called with a state from a peer or a snapshot when the records
		// that follow the current state have been trimmed.
		Restore(ctx context.Context, s *ledger.State)
		// Recover returns a state from a peer, or nil. It is tried before the
		// snapshots in the log.
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

// Skip moves the follower forward to an offset up to which the records are already known.
func (f *Follower) Skip(next int64) {
	if next > f.from.Load() {
		f.from.Store(next)
	}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	// The first read does not wait, so that an empty log is reported immediately.
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
			sleep.For(ctx, readBackoff)
		}
	}
	return ctx.Err()
}

// restore finds a state that is followed by the records that are still kept.
func (f *Follower) restore(ctx context.Context) {
	oldest, err := f.oldest(ctx)
	if err != nil {
		sleep.For(ctx, readBackoff)
		return
	}
	s := f.sink.Recover(ctx, oldest)
	if s == nil {
		s = f.findSnapshot(ctx, oldest)
	}
	if s == nil {
		sleep.For(ctx, readBackoff)
		return
	}
	f.sink.Restore(ctx, s)
	f.Skip(s.Next)
}

func (f *Follower) oldest(ctx context.Context) (int64, error) {
	// A read from the greatest offset never fails as trimmed, and its answer contains
	// the oldest offset.
	page, err := f.log.Read(ctx, 1<<62, 0)
	if err != nil {
		return 0, err
	}
	return page.Oldest, nil
}

// findSnapshot returns the newest complete snapshot that is followed by records that are
// still kept, or nil.
func (f *Follower) findSnapshot(ctx context.Context, oldest int64) *ledger.State {
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
