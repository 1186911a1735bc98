package scheduler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/pause"
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

	appendDone struct {
		l *leadership
		b *batch
		// sentAt is when the attempt was made that this is the answer to.
		sentAt time.Time
		// first is the offset of the batch's first entry.
		first int64
		err   error
	}
)

const (
	// appendGap groups what happens meanwhile into one append.
	appendGap = 12 * time.Millisecond
	// An append without an answer is sent again beside the first attempt after
	// usualTimes its usual time or slowTimes that of a read, within these bounds,
	// and after twice as long from then on. A repeat changes nothing if the first
	// one was done, but a slow stream gets slower by it.
	leastRepeatGap = 150 * time.Millisecond
	mostRepeatGap  = 2500 * time.Millisecond
	usualTimes     = 6
	// appendTimeout is how long an attempt may take, and attemptGaps the same in
	// gaps between attempts where that is longer.
	appendTimeout = 1200 * time.Millisecond
	attemptGaps   = 2
	// usualWeight is that of the past in the mean.
	usualWeight = 7
	// failingAfter is how long an append may go without an answer, on a stream
	// that answers reads.
	failingAfter = 2500 * time.Millisecond
	appendRetry  = 60 * time.Millisecond
	// acceptLimit is how long a caller's record may be expected to wait: its caller
	// would have given up, not knowing whether the job runs.
	acceptLimit = 2200 * time.Millisecond
	// A leader whose appends are refused yieldAfter times in a row asks others
	// to stand. Refusals that take longer than quickRefusal come from a stream
	// that is slow for all.
	yieldAfter   = 2
	quickRefusal = 60 * time.Millisecond
	// An append that takes longer than doubtAfter, while no read has been
	// answered for doubtFresh, is likely to get no answer.
	doubtAfter = 300 * time.Millisecond
	doubtFresh = 700 * time.Millisecond
	// maxBatchBytes bounds the size of an append.
	maxBatchBytes = 400 << 10
)

func (f *flushState) init(now time.Time) {
	f.ackedAt = now
}

// streamAway reports whether an append has failed, or is likely to.
func (l *leadership) streamAway(now time.Time) bool {
	f := &l.flush
	return f.failing || f.sent != nil && now.Sub(f.sentAt) > doubtAfter && !l.s.deps.Follower.Fresh(doubtFresh)
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
		b.entries = append(b.entries, job.ForgetEntries(id)...)
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
	outline, err := job.SubmissionEntry(w.sub.ToOutline())
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

func (l *leadership) send(b *batch) {
	f := &l.flush
	f.sent = b
	f.sentAt = time.Now()
	f.attempts = 0
	l.attempt(b)
}

// attempt sends the append under way, for the first time or again. The stream takes
// it once, by its sequence number, and the first answer counts.
func (l *leadership) attempt(b *batch) {
	f := &l.flush
	f.attempts++
	sentAt := time.Now()
	f.triedAt = sentAt
	term := l.term
	gap := f.repeatGap(l.s.deps.Follower.CallTime())
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, max(appendTimeout, attemptGaps*gap))
		defer cancel()
		first, err := l.s.deps.Stream.AppendAs(ctx, term, b.entries)
		return appendDone{l, b, sentAt, first, err}
	})
	l.attemptAfter(b, gap)
}

// attemptAfter has the append sent again after a time, if nothing else has come of
// it until then.
func (l *leadership) attemptAfter(b *batch, d time.Duration) {
	n := l.flush.attempts
	l.spawn(func(ctx context.Context) event {
		pause.For(ctx, d)
		return appendAgain{l, b, n}
	})
}

// repeatGap is the time until the next attempt on a stream that takes call to
// answer a read.
func (f *flushState) repeatGap(call time.Duration) time.Duration {
	gap := max(leastRepeatGap, usualTimes*f.usual, slowTimes*call)
	if f.attempts > 1 {
		gap *= 2
	}
	return min(mostRepeatGap, gap)
}

// noteTime takes in how long the stream took to answer. It is believed at once that
// the stream has become slow, and by and by that it is quick again.
func (f *flushState) noteTime(took time.Duration) {
	f.usual = max(took, (usualWeight*f.usual+took)/(usualWeight+1))
}

// expectedWait is how long a record that comes now should take to become durable:
// the rest of the append under way, and the next one.
func (f *flushState) expectedWait(now time.Time) time.Duration {
	if f.sent == nil {
		return f.usual
	}
	return max(0, f.usual-now.Sub(f.sentAt)) + f.usual
}

func (e appendDone) handle(s *Scheduler) {
	l := e.l
	f := &l.flush
	if !l.current() || f.sent != e.b {
		return
	}
	now := time.Now()
	switch {
	case e.err == nil:
		s.deps.Counts.Time("append", now.Sub(f.sentAt))
		f.sent = nil
		f.ackedAt = now
		f.refused = 0
		f.noteTime(now.Sub(e.sentAt))
		l.term.Sequence++
		if f.failing {
			f.failing = false
			_ = level.Info(s.deps.Logger).Log("msg", "stream takes appends again", "sequence", l.term.Sequence)
		}
		l.durable(e.b, e.first)
	case site.ErrFenced.Has(e.err):
		s.endLeadership("a later term has begun")
	case site.ErrRefused.Has(e.err):
		l.appendRefused(&e, now)
	default:
		l.s.deps.Counts.Count("append_failures", 1)
	}
}

// appendRefused sends an append again that the stream has turned away.
func (l *leadership) appendRefused(e *appendDone, now time.Time) {
	f := &l.flush
	l.s.deps.Counts.Count("append_failures", 1)
	l.appendFails(e.err)
	if now.Sub(f.triedAt) < quickRefusal {
		f.refused++
	}
	if f.refused == yieldAfter {
		_ = level.Warn(l.s.deps.Logger).Log("msg", "the stream turns this VM away, asking others to lead", "epoch", l.term.Epoch)
		l.s.deps.Peers.Yield(l.term.Epoch)
	}
	l.attemptAfter(e.b, appendRetry)
}

// appendFails refuses callers from now on, until an append gets through.
func (l *leadership) appendFails(why error) {
	f := &l.flush
	if !f.failing {
		f.failing = true
		_ = level.Warn(l.s.deps.Logger).Log("msg", "append fails, repeating it", "sequence", l.term.Sequence,
			"attempts", f.attempts, "err", why)
	}
	l.refuse(site.ErrRefused.New("the stream does not answer the leader"))
}

type appendAgain struct {
	l *leadership
	b *batch
	// attempt is the last one before.
	attempt int
}

func (e appendAgain) handle(*Scheduler) {
	l := e.l
	f := &l.flush
	if !l.current() || f.sent != e.b || f.attempts != e.attempt {
		return
	}
	now := time.Now()
	if l.streamAway(now) || now.Sub(f.sentAt) > failingAfter {
		l.appendFails(site.ErrUnknown.New("for %v", now.Sub(f.sentAt)))
	}
	l.attempt(e.b)
}

// durable does what waited for the append.
func (l *leadership) durable(b *batch, first int64) {
	for i := range b.entries {
		b.entries[i].Offset = first + int64(i)
	}
	l.s.deps.Peers.Offer(b.entries)
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

// offer gives the entries to this VM's book. That calls back for the jobs that
// changed, which must not wait for the goroutine that is here.
func (l *leadership) offer(entries []site.Entry) {
	go l.s.deps.Follower.Offer(entries)
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
