package scheduler

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// leadership is the state of the leader during its term.
	leadership struct {
		s         *Scheduler
		ctx       context.Context
		cancel    context.CancelFunc
		startedAt time.Time
		term      site.Term

		jobs    map[string]*trackedJob
		workers map[string]*worker
		// teamUse is the capacity used by the runs of each team, including runs that
		// are being stopped.
		teamUse map[string]resource.Vector
		// pacedHolds are the holds to workers that may not answer.
		pacedHolds pacedHolds
		// idleLimits holds the teams of which reservations keep half of the limit idle.
		idleLimits map[string]idleLimit
		// limitTurns holds what the step whose turn it is has reserved of the limit, by team.
		limitTurns map[string]limitReservation

		// doubtfulCrashes holds the crashes of each worker, by its id, that may have been
		// none.
		doubtfulCrashes map[string][]doubtfulCrash
		// givenUpRuns holds the records of runs that were given up unread, by worker id.
		givenUpRuns map[string]job.GivenUpRuns
		// condemned holds the tasks whose jobs are given up unless a worker answers.
		condemned map[site.TaskID]condemnedTask
		// isolatedRuns holds the runs of suspects, vacated the workers that the last pass
		// kept free for them.
		isolatedRuns map[*run]bool
		vacated      map[*worker]*trackedJob
		// crowdingCPU is the processor time, in thousandths of a core, for which jobs
		// waited in the last pass that suspects may have, by service.
		crowdingCPU map[string]int64

		// heldWorkers counts the workers that are held for their capacity; there have been
		// some since heldSince.
		heldWorkers int
		heldSince   time.Time

		// renewals is the record of the leaders up to this one.
		renewals job.EpochHistory
		// othersRenewUntil is when all earlier leaders have stopped renewing leases.
		othersRenewUntil time.Time
		// awaitedEnds are the incarnations of earlier leaders whose end would show that they
		// renew none, askedEnds those of them that are being asked for.
		awaitedEnds []string
		askedEnds   map[string]bool
		// renewersAppended is set once this leader has recorded that those before it renew none.
		renewersAppended bool
		settled          settledWorkers
		answeredStarts   answeredStarts
		startDelays      startDelays
		renewedStarts    renewedStarts
		// leftStarts holds the tasks of which a start may be executed late.
		leftStarts map[site.TaskID]leftStart
		unbegun    unbegunJobs

		flush    flushState
		advice   adviceQueue
		placedAt time.Time
		// since is how long ago a time is: time.Since outside of tests.
		since func(time.Time) time.Duration
		// passTime is how long the last pass took.
		passTime    time.Duration
		placeNeeded bool
		meters      map[string]*placement.RateMeter
		// headroom measures the urgent tasks of each service.
		headroom map[string]*placement.Headroom
		// workersKnownOnce is set once most workers have answered.
		workersKnownOnce bool
		// heldCapacity is what the last pass reserved for gangs.
		heldCapacity map[*worker][]heldCapacity
		// waiting counts the steps of the last pass by rank.
		waiting map[placement.Rank]int
		// passCursor is the place in the order at which the last pass ended.
		passCursor int
		// overdueTurns counts the overdue gangs that may have capacity reserved.
		overdueTurns int
		// overdueCursor rotates through the overdue steps.
		overdueCursor int
		// limitedSteps counts the steps held back by their team's limit. waitReasons
		// counts why steps wait that can still meet their deadline.
		limitedSteps int
		waitReasons  map[waitReason]int
		// missedReasons counts why steps wait that can no longer meet their deadline.
		missedReasons reasonCounts
		starvation    starvationWatch
		reportedAt    time.Time
		load          loadForecast
		// handoverDone is closed once the leadership has ended. It is nil unless a
		// handover was requested.
		handoverDone chan struct{}
	}
)

