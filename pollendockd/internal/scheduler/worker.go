package scheduler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// worker is what the leader knows of an upstream.
	worker struct {
		id     string
		up     site.Upstream
		client Worker
		// listed is set while the platform's list has it.
		listed bool
		// unlistedAt is when it was first missing on a current list.
		unlistedAt time.Time

		// boot is the life that answered the last hold; 0 before the first.
		boot int64
		// clock was read at the worker shortly before clockAt.
		clock   time.Duration
		clockAt time.Time
		// answersSince is when it answered again after it was lost.
		answersSince time.Time
		// leaseEnd is the latest end of a lease that was sent, on the worker's
		// clock. Nothing that was ordered in this term runs after it.
		leaseEnd time.Duration

		// seen is the number of the last end that was read, acked that of the
		// last whose outcome is durable.
		seen, acked int64
		// givenUp holds runs that were taken for lapsed and may have been begun
		// elsewhere since. The good end of such a run must never be
		// acknowledged: that would say that the task was done twice. Once one
		// was listed ackHeld is set, and ackLimit is the number before it.
		givenUp  map[runKey]bool
		ackHeld  bool
		ackLimit int64

		runs map[runKey]*run
		used resource.Vector
		// spoken is the processor time, in thousandths of a core, that steps
		// with a query under way are expected to take.
		spoken int64

		holdBusy  bool
		holdAt    time.Time
		holdFails int
		lost      bool

		// stuckSince is when the worker's runs stopped making progress; zero
		// while one of them does.
		stuckSince time.Time

		// failures counts failed runs in a row, of different jobs.
		failures  int
		failedJob string
		restUntil time.Time
		rest      time.Duration
	}

	upstreamsDone struct {
		list       []site.Upstream
		unreadable []string
		at         time.Time
		err        error
	}
)

const (
	pollGap     = 250 * time.Millisecond
	pollTimeout = time.Second
	// maxPolls bounds the readings of the list that are under way: one may hang on
	// a connection that was lost.
	maxPolls = 4
	// listLimit is how old the list of workers may be for new starts: a worker
	// that leaves gets no work once its entry could have been read.
	listLimit = 1500 * time.Millisecond

	lease = 4500 * time.Millisecond
	// goneAfter is how long a worker that lives may be missing on the list after
	// the store was away.
	goneAfter = 2500 * time.Millisecond
	// renewLimit is how old a worker's last answer may be for a new lease.
	renewLimit = 2 * time.Second
	// leaseMargin keeps leases below the longest that a worker grants.
	leaseMargin = 500 * time.Millisecond
	// clockRate is the slowest that a worker's clock may run.
	clockRate = 0.98
	// lapseSlack covers the worker's delay in ending what has lapsed.
	lapseSlack = 150 * time.Millisecond

	// failuresBeforeRest ends the trust in a worker, until it has rested.
	failuresBeforeRest = 2
	firstRest          = 2 * time.Second
	maxRest            = 16 * time.Second
)

// pollUpstreams reads the platform's list of workers.
func (s *Scheduler) pollUpstreams(now time.Time) {
	if s.polls >= maxPolls || now.Sub(s.pollAt) < pollGap {
		return
	}
	s.polls++
	s.pollAt = now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
		defer cancel()
		list, unreadable, err := s.deps.Upstreams.Next(ctx)
		s.post(upstreamsDone{list, unreadable, now, err})
	}()
}

func (e upstreamsDone) handle(s *Scheduler) {
	s.polls--
	if e.err != nil {
		if !s.listLost {
			s.listLost = true
			_ = level.Warn(s.deps.Logger).Log("msg", "list of workers lost", "ageMs", time.Since(s.listedAt).Milliseconds(), "err", e.err)
		}
		return
	}
	if s.listLost {
		s.listLost = false
		_ = level.Info(s.deps.Logger).Log("msg", "list of workers regained", "awayMs", time.Since(s.listedAt).Milliseconds())
	}
	s.listedAt = later(s.listedAt, e.at)
	if e.list == nil {
		return
	}
	for _, id := range e.unreadable {
		_ = level.Debug(s.deps.Logger).Log("msg", "entry describes no worker", "worker", id)
	}
	s.upstreams = e.list
	if s.lead != nil {
		s.lead.noteList(e.list)
	}
}

func (l *leadership) noteList(list []site.Upstream) {
	on := make(map[string]bool, len(list))
	for i := range list {
		on[list[i].ID] = true
		l.noteUpstream(&list[i])
	}
	for id, at := range l.workers {
		if on[id] {
			continue
		}
		if at.listed {
			_ = level.Info(l.s.deps.Logger).Log("msg", "worker gone from the list", "worker", id, "runs", len(at.runs))
		}
		if at.unlistedAt.IsZero() {
			at.unlistedAt = time.Now()
		}
		at.listed = false
		if len(at.runs) == 0 && !at.holdBusy {
			delete(l.workers, id)
			delete(l.s.paces, id)
		}
	}
}

