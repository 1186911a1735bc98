package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestLateRenewalOfAnEarlierIncarnationIsWaitedFor guards against running a task twice: a worker executes a renewal that was sent to its earlier incarnation, and so grants the longest lease to what it runs.
func TestLateRenewalOfAnEarlierIncarnationIsWaitedFor(t *testing.T) {
	const (
		maxLease = 10 * time.Second
		// leaderDies is how long after the worker's restart the leader dies.
		leaderDies = 4 * time.Second
	)
	for _, c := range []struct {
		name string
		late time.Duration
	}{
		{"before the leader dies", leaderDies - 100*time.Millisecond},
		{"after the leader has died", leaderDies + 3*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cl *cell) {
				cl.setMaxLease(maxLease)
				cl.fleet.KeepIDs()
				cl.outcome = longRun
				a, b := cl.startTwo()
				a.stream.cutWorkers.Store("w1", true)
				time.Sleep(40 * time.Second)
				w := cl.fleet.Worker("w0")
				w.DelayHolds(1, c.late+2*time.Second)
				time.Sleep(2 * time.Second)
				w.Reboot()
				restarted := time.Now()
				time.Sleep(leaderDies - time.Second)
				cl.submit("j1", tasks(1, 4))
				time.Sleep(time.Until(restarted.Add(leaderDies)))
				expectPhase(cl, b, "j1", 0, job.Running)
				b.stream.cutWorkers.Store("w0", true)
				a.kill()
				b.scheduler.LeaderEnded("a/1")
				time.Sleep(30 * time.Second)
				expectStarts(cl, "j1", 0, 2)
			})
		})
	}
}

// TestStartByALaterIncarnationIsWaitedFor guards against running a task twice: a worker has restarted unnoticed, and takes the end of a lease on its earlier incarnation's clock for one on its own.
func TestStartByALaterIncarnationIsWaitedFor(t *testing.T) {
	const maxLease = 10 * time.Second
	for _, k := range []struct {
		name       string
		leaderDies bool
	}{
		{"leader dies", true},
		{"leader lives", false},
	} {
		t.Run(k.name, func(t *testing.T) {
			inCell(t, 2, func(c *cell) {
				c.setMaxLease(maxLease)
				c.fleet.KeepIDs()
				c.outcome = longRun
				a, b := c.startTwo()
				a.stream.cutWorkers.Store("w1", true)
				b.stream.cutWorkers.Store("w0", true)
				time.Sleep(40 * time.Second)
				// The leader learns of the restart neither from the list nor from a hold.
				a.stream.listSilent.Store(true)
				c.fleet.Worker("w0").Reboot()
				c.submit("j1", tasks(1, 4))
				time.Sleep(100 * time.Millisecond)
				c.fleet.Worker("w0").DropHoldResponses(100)
				time.Sleep(500 * time.Millisecond)
				expectPhase(c, b, "j1", 0, job.Running)
				if k.leaderDies {
					a.kill()
					b.scheduler.LeaderEnded("a/1")
				}
				a.stream.listSilent.Store(false)
				a.stream.cutWorkers.Delete("w1")
				time.Sleep(30 * time.Second)
				expectStarts(c, "j1", 0, 2)
			})
		})
	}
}

