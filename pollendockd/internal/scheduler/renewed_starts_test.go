package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestLateRenewalOfStartersLeaderKeepsNoTaskRunningTwice guards against a run that a restarted worker starts late, and whose lease a hold prolongs that the same leader has sent to the earlier incarnation long after the start.
func TestLateRenewalOfStartersLeaderKeepsNoTaskRunningTwice(t *testing.T) {
	const maxLease = 10 * time.Second
	for _, noticed := range []bool{false, true} {
		inCell(t, 1, func(c *cell) {
			c.setMaxLease(maxLease)
			c.fleet.KeepIDs()
			c.outcome = longRun
			v := c.startThree()
			time.Sleep(20 * time.Second)
			on := c.fleet.Worker("w0")
			on.DelayStarts(1, 12*time.Second)
			c.submit("j1", tasks(1, 4))
			expectPhase(c, v, "j1", time.Second, job.Running)
			time.Sleep(9 * time.Second)
			on.DelayHolds(1, 12*time.Second)
			time.Sleep(700 * time.Millisecond)
			on.Reboot()
			on.SetSilent(true)
			name := c.leader()
			c.kill(name)
			if noticed {
				for _, other := range c.vms {
					other.scheduler.LeaderEnded(name + "/1")
				}
			}
			c.fleet.Add("w1", "s", on.Capacity())
			time.Sleep(40 * time.Second)
			on.SetSilent(false)
			time.Sleep(30 * time.Second)
		})
	}
}

// TestWorkerWithLostAnswerKeepsItsLease guards against runs that lapse because the lease of their worker is not renewed beside a start without an answer.
func TestWorkerWithLostAnswerKeepsItsLease(t *testing.T) {
	for _, c := range []struct {
		name string
		// fault happens once the first start request got no answer.
		fault func(c *cell, on string)
	}{
		{"answer lost", func(*cell, string) {}},
		{"worker silent for 1.5 s", func(c *cell, on string) {
			c.fleet.Worker(on).SetSilent(true)
			time.Sleep(1500 * time.Millisecond)
			c.fleet.Worker(on).SetSilent(false)
		}},
		{"new leader", func(c *cell, _ string) { c.killLeader() }},
		{"two new leaders", func(c *cell, _ string) {
			c.killLeader()
			time.Sleep(2 * time.Second)
			c.killLeader()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 1, func(cl *cell) {
				cl.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 20 * time.Second, site.Done }
				v := cl.startThree()
				time.Sleep(2 * time.Second)
				cl.submit("j1", tasks(1, 4))
				expectPhase(cl, v, "j1", time.Second, job.Running)
				time.Sleep(time.Second)
				cl.fleet.Worker("w0").DropResponses(1)
				cl.submit("j2", tasks(1, 4))
				time.Sleep(100 * time.Millisecond)
				c.fault(cl, "w0")
				time.Sleep(40 * time.Second)
				for _, id := range []string{"j1", "j2"} {
					expectStarts(cl, id, 0, 1)
				}
			})
		})
	}
}

// TestRenewalsBesideOpenStarts checks beside which start requests without an answer a lease is renewed, and which runs are to be named first.
func TestRenewalsBesideOpenStarts(t *testing.T) {
	now := time.Now()
	sentAgo := func(d time.Duration) []time.Time { return []time.Time{now.Add(-d)} }
	for _, c := range []struct {
		name string
		r    run
		// sentAgo is when the last start request was sent, dispatchedAgo the append of the dispatch,
		// answeredAgo the worker's last answer in this term, if there is one.
		sentAgo, dispatchedAgo, answeredAgo time.Duration
		wantBars, wantNamed                 bool
	}{
		{"with a ticket, answer lost for longer", run{startAttempts: 2, ticket: "t", unansweredStarts: sentAgo(1)}, 300 * time.Millisecond, 800 * time.Millisecond, time.Millisecond, false, false},
		{"just sent", run{startAttempts: 1, unansweredStarts: sentAgo(1)}, 5 * time.Millisecond, 20 * time.Millisecond, time.Millisecond, false, false},
		{"answer lost", run{startAttempts: 2, unansweredStarts: sentAgo(1)}, 300 * time.Millisecond, 600 * time.Millisecond, time.Millisecond, false, true},
		{"answer lost for longer", run{startAttempts: 2, unansweredStarts: sentAgo(1)}, 300 * time.Millisecond, 800 * time.Millisecond, time.Millisecond, true, true},
		{"no answer since", run{startAttempts: 3, unansweredStarts: sentAgo(1)}, time.Second, 2 * time.Second, 2 * time.Second, true, false},
		{"all answered", run{startAttempts: 1}, time.Second, time.Second, time.Millisecond, false, false},
		{"named", run{startAttempts: 2, unansweredStarts: sentAgo(1), renewalsNamed: true}, 300 * time.Millisecond, 800 * time.Millisecond, time.Millisecond, false, true},
		{"inherited", run{stage: inherited}, 0, 0, time.Millisecond, true, true},
		{"inherited, no answer", run{stage: inherited}, 0, 0, 0, true, false},
		{"inherited, answered", run{stage: inherited, startsAnswered: true}, 0, 0, time.Millisecond, false, false},
	} {
		l := leadershipOf("j", tasks(1, 1))
		wk := l.workerOf("w")
		if c.answeredAgo > 0 {
			wk.boot, wk.answeredAt = 1, now.Add(-c.answeredAgo)
		}
		r := &c.r
		r.wk, r.tj, r.task, r.number = wk, l.jobs["j"], site.TaskID{Job: "j"}, 1
		r.sentAt = now.Add(-c.sentAgo)
		r.dispatchAge = dispatchAge{now.Add(-c.dispatchedAgo), shortStartDelay}
		l.answeredStarts.add(r)
		if bars := !l.mayRenewBesideStarts(wk, now); bars != c.wantBars {
			t.Errorf("%s: bars renewals %v, want %v", c.name, bars, c.wantBars)
		}
		if named := l.isToBeNamed(r, now); named != c.wantNamed {
			t.Errorf("%s: to be named %v, want %v", c.name, named, c.wantNamed)
		}
	}
}

