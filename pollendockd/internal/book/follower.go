// Package book keeps a VM's copy of the durable records up to date.
package book

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/probe"
)

type (
	// Stream is where the records lie.
	Stream interface {
		Read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error)
		// Newest returns a page of the newest entry of each key, those after a
		// key.
		Newest(ctx context.Context, after string) (*site.Page, error)
	}

	// Follower reads the stream into the book.
	Follower struct {
		stream  Stream
		book    *job.View
		logger  log.Logger
		changed func(ids []string)
		start   time.Time

		// early holds offers that came before the records that precede them.
		early early
		// recent holds the newest records for VMs that lack them.
		recent recent

		// reading is how far a reading of all keys has come. Only Run uses it.
		reading reading

		loaded atomic.Bool
		// eager is set while this VM decides.
		eager atomic.Bool
		// offeredAt is the time since start of the last offer that was taken.
		offeredAt atomic.Int64
		// hurry asks for a read at once.
		hurry chan struct{}
		// readAt and leaderAt are times since start: of the last answer of the
		// stream, and of the last records that a leader appended.
		readAt   atomic.Int64
		leaderAt atomic.Int64
		// currentAt is the time since start at which the book last held all
		// records; 0 before.
		currentAt atomic.Int64
		// callTime is that of the last answered read, without its wait for records.
		callTime atomic.Int64
		// freshSince is when the reads of the present series began to succeed.
		freshSince atomic.Int64
	}
)

const (
	readWait    = 500 * time.Millisecond
	readTimeout = 1200 * time.Millisecond
	// seriesGap ends a series of reads: a leader that could not append meanwhile
	// gets its time anew.
	seriesGap = time.Second
	// idleGap parts reads that wait for records, so that several appends are
	// read in one call.
	idleGap = 100 * time.Millisecond
	// offerLimit is how old the last offer may be for reads not to wait for
	// records: each append would end the wait, though its records are offered.
	offerLimit = 600 * time.Millisecond
	// readsLimit is how old the last answer of the stream may be if this VM reads.
	readsLimit = checkGap + 300*time.Millisecond
	// checkGap parts the reads beside offers, eagerGap those at the VM that
	// decides.
	checkGap = 700 * time.Millisecond
	eagerGap = 200 * time.Millisecond
)

// StillLoading is in place of an offset while this VM reads all records.
const StillLoading = -1

// NewFollower returns a follower that calls changed with the ids of jobs whose
// records are new.
func NewFollower(stream Stream, b *job.View, logger log.Logger, changed func(ids []string)) *Follower {
	return &Follower{stream: stream, book: b, logger: logger, changed: changed, start: time.Now(), hurry: make(chan struct{}, 1), reading: newReading()}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.regain(ctx, err)
			continue
		}
		f.rest(ctx)
	}
	return ctx.Err()
}

// regain waits until the stream answers again. A long read would notice that only
// once it has run out itself.
func (f *Follower) regain(ctx context.Context, lost error) {
	began := time.Now()
	_ = level.Warn(f.logger).Log("msg", "stream lost", "next", f.book.Next(), "err", lost)
	var page atomic.Pointer[site.Page]
	err := probe.Until(ctx, func(ctx context.Context) error {
		p, err := f.stream.Read(ctx, f.book.Next(), 0)
		if site.ErrTrimmed.Has(err) {
			return nil
		}
		page.CompareAndSwap(nil, p)
		return err
	})
	if err != nil {
		return
	}
	if p := page.Load(); p != nil && f.loaded.Load() {
		f.apply(p)
	}
	_ = level.Info(f.logger).Log("msg", "stream regained", "next", f.book.Next(), "awayMs", time.Since(began).Milliseconds())
}

// offered reports whether the leader has offered records of late.
func (f *Follower) offered() bool {
	last := f.offeredAt.Load()
	return last > 0 && time.Since(f.start)-time.Duration(last) < offerLimit
}

// rest waits until the next read is due.
func (f *Follower) rest(ctx context.Context) {
	gap := idleGap
	if f.offered() {
		gap = checkGap
		if f.eager.Load() {
			gap = eagerGap
		}
	}
	timer := time.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.hurry:
	case <-ctx.Done():
	}
}

// Offer takes records that are durable from another way than the stream. If
// some before them are missing here, these are read at once. It returns the offset
// from which on this VM lacks records, or StillLoading, and whether the stream
// answers this VM, so that it can read what it lacks.
func (f *Follower) Offer(entries []site.Entry) (int64, bool) {
	if !f.loaded.Load() {
		return StillLoading, true
	}
	for len(entries) > 0 {
		n := contiguous(entries)
		f.early.add(entries[:n])
		entries = entries[n:]
	}
	if f.takeEarly() {
		f.offeredAt.Store(int64(time.Since(f.start)))
	}
	if !f.early.empty() {
		select {
		case f.hurry <- struct{}{}:
		default:
		}
	}
	return f.book.Next(), f.Fresh(readsLimit)
}

