package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestTasksOfDeadWorkerRunAgainWhileLeadersChange guards against a run on a dead worker that each new leader waits for anew, so that its job stands for ever.
func TestTasksOfDeadWorkerRunAgainWhileLeadersChange(t *testing.T) {
	// within is the wait after one change of leader, and the time to run the tasks again.
	const within = 30 * time.Second
	for _, c := range []struct {
		name string
		step job.Step
		// lost is how many start requests each worker loses.
		lost int
		// every is how long each leader leads.
		every time.Duration
	}{
		{"task, leaders of 2 s", tasks(1, 4), 0, 2 * time.Second},
		{"task, leaders of 15 s", tasks(1, 4), 0, 15 * time.Second},
		{"gang, start without an answer, leaders of 2 s", gang(3, 6), maxStartAttempts, 2 * time.Second},
		{"gang, start without an answer, leaders of 15 s", gang(3, 6), maxStartAttempts, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 6, func(cl *cell) {
				for _, name := range []string{"a", "b", "d"} {
					cl.start(name)
					time.Sleep(time.Second)
				}
				v := cl.vms["d"]
				for i := range 6 {
					cl.fleet.Worker(fmt.Sprintf("w%d", i)).LoseStarts(c.lost)
				}
				cl.submit("j1", c.step)
				expectPhase(cl, v, "j1", time.Second, job.Running)
				cl.fleet.Worker(v.replica.Job("j1").State.Steps[0][0].Worker).Terminate()
				cl.handOver()
				go cl.handOverEvery(c.every)
				expectPhase(cl, v, "j1", within, job.Completed)
			})
		})
	}
}

// TestSilentWorkerThatAnotherLeaderReachesIsNotGivenUp guards against counting from a time before leases were renewed again, which runs the task twice.
func TestSilentWorkerThatAnotherLeaderReachesIsNotGivenUp(t *testing.T) {
	const takes = 45 * time.Second
	inCell(t, 2, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return takes, site.Done }
		far := c.start("far")
		time.Sleep(time.Second)
		near := c.start("near")
		time.Sleep(time.Second)
		// Leaders name members as their successors.
		c.join("far")
		c.join("near")
		c.submit("j1", tasks(1, 4))
		expectPhase(c, near, "j1", time.Second, job.Running)
		far.stream.cutWorkers.Store(near.replica.Job("j1").State.Steps[0][0].Worker, true)
		go c.handOverEvery(3 * time.Second)
		expectPhase(c, near, "j1", takes+5*time.Second, job.Completed)
		expectStarts(c, "j1", 0, 1)
	})
}

// TestSilentWorkerIsNotRenewedBeforeItsRecordIsRemoved guards against a leader that reaches a silent worker, but not the store, and renews leases that its successor takes for expired.
func TestSilentWorkerIsNotRenewedBeforeItsRecordIsRemoved(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
		old := c.start("old")
		time.Sleep(time.Second)
		far := c.start("far")
		time.Sleep(time.Second)
		c.submit("j1", tasks(1, 4))
		expectPhase(c, far, "j1", time.Second, job.Running)
		silent, other := "w0", "w1"
		if far.replica.Job("j1").State.Steps[0][0].Worker == other {
			silent, other = other, silent
		}
		far.stream.cutWorkers.Store(silent, true)
		// The old leader renews the lease without the store, and a new one records the worker.
		old.stream.cutWorkers.Store(other, true)
		old.stream.cutOff(true)
		time.Sleep(10 * time.Second)
		near := c.start("near")
		near.stream.cutWorkers.Store(other, true)
		c.join("near")
		time.Sleep(500 * time.Millisecond)
		far.handOver()
		for !near.hasAppended() {
			time.Sleep(time.Millisecond)
		}
		near.stream.silent.Store(true)
		expectPhase(c, far, "j1", 60*time.Second, job.Completed)
	})
}

