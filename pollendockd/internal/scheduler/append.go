package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	appendDone struct {
		l *leadership
		b *batch
		// sentAt is when the attempt was sent that this is the result of.
		sentAt time.Time
		// first is the offset of the batch's first entry.
		first int64
		err   error
	}

	// appendRetryDue is posted when an append is to be sent again. It is ignored if the
	// append has succeeded or another attempt was made meanwhile.
	appendRetryDue struct {
		l *leadership
		b *batch
		// attempt is the number of attempts made when the retry was scheduled.
		attempt int
	}
)

const (
	// An unanswered append is resent, while the first attempt is still pending, after
	// retryAppendFactor times the latency of an append or readTimeFactor times that of
	// a read, whichever is longer, within these limits. From the second attempt on the
	// interval is twice as long. A retry has no effect if the first attempt succeeded,
	// but it slows down a slow stream further.
	minRetryInterval = 150 * time.Millisecond
	maxRetryInterval = 2500 * time.Millisecond
	// An append of more than smallBatchBytes takes longer to send: the interval assumes
	// slowUplink bytes a second for the rest.
	smallBatchBytes   = 32 << 10
	slowUplink        = 256 << 10
	retryAppendFactor = 6
	// An attempt times out after appendTimeout, or after timeoutIntervals retry
	// intervals if that is longer.
	appendTimeout    = 1200 * time.Millisecond
	timeoutIntervals = 2
	// historyWeight is the weight of past values in the moving average of the latency.
	historyWeight = 7
	// unansweredLimit is how long an append may go unanswered on a stream that answers
	// reads.
	unansweredLimit   = 2500 * time.Millisecond
	refusedRetryDelay = 60 * time.Millisecond
	// acceptLimit is the longest expected wait at which callers' records are accepted.
	// A caller would give up on a longer one without knowing whether the job runs.
	acceptLimit = 2200 * time.Millisecond
	// A leader whose appends are refused, or whose connections are reset,
	// maxQuickRefusals times in a row asks other VMs to campaign. Refusals that take
	// longer than quickRefusalTime come from a stream that is slow for all VMs.
	maxQuickRefusals = 2
	quickRefusalTime = 60 * time.Millisecond
	// An append that has taken longer than suspectAfter, while no read was answered for
	// suspectReadAge, is likely to stay unanswered.
	suspectAfter   = 300 * time.Millisecond
	suspectReadAge = 700 * time.Millisecond
)

// streamUnavailable reports whether an append has failed or is likely to.
func (l *leadership) streamUnavailable(now time.Time) bool {
	f := &l.flush
	return f.failing || f.sent != nil && now.Sub(f.sentAt) > suspectAfter && !l.s.deps.Follower.Fresh(suspectReadAge)
}

func (l *leadership) send(b *batch) {
	f := &l.flush
	f.sent = b
	f.sentAt = time.Now()
	f.noteDispatches(b)
	f.attempts = 0
	l.attempt(b)
}

// noteDispatches notes when the dispatches of a batch's starts were sent, which an earlier batch may hold.
func (f *flushState) noteDispatches(b *batch) {
	if f.dispatchedAt.IsZero() {
		f.dispatchedAt = f.sentAt
	}
	if b.complete {
		b.dispatchAge.appendedAt = f.dispatchedAt
		f.dispatchedAt = time.Time{}
	}
}

// attempt sends the append in progress, for the first time or as a retry. The stream
// deduplicates it by its sequence number, and the first answer counts.
func (l *leadership) attempt(b *batch) {
	f := &l.flush
	f.attempts++
	sentAt := time.Now()
	term := l.term
	interval := f.retryInterval(l.s.deps.Follower.ReadLatency()) + b.sendTime()
	l.spawn(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, max(appendTimeout, timeoutIntervals*interval))
		defer cancel()
		first, err := l.s.deps.Stream.AppendAs(ctx, term, b.entries)
		return appendDone{l, b, sentAt, first, err}
	})
	l.scheduleAttempt(b, interval)
}

// scheduleAttempt resends the append after d unless it has succeeded or was resent by
// then.
func (l *leadership) scheduleAttempt(b *batch, d time.Duration) {
	n := l.flush.attempts
	l.spawn(func(ctx context.Context) event {
		sleep.For(ctx, d)
		return appendRetryDue{l, b, n}
	})
}