// Recent returns records from an offset on, of up to most bytes and one more. It
// reports false if they are not at hand any more.
func (f *Follower) Recent(next int64, most int) ([]site.Entry, bool) {
	return f.recent.from(next, most)
}

// takeEarly applies the offers that follow what is known, and reports whether
// there were any.
func (f *Follower) takeEarly() bool {
	taken := false
	for {
		run := f.early.take(f.book.Next())
		if run == nil {
			return taken
		}
		taken = true
		last := run[len(run)-1].Offset
		f.fold(&site.Page{Entries: run, Next: last + 1, End: last + 1})
	}
}

func (f *Follower) readOnce(ctx context.Context) error {
	if !f.loaded.Load() {
		if err := f.load(ctx); err != nil {
			return err
		}
		return f.read(ctx, 0)
	}
	wait := readWait
	if f.offered() {
		wait = 0
	}
	err := f.read(ctx, wait)
	if site.ErrTrimmed.Has(err) {
		_ = level.Warn(f.logger).Log("msg", "records are no longer kept, reading all keys", "next", f.book.Next())
		return f.load(ctx)
	}
	return err
}

// read reads up to the end. A VM that was cut off has thousands of records to
// read, so pages follow each other without a pause.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	for {
		p, err := f.readPage(ctx, wait)
		if err != nil {
			return err
		}
		f.apply(p)
		if len(p.Entries) == 0 || f.book.Next() >= p.End {
			return nil
		}
		wait = 0
	}
}

func (f *Follower) readPage(ctx context.Context, wait time.Duration) (*site.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	began := time.Now()
	p, err := f.stream.Read(ctx, f.book.Next(), wait)
	if err == nil {
		f.noteCall(time.Since(began), wait, len(p.Entries) == 0)
	}
	return p, err
}

// noteCall keeps how long a read took besides its wait for records. Of one that
// found some while it could wait only the most that it can have been is known.
func (f *Follower) noteCall(took, wait time.Duration, empty bool) {
	switch {
	case wait == 0:
	case empty:
		took = max(0, took-wait)
	default:
		took = min(took, f.CallTime())
	}
	f.callTime.Store(int64(took))
}

// CallTime returns how long the stream took for the last read that it answered.
// Reads without an answer do not count: the stream is away then and not slow,
// and is to be tried again soon.
func (f *Follower) CallTime() time.Duration {
	return time.Duration(f.callTime.Load())
}

// apply folds a page that was read, and the offers that follow it.
func (f *Follower) apply(p *site.Page) {
	f.fold(p)
	f.takeEarly()
}

func (f *Follower) fold(p *site.Page) {
	now := int64(time.Since(f.start))
	for i := range p.Entries {
		if job.LeaderOnly(p.Entries[i].Key) {
			f.leaderAt.Store(now)
		}
	}
	if at := f.currentAt.Load(); at > 0 {
		p.CaughtUpAt = f.start.Add(time.Duration(at))
	}
	if n := len(p.Entries); n > 0 && contiguous(p.Entries) == n && p.Entries[n-1].Offset+1 == p.Next {
		f.recent.add(p.Entries)
	}
	ids, err := f.book.Apply(p)
	if err != nil {
		_ = level.Error(f.logger).Log("msg", "record cannot be read", "err", err)
	}
	if f.loaded.Load() && p.Next >= p.End {
		f.currentAt.Store(now)
	}
	if time.Duration(now-f.readAt.Swap(now)) > seriesGap {
		f.freshSince.Store(now)
	}
	if len(ids) > 0 {
		f.changed(ids)
	}
}

// Sync reads up to the end that the stream has now. Without an error the book
// holds all that was acknowledged before the call.
func (f *Follower) Sync(ctx context.Context) error {
	if !f.loaded.Load() {
		return site.ErrRefused.New("the records are not read yet")
	}
	return f.read(ctx, 0)
}

// Loaded reports whether the book holds the records of all keys.
func (f *Follower) Loaded() bool {
	return f.loaded.Load()
}

// contiguous returns how many entries follow each other without a hole: two
// offers may have been joined, and others have appended between them.
func contiguous(entries []site.Entry) int {
	n := 1
	for n < len(entries) && entries[n].Offset == entries[n-1].Offset+1 {
		n++
	}
	return n
}

// SetEager says whether this VM decides, and so reads more often.
func (f *Follower) SetEager(eager bool) {
	f.eager.Store(eager)
}

// Fresh reports whether the stream answered within the given time.
func (f *Follower) Fresh(within time.Duration) bool {
	return f.loaded.Load() && time.Since(f.start)-time.Duration(f.readAt.Load()) <= within
}

// LeaderSilence returns for how long the stream could be read without a record
// of a leader.
func (f *Follower) LeaderSilence() time.Duration {
	last := max(f.leaderAt.Load(), f.freshSince.Load())
	return time.Since(f.start) - time.Duration(last)
}
