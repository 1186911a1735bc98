package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// leadership is what the leader knows during its term.
	leadership struct {
		s      *Scheduler
		ctx    context.Context
		cancel context.CancelFunc
		since  time.Time
		term   site.Term

		works   map[string]*work
		workers map[string]*worker
		// teamUse is what runs of each team hold, stopping ones included.
		teamUse map[string]resource.Vector

		flush   flushState
		advice  adviceDesk
		placeAt time.Time
		// placeCost is how long the last pass took.
		placeCost time.Duration
		place     bool
		meters    map[string]*placement.Meter
		// held is the room that the last pass held back for gangs.
		held map[*worker]held
		// waiting counts the steps of the last pass by rank.
		waiting map[placement.Rank]int
		// limited counts those that their team's limit kept back.
		limited    int
		reportedAt time.Time
		learned    map[string]*learned
		// handedOver is closed once the leadership has been given up.
		handedOver chan struct{}
	}

	campaignDone struct {
		epoch int64
		won   bool
		err   error
	}
)

const (
	// epochStep parts the epochs of terms; the rest is drawn at random, so that
	// two VMs that stand at the same time rarely choose the same.
	epochStep = 1 << 10
	// silenceLimit is how long a leader may append nothing before others stand.
	silenceLimit = 700 * time.Millisecond
	// resignedLimit is the same after the leader has stepped down and its
	// successor has not begun.
	resignedLimit = 400 * time.Millisecond
	// standGap parts the VMs that stand, so that one wins, up to standSlots.
	standGap   = 100 * time.Millisecond
	standSlots = 12
	// standAgain parts the campaigns of one VM.
	standAgain = 200 * time.Millisecond
	// freshLimit is how new the last answer of the stream must be to judge a
	// leader's silence.
	freshLimit = 900 * time.Millisecond
	// slowTimes is how many calls of the stream a leader may need to be heard.
	slowTimes = 12
	// slowCall is a call of a slow stream; each VM then waits turnTimes calls
	// for every VM before it.
	slowCall        = 60 * time.Millisecond
	turnTimes       = 6
	campaignTimeout = 6 * time.Second
	// heartbeatGap is the longest time without an append of the leader.
	heartbeatGap = 200 * time.Millisecond
	// reportGap parts the lines on the state of the cell.
	reportGap = time.Second
	// withoutStream is how long a leader goes on without a successful append.
	// It renews leases all that time, as the stream may be away for all.
	withoutStream = 10 * time.Second
)

// considerCampaign stands for leadership if no leader is heard of.
func (s *Scheduler) considerCampaign() {
	if s.campaigning || s.stopping || !s.deps.Follower.Loaded() || !s.deps.Follower.Fresh(freshLimit) {
		return
	}
	l, _ := s.deps.Book.Leader()
	if l.Incarnation == s.opt.Incarnation && l.Epoch == s.campaign && s.campaign > s.over {
		// The record of a campaign without an answer has taken effect.
		s.beginLeadership(l.Epoch)
		return
	}
	silence := s.deps.Follower.LeaderSilence()
	gone := l.Incarnation == "" || s.restarted(l.Incarnation) || l.Epoch > 0 && l.Epoch == s.yielded
	slot := time.Duration(s.place(&l)) * standGap
	limit := silenceLimit + slot
	if l.Incarnation == "" {
		limit = resignedLimit + slot
		if l.Epoch == 0 {
			limit = slot
		}
		if l.Successor == s.opt.Incarnation {
			limit = 0
		}
	} else if gone {
		limit = slot
	}
	if silence < limit || time.Since(s.stoodAt) < standAgain {
		return
	}
	s.stand(l, silence, limit, gone)
}

// place returns where this VM stands in the order of those that may follow a
// leader: one of them in each term is first, and the others wait for it.
func (s *Scheduler) place(l *job.Leader) int {
	rank := func(incarnation string) uint64 {
		return xxhash.Sum64String(fmt.Sprint(incarnation, l.Epoch))
	}
	mine := rank(s.opt.Incarnation)
	place := 0
	for _, m := range s.deps.Book.Members() {
		if m.Incarnation != l.Incarnation && rank(m.Incarnation) < mine {
			place++
		}
	}
	return min(place, standSlots)
}

