package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

const (
	registerInterval = 1500 * time.Millisecond
	// missedHeartbeats is how many heartbeats a worker misses until its entry is removed.
	missedHeartbeats = 3
)

// cutDataCentre cuts the leader and a worker of its data centre off from everything else for
// the given time: from the store, and from the VM and the worker elsewhere.
func (c *cell) cutDataCentre(leader, other *vm, worker, elsewhere string, d time.Duration) {
	leader.stream.cutOff(true)
	leader.stream.cutWorkers.Store(elsewhere, true)
	other.stream.cutWorkers.Store(worker, true)
	c.fleet.Worker(worker).SetCutFromStore(true)
	time.Sleep(missedHeartbeats * registerInterval)
	c.fleet.DropEntries()
	time.Sleep(d - missedHeartbeats*registerInterval)
	leader.stream.cutOff(false)
	leader.stream.cutWorkers.Delete(elsewhere)
	other.stream.cutWorkers.Delete(worker)
	c.fleet.Worker(worker).SetCutFromStore(false)
}

// TestNoSecondRunWhileTheOldLeaderRenews guards against giving up the runs of a worker off the
// list while a leader that is cut off with it still renews their leases.
func TestNoSecondRunWhileTheOldLeaderRenews(t *testing.T) {
	for _, runTime := range []time.Duration{3 * time.Second, 9 * time.Second, 30 * time.Second} {
		inCell(t, 1, func(c *cell) {
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return runTime, site.Done }
			c.fleet.Register(fleet.NewStore(), registerInterval)
			a := c.start("a")
			time.Sleep(3 * time.Second)
			b := c.start("b")
			c.submit("j1", tasks(1, 4))
			time.Sleep(time.Second)
			c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
			time.Sleep(time.Second)
			c.cutDataCentre(a, b, "w0", "w1", 12*time.Second)
			expectPhase(c, b, "j1", time.Minute, job.Completed)
			time.Sleep(2 * time.Second)
		})
	}
}

// pause stops the process of a scheduler for a while. Answers to its calls wait meanwhile.
type pause struct {
	length time.Duration
}

func (e pause) handle(*Scheduler) {
	time.Sleep(e.length)
}

// TestPausedLeaderDoesNotRenewLonger guards against counting the time that a leader may renew
// leases from when it read an answer of the stream, before which its process may have stood
// still.
func TestPausedLeaderDoesNotRenewLonger(t *testing.T) {
	const (
		appendTime = 60 * time.Millisecond
		pauseTime  = 3500 * time.Millisecond
	)
	for offset := time.Duration(0); offset < heartbeatInterval; offset += 20 * time.Millisecond {
		inCell(t, 1, func(c *cell) {
			c.outcome = longRun
			c.fleet.Register(fleet.NewStore(), registerInterval)
			a := c.start("a")
			time.Sleep(3 * time.Second)
			b := c.start("b")
			c.submit("j1", tasks(1, 4))
			time.Sleep(time.Second)
			c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
			c.store.SetAppendTime(appendTime)
			time.Sleep(time.Second + offset)
			go a.scheduler.post(pause{pauseTime})
			time.Sleep(2 * appendTime)
			c.cutDataCentre(a, b, "w0", "w1", 30*time.Second)
			expectPhase(c, b, "j1", 2*time.Minute, job.Completed)
		})
	}
}

// TestCampaignWonLongAgoBeginsNoTerm guards against a VM that begins a term after its process
// has stood still since its campaign, while others have led and relied on its end.
func TestCampaignWonLongAgoBeginsNoTerm(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		c.start("a")
		time.Sleep(3 * time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		b.scheduler.post(campaignDone{epoch: 9, sentAt: time.Now().Add(-2 * streamTimeout), won: true})
		time.Sleep(2 * time.Second)
		if list := leaders(c); len(list) != 1 {
			t.Errorf("leaders are %v", list)
		}
	})
}

// pauseOnAnswer stops the process of a scheduler as soon as a worker has answered it.
type pauseOnAnswer struct {
	worker string
	length time.Duration
}

