package scheduler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/pause"
)

type (
	appendDone struct {
		l *leadership
		b *batch
		// sentAt is when the attempt was made that this is the answer to.
		sentAt time.Time
		// first is the offset of the batch's first entry.
		first int64
		err   error
	}

	// appendAgain is due when an attempt has had no answer for a while.
	appendAgain struct {
		l *leadership
		b *batch
		// attempt is the last one before.
		attempt int
	}
)

const (
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
)

// streamAway reports whether an append has failed, or is likely to.
func (l *leadership) streamAway(now time.Time) bool {
	f := &l.flush
	return f.failing || f.sent != nil && now.Sub(f.sentAt) > doubtAfter && !l.s.deps.Follower.Fresh(doubtFresh)
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
	gap := f.repeatGap(l.s.deps.Follower.ReadLatency())
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