// TestMisdirectedLeaseEnd guards against taking the leases of a worker for short whose present incarnation may execute renewals that were sent to an earlier one.
func TestMisdirectedLeaseEnd(t *testing.T) {
	const maxLease = 10 * time.Second
	delay := inWorkerTime(maxMisdirection)
	for _, c := range []struct {
		name        string
		epoch, boot int64
		// settled is the incarnation that is recorded as settled, of which incarnation 7 answers.
		settled     int64
		clock, want time.Duration
	}{
		{"first incarnation that the first leader knows", 1, 0, 0, time.Second, 0},
		{"restarted under the first leader", 1, 5, 5, time.Second, time.Second + delay + maxLease},
		{"restarted, with a clock that shows an hour", 1, 5, 5, time.Hour, time.Hour + delay + maxLease},
		{"at a later leader's first answer", 2, 0, 0, 3 * time.Second, 3*time.Second + maxLease},
		{"at a later leader's first answer, with a clock that shows an hour", 2, 0, 0, time.Hour, time.Hour + maxLease},
		{"recorded as settled by an earlier leader", 2, 0, 7, 3 * time.Second, 0},
		{"an earlier incarnation is recorded as settled", 2, 0, 5, 3 * time.Second, 3*time.Second + maxLease},
	} {
		l := &leadership{s: &Scheduler{opt: Options{Bounds: site.Bounds{MaxLease: maxLease}}}, term: site.Term{Epoch: c.epoch}}
		l.settled.boots = map[string]int64{"w": c.settled}
		wk := &worker{id: "w", boot: c.boot}
		if got := l.misdirectedLeaseEnd(wk, &site.HoldReply{Boot: 7, Clock: c.clock}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRenewalOnItsWayAtARestartIsCounted guards against running a task twice: an incarnation executes a renewal for its predecessor after its own first answer, and answers that one, too.
func TestRenewalOnItsWayAtARestartIsCounted(t *testing.T) {
	const (
		maxLease = 10 * time.Second
		clock    = time.Hour
		known    = clock + 9*time.Second
	)
	bootAt := time.Now()
	for _, c := range []struct {
		name   string
		sentAt time.Time
		renews bool
		want   time.Duration
	}{
		{"renewal for the predecessor", bootAt.Add(-time.Millisecond), true, clock + maxLease},
		{"request for the lists", bootAt.Add(-time.Millisecond), false, known},
		{"renewal for the incarnation", bootAt, true, known},
	} {
		l := &leadership{s: &Scheduler{opt: Options{Bounds: site.Bounds{MaxLease: maxLease}}}}
		wk := &worker{id: "w", boot: 7, bootAt: bootAt, leaseEnd: known}
		l.noteMisdirectedRenewal(&holdDone{wk: wk, sentAt: c.sentAt, renews: c.renews, reply: &site.HoldReply{Boot: 7, Clock: clock}})
		if wk.leaseEnd != c.want {
			t.Errorf("%s: leases end at %v, want %v", c.name, wk.leaseEnd, c.want)
		}
	}
}

// TestTaskRunsAgainIfItsYoungWorkerDiesEarlyInTerm guards against assuming the longest lease for a worker that an earlier leader knew to hold none.
func TestTaskRunsAgainIfItsYoungWorkerDiesEarlyInTerm(t *testing.T) {
	endWorkerEarlyInTerm(t, 4*time.Second)
}

// TestTaskRunsAgainIfItsOldWorkerDiesEarlyInTerm guards against assuming the longest lease for a worker that can have executed no renewal for an earlier incarnation lately.
func TestTaskRunsAgainIfItsOldWorkerDiesEarlyInTerm(t *testing.T) {
	endWorkerEarlyInTerm(t, 40*time.Second)
}

// endWorkerEarlyInTerm ends the worker of a task some seconds after a change of leader, which comes after the
// given time, and expects the task to run again soon.
func endWorkerEarlyInTerm(t *testing.T, before time.Duration) {
	t.Helper()
	const (
		maxLease    = 10 * time.Second
		longestWait = 7 * time.Second
	)
	inCell(t, 3, func(c *cell) {
		c.setMaxLease(maxLease)
		c.outcome = longRun
		a, b := c.startTwo()
		time.Sleep(before)
		a.kill()
		time.Sleep(2 * time.Second)
		c.submit("j1", tasks(1, 4))
		expectPhase(c, b, "j1", time.Second, job.Running)
		time.Sleep(500 * time.Millisecond)
		c.fleet.Worker(b.replica.Job("j1").State.Steps[0][0].Worker).Terminate()
		took := c.untilNextStart("j1")
		t.Logf("the task runs again after %v", took)
		if took > longestWait {
			t.Errorf("the task runs again after %v, want %v at most", took, longestWait)
		}
	})
}

// TestLateRenewalBeforeTheFirstAnswerIsWaitedFor guards against running a task twice: a restarted worker has executed an earlier leader's renewal for its earlier incarnation before it answers the new leader.
func TestLateRenewalBeforeTheFirstAnswerIsWaitedFor(t *testing.T) {
	const maxLease = 10 * time.Second
	inCell(t, 2, func(c *cell) {
		c.setMaxLease(maxLease)
		c.fleet.KeepIDs()
		c.outcome = longRun
		a, b := c.startTwo()
		b.stream.cutWorkers.Store("w0", true)
		b.stream.cutWorkers.Store("w1", true)
		time.Sleep(40 * time.Second)
		w := c.fleet.Worker("w0")
		w.DelayHolds(1, 2500*time.Millisecond)
		time.Sleep(1600 * time.Millisecond)
		a.kill()
		b.scheduler.LeaderEnded("a/1")
		w.Reboot()
		// The late hold is executed meanwhile.
		time.Sleep(2600 * time.Millisecond)
		b.stream.cutWorkers.Delete("w0")
		time.Sleep(200 * time.Millisecond)
		c.submit("j1", tasks(1, 4))
		expectPhase(c, b, "j1", 2*time.Second, job.Running)
		b.stream.cutWorkers.Store("w0", true)
		b.stream.cutWorkers.Delete("w1")
		time.Sleep(30 * time.Second)
		expectStarts(c, "j1", 0, 2)
	})
}
