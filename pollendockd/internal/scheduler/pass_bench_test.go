package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/advice"
	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// currentFollower is a follower whose view is up to date.
	currentFollower struct{}

	// silentAdvisor never answers.
	silentAdvisor struct{}
)

func (currentFollower) Sync(context.Context) error                  { return nil }
func (currentFollower) Available() bool                             { return true }
func (currentFollower) Loaded() bool                                { return true }
func (currentFollower) Fresh(time.Duration) bool                    { return true }
func (currentFollower) LeaderSilence() time.Duration                { return 0 }
func (currentFollower) AvailableSince() time.Time                   { return time.Time{} }
func (currentFollower) ReadLatency() time.Duration                  { return 0 }
func (currentFollower) SetLeading(bool)                             {}
func (currentFollower) Offer([]site.Entry) (next int64, reads bool) { return 0, true }

func (silentAdvisor) Answers(context.Context, string) ([]advice.StepAnswers, error) {
	return nil, nil
}

func (silentAdvisor) Advise(ctx context.Context, _ string, _ *AdviceQuery) ([]site.Ticket, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// BenchmarkPass measures a scheduling pass over a long queue in a cell that is nine
// tenths full: gangs, wide batch steps and lookups that wait for advice.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{100, 800} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			l := fullCell(b, 350, n)
			for b.Loop() {
				l.placeAll(time.Now())
			}
		})
	}
}

// TestPassLeavesTimeForAppends guards against a pass over a large cell that takes so long
// that other VMs campaign for leadership.
func TestPassLeavesTimeForAppends(t *testing.T) {
	l := slowCell(t, 3000, 3000)
	addRoutes(l, 300)
	l.placeAll(time.Now())
	took := time.Duration(len(l.jobs)-unseen(l)+l.advice.report(time.Now()).underWay) * lookTime
	if took >= leaderTimeout {
		t.Errorf("a pass takes %v, and others campaign after %v", took, leaderTimeout)
	}
}

// TestAnswersLeaveTimeForAppends guards against answers of the advisor that come at once
// and take so long to handle that other VMs campaign for leadership.
func TestAnswersLeaveTimeForAppends(t *testing.T) {
	l := fullCell(t, 300, 300)
	addRoutes(l, 50)
	var queries []*query
	for passes := 0; passes < 20 && len(queries) < 50; passes++ {
		l.placeAll(time.Now())
		queries = queriesUnderWay(l)
	}
	if len(queries) == 0 {
		t.Fatal("no query is under way")
	}
	chosen := 0
	l.since = func(time.Time) time.Duration {
		chosen++
		return 0
	}
	for _, q := range queries {
		adviceDone{l, q, nil, nil}.handle(l.s)
	}
	if chosen > 0 {
		t.Errorf("%d answers choose the workers of %d queries before the next pass and append", len(queries), chosen)
	}
}

func queriesUnderWay(l *leadership) []*query {
	var list []*query
	for _, tj := range l.jobs {
		if a := tj.advice[0]; a != nil && a.asking {
			list = append(list, a.query)
		}
	}
	return list
}

// addRoutes adds VMs through which the advisor can be queried.
func addRoutes(l *leadership, n int) {
	var vms []advice.VM
	for i := range n {
		vms = append(vms, advice.VM{Name: fmt.Sprintf("vm%d", i), Incarnation: "1"})
	}
	l.advice.dispatcher.Routes().Set(vms)
	l.advice.routesUpdatedAt = time.Now().Add(time.Hour)
}

// TestEachStepHasItsTurn guards against steps that no pass reaches, since those before them
// take all of its time.
func TestEachStepHasItsTurn(t *testing.T) {
	l := slowCell(t, 3000, 800)
	for range 100 {
		l.placeAll(time.Now())
	}
	if n := unseen(l); n > 0 {
		t.Errorf("no pass has reached %d of %d jobs", n, len(l.jobs))
	}
}

const (
	// notLookedAt is the last reason of a job that no pass has looked at.
	notLookedAt = waitReason(-1)
	// lookTime is how long the passes of a slow cell take for each step that they look at.
	lookTime = time.Millisecond
)

// slowCell returns a full cell whose passes take lookTime for each step.
func slowCell(t *testing.T, workers, waiting int) *leadership {
	l := fullCell(t, workers, waiting)
	elapsed := time.Duration(0)
	start := time.Time{}
	l.since = func(began time.Time) time.Duration {
		if began != start {
			start, elapsed = began, 0
		}
		elapsed += lookTime
		return elapsed
	}
	for _, tj := range l.jobs {
		tj.lastReason = notLookedAt
		tj.timeLimit = time.Hour
	}
	return l
}