func (e pauseOnAnswer) handle(s *Scheduler) {
	if s.lead != nil && s.lead.workers[e.worker] != nil && s.lead.workers[e.worker].boot != 0 {
		time.Sleep(e.length)
		return
	}
	go func() {
		time.Sleep(time.Millisecond)
		s.post(e)
	}()
}

// TestLeasesOfTheOldLeaderCountAfterTheFirstAnswer guards against a new leader that counts
// only the leases that it has granted itself.
func TestLeasesOfTheOldLeaderCountAfterTheFirstAnswer(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		c.outcome = longRun
		a := c.start("a")
		time.Sleep(3 * time.Second)
		b := c.start("b")
		c.submit("j1", tasks(1, 4))
		time.Sleep(time.Second)
		c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
		time.Sleep(time.Second)
		a.kill()
		go b.scheduler.post(pauseOnAnswer{"w0", maxAnswerAge + 100*time.Millisecond})
		time.Sleep(time.Second)
		b.stream.cutWorkers.Store("w0", true)
		time.Sleep(10 * time.Second)
		b.stream.cutWorkers.Delete("w0")
		expectPhase(c, b, "j1", 2*time.Minute, job.Completed)
	})
}

// TestCutWorkersAreNoCrashes guards against giving up a task as one that crashes its workers
// after they were cut off under it, from the list as well, and lived on.
func TestCutWorkersAreNoCrashes(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
		c.fleet.Register(fleet.NewStore(), registerInterval)
		a := c.start("a")
		time.Sleep(3 * time.Second)
		c.submit("j1", tasks(1, 4))
		for range 4 {
			time.Sleep(5 * time.Second)
			w := c.workerOf("j1")
			w.SetSilent(true)
			w.SetCutFromStore(true)
			time.Sleep(missedHeartbeats * registerInterval)
			c.fleet.DropEntries()
			time.Sleep(8 * time.Second)
			w.SetSilent(false)
			w.SetCutFromStore(false)
		}
		expectPhase(c, a, "j1", time.Minute, job.Completed)
	})
}

// TestCutWorkersAreNoCrashesAcrossLeaders guards against a crash that only the memory of its
// leader could take back: that leader is gone when the worker answers again.
func TestCutWorkersAreNoCrashesAcrossLeaders(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
		c.fleet.Register(fleet.NewStore(), registerInterval)
		leader := c.start("v0")
		time.Sleep(3 * time.Second)
		c.submit("j1", tasks(1, 4))
		for i := range 4 {
			time.Sleep(5 * time.Second)
			if j := leader.replica.Job("j1"); j.State.Phase != job.Running {
				t.Fatalf("before cut %d j1 is %v, crashes %+v", i, j.State.Phase, j.Crashes)
			}
			w := c.workerOf("j1")
			w.SetSilent(true)
			w.SetCutFromStore(true)
			time.Sleep(missedHeartbeats * registerInterval)
			c.fleet.DropEntries()
			time.Sleep(8 * time.Second)
			leader.kill()
			leader = c.start(fmt.Sprintf("v%d", i+1))
			time.Sleep(2 * time.Second)
			w.SetSilent(false)
			w.SetCutFromStore(false)
		}
		expectPhase(c, leader, "j1", time.Minute, job.Completed)
	})
}

// TestWorkersThatStayCutAreNoCrashes guards against giving up a task whose workers were cut off
// one after the other, long after it had started on them, and are not back yet.
func TestWorkersThatStayCutAreNoCrashes(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
		c.fleet.Register(fleet.NewStore(), registerInterval)
		leader := c.start("a")
		time.Sleep(3 * time.Second)
		c.submit("j1", tasks(1, 4))
		cut := map[*fleet.Worker]bool{}
		for range 3 {
			time.Sleep(5 * time.Second)
			for i := range 4 {
				w := c.fleet.Worker(fmt.Sprintf("w%d", i))
				if w.Running() > 0 && !cut[w] {
					cut[w] = true
					w.SetSilent(true)
					w.SetCutFromStore(true)
				}
			}
			time.Sleep(missedHeartbeats * registerInterval)
			c.fleet.DropEntries()
			time.Sleep(8 * time.Second)
		}
		if j := leader.replica.Job("j1"); j.State.Phase.Final() && j.State.Phase != job.Completed {
			t.Fatalf("j1 is %v, crashes %+v", j.State.Phase, j.Crashes)
		}
		expectPhase(c, leader, "j1", time.Minute, job.Completed)
	})
}

