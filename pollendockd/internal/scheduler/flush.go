package scheduler

import (
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

type (
	// flushState is what waits to become durable, and the append under way.
	flushState struct {
		dirty []*work
		// accepts are callers' records.
		accepts []acceptAsked
		// starts are planned runs whose order follows the append.
		starts []*run
		// sent is the append under way, nil if there is none.
		sent *batch
		// last is set for the append that ends the term.
		last    bool
		sentAt  time.Time
		ackedAt time.Time
		// usual is the time of an append of late.
		usual time.Duration
		// attempts counts how often the append under way was sent, the last time at
		// triedAt.
		attempts int
		triedAt  time.Time
		failing  bool
		// refused counts quick refusals in a row.
		refused int
		// forget lists jobs whose records are to be removed.
		forget []string
	}

	// batch is one append with what follows it.
	batch struct {
		entries []site.Entry
		accepts []acceptAsked
		starts  []*run
		// noted holds, for each worker, the number of the last end whose
		// outcome is in the batch.
		noted map[*worker]noted
		final bool
	}

	// noted is an end's number in one life of a worker.
	noted struct {
		boot   int64
		number int64
	}
)

const (
	// appendGap groups what happens meanwhile into one append.
	appendGap = 12 * time.Millisecond
	// maxBatchBytes bounds the size of an append.
	maxBatchBytes = 400 << 10
)

func (f *flushState) init(now time.Time) {
	f.ackedAt = now
}

// flushIfDue appends what has changed, or a sign of life.
func (l *leadership) flushIfDue(now time.Time) {
	f := &l.flush
	if f.sent != nil || f.last {
		return
	}
	work := len(f.dirty) > 0 || len(f.forget) > 0 || len(f.accepts) > 0
	switch {
	case l.handedOver != nil:
	case work && now.Sub(f.sentAt) >= appendGap:
	case now.Sub(f.sentAt) >= heartbeatGap:
	default:
		return
	}
	b, err := l.makeBatch()
	if err != nil {
		_ = level.Error(l.s.deps.Logger).Log("msg", "state cannot be encoded", "err", err)
		l.s.endLeadership("state cannot be encoded")
		return
	}
	l.send(b)
}

func (l *leadership) makeBatch() (*batch, error) {
	f := &l.flush
	b := &batch{noted: map[*worker]noted{}}
	size := 0
	n := 0
	for n < len(f.accepts) && size < maxBatchBytes {
		for _, e := range f.accepts[n].entries {
			size += len(e.Value)
			b.entries = append(b.entries, e)
		}
		n++
	}
	b.accepts, f.accepts = f.accepts[:n], f.accepts[n:]
	n = 0
	for n < len(f.dirty) && size < maxBatchBytes {
		entries, err := f.dirty[n].entries()
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			size += len(e.Value)
		}
		b.entries = append(b.entries, entries...)
		n++
	}
	f.dirty = f.dirty[n:]
	for _, id := range f.forget {
		b.entries = append(b.entries, job.RemovalEntries(id)...)
	}
	f.forget = nil
	if len(f.dirty) == 0 {
		b.starts, f.starts = f.starts, nil
		for _, at := range l.workers {
			b.noted[at] = noted{at.boot, at.ackable()}
		}
	}
	if l.handedOver != nil && len(f.dirty) == 0 {
		b.final = true
		f.last = true
		e, err := job.LeaderEntry(&job.Leader{Epoch: l.term.Epoch, Successor: l.successor()})
		if err != nil {
			return nil, err
		}
		b.entries = append(b.entries, e)
	}
	if len(b.entries) == 0 {
		e, err := job.LeaderEntry(&job.Leader{Epoch: l.term.Epoch, Incarnation: l.s.opt.Incarnation})
		if err != nil {
			return nil, err
		}
		b.entries = append(b.entries, e)
	}
	return b, nil
}

// entries returns what makes the job's present state durable. Of a job that has
// ended only an outline of the submission is kept: each VM reads all records at
// its start, and after a loss of power all VMs do at once.
func (w *work) entries() ([]site.Entry, error) {
	state, err := job.StateEntry(w.id, w.state)
	if err != nil {
		return nil, err
	}
	w.dirty = false
	entries := []site.Entry{state}
	if w.outlined || !w.state.Phase.Final() || len(w.state.Steps) > 0 {
		return entries, nil
	}
	w.outlined = true
	outline, err := job.SubmissionEntry(w.sub.Summary())
	if err != nil {
		return nil, err
	}
	return append(entries, outline), nil
}

// ackable returns the number of the last end that may be acknowledged once what
// is known is durable.
func (at *worker) ackable() int64 {
	if at.ackHeld {
		return min(at.seen, at.ackLimit)
	}
	return at.seen
}

// durable does what waited for the append.
func (l *leadership) durable(b *batch, first int64) {
	for i := range b.entries {
		b.entries[i].Offset = first + int64(i)
	}
	l.offer(b.entries)
	for at, n := range b.noted {
		if at.boot == n.boot {
			at.acked = max(at.acked, n.number)
		}
	}
	if b.final {
		answer(b.accepts, nil)
		l.s.endLeadership("handed over")
		return
	}
	answer(b.accepts, nil)
	for _, r := range b.starts {
		l.order(r)
	}
}

// offer gives the entries to this VM's book, from which they are passed on to the
// others. The book calls back for the jobs that changed, which must not wait for the
// goroutine that is here.
func (l *leadership) offer(entries []site.Entry) {
	deps := &l.s.deps
	go func() {
		deps.Follower.Offer(entries)
		deps.Peers.Offer(entries[0].Offset)
	}()
}

func answer(accepts []acceptAsked, err error) {
	for _, a := range accepts {
		a.reply <- err
	}
}

// abandon answers callers at the end of the term: what was not sent is refused,
// of the rest it is not known.
func (f *flushState) abandon() {
	if f.sent != nil {
		answer(f.sent.accepts, site.ErrUnknown.New("the term has ended"))
	}
	answer(f.accepts, site.ErrRefused.New("the term has ended"))
}