const (
	// A leader hands over to a VM with more than strongerFactor times its CPU cores,
	// once it has led for strongerAfter.
	strongerAfter  = 2 * time.Second
	strongerFactor = 1.3
	// heartbeatInterval is the longest time without an append by the leader.
	heartbeatInterval = 120 * time.Millisecond
	// The state of a job that has ended is kept for retentionFactor times the period in
	// which callers may query it, and at least for minRetention. maxForgetPerAppend
	// limits the jobs that are removed in one append.
	retentionFactor    = 2
	minRetention       = time.Minute
	maxForgetPerAppend = 50
	// reportInterval is the time between log lines on the state of the cell.
	reportInterval = time.Second
	// appendAgeGauge is how long the leader has been without a successful append, in
	// milliseconds. Above a second it renews leases without the stream, up to renewTimeout.
	appendAgeGauge = "leader_append_age_ms"
	// streamTimeout is how long a leader continues without a successful append, as the
	// stream may be unavailable to all VMs. Runs outlive such an outage.
	streamTimeout = 10 * time.Second
)

// beginLeadership starts a term from the state of the view. The view holds all appends
// of earlier terms, since the stream refuses them from the record of this term on. At the
// time asOf no later term had begun.
func (s *Scheduler) beginLeadership(epoch int64, asOf time.Time) {
	now := time.Now()
	ctx, cancel := context.WithCancel(s.ctx)
	l := &leadership{
		s: s, ctx: ctx, cancel: cancel, startedAt: now,
		term:            site.Term{Epoch: epoch, Sequence: 1},
		jobs:            map[string]*trackedJob{},
		workers:         map[string]*worker{},
		teamUse:         map[string]resource.Vector{},
		meters:          map[string]*placement.RateMeter{},
		headroom:        map[string]*placement.Headroom{},
		isolatedRuns:    map[*run]bool{},
		doubtfulCrashes: map[string][]doubtfulCrash{},
		condemned:       map[site.TaskID]condemnedTask{},
		askedEnds:       map[string]bool{},
		givenUpRuns:     s.deps.View.GivenUpRuns(),
		renewals:        s.deps.View.Renewals(),
		settled:         settledWorkers{boots: s.deps.View.SettledWorkers(), bounded: s.deps.View.BoundedWorkers()},
		answeredStarts:  newAnsweredStarts(s.deps.View.AnsweredStarts(), s.deps.View.Next()),
		startDelays:     startDelays{recorded: s.deps.View.StartDelay()},
		renewedStarts:   newRenewedStarts(s.deps.View.RenewedStarts()),
		leftStarts:      map[site.TaskID]leftStart{},
		unbegun:         unbegunJobs{recorded: s.deps.View.UnbegunJobs(), checkedAt: now},
		placeNeeded:     true,
		since:           time.Since,
	}
	l.flush.init(asOf)
	l.noteOthersRenewals()
	l.advice.init()
	l.load.init()
	s.lead = l
	s.deps.Follower.SetLeading(true)
	for _, id := range s.deps.View.IDs() {
		l.loadJob(id)
	}
	l.inheritSilences()
	l.inheritLeftStarts()
	l.awaitEnds()
	l.gatherAnswers()
	_ = level.Info(s.deps.Logger).Log("msg", "leading", "epoch", epoch, "jobs", len(l.jobs), "next", s.deps.View.Next(),
		"othersRenewMs", max(0, l.othersRenewUntil.Sub(now)).Milliseconds(), "startsAnsweredBefore", l.answeredStarts.inherited.Before, "openStarts", len(l.answeredStarts.open))
	s.deps.Counts.Count("terms", 1)
	for i := range s.upstreams {
		l.applyUpstream(&s.upstreams[i])
	}
	s.speeds.inherit(s.deps.View.Speeds())
	l.tick(now)
}

