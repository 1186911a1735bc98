package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestNoStartRenewsALeaseBesideAnOpenStart guards against a start request that carries a lease to a worker on which another start may be executed late: a later incarnation takes it for a renewal.
func TestNoStartRenewsALeaseBesideAnOpenStart(t *testing.T) {
	now := time.Now()
	l := leadershipOf("j", tasks(1, 1))
	l.s.opt.Bounds.MaxLease = 10 * time.Second
	l.flush.ackedAt, l.flush.ackedTimeOfDay = now, now.Round(0)
	wk := l.workerOf("w")
	wk.boot, wk.clock, wk.clockAt, wk.answeredAt, wk.leaseEnd = 1, time.Minute, now.Add(-time.Second), now.Add(-time.Second), time.Minute+lease
	open := &run{
		wk: wk, tj: l.jobs["j"], task: site.TaskID{Job: "j"}, number: 1, startAttempts: 3, sentAt: now.Add(-300 * time.Millisecond),
		unansweredStarts: []time.Time{now.Add(-800 * time.Millisecond)}, dispatchAge: dispatchAge{now.Add(-900 * time.Millisecond), shortStartDelay},
	}
	l.answeredStarts.add(open)
	if got := l.nextLease(wk, now); got != 0 {
		t.Errorf("a hold renews the lease until %v", got)
	}
	if got := l.startLease(wk, now); got != 0 {
		t.Errorf("a start renews the lease until %v", got)
	}
}

// TestTicketOfLaterIncarnationRunsNoTaskTwice guards against taking a start for one that no later incarnation accepts, though the worker had restarted before the advisor gave its ticket.
func TestTicketOfLaterIncarnationRunsNoTaskTwice(t *testing.T) {
	for _, startsLate := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		for before := time.Duration(0); before < 300*time.Millisecond; before += 50 * time.Millisecond {
			t.Run(fmt.Sprint(startsLate, before), func(t *testing.T) {
				inCell(t, 1, func(c *cell) {
					c.useTickets()
					c.fleet.KeepIDs()
					c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 10 * time.Minute, site.Done }
					v := c.startThree()
					c.submit("wide", tasks(1, 1))
					expectPhase(c, v, "wide", time.Second, job.Running)
					time.Sleep(30*time.Second + before)
					w := c.fleet.Worker("w0")
					w.Reboot()
					w.DelayStarts(1, startsLate)
					if !c.killOnceDispatched("j1", tasks(1, 4)) {
						// The leader has noticed the restart.
						return
					}
					w.SetSilent(true)
					c.fleet.Add("w1", "s", w.Capacity())
					time.Sleep(40 * time.Second)
				})
			})
		}
	}
}

// killOnceDispatched submits a job, and kills the leader as soon as another VM has read that it is dispatched. It returns false if it isn't soon.
func (c *cell) killOnceDispatched(id string, step job.Step) bool {
	leader := c.leader()
	var other *vm
	for name, v := range c.vms {
		if name != leader {
			other = v
		}
	}
	c.submit(id, step)
	for began := time.Now(); time.Since(began) < 500*time.Millisecond; time.Sleep(time.Millisecond) {
		if j := other.replica.Job(id); j != nil && j.State.AnyDispatched() {
			c.killNoticed(leader)
			return true
		}
	}
	return false
}

// TestOneSlowAppendDelaysNoTaskOfDeadWorker guards against successors that wait longer for all starts because one append was slow long before.
func TestOneSlowAppendDelaysNoTaskOfDeadWorker(t *testing.T) {
	// longestWait is as long as without the slow append.
	longestWait := maxInheritedStartDelay + 7*time.Second
	for _, slow := range []time.Duration{0, 900 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			inCell(t, 3, func(c *cell) {
				c.outcome = longRun
				c.start("a")
				time.Sleep(2 * time.Second)
				c.store.SetAppendDelay(slow)
				c.submit("j0", tasks(1, 1))
				time.Sleep(3 * time.Second)
				c.store.SetAppendDelay(0)
				v := c.start("b")
				c.start("d")
				time.Sleep(30 * time.Second)
				c.submit("j1", tasks(1, 4))
				expectPhase(c, v, "j1", time.Second, job.Running)
				w := c.fleet.Worker(v.replica.Job("j1").State.Steps[0][0].Worker)
				c.killNoticed(c.leader())
				w.Terminate()
				took := c.untilNextStart("j1")
				t.Logf("the task runs again after %v", took)
				if took > longestWait {
					t.Errorf("the task runs again after %v, want %v at most", took, longestWait)
				}
			})
		})
	}
}

