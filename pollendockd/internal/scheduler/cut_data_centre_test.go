package scheduler

import (
	"fmt"
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
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return time.Minute, site.Done }
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
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return time.Minute, site.Done }
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
