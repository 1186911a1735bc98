package scheduler

import (
	"context"
	"io"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// TestLateAcknowledgementLosesNoEnd guards against a hold that is executed by a later incarnation
// of its worker, which then forgets ends that nobody has read.
func TestLateAcknowledgementLosesNoEnd(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		v := c.start("a")
		time.Sleep(2 * time.Second)
		w := c.fleet.Worker("w0")
		c.submit("j1", tasks(4, 2))
		expectPhase(c, v, "j1", 10*time.Second, job.Completed)
		// The hold that acknowledges the ends is executed late.
		w.DelayHolds(1, 5*time.Second)
		lateAt := time.Now().Add(5 * time.Second)
		time.Sleep(1500 * time.Millisecond)
		w.Reboot()
		time.Sleep(500 * time.Millisecond)
		// j2 ends shortly before that, while the worker cannot be reached.
		time.Sleep(time.Until(lateAt) - workTime - 200*time.Millisecond)
		c.submit("j2", tasks(1, 2))
		time.Sleep(time.Until(lateAt) - 300*time.Millisecond)
		w.SetSilent(true)
		time.Sleep(time.Second)
		w.SetSilent(false)
		expectPhase(c, v, "j2", 30*time.Second, job.Completed)
		time.Sleep(5 * time.Second)
	})
}

// TestLateHoldKeepsNoRunForLonger guards against a hold that is executed by a later incarnation
// of its worker and renews a lease that was taken for expired.
func TestLateHoldKeepsNoRunForLonger(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		v := c.start("a")
		time.Sleep(6800 * time.Millisecond)
		w := c.fleet.Worker("w0")
		w.DelayHolds(1, 8*time.Second)
		lateAt := time.Now().Add(8 * time.Second)
		time.Sleep(2500 * time.Millisecond)
		w.Reboot()
		time.Sleep(1500 * time.Millisecond)
		c.outcome = func(_ site.TaskID, _ int64, worker string) (time.Duration, site.EndKind) {
			if worker == "w0" {
				return 20 * time.Second, site.Done
			}
			return workTime, site.Done
		}
		c.submit("j1", tasks(2, 10))
		time.Sleep(time.Until(lateAt) - 500*time.Millisecond)
		w.SetSilent(true)
		time.Sleep(12 * time.Second)
		w.SetSilent(false)
		expectPhase(c, v, "j1", 60*time.Second, job.Completed)
	})
}

// TestUnansweredHoldsThatMayBeExecuted checks until when a hold that got no answer counts as one
// that a later incarnation may execute.
func TestUnansweredHoldsThatMayBeExecuted(t *testing.T) {
	sentAt := time.Now()
	refused := &site.RefusalError{Reason: site.RefusedConnection}
	for _, c := range []struct {
		name string
		err  error
		// restartedBefore is set if the next incarnation has answered before the failure is read.
		restartedBefore bool
		// answersBefore is set if the same incarnation answers before the next one does.
		answersBefore bool
		want          time.Time
	}{
		{"timeout", context.DeadlineExceeded, false, false, sentAt.Add(maxRequestDelay)},
		{"timeout, worker has restarted", context.DeadlineExceeded, true, true, sentAt.Add(maxRequestDelay)},
		{"broken connection, worker restarts", io.EOF, false, false, time.Time{}},
		{"broken connection, worker goes on", io.EOF, false, true, sentAt.Add(maxRequestDelay)},
		{"broken connection, worker has restarted", io.EOF, true, true, time.Time{}},
		{"not delivered", refused, false, true, time.Time{}},
	} {
		var r lateRequests
		bootAt := time.Time{}
		if c.restartedBefore {
			bootAt = sentAt.Add(time.Second)
		}
		r.failed(sentAt, bootAt, c.err)
		if c.answersBefore {
			r.answered(false)
		}
		r.answered(true)
		if !r.until.Equal(c.want) {
			t.Errorf("%s: until %v, want %v", c.name, r.until, c.want)
		}
	}
}

// TestLateAcknowledgementAfterUnlistingLosesNoEnd guards against forgetting such a hold when its
// worker leaves the list.
func TestLateAcknowledgementAfterUnlistingLosesNoEnd(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		c.fleet.Register(fleet.NewStore(), registerInterval)
		v := c.start("a")
		time.Sleep(3 * time.Second)
		w := c.fleet.Worker("w0")
		c.submit("j1", tasks(4, 2))
		expectPhase(c, v, "j1", 10*time.Second, job.Completed)
		// The hold that acknowledges the ends is executed late.
		const delay = 11 * time.Second
		w.DelayHolds(1, delay)
		lateAt := time.Now().Add(delay)
		time.Sleep(1500 * time.Millisecond)
		w.SetSilent(true)
		w.SetCutFromStore(true)
		time.Sleep(missedHeartbeats * registerInterval)
		c.fleet.DropEntries()
		time.Sleep(time.Second)
		w.Reboot()
		w.SetCutFromStore(false)
		w.SetSilent(false)
		// j2 ends shortly before that, while the worker cannot be reached.
		time.Sleep(time.Until(lateAt) - workTime - 200*time.Millisecond)
		c.submit("j2", tasks(1, 2))
		time.Sleep(time.Until(lateAt) - 300*time.Millisecond)
		w.SetSilent(true)
		time.Sleep(time.Second)
		w.SetSilent(false)
		expectPhase(c, v, "j2", 30*time.Second, job.Completed)
		time.Sleep(5 * time.Second)
	})
}

