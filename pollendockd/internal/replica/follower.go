// Package replica keeps a VM's local copy of the durable records up to date.
package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/cell/transfer"
	"pollendock.example/pollendockd/internal/retry"
)

type (
	// Stream is the log of durable records.
	Stream interface {
		Read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error)
		// Newest returns a page with the newest entry of each key, in key order,
		// starting after the given key.
		Newest(ctx context.Context, after string) (*site.Page, error)
	}

	// Follower applies the records of the stream to the local copy.
	Follower struct {
		stream   Stream
		view     *job.View
		logger   log.Logger
		onChange func(ids []string)
		start    time.Time

		// reorderBuffer holds offered records whose predecessors are missing.
		reorderBuffer reorderBuffer
		// recentRecords caches the newest records, to send them to other VMs.
		recentRecords recentRecords

		// loadProgress is the progress of loading all keys. Only Run uses it.
		loadProgress loadProgress

		loaded atomic.Bool
		// failing is set while the stream does not answer this VM.
		failing atomic.Bool
		// leading is set while this VM is the leader.
		leading atomic.Bool
		// lastOfferAt is the time since start of the last offer that was applied.
		lastOfferAt atomic.Int64
		// readNow triggers a read without delay.
		readNow chan struct{}
		// lastAnswerAt is the time since start at which the stream last answered or
		// records were offered, lastReadAt the time as of which they were sent.
		lastAnswerAt atomic.Int64
		lastReadAt   atomic.Int64
		// lastLeaderRecordAt is the time since start at which records of a leader were
		// last applied.
		lastLeaderRecordAt atomic.Int64
		// upToDateAt is the time since start at which the local copy last held all
		// records; 0 if it never did.
		upToDateAt atomic.Int64
		// readLatency is the latency of the last answered read, without the time it
		// waited for records.
		readLatency atomic.Int64
		// availableSince is the time since start at which the stream began to answer
		// after the last outage.
		availableSince atomic.Int64
		// firstReadAt is the time since start of the first answer of the stream; 0 before
		// it.
		firstReadAt atomic.Int64
	}
)

const (
	readWait    = 500 * time.Millisecond
	readTimeout = 1200 * time.Millisecond
	// minOutageGap is the time without an answer that counts as an outage of a stream that
	// answers at once. The leader could not append during an outage either, so LeaderSilence
	// starts over after it.
	minOutageGap = time.Second
	// idleReadInterval is the delay between reads that wait for records. It lets
	// one call return several appends.
	idleReadInterval = 100 * time.Millisecond
	// offerMaxAge is how recent the last offer must be for reads not to wait for
	// records. Each append would end the wait, although its records are offered
	// anyway.
	offerMaxAge = 600 * time.Millisecond
	// readMaxAge is how recent the last answer of the stream must be for this VM to
	// report that it can read the stream.
	readMaxAge = offeredReadInterval + 300*time.Millisecond
	// offeredReadInterval is the delay between reads on a VM that receives offers,
	// leadingReadInterval the shorter one on the leader.
	offeredReadInterval = 700 * time.Millisecond
	leadingReadInterval = 200 * time.Millisecond
)

// StillLoading is returned instead of an offset while this VM loads all records.
const StillLoading = -1

// NewFollower returns a follower that calls onChange with the ids of jobs whose
// records are new.
func NewFollower(stream Stream, v *job.View, logger log.Logger, onChange func(ids []string)) *Follower {
	return &Follower{stream: stream, view: v, logger: logger, onChange: onChange, start: time.Now(), readNow: make(chan struct{}, 1), loadProgress: newLoadProgress()}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.waitForStream(ctx, err)
			continue
		}
		f.waitForNextRead(ctx)
	}
	return ctx.Err()
}

// waitForStream waits until the stream answers again. It probes with short reads,
// because a long read that was sent during an outage returns only at its own
// timeout.
func (f *Follower) waitForStream(ctx context.Context, cause error) {
	f.failing.Store(true)
	defer f.failing.Store(false)
	began := time.Now()
	_ = level.Warn(f.logger).Log("msg", "record stream is unavailable", "next", f.view.Next(), "err", cause)
	var page atomic.Pointer[site.Page]
	err := retry.Until(ctx, func(ctx context.Context) error {
		p, err := f.stream.Read(ctx, f.view.Next(), 0)
		if site.ErrTrimmed.Has(err) {
			return nil
		}
		if p != nil {
			p.BeganAt = transfer.BeganAt(ctx)
			page.CompareAndSwap(nil, p)
		}
		return err
	})
	if err != nil {
		return
	}
	if p := page.Load(); p != nil && f.loaded.Load() {
		f.applyRead(p)
	}
	_ = level.Info(f.logger).Log("msg", "record stream is available again", "next", f.view.Next(), "awayMs", time.Since(began).Milliseconds())
}

