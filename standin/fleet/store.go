// Package fleet plays the parts of a deployment that jobs of several steps
// need: the stream of records, workers under leases, and the advisor. Faults
// are set on each part; what must never happen is noted as a breach.
package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"pollendock.example/cell/site"
)

// Store is the stream of records.
type Store struct {
	mu      sync.Mutex
	entries []site.Entry
	first   int64
	wake    chan struct{}
	epoch   int64
	// sequence is the next one of the epoch, last the offset of the one before.
	sequence int64
	last     int64
	away     bool
	silent   bool
	loseNext int
	pageSize int
	delay    time.Duration
	reads    int
	repeats  int
	// pace is how long the store takes for an append, one at a time, and freeAt
	// when it is done with the last.
	pace   time.Duration
	freeAt time.Time
	// late is how much later an append in a term is done than it was sent.
	late time.Duration
	// Of every loseEvery appends one gets no answer until its caller gives up.
	loseEvery, appends int
}

// defaultPage is the most entries on a page.
const defaultPage = 500

// NewStore returns an empty stream.
func NewStore() *Store {
	return &Store{wake: make(chan struct{}), pageSize: defaultPage}
}

// Reads returns the number of reads so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Repeats returns the number of appends that had been done before.
func (s *Store) Repeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeats
}

// SetDelay has the answer to each read take that long on its way.
func (s *Store) SetDelay(d time.Duration) {
	s.set(func() { s.delay = d })
}

// SetPage bounds the entries on a page.
func (s *Store) SetPage(n int) {
	s.set(func() { s.pageSize = n })
}

// set changes a fault.
func (s *Store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// SetAway has the store refuse every call.
func (s *Store) SetAway(away bool) {
	s.set(func() { s.away = away })
}

// SetSilent has the store leave every call without an answer.
func (s *Store) SetSilent(silent bool) {
	s.set(func() { s.silent = silent })
}

// LoseAnswers has the next n appends done without an answer.
func (s *Store) LoseAnswers(n int) {
	s.set(func() { s.loseNext = n })
}

// LoseEvery has one of every n appends done without an answer; 0 for none.
func (s *Store) LoseEvery(n int) {
	s.set(func() { s.loseEvery = n })
}

// SetLate has appends in a term done later, also if their caller has given up.
func (s *Store) SetLate(by time.Duration) {
	s.set(func() { s.late = by })
}

// SetPace has appends done one at a time, each in that time. One whose caller has
// given up is done all the same.
func (s *Store) SetPace(d time.Duration) {
	s.set(func() { s.pace = d })
}

// Trim drops the history; the newest entry of each key stays.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.entries))
}

// Entries returns all that was ever appended.
func (s *Store) Entries() []site.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]site.Entry(nil), s.entries...)
}

// available blocks while the store is silent, and refuses while it is away.
func (s *Store) available(ctx context.Context) error {
	s.mu.Lock()
	silent, away := s.silent, s.away
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return site.ErrUnknown.Wrap(ctx.Err())
	}
	if away {
		return site.ErrRefused.New("away")
	}
	return nil
}

// Append adds entries.
func (s *Store) Append(ctx context.Context, entries []site.Entry) (int64, error) {
	if err := s.available(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(entries)
}

// AppendAs adds entries in a term.
func (s *Store) AppendAs(ctx context.Context, t site.Term, entries []site.Entry) (int64, error) {
	if err := s.available(ctx); err != nil {
		return 0, err
	}
	if wait := s.turn(); wait > 0 {
		return s.addLate(ctx, t, entries, wait)
	}
	first, err := s.addAs(t, entries)
	s.mu.Lock()
	s.appends++
	lost := s.loseEvery > 0 && s.appends%s.loseEvery == 0
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, site.ErrUnknown.Wrap(ctx.Err())
	}
	return first, err
}

// addLate adds entries after some time, also if the caller has given up.
func (s *Store) addLate(ctx context.Context, t site.Term, entries []site.Entry, by time.Duration) (int64, error) {
	type outcome struct {
		first int64
		err   error
	}
	done := make(chan outcome, 1)
	time.AfterFunc(by, func() {
		first, err := s.addAs(t, entries)
		done <- outcome{first, err}
	})
	select {
	case o := <-done:
		return o.first, o.err
	case <-ctx.Done():
		return 0, site.ErrUnknown.Wrap(ctx.Err())
	}
}

// turn returns how long an append has to wait until it is done.
func (s *Store) turn() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late > 0 || s.pace == 0 {
		return s.late
	}
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.pace)
	return s.freeAt.Sub(now)
}

func (s *Store) addAs(t site.Term, entries []site.Entry) (int64, error) {
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
	if s.loseNext > 0 {
		s.loseNext--
		return 0, site.ErrUnknown.New("the answer was lost")
	}
	return at, nil
}

// Read returns entries from an offset on.
func (s *Store) Read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error) {
	p, err := s.read(ctx, from, wait)
	return p, s.travel(ctx, err)
}

// travel waits until an answer has arrived.
func (s *Store) travel(ctx context.Context, err error) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	select {
	case <-time.After(delay):
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

// Newest returns a page of the newest entry of each key, those after a key.
func (s *Store) Newest(ctx context.Context, after string) (*site.Page, error) {
	p, err := s.newest(ctx, after)
	return p, s.travel(ctx, err)
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
