// Package fleet simulates the parts of a deployment that jobs of several steps
// need: the stream of records, workers under leases, and the advisor. Faults
// can be injected into each part. It records invariant violations.
package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"pollendock.example/cell/site"
)

// Store simulates the stream of records.
type Store struct {
	mu      sync.Mutex
	entries []site.Entry
	first   int64
	wake    chan struct{}
	epoch   int64
	// sequence is the next sequence number of the epoch, last the offset of the
	// previous append in it.
	sequence    int64
	last        int64
	unavailable bool
	silent      bool
	dropNext    int
	pageSize    int
	readDelay   time.Duration
	reads       int
	repeats     int
	// appendTime is how long the store takes for an append, one at a time; freeAt
	// is when it finishes the last one.
	appendTime time.Duration
	freeAt     time.Time
	// appendDelay is the time after which an append in a term takes effect.
	appendDelay time.Duration
	// One of every dropEvery appends gets no response: the call returns when its
	// caller gives up.
	dropEvery, appends int
	// largeRecords is set if the sizes of records and calls are not limited.
	largeRecords bool
}

const (
	// defaultPageSize is the maximum number of entries on a page.
	defaultPageSize = 500
	// maxRecordBytes and maxCallBytes limit an entry and an append.
	maxRecordBytes = 256 << 10
	maxCallBytes   = 2 << 20
)

// NewStore returns an empty stream.
func NewStore() *Store {
	return &Store{wake: make(chan struct{}), pageSize: defaultPageSize}
}

// Reads returns the number of reads so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Repeats returns the number of appends that repeated an earlier one.
func (s *Store) Repeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeats
}

// SetReadDelay delays the response to each read.
func (s *Store) SetReadDelay(d time.Duration) {
	s.set(func() { s.readDelay = d })
}

// SetPageSize sets the maximum number of entries on a page.
func (s *Store) SetPageSize(n int) {
	s.set(func() { s.pageSize = n })
}

func (s *Store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// SetUnavailable makes the store refuse every call, or stop doing so.
func (s *Store) SetUnavailable(unavailable bool) {
	s.set(func() { s.unavailable = unavailable })
}

// SetSilent makes the store leave every call without a response, or stop doing
// so.
func (s *Store) SetSilent(silent bool) {
	s.set(func() { s.silent = silent })
}

// DropResponses makes the next n appends take effect but return an unknown
// outcome.
func (s *Store) DropResponses(n int) {
	s.set(func() { s.dropNext = n })
}

// DropEvery makes one of every n appends take effect without a response; 0 for
// none.
func (s *Store) DropEvery(n int) {
	s.set(func() { s.dropEvery = n })
}

// SetAppendDelay makes appends in a term take effect after a delay, even if the
// caller has given up.
func (s *Store) SetAppendDelay(d time.Duration) {
	s.set(func() { s.appendDelay = d })
}

// SetAppendTime makes the store process appends in a term one at a time, each
// for the duration d. An append takes effect even if its caller has given up.
func (s *Store) SetAppendTime(d time.Duration) {
	s.set(func() { s.appendTime = d })
}

// Trim makes all current offsets unreadable; the newest entry of each key is
// kept.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.entries))
}

// Entries returns all entries that were ever appended.
func (s *Store) Entries() []site.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]site.Entry(nil), s.entries...)
}

// available blocks until ctx is done if the store is silent, and returns an
// error if it is unavailable.
func (s *Store) available(ctx context.Context) error {
	s.mu.Lock()
	silent, unavailable := s.silent, s.unavailable
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return site.ErrUnknown.Wrap(ctx.Err())
	}
	if unavailable {
		return site.ErrRefused.New("away")
	}
	return nil
}

// Append appends entries.
func (s *Store) Append(ctx context.Context, entries []site.Entry) (int64, error) {
	if err := s.available(ctx); err != nil {
		return 0, err
	}
	if err := s.checkSizes(entries); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(entries)
}

// AcceptLargeRecords makes the store accept records of any size, like those of the operator.
func (s *Store) AcceptLargeRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largeRecords = true
}

// checkSizes refuses what the store has no space for in one record or one call.
func (s *Store) checkSizes(entries []site.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.largeRecords {
		return nil
	}
	total := 0
	for i := range entries {
		size := 1 + entries[i].Size()
		if size > maxRecordBytes {
			return site.ErrRefused.New("a record of %d bytes", size)
		}
		total += size
	}
	if total > maxCallBytes {
		return site.ErrRefused.New("an append of %d bytes", total)
	}
	return nil
}