// receivesOffers reports whether offered records were applied recently.
func (f *Follower) receivesOffers() bool {
	last := f.lastOfferAt.Load()
	return last > 0 && time.Since(f.start)-time.Duration(last) < offerMaxAge
}

// waitForNextRead waits until the next read is due.
func (f *Follower) waitForNextRead(ctx context.Context) {
	interval := idleReadInterval
	if f.receivesOffers() {
		interval = offeredReadInterval
		if f.leading.Load() {
			interval = leadingReadInterval
		}
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.readNow:
	case <-ctx.Done():
	}
}

// Offer applies durable records that arrived from another VM rather than from the
// stream. If records before them are missing here, it triggers a read of the
// stream. It returns the offset of the first missing record, or StillLoading, and
// whether this VM can read the missing records from the stream.
func (f *Follower) Offer(entries []site.Entry) (int64, bool) {
	if !f.loaded.Load() {
		return StillLoading, true
	}
	for len(entries) > 0 {
		n := contiguousLen(entries)
		f.reorderBuffer.add(entries[:n])
		entries = entries[n:]
	}
	if f.applyBuffered() {
		f.lastOfferAt.Store(int64(time.Since(f.start)))
	}
	if !f.reorderBuffer.empty() {
		select {
		case f.readNow <- struct{}{}:
		default:
		}
	}
	return f.view.Next(), f.Fresh(readMaxAge)
}

// Recent returns cached records that start at the offset next. It stops with the
// record that reaches maxBytes. It reports false if the record at next is no
// longer cached.
func (f *Follower) Recent(next int64, maxBytes int) ([]site.Entry, bool) {
	return f.recentRecords.from(next, maxBytes)
}

// applyBuffered applies the buffered records that have become contiguous with the
// local copy, and reports whether there were any.
func (f *Follower) applyBuffered() bool {
	applied := false
	for {
		run := f.reorderBuffer.take(f.view.Next())
		if run == nil {
			return applied
		}
		applied = true
		last := run[len(run)-1].Offset
		f.applyPage(&site.Page{Entries: run, Next: last + 1, End: last + 1})
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
	if f.receivesOffers() {
		wait = 0
	}
	err := f.read(ctx, wait)
	if site.ErrTrimmed.Has(err) {
		_ = level.Warn(f.logger).Log("msg", "offset was trimmed from the record stream; loading all keys", "next", f.view.Next())
		f.view.NoteGap()
		if err := f.reload(ctx); err != nil {
			return err
		}
		return f.read(ctx, 0)
	}
	return err
}

// read reads to the end of the stream. It does not pause between pages, because a
// VM that was disconnected has thousands of records to catch up on.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	for {
		p, err := f.readPage(ctx, f.view.Next(), wait)
		if err != nil {
			return err
		}
		f.applyRead(p)
		if len(p.Entries) == 0 || f.view.Next() >= p.End {
			return nil
		}
		wait = 0
	}
}

func (f *Follower) readPage(ctx context.Context, from int64, wait time.Duration) (*site.Page, error) {
	ctx, cancel := transfer.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	began := time.Now()
	p, err := f.stream.Read(ctx, from, wait)
	if err == nil {
		p.BeganAt = transfer.BeganAt(ctx)
		f.recordLatency(time.Since(began), wait, len(p.Entries) == 0)
	}
	return p, err
}

// recordLatency stores the latency of a read without its wait for records. The wait
// of a read that returned records is unknown, so its total time is only an upper
// bound of the latency.
func (f *Follower) recordLatency(took, wait time.Duration, empty bool) {
	switch {
	case wait == 0:
	case empty:
		took = max(0, took-wait)
	default:
		took = min(took, f.ReadLatency())
	}
	f.readLatency.Store(int64(took))
}

// ReadLatency returns the latency of the last read that the stream answered. Reads
// without an answer do not count: they show that the stream is unavailable rather
// than slow, and an unavailable stream is to be retried soon.
func (f *Follower) ReadLatency() time.Duration {
	return time.Duration(f.readLatency.Load())
}