// cutThree cuts three workers off, one after the other, soon after a job has started on them, and
// waits until the job is to be given up. It returns the workers.
func (c *cell) cutThree(v *vm, id string) []*fleet.Worker {
	c.t.Helper()
	var cut []*fleet.Worker
	for len(cut) < 3 {
		time.Sleep(time.Second)
		for i := range 4 {
			w := c.fleet.Worker(fmt.Sprintf("w%d", i))
			if w.Running() == 0 || slices.Contains(cut, w) {
				continue
			}
			cut = append(cut, w)
			w.SetSilent(true)
			w.SetCutFromStore(true)
			time.Sleep(missedHeartbeats * registerInterval)
			c.fleet.DropEntries()
			break
		}
	}
	for range 20 {
		if j := v.replica.Job(id); j.Crashes.Of(0, 0).Verdict == job.Poison {
			return cut
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("crashes under %s are %+v", id, v.replica.Job(id).Crashes)
	return nil
}

// TestJobWaitsForCutWorkersBeforeItIsGivenUp guards against giving a job up at once, or starting
// it elsewhere meanwhile, while the workers that are taken for crashed may merely be cut off.
func TestJobWaitsForCutWorkersBeforeItIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name         string
		leaderKilled bool
		returns      bool
		want         job.Phase
	}{
		{"a worker returns", false, true, job.Completed},
		{"a worker returns to the next leader", true, true, job.Completed},
		{"no worker returns", false, false, job.Failed},
		{"no worker returns to the next leader", true, false, job.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 4, func(cl *cell) {
				cl.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
				cl.fleet.Register(fleet.NewStore(), registerInterval)
				v := cl.start("a")
				time.Sleep(3 * time.Second)
				cl.submit("j1", tasks(1, 4))
				cut := cl.cutThree(v, "j1")
				if c.leaderKilled {
					v.kill()
					v = cl.start("b")
				}
				time.Sleep(cutGrace / 2)
				j := v.replica.Job("j1")
				if j.Phase() != job.Running || j.State.AnyDispatched() {
					t.Fatalf("in the time of grace j1 is %v, tasks %+v", j.Phase(), j.State.Steps)
				}
				if c.returns {
					cut[0].SetSilent(false)
					cut[0].SetCutFromStore(false)
				}
				expectPhase(cl, v, "j1", time.Minute, c.want)
			})
		})
	}
}

// TestCondemnedJobWaitsForWorkersAfterOutage guards against a job that is given up at the end of an
// outage that outlasted cutGrace, before its cut workers could answer the next leader.
func TestCondemnedJobWaitsForWorkersAfterOutage(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
		c.fleet.Register(fleet.NewStore(), registerInterval)
		v := c.startThree()
		c.submit("j1", tasks(1, 4))
		cut := c.cutThree(v, "j1")
		for _, v := range c.vms {
			v.stream.cutOff(true)
		}
		time.Sleep(cutGrace + 5*time.Second)
		for _, v := range c.vms {
			v.stream.cutOff(false)
		}
		time.Sleep(500 * time.Millisecond)
		cut[0].SetSilent(false)
		cut[0].SetCutFromStore(false)
		expectPhase(c, v, "j1", time.Minute, job.Completed)
	})
}

