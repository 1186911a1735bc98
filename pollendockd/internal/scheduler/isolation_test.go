package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/crash"
	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestSuspectLimit checks how many of 40 workers suspects may take, by what others wait for.
func TestSuspectLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		wanted int64
		want   int
	}{
		{"nobody waits", 0, 24},
		{"others wait for a tenth of the capacity", 40_000, 20},
		{"others wait for twice the capacity", 800_000, 10},
	} {
		if got := suspectLimit(40, 400_000, c.wanted); got != c.want {
			t.Errorf("%s: %d workers, want %d", c.name, got, c.want)
		}
	}
	if got := suspectLimit(1, 10_000, 800_000); got != 1 {
		t.Errorf("%d of one worker, want 1", got)
	}
}

// TestSuspectsDoNotCrowdThemselves checks which steps leave fewer workers to suspects by
// waiting. Suspects that waited used to count, and got a quarter of the workers while
// nobody else wanted any.
func TestSuspectsDoNotCrowdThemselves(t *testing.T) {
	for _, c := range []struct {
		name string
		ws   waitingStep
		want int64
	}{
		{"waits for capacity", waitingStep{why: noCapacity}, 6000},
		{"waits for a reservation", waitingStep{why: unreserved}, 6000},
		{"a suspect", waitingStep{why: noCapacity, isolated: true}, 0},
		{"waits for the advisor", waitingStep{why: asking}, 0},
		{"past its deadline", waitingStep{why: noCapacity, sortKey: placement.SortKey{Rank: placement.Late}}, 6000},
		{"long past its deadline", waitingStep{why: laterPass, sortKey: placement.SortKey{Rank: placement.Overdue}}, 6000},
	} {
		sub := &job.Submission{Service: "s", Queue: "q", Steps: []job.Step{tasks(2, 3)}}
		c.ws.tj = newTrackedJob("j", sub, &job.Job{State: job.NewState(sub)})
		l := &leadership{s: &Scheduler{deps: Deps{View: job.NewView()}}, crowdingCPU: map[string]int64{}}
		l.noteCrowding(&pass{catalog: (&site.Catalog{}).Index()}, &c.ws)
		if got := l.crowdingCPU["s"]; got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestVacateOrder checks which of two workers is kept free for a suspect. One that is empty
// already used to come after one that was chosen before and still runs other jobs.
func TestVacateOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		better, worse vacateRank
	}{
		{"has a ticket", vacateRank{ticketed: true, empty: true}, vacateRank{allowed: true, empty: true}},
		{"another suspect has no ticket", vacateRank{empty: true}, vacateRank{empty: true, chosen: true, othersTicket: true}},
		{"allowed to a gang", vacateRank{allowed: true, emptyIn: time.Second}, vacateRank{empty: true}},
		{"without services", vacateRank{emptyIn: 10 * time.Second}, vacateRank{services: true, empty: true}},
		{"empty", vacateRank{empty: true}, vacateRank{own: true, emptyIn: time.Second}},
		{"empty much sooner", vacateRank{emptyIn: 200 * time.Millisecond}, vacateRank{own: true, emptyIn: 2 * time.Second}},
		{"chosen before, empty about as soon", vacateRank{own: true, emptyIn: 400 * time.Millisecond}, vacateRank{emptyIn: 200 * time.Millisecond}},
		{"chosen for another", vacateRank{chosen: true, emptyIn: 400 * time.Millisecond}, vacateRank{emptyIn: 200 * time.Millisecond}},
	} {
		if !c.better.before(&c.worse) || c.worse.before(&c.better) {
			t.Errorf("%s: does not come first", c.name)
		}
	}
}

// TestSuspectsInTurn checks the order in which suspects get workers.
func TestSuspectsInTurn(t *testing.T) {
	now := time.Now()
	waits := []time.Duration{time.Second, 10 * time.Second, 0, 20 * time.Second}
	var steps []*waitingStep
	for _, d := range waits {
		sub := &job.Submission{Steps: []job.Step{{Count: 1, Size: resource.Vector{MilliCPU: 1}}}}
		ws := &waitingStep{tj: newTrackedJob("j", sub, &job.Job{State: job.NewState(sub)}), isolated: true}
		ws.tj.waits[ws.key()] = &stepWait{since: now.Add(-d)}
		steps = append(steps, ws)
	}
	steps = append(steps, &waitingStep{tj: steps[0].tj})
	for early := range crash.EarlyCount {
		sub := &job.Submission{Steps: []job.Step{{Count: 1, Size: resource.Vector{MilliCPU: 1}}}}
		ws := &waitingStep{tj: newTrackedJob("j", sub, &job.Job{State: job.NewState(sub)}), isolated: true}
		ws.tj.crashes = ws.tj.crashes.With(job.TaskCrashes{Count: 2, Early: early, Verdict: job.Suspect})
		steps = append(steps, ws)
	}
	got := suspectsInTurn(steps, now)
	want := []*waitingStep{steps[7], steps[3], steps[1], steps[0], steps[2], steps[5], steps[6]}
	if len(got) != len(want) {
		t.Fatalf("%d suspects, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("place %d: the wrong suspect", i)
		}
	}
}