// applyRead applies a page from the stream, then the buffered records that follow
// it.
func (f *Follower) applyRead(p *site.Page) {
	f.applyPage(p)
	f.applyBuffered()
}

func (f *Follower) applyPage(p *site.Page) {
	if n := len(p.Entries); n > 0 && contiguousLen(p.Entries) == n && p.Entries[n-1].Offset+1 == p.Next {
		f.recentRecords.add(p.Entries)
	}
	asOf := f.sentAt(p)
	ids := f.applyTo(f.view, p)
	if f.loaded.Load() && p.Next >= p.End {
		f.upToDateAt.Store(max(asOf, f.upToDateAt.Load()))
	}
	if len(ids) > 0 {
		f.onChange(ids)
	}
}

// applyTo applies a page to a copy, notes that the stream has answered or records were offered,
// and returns the ids of the jobs that changed.
func (f *Follower) applyTo(v *job.View, p *site.Page) []string {
	now, asOf := int64(time.Since(f.start)), f.sentAt(p)
	for i := range p.Entries {
		if job.LeaderOnly(p.Entries[i].Key) {
			f.lastLeaderRecordAt.Store(now)
		}
	}
	if at := f.upToDateAt.Load(); at > 0 {
		p.CaughtUpAt = f.start.Add(time.Duration(at))
	}
	if p.Skipped > 0 {
		_ = level.Error(f.logger).Log("msg", "records that cannot be read are left out", "records", p.Skipped, "next", p.Next)
	}
	ids, err := v.Apply(p)
	if err != nil {
		_ = level.Error(f.logger).Log("msg", "failed to decode record", "err", err)
	}
	f.lastReadAt.Store(max(asOf, f.lastReadAt.Load()))
	f.firstReadAt.CompareAndSwap(0, now)
	if time.Duration(now-f.lastAnswerAt.Swap(now)) > f.outageGap() {
		f.availableSince.Store(now)
	}
	return ids
}

// sentAt returns the time since start as of which the records of a page were sent.
func (f *Follower) sentAt(p *site.Page) int64 {
	if p.BeganAt.IsZero() {
		return int64(time.Since(f.start))
	}
	return int64(p.BeganAt.Sub(f.start))
}

// Sync reads to the current end of the stream. If it returns nil, the local copy
// contains all records that were acknowledged before the call.
func (f *Follower) Sync(ctx context.Context) error {
	if !f.loaded.Load() {
		return site.ErrRefused.New("the records are not read yet")
	}
	return f.read(ctx, 0)
}

// Loaded reports whether the records of all keys have been loaded.
func (f *Follower) Loaded() bool {
	return f.loaded.Load()
}

// contiguousLen returns the length of the longest prefix of entries with
// consecutive offsets. Offers can have gaps: one may combine two appends between
// which other VMs have appended.
func contiguousLen(entries []site.Entry) int {
	n := 1
	for n < len(entries) && entries[n].Offset == entries[n-1].Offset+1 {
		n++
	}
	return n
}

// SetLeading sets whether this VM is the leader, which reads more often.
func (f *Follower) SetLeading(leading bool) {
	f.leading.Store(leading)
}

// Fresh reports whether all keys are loaded and records or an answer of the stream
// arrived within the given time.
func (f *Follower) Fresh(within time.Duration) bool {
	return f.loaded.Load() && time.Since(f.start)-time.Duration(f.lastReadAt.Load()) <= within
}

// Available reports whether the stream answered the last read of this VM. Unlike Fresh, it
// does not count records that other VMs offered.
func (f *Follower) Available() bool {
	return !f.failing.Load()
}

// outageGap is the time without an answer that counts as an outage of the stream. Answers
// of a slow one are further apart.
func (f *Follower) outageGap() time.Duration {
	return minOutageGap + f.ReadLatency()
}

// LeaderSilence returns how long the stream has been available without a new record
// of a leader.
func (f *Follower) LeaderSilence() time.Duration {
	last := max(f.lastLeaderRecordAt.Load(), f.availableSince.Load())
	return time.Since(f.start) - time.Duration(last)
}

// AvailableSince returns since when the stream has answered, or another VM has offered durable
// records, without an outage. During an outage it returns the present.
func (f *Follower) AvailableSince() time.Time {
	now := time.Since(f.start)
	if now-time.Duration(f.lastAnswerAt.Load()) > f.outageGap() {
		return f.start.Add(now)
	}
	since := max(f.availableSince.Load(), f.firstReadAt.Load())
	return f.start.Add(time.Duration(since))
}
