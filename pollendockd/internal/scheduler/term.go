package scheduler

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/go-kit/log/level"

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
		meters    map[string]*placement.RateMeter
		// settledOnce is set once most workers have answered.
		settledOnce bool
		// held is the room that the last pass held back for gangs.
		held map[*worker]held
		// waiting counts the steps of the last pass by rank.
		waiting map[placement.Rank]int
		// overdueAt goes round the overdue steps.
		overdueAt int
		// limited counts those that their team's limit kept back, obstacles what
		// those that can be in time wait for.
		limited    int
		obstacles  map[obstacle]int
		reportedAt time.Time
		// handedOver is closed once the leadership has been given up.
		handedOver chan struct{}
	}
)

const (
	// A leader gives way to a VM of strongerTimes its power, once it has led for
	// strongerAfter.
	strongerAfter = 2 * time.Second
	strongerTimes = 1.3
	// heartbeatGap is the longest time without an append of the leader.
	heartbeatGap = 120 * time.Millisecond
	// The state of a job that has ended is kept for keepTimes the time that
	// callers may ask for it, at least leastKeep. forgetAtOnce bounds the jobs
	// that are removed in one append.
	keepTimes    = 2
	leastKeep    = time.Minute
	forgetAtOnce = 50
	// reportGap parts the lines on the state of the cell.
	reportGap = time.Second
	// withoutStream is how long a leader goes on without a successful append.
	// It renews leases all that time, as the stream may be away for all.
	withoutStream = 10 * time.Second
)

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
		meters:  map[string]*placement.RateMeter{},
		place:   true,
	}
	l.flush.init(now)
	l.advice.init()
	s.lead = l
	s.deps.Follower.SetEager(true)
	for _, id := range s.deps.View.IDs() {
		l.readJob(id)
	}
	_ = level.Info(s.deps.Logger).Log("msg", "leading", "epoch", epoch, "jobs", len(l.works), "next", s.deps.View.Next())
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
}

// successor returns the incarnation of the strongest other member that answered
// its last query; of several one is drawn.
func (l *leadership) successor() string {
	members := l.s.deps.View.Members()
	names := make([]string, 0, len(members))
	for name := range members {
		if name != l.s.opt.Name {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	now := time.Now()
	sort.SliceStable(names, func(a, b int) bool {
		soundA, soundB := l.advice.sound(names[a], now), l.advice.sound(names[b], now)
		if soundA != soundB {
			return soundA
		}
		return members[names[a]].CPUCores > members[names[b]].CPUCores
	})
	return members[names[0]].Incarnation
}

// considerStronger hands over to a VM that is much stronger than this one: the
// first leader is chosen before all VMs are known.
func (l *leadership) considerStronger(now time.Time) {
	if l.handedOver != nil || now.Sub(l.since) < strongerAfter {
		return
	}
	for _, m := range l.s.deps.View.Members() {
		if m.CPUCores > strongerTimes*l.s.opt.CPUCores && l.advice.sound(m.Name, now) {
			_ = level.Info(l.s.deps.Logger).Log("msg", "a stronger VM is there, handing over", "power", l.s.opt.CPUCores, "stronger", m.Name)
			l.handOver(make(chan struct{}))
			return
		}
	}
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
	l.considerStronger(now)
	l.s.pollUpstreams(now)
	l.tickWorkers(now)
	l.place = true
	if now.Sub(l.reportedAt) >= reportGap {
		l.reportedAt = now
		l.report(now)
		l.forgetOld(now)
	}
}

// forgetOld has the records of jobs removed that ended long ago.
func (l *leadership) forgetOld(now time.Time) {
	if len(l.flush.forget) > 0 {
		return
	}
	keep := max(l.s.opt.Bounds.StatusRetention, leastKeep)
	l.flush.forget = l.s.deps.View.EndedBefore(now.Add(-keepTimes*keep), forgetAtOnce)
}

// report logs how full the cell is and what waits.
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
		"limited", l.limited, "held", len(l.held),
		"asking", l.obstacles[asking], "noRoom", l.obstacles[noRoom], "teamLimit", l.obstacles[teamLimit], "behindOthers", l.obstacles[behindOthers],
		"reserved", l.obstacles[reserved], "unreserved", l.obstacles[unreserved], "runs", runs, "workers", len(l.workers), "usable", usable, "freeMilliCpu", free.MilliCPU, "milliCpu", total.MilliCPU,
		"freeMb", free.MemoryMB, "queries", len(l.advice.queries), "underWay", busy, "passMs", l.placeCost.Milliseconds())
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