// restarted reports whether the VM of an incarnation has listed itself under
// another one since: its process was killed.
func (s *Scheduler) restarted(incarnation string) bool {
	name, _, _ := strings.Cut(incarnation, "/")
	m, listed := s.deps.Book.Members()[name]
	return listed && m.Incarnation != incarnation
}

// stand appends the record of a new term. The highest epoch wins; it is known
// to have won once the book shows it.
func (s *Scheduler) stand(l job.Leader, silence, limit time.Duration, gone bool) {
	epoch := (l.Epoch/epochStep+1)*epochStep + rand.Int64N(epochStep)
	s.campaign = epoch
	s.campaigning = true
	s.stoodAt = time.Now()
	_ = level.Info(s.deps.Logger).Log("msg", "standing for leadership", "epoch", epoch,
		"lastEpoch", l.Epoch, "lastLeader", l.Incarnation, "silenceMs", silence.Milliseconds())
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, campaignTimeout)
		defer cancel()
		won, err := s.runCampaign(ctx, l, epoch, limit, gone)
		s.post(campaignDone{epoch, won, err})
	}()
}

func (s *Scheduler) runCampaign(ctx context.Context, last job.Leader, epoch int64, limit time.Duration, gone bool) (bool, error) {
	if slow, err := s.leaderMayLive(ctx, last, limit, gone); err != nil || slow {
		return false, err
	}
	e, err := job.LeaderEntry(&job.Leader{Epoch: epoch, Incarnation: s.opt.Incarnation})
	if err != nil {
		return false, err
	}
	if _, err := s.deps.Stream.AppendAs(ctx, site.Term{Epoch: epoch}, []site.Entry{e}); err != nil {
		return false, err
	}
	if err := s.deps.Follower.Sync(ctx); err != nil {
		return false, err
	}
	l, _ := s.deps.Book.Leader()
	return l.Epoch == epoch && l.Incarnation == s.opt.Incarnation, nil
}

// leaderMayLive reads on and reports whether a sign of a leader has come, or may
// still come since the stream is slow: its records take long as well. With a
// slow stream VMs wait longer for those before them, too, since a campaign that
// follows another ends the term that has just begun.
func (s *Scheduler) leaderMayLive(ctx context.Context, last job.Leader, limit time.Duration, gone bool) (bool, error) {
	began := time.Now()
	if err := s.deps.Follower.Sync(ctx); err != nil {
		return false, err
	}
	call := time.Since(began)
	if !gone && s.deps.Follower.LeaderSilence() < limit+slowTimes*call {
		return true, nil
	}
	if call > slowCall {
		pause(ctx, time.Duration(s.place(&last))*turnTimes*call)
		if err := s.deps.Follower.Sync(ctx); err != nil {
			return false, err
		}
	}
	now, _ := s.deps.Book.Leader()
	return now != last, nil
}

func (e campaignDone) handle(s *Scheduler) {
	s.campaigning = false
	_ = level.Info(s.deps.Logger).Log("msg", "campaign ended", "epoch", e.epoch, "won", e.won, "err", e.err)
	if e.won && s.lead == nil && !s.stopping && e.epoch > s.over {
		s.beginLeadership(e.epoch)
	}
}