// TestRunsOutliveOutageAfterChangeOfLeader guards against leases that lapse in an outage of the stream because a new leader could not record the young runs that it took over.
func TestRunsOutliveOutageAfterChangeOfLeader(t *testing.T) {
	for _, c := range []struct {
		after   time.Duration
		tickets bool
	}{{0, false}, {20 * time.Millisecond, false}, {100 * time.Millisecond, false}, {0, true}, {20 * time.Millisecond, true}, {100 * time.Millisecond, true}} {
		after, tickets := c.after, c.tickets
		t.Run(fmt.Sprint(after, " tickets ", tickets), func(t *testing.T) {
			inCell(t, 2, func(c *cell) {
				if tickets {
					c.useTickets()
				}
				c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
				v := c.startThree()
				time.Sleep(20 * time.Second)
				c.submit("j1", tasks(2, 4))
				expectPhase(c, v, "j1", time.Second, job.Running)
				time.Sleep(10 * time.Millisecond)
				c.killNoticed(c.leader())
				c.awaitLeader()
				time.Sleep(after)
				c.store.SetUnavailable(true)
				time.Sleep(8 * time.Second)
				c.store.SetUnavailable(false)
				time.Sleep(60 * time.Second)
				for i := range 2 {
					expectStarts(c, "j1", i, 1)
				}
			})
		})
	}
}

// TestDeadWorkerBesideManyOpenStartsIsWaitedForNoLonger guards against waiting for renewals that a dead worker never got, because a record of many runs names all.
func TestDeadWorkerBesideManyOpenStartsIsWaitedForNoLonger(t *testing.T) {
	for _, open := range []int{10, 300} {
		for _, terms := range []int{1, 3, -3} {
			// Negative ones stand for a queue with advice.
			tickets := terms < 0
			terms := max(terms, -terms)
			t.Run(fmt.Sprint(open, " runs ", terms, " terms, tickets ", tickets), func(t *testing.T) {
				inCell(t, 32, func(c *cell) {
					if tickets {
						c.useTickets()
					}
					c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 2 * time.Minute, site.Done }
					for _, name := range []string{"a", "b", "d", "e", "f", "g"} {
						c.start(name)
						time.Sleep(time.Second)
						c.join(name)
					}
					time.Sleep(20 * time.Second)
					c.submit("j1", tasks(1, 1))
					c.submit("many", tasks(open, 1))
					v := c.vms["g"]
					expectPhase(c, v, "j1", time.Second, job.Running)
					dispatched := time.Now()
					w := c.fleet.Worker(v.replica.Job("j1").State.Steps[0][0].Worker)
					w.LoseStarts(1000)
					c.killLeader()
					w.Terminate()
					c.awaitLeader()
					for range terms {
						time.Sleep(4 * time.Second)
						c.killLeader()
						c.awaitLeader()
					}
					for c.fleet.Starts(site.TaskID{Job: "j1"}) < 2 && time.Since(dispatched) < 90*time.Second {
						time.Sleep(20 * time.Millisecond)
					}
					longest := maxInheritedStartDelay + 8*time.Second
					if took := time.Since(dispatched); took > longest {
						t.Errorf("the task runs again %v after its dispatch, want %v at most", took, longest)
					}
				})
			})
		}
	}
}

// everySecondHold is a worker that gets only every second hold that renews its lease, and then none.
type everySecondHold struct {
	Worker
	lossy *atomic.Bool
	n     *atomic.Int64
}

func (w everySecondHold) Hold(ctx context.Context, req *site.HoldRequest) (*site.HoldReply, error) {
	if w.lossy.Load() && w.n.Add(1)%2 == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w.Worker.Hold(ctx, req)
}

// TestWorkerThatAnswersEverySecondCallKeepsItsLease guards against leases that lapse though the worker answers again and again.
func TestWorkerThatAnswersEverySecondCallKeepsItsLease(t *testing.T) {
	for _, phase := range []int64{0, 1} {
		inCell(t, 1, func(c *cell) {
			lossy, n := &atomic.Bool{}, &atomic.Int64{}
			n.Store(phase)
			c.linkTo = func(w Worker) Worker { return everySecondHold{w, lossy, n} }
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
			v := c.start("a")
			time.Sleep(time.Second)
			c.submit("j1", tasks(1, 4))
			expectPhase(c, v, "j1", time.Second, job.Running)
			time.Sleep(time.Second)
			lossy.Store(true)
			time.Sleep(20 * time.Second)
			lossy.Store(false)
			time.Sleep(20 * time.Second)
			expectStarts(c, "j1", 0, 1)
		})
	}
}

// TestDeadWorkerIsGivenUpWhateverTheHeartbeat guards against waiting for the list for longer than callers wait where heartbeats are rare.
func TestDeadWorkerIsGivenUpWhateverTheHeartbeat(t *testing.T) {
	const longestWait = 7 * time.Second
	for _, heartbeat := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(heartbeat.String(), func(t *testing.T) {
			inCell(t, 2, func(c *cell) {
				c.bounds.Heartbeat = heartbeat
				c.outcome = longRun
				v := c.start("a")
				time.Sleep(time.Second)
				c.submit("j1", tasks(1, 4))
				expectPhase(c, v, "j1", time.Second, job.Running)
				time.Sleep(3 * time.Second)
				// Its entry stays, as while the store doesn't expire entries.
				c.fleet.Worker(v.replica.Job("j1").State.Steps[0][0].Worker).SetSilent(true)
				if took := c.untilNextStart("j1"); took > longestWait {
					t.Errorf("the task runs again after %v, want %v at most", took, longestWait)
				}
			})
		})
	}
}