// unseen returns how many jobs no pass has looked at.
func unseen(l *leadership) int {
	n := 0
	for _, tj := range l.jobs {
		if tj.lastReason == notLookedAt {
			n++
		}
	}
	return n
}

// fullCell returns a leadership with busy workers and waiting jobs of three queues.
func fullCell(b testing.TB, workers, waiting int) *leadership {
	rnd := rand.New(rand.NewPCG(1, 2))
	advice := func(base, each time.Duration) *site.Advice {
		return &site.Advice{Base: base, PerUpstream: each, TicketLifetime: 2 * time.Second}
	}
	catalog := (&site.Catalog{
		Version: 1,
		Queues: []site.Queue{
			{Name: "lookup", Service: "s", MaxAttempts: 2, Stretch: 1.5, Objective: time.Second, Advice: advice(10*time.Millisecond, time.Millisecond/5)},
			{Name: "gang", Service: "s", MaxAttempts: 2, Stretch: 2, Objective: time.Second, Priority: 1, Advice: advice(700*time.Millisecond, 10*time.Millisecond)},
			{Name: "batch", Service: "s", MaxAttempts: 2, Stretch: 4, Objective: time.Second, Priority: 2, Advice: advice(130*time.Millisecond, 2*time.Millisecond)},
		},
		Teams:    []site.Team{{Name: "team", Weight: 1e6}},
		Services: map[string]site.Service{"s": {}},
	}).Index()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	s := New(Options{Name: "a", Incarnation: "a/1"}, Deps{
		Follower: currentFollower{}, View: job.NewView(), Advisor: silentAdvisor{}, Logger: log.NewNopLogger(), Counts: noCounts{},
		Catalog: func() *site.Catalog { return catalog },
	})
	s.ctx = ctx
	s.listedAt = time.Now().Add(time.Hour)
	l := &leadership{
		s: s, ctx: ctx, jobs: map[string]*trackedJob{}, workers: map[string]*worker{}, teamUse: map[string]resource.Vector{},
		meters: map[string]*placement.RateMeter{}, workersKnownOnce: true, isolatedRuns: map[*run]bool{}, headroom: map[string]*placement.Headroom{},
		since: time.Since,
	}
	l.advice.init()
	s.lead = l
	add := func(id, queue string, steps ...job.Step) *trackedJob {
		sub := &job.Submission{ID: id, Team: "team", Queue: queue, Service: "s", Priority: catalog.Queue(queue).Priority, MaxAttempts: 2, Steps: steps}
		tj := newTrackedJob(id, sub, &job.Job{State: job.NewState(sub), AcceptedAt: time.Now()})
		l.jobs[id] = tj
		l.assess(tj, tj.acceptedAt)
		return tj
	}
	busy := add("running", "batch", job.Step{Count: workers * 8, Size: resource.Vector{MilliCPU: 1800, MemoryMB: 2000}, Estimate: 3 * time.Second})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		wk := l.workerOf(id)
		wk.upstream = site.Upstream{ID: id, Service: "s", Capacity: resource.Vector{MilliCPU: 16000, MemoryMB: 32768}, Boot: 1}
		wk.listed, wk.boot = true, 1
		for n := range 7 + rnd.IntN(2) {
			t := site.TaskID{Job: "running", Index: i*8 + n}
			busy.state.Steps[0][t.Index] = job.Task{Status: job.Dispatched, Run: 1, Worker: id, Boot: 1}
			r := &run{task: t, number: 1, tj: busy, stage: running, decidedAt: time.Now(), confirmedAt: time.Now()}
			l.bind(r, wk)
		}
	}
	for i := range waiting {
		id := fmt.Sprintf("j%04d", i)
		switch i % 10 {
		case 0:
			step := gang(6+rnd.IntN(30), 4)
			step.Estimate = 6 * time.Second
			answerAll(l, add(id, "gang", step), rnd)
		case 1, 2:
			step := tasks(10+rnd.IntN(30), 2)
			step.Estimate = 3 * time.Second
			add(id, "batch", step)
		default:
			step := tasks(3, 2)
			step.Estimate = 800 * time.Millisecond
			add(id, "lookup", step)
		}
	}
	return l
}

// answerAll records an answer of the advisor about every worker: three in ten may run
// the job's first step, with tickets that have expired.
func answerAll(l *leadership, tj *trackedJob, rnd *rand.Rand) {
	answers := tj.adviceOf(0)
	for id := range l.workers {
		if rnd.Float64() < 0.3 {
			answers.tickets[id] = ticket{}
		} else {
			answers.refused[id] = true
		}
	}
}