// endLeadership discards all state that belongs to the term.
func (s *Scheduler) endLeadership(why string) {
	l := s.lead
	if l == nil {
		return
	}
	s.lead = nil
	s.endedEpoch = l.term.Epoch
	l.cancel()
	l.flush.abandon()
	s.deps.Follower.SetLeading(false)
	s.deps.Counts.Gauge(starvedGauge, 0)
	s.deps.Counts.Gauge(openStartsGauge, 0)
	s.deps.Counts.Gauge(appendAgeGauge, 0)
	s.deps.Counts.Gauge(fullGauge, 0)
	s.deps.Counts.Gauge(keptGauge, 0)
	s.deps.Counts.Gauge(leftStartsGauge, 0)
	_ = level.Warn(s.deps.Logger).Log("msg", "leadership ended", "epoch", l.term.Epoch, "why", why,
		"ledMs", time.Since(l.startedAt).Milliseconds())
	if l.handoverDone != nil {
		close(l.handoverDone)
	}
}

// handOver schedules the last append of the term, which names a successor.
func (l *leadership) handOver(done chan struct{}) {
	if l.handoverDone != nil {
		close(done)
		return
	}
	l.handoverDone = done
}

// successor returns the incarnation of the strongest other member, preferring those
// that answered their last query. Ties are broken at random.
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
		healthyA, healthyB := l.advice.healthy(names[a], now), l.advice.healthy(names[b], now)
		if healthyA != healthyB {
			return healthyA
		}
		return members[names[a]].CPUCores > members[names[b]].CPUCores
	})
	return members[names[0]].Incarnation
}

// maybeHandOver hands over to a VM that is much stronger than this one. The first
// leader is elected before all VMs are known.
func (l *leadership) maybeHandOver(now time.Time) {
	if l.handoverDone != nil || now.Sub(l.startedAt) < strongerAfter {
		return
	}
	for _, m := range l.s.deps.View.Members() {
		if m.CPUCores > strongerFactor*l.s.opt.CPUCores && l.advice.healthy(m.Name, now) {
			_ = level.Info(l.s.deps.Logger).Log("msg", "handing over leadership to a stronger VM", "power", l.s.opt.CPUCores, "stronger", m.Name)
			l.handOver(make(chan struct{}))
			return
		}
	}
}

// current reports whether an event belongs to the current term.
func (l *leadership) current() bool {
	return l.s.lead == l
}

// spawn runs fn on its own goroutine and posts the event that it returns.
func (l *leadership) spawn(fn func(ctx context.Context) event) {
	go func() {
		if e := fn(l.ctx); e != nil {
			l.s.post(e)
		}
	}()
}

func (l *leadership) tick(now time.Time) {
	if !l.appendedWithin(now, streamTimeout) {
		l.s.endLeadership("no successful append for too long")
		return
	}
	l.maybeHandOver(now)
	l.s.pollUpstreams(now)
	l.tickWorkers(now)
	l.endProbation(now)
	l.giveUpCondemned()
	l.placeNeeded = true
	if now.Sub(l.reportedAt) >= reportInterval {
		l.reportedAt = now
		l.clearKeptEnds(now)
		l.report(now)
		l.forgetExpired(now)
		l.forgetLostWorkers(now)
		l.forgetSettled(now)
	}
}

// forgetExpired schedules the removal of the records of jobs that ended long ago.
func (l *leadership) forgetExpired(now time.Time) {
	if len(l.flush.forget) > 0 {
		return
	}
	keep := max(l.s.opt.Bounds.StatusRetention, minRetention)
	l.flush.forget = l.s.deps.View.EndedBefore(now.Add(-retentionFactor*keep), maxForgetPerAppend)
}