// retryInterval is the time until the next attempt, on a stream that takes readLatency
// to answer a read.
func (f *flushState) retryInterval(readLatency time.Duration) time.Duration {
	interval := max(minRetryInterval, retryAppendFactor*f.latency, readTimeFactor*readLatency)
	if f.attempts > 1 {
		interval *= 2
	}
	return min(maxRetryInterval, interval)
}

// sendTime returns the additional time until a large batch is sent over a slow link.
func (b *batch) sendTime() time.Duration {
	size := 0
	for i := range b.entries {
		size += b.entries[i].Size()
	}
	return time.Duration(max(0, size-smallBatchBytes)) * time.Second / slowUplink
}

// recordLatency updates the latency estimate. An increase takes effect at once, a
// decrease gradually.
func (f *flushState) recordLatency(took time.Duration) {
	f.latency = max(took, (historyWeight*f.latency+took)/(historyWeight+1))
}

// expectedWait is the expected time until a record that arrives now is durable: the
// rest of the append in progress plus the next one.
func (f *flushState) expectedWait(now time.Time) time.Duration {
	if f.sent == nil {
		return f.latency
	}
	return max(0, f.latency-now.Sub(f.sentAt)) + f.latency
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
		// The stream may have accepted a later term between the first attempt and now.
		f.noteAcked(f.sentAt)
		f.refused = 0
		f.recordLatency(now.Sub(e.sentAt))
		l.term.Sequence++
		if f.failing {
			f.failing = false
			_ = level.Info(s.deps.Logger).Log("msg", "appends to the stream succeed again", "sequence", l.term.Sequence)
		}
		l.onDurable(e.b, e.first)
	case site.ErrFenced.Has(e.err):
		s.endLeadership("a later term has begun")
	case site.ErrRefused.Has(e.err):
		l.appendRefused(&e, now)
	default:
		l.s.deps.Counts.Count("append_failures", 1)
		l.appendUnanswered(&e, now.Sub(e.sentAt))
	}
}

// appendRefused retries an append that the stream has refused.
func (l *leadership) appendRefused(e *appendDone, now time.Time) {
	l.s.deps.Counts.Count("append_failures", 1)
	l.failAppends(e.err)
	l.noteFailure(now.Sub(e.sentAt))
	l.scheduleAttempt(e.b, refusedRetryDelay)
}

// appendUnanswered handles an attempt that ended without an answer after the time took. One
// that did not time out was reset, and is retried like one that was refused: at the end of
// an outage the leader appends before other VMs assume that it has ended.
func (l *leadership) appendUnanswered(e *appendDone, took time.Duration) {
	l.noteFailure(took)
	if l.flush.refused >= maxQuickRefusals {
		l.failAppends(e.err)
	}
	if !errors.Is(e.err, context.DeadlineExceeded) {
		l.scheduleAttempt(e.b, refusedRetryDelay)
	}
}

// noteFailure counts an attempt that failed after the time took, and asks other VMs to
// campaign if the stream seems to refuse this VM.
func (l *leadership) noteFailure(took time.Duration) {
	f := &l.flush
	if took >= quickRefusalTime {
		return
	}
	f.refused++
	if f.refused == maxQuickRefusals {
		_ = level.Warn(l.s.deps.Logger).Log("msg", "the stream refuses appends of this VM; asking other VMs to campaign", "epoch", l.term.Epoch)
		l.s.deps.Peers.Yield(l.term.Epoch)
	}
}

// failAppends rejects callers until an append succeeds again.
func (l *leadership) failAppends(why error) {
	f := &l.flush
	if !f.failing {
		f.failing = true
		_ = level.Warn(l.s.deps.Logger).Log("msg", "append failed; retrying", "sequence", l.term.Sequence,
			"attempts", f.attempts, "err", why)
	}
	l.rejectAccepts(site.ErrRefused.New("the stream does not answer the leader"))
}

func (e appendRetryDue) handle(*Scheduler) {
	l := e.l
	f := &l.flush
	if !l.current() || f.sent != e.b || f.attempts != e.attempt {
		return
	}
	now := time.Now()
	if l.streamUnavailable(now) || now.Sub(f.sentAt) > unansweredLimit {
		l.failAppends(site.ErrUnknown.New("no answer for %v", now.Sub(f.sentAt)))
	}
	l.attempt(e.b)
}
