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
		busy   bool
		// sent is the append under way.
		sent *batch
		// last is set for the append that ends the term.
		last    bool
		sentAt  time.Time
		ackedAt time.Time
		// usual is the mean time of an append of late.
		usual time.Duration
		// unanswered counts the attempts in a row that got no answer in time.
		unanswered int
		failing    bool
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
		// first is the offset of the batch's first entry.
		first int64
		err   error
	}
)

const (
	// appendGap groups what happens meanwhile into one append.
	appendGap = 12 * time.Millisecond
	// An append without an answer is repeated after usualTimes its usual time or
	// slowTimes the time of a read, within these bounds, and after twice as long
	// each further time. A repeat changes nothing if the first one was done, but
	// a slow stream gets slower by it.
	leastAppendTimeout = 150 * time.Millisecond
	appendTimeout      = 2500 * time.Millisecond
	usualTimes         = 6
	// usualWeight is that of the past in the mean.
	usualWeight = 7
	// failingAfter is how many attempts without an answer mean that the stream
	// is away, and not that one answer was lost.
	failingAfter = 2
	// maxDoubled bounds how often the time of an attempt is doubled.
	maxDoubled  = 1
	appendRetry = 60 * time.Millisecond
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
	return f.failing || f.busy && now.Sub(f.sentAt) > doubtAfter && !l.s.deps.Follower.Fresh(doubtFresh)
}

// flushIfDue appends what has changed, or a sign of life.
func (l *leadership) flushIfDue(now time.Time) {
	f := &l.flush
	if f.busy || f.last {
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
	f.busy = true
	f.sent = b
	f.sentAt = time.Now()
	term, timeout := l.term, f.timeout(l.s.deps.Follower.CallTime())
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		first, err := l.s.deps.Stream.AppendAs(ctx, term, b.entries)
		return appendDone{l, b, first, err}
	})
}

func (e appendDone) handle(s *Scheduler) {
	l := e.l
	if !l.current() {
		return
	}
	f := &l.flush
	now := time.Now()
	switch {
	case e.err == nil:
		s.deps.Counts.Time("append", now.Sub(f.sentAt))
		f.busy = false
		f.ackedAt = now
		f.refused = 0
		f.unanswered = 0
		f.usual = (usualWeight*f.usual + now.Sub(f.sentAt)) / (usualWeight + 1)
		l.term.Sequence++
		if f.failing {
			f.failing = false
			_ = level.Info(s.deps.Logger).Log("msg", "stream takes appends again", "sequence", l.term.Sequence)
		}
		l.durable(e.b, e.first)
	case site.ErrFenced.Has(e.err):
		s.endLeadership("a later term has begun")
	default:
		l.appendFailed(&e, now)
	}
}

// appendFailed repeats an append that was refused or got no answer.
func (l *leadership) appendFailed(e *appendDone, now time.Time) {
	f := &l.flush
	refused := site.ErrRefused.Has(e.err)
	rest := time.Duration(0)
	if refused {
		rest = appendRetry
	} else {
		f.unanswered++
	}
	if !f.failing && (refused || f.unanswered >= failingAfter) {
		f.failing = true
		_ = level.Warn(l.s.deps.Logger).Log("msg", "append failed, repeating it", "sequence", l.term.Sequence, "err", e.err)
	}
	l.s.deps.Counts.Count("append_failures", 1)
	if refused && now.Sub(f.sentAt) < quickRefusal {
		f.refused++
	}
	if f.refused == yieldAfter {
		_ = level.Warn(l.s.deps.Logger).Log("msg", "the stream turns this VM away, asking others to lead", "epoch", l.term.Epoch)
		l.s.deps.Peers.Yield(l.term.Epoch)
	}
	if f.failing {
		l.refuse(site.ErrRefused.New("the stream does not answer the leader"))
	}
	l.spawn(func(ctx context.Context) event {
		pause.For(ctx, rest)
		return appendAgain{l, e.b}
	})
}

// timeout is how long the next attempt may take on a stream that takes call to
// answer a read.
func (f *flushState) timeout(call time.Duration) time.Duration {
	first := max(leastAppendTimeout, usualTimes*f.usual, slowTimes*call)
	return min(appendTimeout, first<<min(f.unanswered, maxDoubled))
}

type appendAgain struct {
	l *leadership
	b *batch
}

// handle repeats an append as it was, under its own sequence number, so that it
// takes effect once whether or not an earlier one did.
func (e appendAgain) handle(*Scheduler) {
	if e.l.current() {
		e.l.send(e.b)
	}
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
	if f.busy {
		answer(f.sent.accepts, site.ErrUnknown.New("the term has ended"))
	}
	answer(f.accepts, site.ErrRefused.New("the term has ended"))
}