// report logs the utilization of the cell and what waits.
func (l *leadership) report(now time.Time) {
	var free, total resource.Vector
	usable, runs := 0, 0
	for _, wk := range l.workers {
		runs += len(wk.runs)
		if wk.usable(now) {
			usable++
			free = free.Add(wk.free())
			total = total.Add(wk.upstream.Capacity)
		}
	}
	l.countFullOfEnds()
	l.countLeftStarts()
	slow := l.reportSpeeds()
	l.storeSpeeds(now)
	queries := l.advice.report(now)
	evacuated, evacuatedRuns := l.evacuatedLoad()
	suspects, longestSuspect := l.isolatedLoad(now)
	_ = level.Info(l.s.deps.Logger).Log("msg", "cell", "epoch", l.term.Epoch, "jobs", len(l.jobs), "inTime", l.waiting[placement.InTime],
		"surplus", l.waiting[placement.Surplus], "late", l.waiting[placement.Late], "overdue", l.waiting[placement.Overdue],
		"limited", l.limitedSteps, "held", len(l.heldCapacity),
		"asking", l.waitReasons[asking], "noRoom", l.waitReasons[noCapacity], "teamLimit", l.waitReasons[teamLimit], "behindOthers", l.waitReasons[behindOthers],
		"reserved", l.waitReasons[reserved], "unreserved", l.waitReasons[unreserved],
		"missedAsking", l.missedReasons[asking], "missedNoRoom", l.missedReasons[noCapacity], "missedTeamLimit", l.missedReasons[teamLimit],
		"missedBehindOthers", l.missedReasons[behindOthers], "missedReserved", l.missedReasons[reserved], "missedUnreserved", l.missedReasons[unreserved],
		"missedNoWorkerToAsk", l.missedReasons[noWorkerToAsk], "missedUnseen", l.missedReasons[laterPass], "turns", l.overdueTurns, "runs", runs, "workers", len(l.workers), "usable", usable, "evacuated", evacuated, "evacuatedRuns", evacuatedRuns, "heldForCapacity", l.heldWorkers, "suspects", suspects, "longestSuspectMs", longestSuspect.Milliseconds(), "vacated", len(l.vacated), "freeMilliCpu", free.MilliCPU, "milliCpu", total.MilliCPU,
		"freeMb", free.MemoryMB, "queries", queries.waiting, "waitingSlow", queries.waitingSlow, "queryWaitMs", queries.longestWait.Milliseconds(),
		"underWay", queries.underWay, "underWaySlow", queries.underWaySlow, "routesResting", queries.resting, "passMs", l.passTime.Milliseconds(), "slow", slow, "speedSpread", l.s.speeds.spread,
		"starved", l.starvation.starved, "longestStarvedMs", l.starvation.longest.Milliseconds(), "refused", l.load.refused, "forecastAgeMs", now.Sub(l.load.updatedAt).Milliseconds(),
		"appendAgeMs", now.Sub(l.flush.ackedAt).Milliseconds(), "openStarts", len(l.answeredStarts.open))
	l.s.deps.Counts.Gauge(appendAgeGauge, now.Sub(l.flush.ackedAt).Milliseconds())
	l.s.deps.Counts.Gauge(openStartsGauge, int64(len(l.answeredStarts.open)))
	l.load.refused = 0
	l.load.forgetRefused(now)
}

// mayRenew reports whether this term may still renew leases. Its successor relies on the end
// of that.
func (l *leadership) mayRenew(now time.Time) bool {
	return l.appendedWithin(now, l.renewTimeout())
}

// appendedWithin reports whether an append has succeeded in that time, by both clocks.
func (l *leadership) appendedWithin(now time.Time, limit time.Duration) bool {
	return within(limit, now, l.flush.ackedAt, l.flush.ackedTimeOfDay)
}

// within reports whether no more than the limit has passed since a time, by the monotonic clock and
// by the time of day.
func within(limit time.Duration, now, at, timeOfDay time.Time) bool {
	return now.Sub(at) <= limit && now.Round(0).Sub(timeOfDay) <= limit
}

// step runs a scheduling pass and an append if they are due, and sends queries through the
// routes that have become free.
func (l *leadership) step(now time.Time) {
	if l.placeNeeded && now.Sub(l.placedAt) >= max(minPassInterval, passCostFactor*l.passTime) {
		l.placedAt = now
		l.placeNeeded = false
		l.placeAll(now)
	}
	if l.advice.routeFree {
		l.dispatch(now)
	}
	l.flushIfDue(now)
}