// TestShorterRecordedStartDelayIsReplaced guards against a leader that sends starts later than a record of another version says.
func TestShorterRecordedStartDelayIsReplaced(t *testing.T) {
	v := job.NewView()
	e, err := job.StartDelayEntry(&job.StartDelay{Delay: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := v.Apply(&site.Page{Entries: []site.Entry{e}, Next: 1}); err != nil {
		t.Fatal(err)
	}
	l := leadershipOf("j", tasks(1, 1))
	l.s.opt.Bounds = site.Bounds{MaxLease: 6 * time.Second}
	l.s.deps.View = v
	l.startDelays = startDelays{recorded: v.StartDelay(), lateAt: time.Now()}
	b := &batch{}
	if err := l.addStartDelay(b, time.Now()); err != nil {
		t.Fatal(err)
	}
	if b.dispatchAge.limit > time.Second && len(b.entries) == 0 {
		t.Errorf("start requests are sent within %v, and the record says %v", b.dispatchAge.limit, v.StartDelay())
	}
}

// TestOverloadedLeaderStartsWhatItDispatches guards against giving up all starts because the states of other jobs take several appends.
func TestOverloadedLeaderStartsWhatItDispatches(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		for i := range 200 {
			c.fleet.Add(fmt.Sprintf("w%d", i), "s", resource.Vector{MilliCPU: 100_000, MemoryMB: 100_000})
		}
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 5 * time.Second, site.Done }
		v := c.start("a")
		time.Sleep(2 * time.Second)
		c.store.SetAppendDelay(300 * time.Millisecond)
		for i := range 40 {
			c.submit(fmt.Sprintf("j%d", i), tasks(400, 1))
		}
		began := time.Now()
		expectPhase(c, v, "j39", time.Minute, job.Completed)
		t.Logf("all done after %v", time.Since(began))
	})
}

// lostHolds is a worker that gets no holds while lost is set.
type lostHolds struct {
	Worker
	lost *atomic.Bool
}

func (w lostHolds) Hold(ctx context.Context, req *site.HoldRequest) (*site.HoldReply, error) {
	reply, err := w.Worker.Hold(ctx, req)
	if w.lost.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, err
}

// TestLateStartBesideAnOpenStartRunsNoTaskTwice guards against the same as a whole: a restarted worker executes a start late, and after it the later start of another task, which prolongs the lease.
func TestLateStartBesideAnOpenStartRunsNoTaskTwice(t *testing.T) {
	const maxLease = 10 * time.Second
	for phase := 440 * time.Millisecond; phase < 600*time.Millisecond; phase += 10 * time.Millisecond {
		for second := 700 * time.Millisecond; second < 950*time.Millisecond; second += 50 * time.Millisecond {
			t.Run(fmt.Sprint(phase, second), func(t *testing.T) {
				inCell(t, 1, func(c *cell) {
					c.setMaxLease(maxLease)
					c.fleet.KeepIDs()
					lost := &atomic.Bool{}
					c.linkTo = func(w Worker) Worker {
						if w != Worker(c.fleet.Worker("w0")) {
							return w
						}
						return lostHolds{w, lost}
					}
					c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 5 * time.Minute, site.Done }
					v := c.startThree()
					c.submit("k", tasks(1, 1))
					expectPhase(c, v, "k", time.Second, job.Running)
					time.Sleep(30*time.Second + phase)
					on := c.fleet.Worker("w0")
					on.DelayStarts(6, maxRequestDelay-10*time.Millisecond)
					lost.Store(true)
					began := time.Now()
					c.submit("j1", tasks(1, 4))
					time.Sleep(second)
					c.submit("j2", tasks(1, 4))
					time.Sleep(1700*time.Millisecond - time.Since(began))
					on.SetSilent(true)
					on.Reboot()
					c.killNoticed(c.leader())
					c.fleet.Add("w1", "s", on.Capacity())
					time.Sleep(40 * time.Second)
					lost.Store(false)
					on.SetSilent(false)
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}

// TestFreshRunOutlivesChangeOfLeader guards against a run that lapses while the leader changes because its start request carried a lease that was half over.
func TestFreshRunOutlivesChangeOfLeader(t *testing.T) {
	for _, away := range []time.Duration{0, time.Second, 2 * time.Second} {
		for after := time.Duration(0); after < idleHoldInterval; after += idleHoldInterval / 5 {
			t.Run(fmt.Sprint(away, " ", after), func(t *testing.T) {
				inCell(t, 1, func(c *cell) {
					c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 20 * time.Second, site.Done }
					c.startThree()
					time.Sleep(20*time.Second + after)
					c.submit("j1", tasks(1, 4))
					for c.fleet.Starts(site.TaskID{Job: "j1"}) == 0 {
						time.Sleep(time.Millisecond)
					}
					c.killLeader()
					c.store.SetUnavailable(away > 0)
					time.Sleep(away)
					c.store.SetUnavailable(false)
					time.Sleep(40 * time.Second)
					expectStarts(c, "j1", 0, 1)
				})
			})
		}
	}
}
