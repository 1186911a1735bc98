package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// TestLateStartOnRestartedWorkerRunsNoTaskTwice guards against a start request that is executed
// by a later incarnation of its worker beside another run of the task, or after its end.
func TestLateStartOnRestartedWorkerRunsNoTaskTwice(t *testing.T) {
	const delay = 8 * time.Second
	reboot := func(_ *cell, on *fleet.Worker) { on.Reboot() }
	for _, c := range []struct {
		name string
		step job.Step
		// attempts is how many start requests are executed late, of each task.
		attempts int
		takes    time.Duration
		// fault happens 1.5 s after the job was submitted.
		fault func(c *cell, on *fleet.Worker)
	}{
		{"restart", tasks(1, 4), 1, 9 * time.Second, reboot},
		{"restart, no attempt answered", tasks(1, 4), 3, 9 * time.Second, reboot},
		{"restart after the end", tasks(1, 4), 1, 400 * time.Millisecond, reboot},
		{"restart of an idle worker", tasks(1, 4), 3, time.Second, func(_ *cell, on *fleet.Worker) {
			time.Sleep(3 * time.Second)
			on.Reboot()
		}},
		{"gang", gang(3, 6), 1, 9 * time.Second, reboot},
		{"two restarts", tasks(1, 4), 1, 9 * time.Second, func(_ *cell, on *fleet.Worker) {
			on.Reboot()
			time.Sleep(2 * time.Second)
			on.Reboot()
		}},
		{"crash", tasks(1, 4), 1, 9 * time.Second, func(_ *cell, on *fleet.Worker) { on.Crash() }},
		{"restart after the leases", tasks(1, 4), 1, 9 * time.Second, func(_ *cell, on *fleet.Worker) {
			on.SetSilent(true)
			time.Sleep(6 * time.Second)
			on.Reboot()
			time.Sleep(3 * time.Second)
			on.SetSilent(false)
		}},
		{"restart and stops without an answer", tasks(1, 4), 1, 9 * time.Second, func(_ *cell, on *fleet.Worker) {
			on.Reboot()
			time.Sleep(10 * time.Millisecond)
			on.SetDelay(400 * time.Millisecond)
			time.Sleep(time.Second)
			on.SetDelay(0)
		}},
		{"restart and new leader", tasks(1, 4), 1, 9 * time.Second, func(c *cell, on *fleet.Worker) {
			on.Reboot()
			c.vms["a"].kill()
		}},
		{"new leader and restart", tasks(1, 4), 1, 9 * time.Second, func(c *cell, on *fleet.Worker) {
			c.vms["a"].kill()
			time.Sleep(2 * time.Second)
			on.Reboot()
		}},
		{"new leader and restart after the leases", tasks(1, 4), 1, 9 * time.Second, func(c *cell, on *fleet.Worker) {
			c.vms["a"].kill()
			time.Sleep(time.Second)
			on.SetSilent(true)
			time.Sleep(5300 * time.Millisecond)
			on.Reboot()
			time.Sleep(3 * time.Second)
			on.SetSilent(false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 4, func(cl *cell) {
				cl.fleet.KeepIDs()
				cl.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return c.takes, site.Done }
				cl.start("a")
				time.Sleep(2 * time.Second)
				v := cl.start("b")
				time.Sleep(time.Second)
				for i := range 4 {
					cl.fleet.Worker(fmt.Sprintf("w%d", i)).DelayStarts(c.attempts, delay)
				}
				at := time.Now()
				cl.submit("j1", c.step)
				on := workerOfFirstTask(cl, v, "j1")
				time.Sleep(1500*time.Millisecond - time.Since(at))
				c.fault(cl, on)
				expectPhase(cl, v, "j1", 60*time.Second, job.Completed)
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// TestLateStartAfterAnsweredRetryRunsNoTaskTwice guards against taking a start request for lost in
// the crash of its worker, although the worker had answered the retry before it crashed.
func TestLateStartAfterAnsweredRetryRunsNoTaskTwice(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.fleet.KeepIDs()
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 9 * time.Second, site.Done }
		v := c.start("a")
		time.Sleep(3 * time.Second)
		for i := range 4 {
			c.fleet.Worker(fmt.Sprintf("w%d", i)).DelayStarts(1, 8*time.Second)
		}
		c.submit("j1", tasks(1, 4))
		on := workerOfFirstTask(c, v, "j1")
		for c.fleet.Starts(site.TaskID{Job: "j1"}) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Millisecond)
		on.SetSilent(true)
		on.Crash()
		time.Sleep(10 * time.Second)
		on.SetSilent(false)
		expectPhase(c, v, "j1", 60*time.Second, job.Completed)
	})
}

// TestRestartedIdleWorkerIsFencedOnceListed guards against a start request of an earlier leader that
// is executed by a restarted worker, because the present leader calls an idle worker only now and then.
func TestRestartedIdleWorkerIsFencedOnceListed(t *testing.T) {
	const delay = 8 * time.Second
	for before := 400 * time.Millisecond; before < idleHoldInterval; before += 100 * time.Millisecond {
		inCell(t, 4, func(c *cell) {
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) {
				return 400 * time.Millisecond, site.Done
			}
			c.start("a")
			time.Sleep(2 * time.Second)
			v := c.start("b")
			time.Sleep(time.Second)
			for i := range 4 {
				c.fleet.Worker(fmt.Sprintf("w%d", i)).DelayStarts(1, delay)
			}
			at := time.Now()
			c.submit("j1", tasks(1, 4))
			on := workerOfFirstTask(c, v, "j1")
			expectPhase(c, v, "j1", 5*time.Second, job.Completed)
			c.vms["a"].kill()
			time.Sleep(delay - before - time.Since(at))
			on.Reboot()
			time.Sleep(2 * time.Second)
		})
	}
}

