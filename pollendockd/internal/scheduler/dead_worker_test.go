package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestTaskOfDeadWorkerRunsAgainAfterChangeOfLeader guards against a job that has nothing running for longer than callers wait, since its worker died together with the leader.
func TestTaskOfDeadWorkerRunsAgainAfterChangeOfLeader(t *testing.T) {
	// finishTime is how long after the end of the traffic callers ask for their jobs.
	const finishTime = 14 * time.Second
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		t.Run(maxLease.String(), func(t *testing.T) {
			inCell(t, 3, func(c *cell) {
				c.bounds.MaxLease = maxLease
				c.outcome = longRun
				a, b := c.startTwo()
				c.submit("j1", tasks(1, 4))
				expectPhase(c, b, "j1", time.Second, job.Running)
				// By then no start request of the run can be executed late.
				time.Sleep(2 * maxRequestDelay)
				c.fleet.Worker(b.replica.Job("j1").State.Steps[0][0].Worker).Terminate()
				a.kill()
				time.Sleep(finishTime)
				expectStarts(c, "j1", 0, 2)
			})
		})
	}
}

// TestTaskOfDeadWorkerRunsAgainSoonAfterTermWithoutAppends guards against taking the leaders for ones of earlier versions because one of them has ended before it appended anything.
func TestTaskOfDeadWorkerRunsAgainSoonAfterTermWithoutAppends(t *testing.T) {
	// longestWait is how long a job may have nothing running: 4 s until all is calm, and 3 s.
	const longestWait = 7 * time.Second
	inCell(t, 3, func(c *cell) {
		c.startLongTask(4)
		worker := c.fleet.Worker(c.vms["b"].replica.Job("j1").State.Steps[0][0].Worker)
		leader := c.leader()
		for name, v := range c.vms {
			v.stream.campaignsOnly.Store(name != leader)
		}
		worker.Terminate()
		c.killNoticed(leader)
		c.awaitLeader()
		time.Sleep(200 * time.Millisecond)
		c.killNoticed(c.leader())
		for _, v := range c.vms {
			v.stream.campaignsOnly.Store(false)
		}
		if took := c.untilNextStart("j1"); took > longestWait {
			t.Errorf("the task runs again after %v, want %v at most", took, longestWait)
		}
	})
}

// TestLeasesOfEarlierVersionsAreWaitedFor guards against counting the leases of leaders that append no record of their terms as those of leaders that do.
func TestLeasesOfEarlierVersionsAreWaitedFor(t *testing.T) {
	now := time.Now()
	l := &leadership{s: &Scheduler{opt: Options{Bounds: site.Bounds{MaxLease: 10 * time.Second}}}, term: site.Term{Epoch: 7}}
	long := l.longestLeaseFrom(now.Add(streamTimeout))
	short := now.Add(l.renewTimeout() + inWorkerTime(lease+leaseMargin) + lapseSlack)
	for _, c := range []struct {
		name string
		// epoch is that of the last leader that has appended the record, firstEpoch of the first
		// one, since how long ago this VM read that it did.
		epoch, firstEpoch int64
		since             time.Duration
		want              time.Time
	}{
		{"no record", 0, 0, 0, long},
		{"the last leader has appended none", 5, 4, time.Minute, long},
		{"the last leader has appended none, all before it have", 5, 1, time.Minute, long},
		{"the first one has just appended it", 6, 4, time.Second, long.Add(-time.Second)},
		{"it was appended for the first time long ago", 6, 4, time.Minute, short},
		{"all leaders of the cell have appended it", 6, 1, time.Second, short},
	} {
		l.renewals = job.EpochHistory{EpochRange: job.EpochRange{Epoch: c.epoch, FirstEpoch: c.firstEpoch}}
		if c.epoch > 0 {
			l.renewals.Since = now.Add(-c.since)
		}
		if got := l.renewalsEnd(now); !got.Equal(c.want) {
			t.Errorf("%s: leases end in %v, want %v", c.name, got.Sub(now), c.want.Sub(now))
		}
	}
}