// TestCondemnedJobWaitsForTheList guards against a job that is given up while the list cannot be read, without which a worker that can be reached again is not asked.
func TestCondemnedJobWaitsForTheList(t *testing.T) {
	const (
		back = cutGrace - 2300*time.Millisecond
		// The list cannot be read from away on, for awayFor.
		away    = cutGrace - 2*time.Second
		awayFor = 3 * time.Second
	)
	for _, c := range []struct {
		name            string
		away, newLeader bool
	}{
		{"list can be read", false, false},
		{"list can be read, new leader", false, true},
		{"list cannot be read", true, false},
		{"list cannot be read, new leader", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 4, func(cl *cell) {
				cl.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
				cl.fleet.Register(fleet.NewStore(), registerInterval)
				v := cl.startThree()
				cl.submit("j1", tasks(1, 4))
				condemnedAt := v.watchCondemned("j1")
				cut := cl.cutThree(v, "j1")
				at := <-condemnedAt
				time.AfterFunc(time.Until(at.Add(back)), func() {
					cut[0].SetSilent(false)
					cut[0].SetCutFromStore(false)
				})
				time.Sleep(time.Until(at.Add(away)))
				for _, v := range cl.vms {
					v.stream.listSilent.Store(c.away)
				}
				if c.newLeader {
					cl.killLeader()
				}
				time.Sleep(awayFor)
				for _, v := range cl.vms {
					v.stream.listSilent.Store(false)
				}
				expectPhase(cl, v, "j1", time.Minute, job.Completed)
			})
		})
	}
}

// watchCondemned returns a channel that gets the time at which the first task of a job is read as condemned.
func (v *vm) watchCondemned(id string) <-chan time.Time {
	at := make(chan time.Time, 1)
	go func() {
		for j := v.replica.Job(id); j == nil || j.Crashes.Of(0, 0).Verdict != job.Poison; j = v.replica.Job(id) {
			time.Sleep(10 * time.Millisecond)
		}
		at <- time.Now()
	}()
	return at
}

// workerOf returns a worker that runs a task while it can be reached.
func (c *cell) workerOf(id string) *fleet.Worker {
	c.t.Helper()
	for i := range 4 {
		w := c.fleet.Worker(fmt.Sprintf("w%d", i))
		if w.Running() > 0 {
			return w
		}
	}
	c.t.Fatalf("%s does not run", id)
	return nil
}

// TestOwnRecordReadLateBeginsNoTerm guards against a VM that reads the record of a campaign long
// after it and begins its term, while others have led and relied on its end.
func TestOwnRecordReadLateBeginsNoTerm(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		c.start("a")
		time.Sleep(3 * time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		began := make(chan bool, 1)
		b.scheduler.post(inspect(func(s *Scheduler) {
			// The view shows the record of its campaign as if nothing had followed it.
			e, err := job.LeaderEntry(&job.Leader{Epoch: 9, Incarnation: "b/1"})
			if err != nil {
				t.Error(err)
			}
			e.Offset = s.deps.View.Next()
			if _, err := s.deps.View.Apply(&site.Page{Entries: []site.Entry{e}, Next: e.Offset, End: e.Offset}); err != nil {
				t.Error(err)
			}
			s.campaignEpoch, s.firstCampaignAt = 9, time.Now().Add(-2*streamTimeout)
			s.maybeCampaign()
			began <- s.lead != nil
		}))
		if <-began {
			t.Error("the term has begun")
		}
	})
}

// TestCondemnedJobWaitsForListAwayAtTheEnd guards against a job that is given up while the list cannot be read, in an outage that begins shortly before the end of cutGrace.
func TestCondemnedJobWaitsForListAwayAtTheEnd(t *testing.T) {
	for before := 300 * time.Millisecond; before <= 2400*time.Millisecond; before += 300 * time.Millisecond {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			inCell(t, 4, func(cl *cell) {
				cl.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
				cl.fleet.Register(fleet.NewStore(), registerInterval)
				v := cl.startThree()
				cl.submit("j1", tasks(1, 4))
				condemnedAt := v.watchCondemned("j1")
				cut := cl.cutThree(v, "j1")
				at := <-condemnedAt
				away := cutGrace - before
				time.Sleep(time.Until(at.Add(away)))
				for _, v := range cl.vms {
					v.stream.listSilent.Store(true)
				}
				time.AfterFunc(10*time.Millisecond, func() {
					cut[0].SetSilent(false)
					cut[0].SetCutFromStore(false)
				})
				time.Sleep(3 * time.Second)
				for _, v := range cl.vms {
					v.stream.listSilent.Store(false)
				}
				expectPhase(cl, v, "j1", time.Minute, job.Completed)
			})
		})
	}
}