// TestAcknowledgementIsSentUntilAnswered guards against acknowledging the same ends with each hold:
// after a restart every one of them that got no answer keeps new runs away from the worker.
func TestAcknowledgementIsSentUntilAnswered(t *testing.T) {
	answer := &site.HoldReply{Boot: 1}
	for _, c := range []struct {
		name string
		// acked is the number in the hold, of up to 5 ends that may be acknowledged.
		acked int64
		reply *site.HoldReply
		// toEarlier is set if the hold was sent before the incarnation had answered.
		toEarlier bool
		want      int64
	}{
		{"not acknowledged", 0, answer, false, 5},
		{"acknowledged in part", 3, answer, false, 5},
		{"acknowledged", 5, answer, false, 0},
		{"ends of an earlier incarnation acknowledged", 5, answer, true, 5},
		{"no answer", 5, nil, false, 5},
	} {
		l := leadershipOf("j", tasks(1, 1))
		wk := l.workerOf("w")
		wk.boot, wk.acked = 1, 5
		wk.bootAt = time.Now().Add(-time.Second)
		sentAt := time.Now()
		if c.toEarlier {
			sentAt = wk.bootAt.Add(-1)
		}
		e := holdDone{l: l, wk: wk, sentAt: sentAt, acked: c.acked, reply: c.reply}
		if c.reply == nil {
			e.err = context.DeadlineExceeded
		}
		e.handle(l.s)
		// Another hold, which acknowledges nothing, is answered.
		holdDone{l: l, wk: wk, sentAt: time.Now(), reply: answer}.handle(l.s)
		if got := wk.ackable(); got != c.want {
			t.Errorf("%s: acknowledges up to %d, want %d", c.name, got, c.want)
		}
	}
}

// TestLateRenewalOfDeadLeaderKeepsNoTaskRunningTwice guards against a run whose lease is prolonged by a hold that the dead leader sent to an earlier incarnation of the worker, which only that leader knew.
func TestLateRenewalOfDeadLeaderKeepsNoTaskRunningTwice(t *testing.T) {
	const maxLease = 10 * time.Second
	for _, c := range []struct {
		name string
		// late is after how long the hold is executed.
		late time.Duration
	}{
		{"executed after 7 s", 7 * time.Second},
		{"executed after 7.2 s", 7200 * time.Millisecond},
		{"executed after 7.4 s", 7400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 1, func(cl *cell) {
				cl.setMaxLease(maxLease)
				cl.fleet.KeepIDs()
				cl.outcome = longRun
				v := cl.startThree()
				cl.submit("j0", tasks(1, 1))
				expectPhase(cl, v, "j0", time.Second, job.Running)
				time.Sleep(30 * time.Second)
				on := cl.fleet.Worker("w0")
				on.DelayHolds(1, c.late)
				time.Sleep(2 * time.Second)
				on.Reboot()
				time.Sleep(time.Second)
				cl.submit("j1", tasks(1, 4))
				expectPhase(cl, v, "j1", time.Second, job.Running)
				time.Sleep(time.Second)
				cl.killLeader()
				on.SetSilent(true)
				cl.fleet.Add("w1", "s", on.Capacity())
				time.Sleep(30 * time.Second)
				on.SetSilent(false)
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// TestLateRenewalOfLeaderBetweenKeepsNoTaskRunningTwice guards against a run that a restarted worker starts late, and whose lease a hold prolongs that a leader in between has sent to the earlier incarnation.
func TestLateRenewalOfLeaderBetweenKeepsNoTaskRunningTwice(t *testing.T) {
	const maxLease = 10 * time.Second
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
		time.Sleep(2 * time.Second)
		c.killLeader()
		time.Sleep(3 * time.Second)
		on.DelayHolds(1, 12*time.Second)
		time.Sleep(700 * time.Millisecond)
		on.Reboot()
		on.SetSilent(true)
		c.killLeader()
		c.fleet.Add("w1", "s", on.Capacity())
		time.Sleep(40 * time.Second)
		on.SetSilent(false)
		time.Sleep(30 * time.Second)
	})
}

// TestLateRenewalKeepsNoRunThatNewIncarnationAnsweredForLonger guards against the same for a run whose start a new incarnation has answered before the leader knew of the restart.
func TestLateRenewalKeepsNoRunThatNewIncarnationAnsweredForLonger(t *testing.T) {
	const maxLease = 10 * time.Second
	for _, late := range []time.Duration{5600 * time.Millisecond, 5800 * time.Millisecond, 6000 * time.Millisecond} {
		t.Run("executed after "+late.String(), func(t *testing.T) {
			inCell(t, 1, func(c *cell) {
				c.setMaxLease(maxLease)
				c.fleet.KeepIDs()
				c.outcome = longRun
				v := c.startThree()
				c.submit("j0", tasks(1, 1))
				expectPhase(c, v, "j0", time.Second, job.Running)
				time.Sleep(30 * time.Second)
				on := c.fleet.Worker("w0")
				on.DelayHolds(1, late)
				time.Sleep(700 * time.Millisecond)
				on.Reboot()
				c.submit("j1", tasks(1, 4))
				time.Sleep(2 * time.Second)
				c.killLeader()
				on.SetSilent(true)
				c.fleet.Add("w1", "s", on.Capacity())
				time.Sleep(30 * time.Second)
				on.SetSilent(false)
				time.Sleep(30 * time.Second)
			})
		})
	}
}