// AppendAs appends entries in a term.
func (s *Store) AppendAs(ctx context.Context, t site.Term, entries []site.Entry) (int64, error) {
	if err := s.available(ctx); err != nil {
		return 0, err
	}
	if err := s.checkSizes(entries); err != nil {
		return 0, err
	}
	if wait := s.appendWait(); wait > 0 {
		return s.appendDelayed(ctx, t, entries, wait)
	}
	first, err := s.appendInTerm(t, entries)
	s.mu.Lock()
	s.appends++
	lost := s.dropEvery > 0 && s.appends%s.dropEvery == 0
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, site.ErrUnknown.Wrap(ctx.Err())
	}
	return first, err
}

// appendDelayed appends entries after a delay, even if the caller has given up.
func (s *Store) appendDelayed(ctx context.Context, t site.Term, entries []site.Entry, delay time.Duration) (int64, error) {
	type outcome struct {
		first int64
		err   error
	}
	done := make(chan outcome, 1)
	time.AfterFunc(delay, func() {
		first, err := s.appendInTerm(t, entries)
		done <- outcome{first, err}
	})
	select {
	case o := <-done:
		return o.first, o.err
	case <-ctx.Done():
		return 0, site.ErrUnknown.Wrap(ctx.Err())
	}
}

// appendWait returns how long an append takes, including those queued before
// it.
func (s *Store) appendWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appendDelay > 0 || s.appendTime == 0 {
		return s.appendDelay
	}
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.appendTime)
	return s.freeAt.Sub(now)
}

// appendInTerm appends entries if the term is current. It detects a repeat of
// the last append.
func (s *Store) appendInTerm(t site.Term, entries []site.Entry) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case t.Epoch < s.epoch:
		return 0, site.ErrFenced.New("epoch %d after %d", t.Epoch, s.epoch)
	case t.Epoch > s.epoch:
		s.epoch = t.Epoch
		s.sequence = t.Sequence
	case t.Sequence == s.sequence-1:
		s.repeats++
		return s.last, nil
	case t.Sequence != s.sequence:
		return 0, site.ErrRefused.New("sequence %d, not %d", t.Sequence, s.sequence)
	}
	s.sequence = t.Sequence + 1
	s.last = int64(len(s.entries))
	return s.add(entries)
}

func (s *Store) add(entries []site.Entry) (int64, error) {
	at := int64(len(s.entries))
	for i, e := range entries {
		e.Offset = at + int64(i)
		s.entries = append(s.entries, e)
	}
	close(s.wake)
	s.wake = make(chan struct{})
	if s.dropNext > 0 {
		s.dropNext--
		return 0, site.ErrUnknown.New("the answer was lost")
	}
	return at, nil
}

// Read returns entries starting at an offset.
func (s *Store) Read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error) {
	p, err := s.read(ctx, from, wait)
	return p, s.delayResponse(ctx, err)
}

// delayResponse waits for readDelay and returns err, or an error if ctx
// is done first.
func (s *Store) delayResponse(ctx context.Context, err error) error {
	s.mu.Lock()
	readDelay := s.readDelay
	s.mu.Unlock()
	select {
	case <-time.After(readDelay):
		return err
	case <-ctx.Done():
		return site.ErrUnknown.Wrap(ctx.Err())
	}
}

func (s *Store) read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error) {
	if err := s.available(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		end, wake := int64(len(s.entries)), s.wake
		if from < s.first {
			s.mu.Unlock()
			return nil, site.ErrTrimmed.New("%d is before %d", from, s.first)
		}
		if end > from {
			next := min(end, from+int64(s.pageSize))
			page := &site.Page{Entries: append([]site.Entry(nil), s.entries[from:next]...), Next: next, End: end}
			s.mu.Unlock()
			return page, nil
		}
		s.mu.Unlock()
		select {
		case <-wake:
		case <-timer.C:
			return &site.Page{Next: from, End: end}, nil
		case <-ctx.Done():
			return nil, site.ErrUnknown.Wrap(ctx.Err())
		}
	}
}

// Newest returns a page of the newest entry of each key after the given key, in
// key order.
func (s *Store) Newest(ctx context.Context, after string) (*site.Page, error) {
	p, err := s.newest(ctx, after)
	return p, s.delayResponse(ctx, err)
}

func (s *Store) newest(ctx context.Context, after string) (*site.Page, error) {
	if err := s.available(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for i := range s.entries {
		newest[s.entries[i].Key] = i
	}
	end := int64(len(s.entries))
	p := &site.Page{Next: end, End: end}
	for i := range s.entries {
		if e := s.entries[i]; newest[e.Key] == i && len(e.Value) > 0 && e.Key > after {
			p.Entries = append(p.Entries, e)
		}
	}
	sort.Slice(p.Entries, func(a, b int) bool { return p.Entries[a].Key < p.Entries[b].Key })
	if len(p.Entries) > s.pageSize {
		p.Entries = p.Entries[:s.pageSize]
		p.After = p.Entries[s.pageSize-1].Key
	}
	return p, nil
}