// TestNewLeaderHearsWorkersBeforeSuspectsStartBesideOthers guards against a new leader that starts
// a suspect, which has waited for long, beside others before it knows whether a worker is empty.
func TestNewLeaderHearsWorkersBeforeSuspectsStartBesideOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		known  bool
		waited time.Duration
		want   bool
	}{
		{"few workers have answered", false, 10 * time.Second, false},
		{"most workers have answered", true, 10 * time.Second, true},
		{"has not waited", true, time.Second, false},
	} {
		sub := &job.Submission{Steps: []job.Step{tasks(1, 4)}}
		ws := &waitingStep{tj: newTrackedJob("j", sub, &job.Job{State: job.NewState(sub)}), isolated: true}
		p := &pass{now: time.Now(), workersKnown: c.known}
		ws.tj.crashes = ws.tj.crashes.With(job.TaskCrashes{Count: 1, Verdict: job.Suspect})
		ws.tj.waits[ws.key()] = &stepWait{since: p.now.Add(-c.waited)}
		p.relaxAfterWait(ws, "s", 1)
		if ws.besideOthers != c.want {
			t.Errorf("%s: beside others %v, want %v", c.name, ws.besideOthers, c.want)
		}
	}
}

// TestBystandersLeaveEmptyWorkers guards against suspects with a crash at their start that find no empty worker for seconds, since those are kept free for others that may start anywhere.
func TestBystandersLeaveEmptyWorkers(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration
		want   int
	}{
		{"just crashed", 0, 1},
		{"may start beside others", maxBystanderWait, 0},
		{"has found no room there", maxSuspectWait, 1},
	} {
		l := leadershipOf("j", tasks(1, 4))
		ws := &waitingStep{tj: l.jobs["j"], isolated: true}
		ws.tj.crashes = ws.tj.crashes.With(job.TaskCrashes{Count: 1, Verdict: job.Suspect})
		p := l.newPass(time.Now(), (&site.Catalog{}).Index())
		p.workersKnown, p.speeds = true, newSpeedTable()
		wk := l.workerOf("w")
		wk.upstream.Capacity = resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000}
		p.usable["s"] = []*worker{wk}
		ws.tj.waits[ws.key()] = &stepWait{since: p.now.Add(-c.waited)}
		l.vacateFor(p, ws)
		if got := len(p.isolation.vacated); got != c.want || !ws.vacated {
			t.Errorf("%s: %d workers are kept free, may start %v, want %d, true", c.name, got, ws.vacated, c.want)
		}
	}
}

// TestSuspectsStartOnIdleWorkersBeyondTheirLimit guards against suspects that wait for seconds beside workers that run nothing and that nobody else wants, since suspects have as many as they may take.
func TestSuspectsStartOnIdleWorkersBeyondTheirLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		crashes  int
		crowding int64
		busy     bool
		want     bool
	}{
		{"nobody else waits", 1, 0, false, true},
		{"others wait", 1, 1000, false, false},
		{"no worker is empty", 1, 0, true, false},
		{"needs the worker to its end", 2, 0, false, false},
	} {
		l := leadershipOf("j", tasks(1, 4))
		ws := &waitingStep{tj: l.jobs["j"], isolated: true}
		ws.tj.crashes = ws.tj.crashes.With(job.TaskCrashes{Count: c.crashes, Early: 1, Verdict: job.Suspect})
		p := l.newPass(time.Now(), (&site.Catalog{}).Index())
		p.workersKnown, p.speeds = true, newSpeedTable()
		l.crowdingCPU = map[string]int64{"s": c.crowding}
		other := leadershipOf("other", tasks(2, 4)).jobs["other"]
		for n := range 2 {
			wk := l.workerOf(workerName(n))
			wk.upstream.Capacity = resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000}
			p.usable["s"] = append(p.usable["s"], wk)
			if n == 0 {
				p.isolation.holders[wk] = other
				p.isolation.taken++
			} else if c.busy {
				l.bind(&run{task: site.TaskID{Job: "other", Index: n}, tj: other}, wk)
			}
		}
		l.limitSuspects(p)
		l.vacateFor(p, ws)
		if ws.vacated != c.want {
			t.Errorf("%s: may start %v, want %v", c.name, ws.vacated, c.want)
		}
	}
}

// TestInheritedServiceHasSettled guards against services that a suspect may not start beside since each
// new leader counts their work from its own begin.
func TestInheritedServiceHasSettled(t *testing.T) {
	const latestStart = maxStartAttempts*startTimeout + maxRequestDelay
	for _, c := range []struct {
		name  string
		stage stage
		// read is how long before it was found on its worker the dispatch was read.
		read time.Duration
		want bool
	}{
		{"dispatched long ago", inherited, latestStart + settledTime, true},
		{"may have started late", inherited, latestStart + settledTime - time.Second, false},
		{"just dispatched", inherited, 0, false},
		{"started by this leader", unconfirmed, time.Hour, false},
	} {
		now := time.Now()
		service := tasks(1, 1)
		service.Endless = true
		tj := &trackedJob{sub: &job.Submission{Steps: []job.Step{service}}, inheritedAt: now.Add(-c.read)}
		r := &run{tj: tj, wk: &worker{clockAt: now}, stage: c.stage}
		r.confirm(now)
		if got := r.settled(); got != c.want {
			t.Errorf("%s: settled %v, want %v", c.name, got, c.want)
		}
	}
}