// TestRecordOfRenewedStartsNamesRuns checks when the record is written, and that one that names too many runs stands for all.
func TestRecordOfRenewedStartsNamesRuns(t *testing.T) {
	l := leadershipOf("j", tasks(maxOpenStarts+1, 1))
	wk := l.workerOf("w")
	wk.boot = 1
	for i, c := range []struct {
		open    int
		want    *job.RenewedStarts
		allOpen bool
	}{
		{0, nil, false},
		{2, &job.RenewedStarts{Runs: make([]job.RunName, 2)}, false},
		{2, nil, false},
		{maxOpenStarts + 1, &job.RenewedStarts{All: true}, true},
		{maxOpenStarts + 1, nil, true},
		{maxOpenStarts, &job.RenewedStarts{Runs: make([]job.RunName, maxOpenStarts)}, false},
		{0, &job.RenewedStarts{}, false},
	} {
		l.answeredStarts = newAnsweredStarts(&job.AnsweredStarts{}, 0)
		for index := range c.open {
			r := &run{task: site.TaskID{Job: "j", Index: index}, number: 1, tj: l.jobs["j"], wk: wk, stage: inherited, renewalsNamed: i != 1 && index < maxOpenStarts}
			l.answeredStarts.add(r)
		}
		b := &batch{}
		l.renewedStarts.recordedAt = time.Time{}
		if err := l.addRenewedStarts(b, time.Now()); err != nil {
			t.Fatal(err)
		}
		l.renewedStartsDurable(b)
		got := b.renewedStarts
		if (got == nil) != (c.want == nil) || got != nil && (got.All != c.want.All || len(got.Runs) != len(c.want.Runs)) {
			t.Errorf("record %d: %+v, want %+v", i, got, c.want)
		}
		if l.renewedStarts.all != c.allOpen {
			t.Errorf("record %d stands for all runs: %v, want %v", i, l.renewedStarts.all, c.allOpen)
		}
	}
}

// TestStartThatDiedWithItsWorkerIsWaitedForNoLonger guards against waiting for renewals that a dead worker never got, where the leader dies some seconds after it.
func TestStartThatDiedWithItsWorkerIsWaitedForNoLonger(t *testing.T) {
	const (
		maxLease = 10 * time.Second
		// longestWait is until no start request can be executed, and the longest lease has expired.
		longestWait = maxInheritedStartDelay + maxLease + time.Second
	)
	for _, leadersDieAfter := range [][]time.Duration{
		{0},
		{5 * time.Second},
		{5 * time.Second, 3 * time.Second},
		{300 * time.Millisecond, 3 * time.Second},
	} {
		inCell(t, 1, func(c *cell) {
			c.setMaxLease(maxLease)
			c.outcome = longRun
			v := c.startThree()
			time.Sleep(40 * time.Second)
			c.fleet.Worker("w0").LoseStarts(3)
			c.submit("j1", tasks(1, 4))
			began := time.Now()
			expectPhase(c, v, "j1", time.Second, job.Running)
			c.fleet.Worker("w0").Terminate()
			c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
			for _, d := range leadersDieAfter {
				time.Sleep(d)
				c.killLeader()
			}
			for c.fleet.Starts(site.TaskID{Job: "j1"}) == 0 && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("leaders die %v after one another: the task starts after %v", leadersDieAfter, time.Since(began))
			if took := time.Since(began); took > longestWait {
				t.Errorf("the task starts after %v, want %v at most", took, longestWait)
			}
		})
	}
}

// TestTaskOfNamedRunWaitsNoLonger guards against waiting for renewals beside the start of an earlier run of the task.
func TestTaskOfNamedRunWaitsNoLonger(t *testing.T) {
	for _, c := range []struct {
		name   string
		record job.RenewedStarts
		run    int64
		want   bool
	}{
		{"the run", job.RenewedStarts{Runs: []job.RunName{{Job: "j", Run: 1}}}, 1, true},
		{"the next run of its task", job.RenewedStarts{Runs: []job.RunName{{Job: "j", Run: 1}}}, 2, false},
		{"all runs", job.RenewedStarts{All: true}, 2, true},
	} {
		l := leadershipOf("j", tasks(1, 1))
		l.startedAt = time.Now()
		l.renewedStarts = newRenewedStarts(&c.record)
		r := &run{task: site.TaskID{Job: "j"}, number: c.run, tj: l.jobs["j"], wk: l.workerOf("w"), stage: inherited}
		l.inheritRenewals(r)
		if got := r.othersRenewed; got != c.want || r.renewalsNamed != c.want {
			t.Errorf("%s: waits for renewals %v, want %v", c.name, got, c.want)
		}
	}
}
