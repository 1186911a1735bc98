package scheduler

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

type (
	// flushState is what waits to become durable, and the append in progress.
	flushState struct {
		dirty []*trackedJob
		// accepts are the records of callers.
		accepts []acceptRequest
		// starts are planned runs whose start requests follow the append.
		starts []*run
		// sent is the append in progress, nil if there is none.
		sent *batch
		// finalSent is set once the append that ends the term has been built.
		finalSent bool
		sentAt    time.Time
		// ackedAt is when the last successful append was sent: until then no later term
		// had begun.
		ackedAt time.Time
		// ackedTimeOfDay is the same by the time of day, which goes on while the VM is
		// suspended.
		ackedTimeOfDay time.Time
		// leaderRecordAt is when the last batch with a record of the leader was made.
		leaderRecordAt time.Time
		// latency is an estimate of the time that an append takes.
		latency time.Duration
		// attempts counts the attempts of the append in progress.
		attempts int
		failing  bool
		// refused counts consecutive attempts that were quickly refused or reset.
		refused int
		// forget lists jobs whose records are to be removed.
		forget []string
		// givenUpRuns lists workers whose records of runs that were given up have changed.
		givenUpRuns []string
		// dispatchedAt is when the first append was sent of those that hold the dispatches of
		// starts, zero if none was.
		dispatchedAt time.Time
		// speeds is a record of the workers' speeds, nil if none is due.
		speeds *job.WorkerSpeeds
	}

	// batch is one append and the actions that follow it.
	batch struct {
		entries []site.Entry
		accepts []acceptRequest
		starts  []*run
		// ackUpTo holds, for each worker, the number of the last run end whose outcome
		// is in the batch.
		ackUpTo map[*worker]ackUpTo
		// silent holds the workers that the batch records as silent, answered those whose
		// record it removes.
		silent, answered []*worker
		// renewedStarts is the record of the batch, nil if it has none, which names the runs renewed.
		renewedStarts *job.RenewedStarts
		renewed       []*run
		// complete is set if the batch leaves no states to the next one.
		complete bool
		// states is set if the batch has states of jobs.
		states bool
		// dispatchAge is that of the starts.
		dispatchAge dispatchAge
		final       bool
	}

	// ackUpTo is the number of a run end within one incarnation of a worker.
	ackUpTo struct {
		boot   int64
		number int64
	}
)

const (
	// minAppendInterval groups changes that occur close together into one append.
	minAppendInterval = 12 * time.Millisecond
	// maxBatchBytes is the size from which on an append takes no further job. The records
	// of one job are at most as large again.
	maxBatchBytes = 400 << 10
	// entryOverhead is what an entry adds to an append besides its key and value, in bytes.
	entryOverhead = 5
	// maxLeaderRecordAge is the age of the leader's last record from which a batch of
	// callers' records gets another one. A batch postpones the heartbeat.
	maxLeaderRecordAge = heartbeatInterval / 2
)

// init prepares for a term that had not been followed by another at the time asOf.
func (f *flushState) init(asOf time.Time) {
	f.noteAcked(asOf)
}

// noteAcked notes that no later term had begun at the given time.
func (f *flushState) noteAcked(at time.Time) {
	f.ackedAt = at
	f.ackedTimeOfDay = at.Round(0)
}

// flushIfDue appends pending changes, or a heartbeat if there are none.
func (l *leadership) flushIfDue(now time.Time) {
	f := &l.flush
	if f.sent != nil || f.finalSent {
		return
	}
	work := len(f.dirty) > 0 || len(f.forget) > 0 || len(f.accepts) > 0
	switch {
	case l.handoverDone != nil:
	case work && now.Sub(f.sentAt) >= minAppendInterval:
	case now.Sub(f.sentAt) >= heartbeatInterval:
	default:
		return
	}
	b, err := l.makeBatch(now)
	if err != nil {
		_ = level.Error(l.s.deps.Logger).Log("msg", "cannot encode state", "err", err)
		l.s.endLeadership("cannot encode state")
		return
	}
	l.send(b)
}

func (l *leadership) makeBatch(now time.Time) (*batch, error) {
	f := &l.flush
	b := &batch{ackUpTo: map[*worker]ackUpTo{}}
	size := 0
	n := 0
	for n < len(f.accepts) && size < maxBatchBytes {
		size += sizeOf(f.accepts[n].entries)
		b.entries = append(b.entries, f.accepts[n].entries...)
		n++
	}
	b.accepts, f.accepts = f.accepts[:n], f.accepts[n:]
	if err := l.addGivenUpRuns(b); err != nil {
		return nil, err
	}
	n = 0
	for n < len(f.dirty) && size < maxBatchBytes {
		entries, err := f.dirty[n].entries()
		if err != nil {
			return nil, err
		}
		size += sizeOf(entries)
		b.entries = append(b.entries, entries...)
		n++
	}
	b.states = n > 0
	f.dirty = f.dirty[n:]
	for _, id := range f.forget {
		j := l.s.deps.View.Job(id)
		b.entries = append(b.entries, job.RemovalEntries(id, j != nil && j.Crashes != nil)...)
	}
	f.forget = nil
	if f.speeds != nil {
		e, err := job.SpeedsEntry(f.speeds)
		if err != nil {
			return nil, err
		}
		b.entries = append(b.entries, e)
		f.speeds = nil
	}
	if err := l.addSilences(b, now); err != nil {
		return nil, err
	}
	if err := l.addStartDelay(b, now); err != nil {
		return nil, err
	}
	if err := l.addRenewedStarts(b, now); err != nil {
		return nil, err
	}
	b.complete = len(f.dirty) == 0
	if b.complete {
		b.starts, f.starts = f.starts, nil
		for _, wk := range l.workers {
			l.dropKeptAcks(wk)
			b.ackUpTo[wk] = ackUpTo{wk.boot, wk.ackableEnd()}
		}
	}
	if l.handoverDone != nil && len(f.dirty) == 0 {
		b.final = true
		f.finalSent = true
		e, err := job.LeaderEntry(&job.Leader{Epoch: l.term.Epoch, Successor: l.successor()})
		if err != nil {
			return nil, err
		}
		b.entries = append(b.entries, e)
	}
	if err := l.addLeaderRecord(b, now); err != nil {
		return nil, err
	}
	if err := l.addRenewers(b, now); err != nil {
		return nil, err
	}
	if err := l.addSettled(b, now); err != nil {
		return nil, err
	}
	if err := l.addUnbegunJobs(b, now); err != nil {
		return nil, err
	}
	return b, l.addAnsweredStarts(b, now)
}