// beginLeadership starts from what the book says. The book holds all appends of
// earlier terms, since the stream has refused them since the record of this one.
func (s *Scheduler) beginLeadership(epoch int64) {
	now := time.Now()
	ctx, cancel := context.WithCancel(s.ctx)
	l := &leadership{
		s: s, ctx: ctx, cancel: cancel, since: now,
		term:    site.Term{Epoch: epoch, Sequence: 1},
		works:   map[string]*work{},
		workers: map[string]*worker{},
		teamUse: map[string]resource.Vector{},
		learned: map[string]*learned{},
		meters:  map[string]*placement.Meter{},
		place:   true,
	}
	l.flush.init(now)
	l.advice.init()
	s.lead = l
	s.deps.Follower.SetEager(true)
	for _, id := range s.deps.Book.IDs() {
		l.readJob(id)
	}
	_ = level.Info(s.deps.Logger).Log("msg", "leading", "epoch", epoch, "jobs", len(l.works), "next", s.deps.Book.Next())
	s.deps.Counts.Count("terms", 1)
	for i := range s.upstreams {
		l.noteUpstream(&s.upstreams[i])
	}
	l.tick(now)
}

// endLeadership drops all that belongs to the term.
func (s *Scheduler) endLeadership(why string) {
	l := s.lead
	if l == nil {
		return
	}
	s.lead = nil
	s.over = l.term.Epoch
	l.cancel()
	l.flush.abandon()
	s.deps.Follower.SetEager(false)
	_ = level.Warn(s.deps.Logger).Log("msg", "no longer leading", "epoch", l.term.Epoch, "why", why,
		"ledMs", time.Since(l.since).Milliseconds())
	if l.handedOver != nil {
		close(l.handedOver)
	}
}

// handOver names a successor in the last append of the term.
func (l *leadership) handOver(done chan struct{}) {
	if l.handedOver != nil {
		close(done)
		return
	}
	l.handedOver = done
	l.flush.urgent = true
}

// successor returns the incarnation of another member, one that answered its
// last query if there is one.
func (l *leadership) successor() string {
	members := l.s.deps.Book.Members()
	names := make([]string, 0, len(members))
	for name := range members {
		if name != l.s.opt.Name {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	sort.Strings(names)
	rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	for _, name := range names {
		if l.advice.sound(name, time.Now()) {
			return members[name].Incarnation
		}
	}
	return members[names[0]].Incarnation
}

// current reports whether an event belongs to the present term.
func (l *leadership) current() bool {
	return l.s.lead == l
}

// spawn runs fn on a goroutine of its own and posts the event that it returns.
func (l *leadership) spawn(fn func(ctx context.Context) event) {
	go func() {
		if e := fn(l.ctx); e != nil {
			l.s.post(e)
		}
	}()
}

func (l *leadership) tick(now time.Time) {
	if now.Sub(l.flush.ackedAt) > withoutStream {
		l.s.endLeadership("the stream took no append for too long")
		return
	}
	l.s.pollUpstreams(now)
	l.tickWorkers(now)
	l.place = true
	if now.Sub(l.reportedAt) >= reportGap {
		l.reportedAt = now
		l.report(now)
	}
}

// report logs and measures how full the cell is and what waits.
func (l *leadership) report(now time.Time) {
	var free, total resource.Vector
	usable, runs := 0, 0
	for _, at := range l.workers {
		runs += len(at.runs)
		if at.usable(now) {
			usable++
			free = free.Add(at.free())
			total = total.Add(at.up.Capacity)
		}
	}
	busy := 0
	for _, c := range l.advice.through {
		if c.busy {
			busy++
		}
	}
	_ = level.Info(l.s.deps.Logger).Log("msg", "cell", "epoch", l.term.Epoch, "jobs", len(l.works), "inTime", l.waiting[placement.InTime],
		"surplus", l.waiting[placement.Surplus], "late", l.waiting[placement.Late], "overdue", l.waiting[placement.Overdue],
		"limited", l.limited, "held", len(l.held), "runs", runs, "workers", len(l.workers), "usable", usable, "freeMilliCpu", free.MilliCPU, "milliCpu", total.MilliCPU,
		"queries", len(l.advice.queries), "asking", busy, "passMs", l.placeCost.Milliseconds())
}

// step decides after events.
func (l *leadership) step(now time.Time) {
	if l.place && now.Sub(l.placeAt) >= max(placeGap, passShare*l.placeCost) {
		l.placeAt = now
		l.place = false
		l.placeAll(now)
	}
	l.flushIfDue(now)
}