// TestWorkerThatAnswersLateIsNotRenewedPastItsRecord guards against a leader that renews the leases of a worker which answers after its record, for longer than a successor that counts from the record assumes: the task runs twice.
func TestWorkerThatAnswersLateIsNotRenewedPastItsRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		// confirmed is set if another leader than the last one has recorded the worker first.
		confirmed bool
	}{
		{"leader that has recorded it", false},
		{"leader that has confirmed it", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 1, func(cl *cell) {
				cl.outcome = longRun
				a := cl.start("a")
				time.Sleep(time.Second)
				cl.submit("j1", tasks(1, 4))
				first, successor := cl.start("first"), cl.start("successor")
				time.Sleep(10 * time.Second)
				cl.join("first")
				cl.fleet.Add("w1", "s", cl.fleet.Worker("w0").Capacity())
				time.Sleep(time.Second)
				first.stream.cutWorkers.Store("w0", true)
				successor.stream.cutWorkers.Store("w0", true)
				a.handOver()
				time.Sleep(time.Second)
				a.kill()
				last := first
				if c.confirmed {
					last = cl.start("last")
					last.stream.cutWorkers.Store("w0", true)
					cl.join("last")
					time.Sleep(1400 * time.Millisecond)
					first.handOver()
					time.Sleep(200 * time.Millisecond)
					first.kill()
				} else {
					time.Sleep(1600 * time.Millisecond)
				}
				s := last.replica.SilentWorkers()["w0"]
				if again := s.Epoch > s.FirstEpoch; s.Epoch == 0 || again != c.confirmed {
					t.Fatalf("the worker is recorded as %+v", s)
				}
				time.Sleep(400 * time.Millisecond)
				last.stream.cutOff(true)
				last.stream.cutWorkers.Store("w1", true)
				last.stream.cutWorkers.Delete("w0")
				expectPhase(cl, successor, "j1", 2*time.Minute, job.Completed)
				expectStarts(cl, "j1", 0, 2)
			})
		})
	}
}

// TestSilenceCountsOnlyIfTheLastLeaderConfirmedIt guards against a leader of an earlier version, which knows no silent workers and renews their leases.
func TestSilenceCountsOnlyIfTheLastLeaderConfirmedIt(t *testing.T) {
	for _, c := range []struct {
		name  string
		epoch int64
		want  silence
	}{
		{"confirmed by the last leader", 6, silence{recorded: true, firstEpoch: 3}},
		{"not confirmed by the last leader", 5, silence{recorded: true, firstEpoch: 7}},
	} {
		v := job.NewView()
		e, err := job.SilentWorkerEntry("w0", &job.EpochRange{Epoch: c.epoch, FirstEpoch: 3})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := v.Apply(&site.Page{Entries: []site.Entry{e}, Next: 1}); err != nil {
			t.Fatal(err)
		}
		l := &leadership{s: &Scheduler{deps: Deps{View: v}}, term: site.Term{Epoch: 7}, workers: map[string]*worker{}}
		l.inheritSilences()
		got := l.workers["w0"].silence
		if trusted := !got.since.IsZero(); trusted != (c.want.firstEpoch == 3) {
			t.Errorf("%s: it counts since %v", c.name, got.since)
		}
		got.since = time.Time{}
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestSilentWorkerMayAnswerNewLeader guards against a new leader that gives up the runs of a worker that it reaches, before the worker has been asked.
func TestSilentWorkerMayAnswerNewLeader(t *testing.T) {
	now := time.Now()
	l := &leadership{s: &Scheduler{opt: Options{Bounds: site.Bounds{MaxLease: 6 * time.Second}}}, startedAt: now}
	waits := l.renewalsEnd(now).Sub(now)
	for _, c := range []struct {
		name string
		// since is when the silence was recorded, before the term began.
		since, want time.Duration
	}{
		{"long ago", time.Minute, silentAfter},
		{"5 s ago", 5 * time.Second, waits - 5*time.Second},
	} {
		wk := &worker{silence: silence{recorded: true, since: now.Add(-c.since)}}
		if got := l.lapseAt(wk).Sub(now); got != c.want {
			t.Errorf("recorded %s: its runs have lapsed after %v, want %v", c.name, got, c.want)
		}
	}
	if got := l.lapseAt(&worker{}).Sub(now); got != waits {
		t.Errorf("not recorded: its runs have lapsed after %v, want %v", got, waits)
	}
}

// handOver makes the VM hand over if it leads.
func (v *vm) handOver() {
	v.scheduler.post(inspect(func(s *Scheduler) {
		if s.lead != nil {
			s.lead.handOver(make(chan struct{}))
		}
	}))
}

// hasAppended reports whether the VM leads and has appended since its term began.
func (v *vm) hasAppended() bool {
	appended := make(chan bool)
	v.scheduler.post(inspect(func(s *Scheduler) { appended <- s.lead != nil && s.lead.term.Sequence > 1 }))
	return <-appended
}

// handOverEvery makes leaders hand over at intervals until the cell ends.
func (c *cell) handOverEvery(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.handOver()
		case <-c.ctx.Done():
			return
		}
	}
}

// startThree starts three VMs, which may follow one another as leaders, and returns the last one.
func (c *cell) startThree() *vm {
	var v *vm
	for _, name := range []string{"a", "b", "d"} {
		v = c.start(name)
		time.Sleep(time.Second)
		c.join(name)
	}
	return v
}

// handOver makes the leader hand over to another VM.
func (c *cell) handOver() {
	for _, v := range c.vms {
		v.handOver()
	}
}