// sizeOf returns what entries add to an append, in bytes.
func sizeOf(entries []site.Entry) int {
	size := 0
	for i := range entries {
		size += entries[i].Size() + entryOverhead
	}
	return size
}

// addLeaderRecord adds a record of the leader to a batch that has none, if one is due:
// the other VMs hear a leader only by its own records, since those of callers may come from
// any VM.
func (l *leadership) addLeaderRecord(b *batch, now time.Time) error {
	f := &l.flush
	hasOwn := slices.ContainsFunc(b.entries, func(e site.Entry) bool { return job.LeaderOnly(e.Key) })
	if !hasOwn && len(b.entries) > 0 && now.Sub(f.leaderRecordAt) < maxLeaderRecordAge {
		return nil
	}
	f.leaderRecordAt = now
	if hasOwn {
		return nil
	}
	e, err := job.LeaderEntry(&job.Leader{Epoch: l.term.Epoch, Incarnation: l.s.opt.Incarnation})
	if err != nil {
		return err
	}
	b.entries = append(b.entries, e)
	return nil
}

// entries returns the entries that make the job's present state durable. For a job that
// has ended only a summary of the submission is kept: each VM reads all records when it
// starts, and after a power failure all VMs do so at once.
func (tj *trackedJob) entries() ([]site.Entry, error) {
	state, err := job.StateEntry(tj.id, tj.state)
	if err != nil {
		return nil, err
	}
	tj.dirty = false
	entries := []site.Entry{state}
	if tj.crashesDirty {
		e, err := job.CrashesEntry(tj.id, tj.crashes)
		if err != nil {
			return nil, err
		}
		tj.crashesDirty = false
		entries = append(entries, e)
		if tj.doubtfulCrashes != nil {
			e, err := job.DoubtfulCrashesEntry(tj.id, tj.doubtfulCrashes)
			if err != nil {
				return nil, err
			}
			entries = append(entries, e)
		}
	}
	if tj.summarized || !tj.state.Phase.Final() || len(tj.state.Steps) > 0 {
		return entries, nil
	}
	tj.summarized = true
	summary, err := job.SubmissionEntry(tj.sub.Summary())
	if err != nil {
		return nil, err
	}
	return append(entries, summary), nil
}

// ackableEnd returns the number of the last run end that may be acknowledged once the
// present state is durable.
func (wk *worker) ackableEnd() int64 {
	end := wk.seen
	if wk.ackCapped {
		end = min(end, wk.ackLimit)
	}
	if len(wk.keptAcks) > 0 {
		end = min(end, wk.keptAcks[0].number-1)
	}
	return end
}

// onDurable performs the actions that waited for the append.
func (l *leadership) onDurable(b *batch, first int64) {
	for i := range b.entries {
		b.entries[i].Offset = first + int64(i)
	}
	l.distribute(b.entries)
	for wk, n := range b.ackUpTo {
		if wk.boot == n.boot {
			wk.acked = max(wk.acked, n.number)
		}
	}
	b.silencesDurable(time.Now())
	l.renewedStartsDurable(b)
	if b.states {
		l.answeredStarts.statesDurable(first + int64(len(b.entries)))
	}
	if b.final {
		replyAll(b.accepts, nil)
		l.s.endLeadership("leadership handed over")
		return
	}
	replyAll(b.accepts, nil)
	l.noteStartDelay(b, time.Now())
	l.dropEvacuated(b.starts)
	l.dropOvercommitted(b.starts, time.Now())
	for _, r := range b.starts {
		r.dispatchAge = b.dispatchAge
		if r.bound() {
			l.sendStart(r)
		}
	}
}

// distribute passes the entries to this VM's view, from which they are forwarded to the
// other VMs. It does so on another goroutine, because the follower calls back for the
// jobs that changed, which must not block the scheduler's goroutine.
func (l *leadership) distribute(entries []site.Entry) {
	deps := &l.s.deps
	go func() {
		deps.Follower.Offer(entries)
		deps.Peers.Offer(entries[0].Offset)
	}()
}

func replyAll(accepts []acceptRequest, err error) {
	for _, a := range accepts {
		a.reply <- err
	}
}

// abandon replies to callers at the end of the term: records that were not sent are
// refused, the outcome of the others is unknown.
func (f *flushState) abandon() {
	if f.sent != nil {
		replyAll(f.sent.accepts, site.ErrUnknown.New("the term has ended"))
	}
	replyAll(f.accepts, site.ErrRefused.New("the term has ended"))
}