func (l *leadership) noteUpstream(u *site.Upstream) {
	at := l.workerOf(u.ID)
	changed := !at.listed || at.up.Boot != u.Boot || at.up.Draining != u.Draining
	if at.client == nil || at.up.Addr != u.Addr {
		at.client = l.s.deps.Dial(u.ID, u.Addr)
	}
	at.up = *u
	at.listed = true
	at.unlistedAt = time.Time{}
	if changed {
		_ = level.Info(l.s.deps.Logger).Log("msg", "worker listed", "worker", u.ID, "boot", u.Boot, "draining", u.Draining,
			"dataCentre", u.DataCentre, "capacity", u.Capacity)
		l.place = true
	}
}

// workerOf returns the worker of that id, which may not be listed.
func (l *leadership) workerOf(id string) *worker {
	at := l.workers[id]
	if at == nil {
		at = &worker{id: id, runs: map[runKey]*run{}}
		l.workers[id] = at
	}
	return at
}

// usable reports whether the worker takes new runs: its present life is known
// to obey this term.
func (at *worker) usable(now time.Time) bool {
	return at.listed && !at.up.Draining && at.boot != 0 && at.boot == at.up.Boot && at.holdFails == 0 &&
		!now.Before(at.restUntil) && at.stuckSince.IsZero()
}

func (at *worker) free() resource.Vector {
	return at.up.Capacity.Sub(at.used)
}

// clockNow estimates the worker's clock.
func (at *worker) clockNow(now time.Time) time.Duration {
	return at.clock + now.Sub(at.clockAt)
}

// nextLease returns the end of a lease that begins now, and notes it as sent. It
// returns 0, which renews nothing, for a worker that has not answered for long.
func (l *leadership) nextLease(at *worker, now time.Time) time.Duration {
	if at.boot == 0 || now.Sub(at.clockAt) > renewLimit {
		// An order without an answer may have been carried out, so each new end
		// puts off the time at which all has surely lapsed.
		return 0
	}
	length := min(lease, l.s.opt.Bounds.MaxLease-leaseMargin)
	end := at.clockNow(now) + length
	at.leaseEnd = max(at.leaseEnd, end)
	return end
}

// lapseAt is when nothing that was ordered before can still run at the worker,
// if it is not heard of until then.
func (l *leadership) lapseAt(at *worker) time.Time {
	if at.boot == 0 {
		// The last leader may renew until it has gone without the stream for
		// too long.
		longest := time.Duration(float64(l.s.opt.Bounds.MaxLease) / clockRate)
		if !at.unlistedAt.IsZero() {
			// A worker that stays off a current list is gone; a lease of the
			// last leader is waited for all the same.
			return later(at.unlistedAt.Add(goneAfter), l.since.Add(longest+lapseSlack))
		}
		return l.since.Add(withoutStream + longest + lapseSlack)
	}
	left := max(0, at.leaseEnd-at.clock)
	return at.clockAt.Add(time.Duration(float64(left)/clockRate) + lapseSlack)
}

func (l *leadership) tickWorkers(now time.Time) {
	for _, at := range l.workers {
		if at.client == nil {
			if at.unlistedAt.IsZero() && !l.s.listedAt.Before(l.since) {
				at.unlistedAt = now
			}
			l.lapseIfDue(at, now)
			continue
		}
		if !at.holdBusy && !now.Before(at.holdAt) && (at.listed || len(at.runs) > 0) {
			l.hold(at, now)
		}
		l.lapseIfDue(at, now)
		l.tickRuns(at, now)
	}
}

// lapseIfDue ends what ran at a worker that has not been heard of for so long
// that all its leases have run out.
func (l *leadership) lapseIfDue(at *worker, now time.Time) {
	if len(at.runs) == 0 || now.Before(l.lapseAt(at)) {
		return
	}
	_ = level.Warn(l.s.deps.Logger).Log("msg", "worker's leases have run out", "worker", at.id, "boot", at.boot, "runs", len(at.runs),
		"clockMs", at.clock.Milliseconds(), "clockAgeMs", now.Sub(at.clockAt).Milliseconds(), "leaseEndMs", at.leaseEnd.Milliseconds())
	for _, r := range at.list() {
		if r.stage == planned || r.stage == starting {
			continue
		}
		if at.givenUp == nil {
			at.givenUp = map[runKey]bool{}
		}
		at.givenUp[r.key()] = true
		l.endRun(r, site.LeaseExpired, "the worker was silent for longer than its leases last")
	}
}

// list returns the runs, so that they can be ended while it is gone through.
func (at *worker) list() []*run {
	runs := make([]*run, 0, len(at.runs))
	for _, r := range at.runs {
		runs = append(runs, r)
	}
	return runs
}

// judge keeps count of a worker's failures. One that fails tasks of several
// jobs in a row rests, longer each time.
func (l *leadership) judge(at *worker, r *run, how site.EndKind) {
	switch how {
	case site.Done:
		at.failures = 0
		at.failedJob = ""
		at.rest = 0
	case site.Failed:
		if at.failedJob == r.task.Job {
			return
		}
		at.failedJob = r.task.Job
		at.failures++
		if at.failures < failuresBeforeRest {
			return
		}
		at.rest = min(max(2*at.rest, firstRest), maxRest)
		at.restUntil = time.Now().Add(at.rest)
		_ = level.Warn(l.s.deps.Logger).Log("msg", "worker distrusted", "worker", at.id, "failures", at.failures, "restMs", at.rest.Milliseconds())
	}
}