// TestLateStartHoldsItsLease guards against a start that a restarted worker, which the leader does
// not reach, executes just before the request counts as expired.
func TestLateStartHoldsItsLease(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.fleet.KeepIDs()
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 20 * time.Second, site.Done }
		v := c.start("a")
		// On the stand-in the lease of the late start ends that much later.
		time.Sleep(7 * time.Second)
		for i := range 4 {
			c.fleet.Worker(fmt.Sprintf("w%d", i)).DelayStarts(1, maxRequestDelay-200*time.Millisecond)
		}
		at := time.Now()
		c.submit("j1", tasks(1, 4))
		on := workerOfFirstTask(c, v, "j1")
		time.Sleep(1500*time.Millisecond - time.Since(at))
		on.SetSilent(true)
		time.Sleep(time.Second)
		on.Reboot()
		time.Sleep(20 * time.Second)
		on.SetSilent(false)
		expectPhase(c, v, "j1", 90*time.Second, job.Completed)
		time.Sleep(15 * time.Second)
	})
}

// TestRequestLostInCrashDelaysNoTask checks for how long the task of a run on a worker that no
// longer answers waits because of a start request without an answer.
func TestRequestLostInCrashDelaysNoTask(t *testing.T) {
	sentAt := time.Now()
	const maxLease = 6 * time.Second
	l := &leadership{s: &Scheduler{opt: Options{Bounds: site.Bounds{MaxLease: maxLease}}}}
	expired := l.longestLeaseFrom(sentAt.Add(maxRequestDelay)).Sub(sentAt)
	for _, c := range []struct {
		name string
		// answeredAt is when the worker answered last, after the start request was sent.
		answeredAt, now time.Duration
		want            bool
	}{
		{"left unanswered", time.Second, 6 * time.Second, true},
		{"lease of a late start", time.Second, expired - 1, true},
		{"lease of a late start has expired", time.Second, expired, false},
		{"no answer since", 100 * time.Millisecond, 6 * time.Second, false},
	} {
		wk := &worker{answeredAt: sentAt.Add(c.answeredAt)}
		r := &run{wk: wk, stage: unconfirmed, startAttempts: 1, unansweredStarts: []time.Time{sentAt}}
		if got := l.mayRunLater(r, sentAt.Add(c.now)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// workerOfFirstTask returns the worker for which the first task of a job was decided. The
// others execute their start requests at once from now on.
func workerOfFirstTask(c *cell, v *vm, id string) *fleet.Worker {
	c.t.Helper()
	expectPhase(c, v, id, 500*time.Millisecond, job.Running)
	on := c.fleet.Worker(v.replica.Job(id).State.Steps[0][0].Worker)
	for i := range 4 {
		if w := c.fleet.Worker(fmt.Sprintf("w%d", i)); w != on {
			w.DelayStarts(0, 0)
		}
	}
	return on
}

// pauseBeforeStarts stops the process of a leader between an append that dispatches runs and its answer.
type pauseBeforeStarts struct {
	length time.Duration
	// paused gets the worker of the first run.
	paused chan string
}

func (e pauseBeforeStarts) handle(s *Scheduler) {
	if l := s.lead; l != nil && l.flush.sent != nil && len(l.flush.sent.starts) > 0 {
		e.paused <- l.flush.sent.starts[0].wk.id
		time.Sleep(e.length)
		return
	}
	go func() {
		time.Sleep(time.Millisecond)
		s.post(e)
	}()
}

// TestStartOfPausedLeaderRunsNoTaskTwice guards against a start request that a leader sends after a pause, and which a later leader takes for sent soon after the dispatch was durable.
func TestStartOfPausedLeaderRunsNoTaskTwice(t *testing.T) {
	startAfterPause(t, func(*Scheduler) {})
}

// TestStartOfPausedLeaderWithLongDelayRunsNoTaskTwice guards against the same for a leader that may send it late, as its appends have taken long.
func TestStartOfPausedLeaderWithLongDelayRunsNoTaskTwice(t *testing.T) {
	startAfterPause(t, func(s *Scheduler) { s.lead.startDelays.lateAt = time.Now() })
}

// startAfterPause pauses a leader, some seconds after before was called, until another one leads. The
// restarted worker executes the start request as late as it can, and is away meanwhile.
func startAfterPause(t *testing.T, before func(s *Scheduler)) {
	t.Helper()
	const (
		maxLease = 10 * time.Second
		length   = 1300 * time.Millisecond
	)
	// A leader sends the request only if the worker has answered shortly before the pause.
	for offset := time.Duration(0); offset < holdWait; offset += 100 * time.Millisecond {
		inCell(t, 4, func(c *cell) {
			c.setMaxLease(maxLease)
			c.fleet.KeepIDs()
			c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 10 * time.Minute, site.Done }
			c.startThree()
			wide := tasks(4, 1)
			wide.PerWorker = 1
			c.submit("j0", wide)
			time.Sleep(30 * time.Second)
			c.vms[c.leader()].scheduler.post(inspect(before))
			time.Sleep(10*time.Second + offset)
			c.store.SetAppendTime(30 * time.Millisecond)
			for i := range 4 {
				c.fleet.Worker(fmt.Sprintf("w%d", i)).DelayStarts(3, maxRequestDelay-10*time.Millisecond)
			}
			name := c.leader()
			paused := make(chan string, 1)
			c.vms[name].scheduler.post(pauseBeforeStarts{length, paused})
			c.submit("j1", tasks(1, 4))
			id := <-paused
			for other, v := range c.vms {
				if other != name {
					v.stream.cutWorkers.Store(id, true)
				}
			}
			time.Sleep(length + 800*time.Millisecond)
			c.kill(name)
			time.Sleep(100 * time.Millisecond)
			c.fleet.Worker(id).Reboot()
			time.Sleep(30 * time.Second)
			for _, v := range c.vms {
				v.stream.cutWorkers.Delete(id)
			}
			time.Sleep(20 * time.Second)
		})
	}
}
