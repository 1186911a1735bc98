package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// lateBy is after how long the workers of the tests below execute a start request that they leave unanswered.
const lateBy = maxRequestDelay - 200*time.Millisecond

// TestStartThatDeadLeadersLeftUnansweredRunsNoTaskTwice guards against leaders that take a start request for answered which a restarted worker executes long after the leader that sent it.
func TestStartThatDeadLeadersLeftUnansweredRunsNoTaskTwice(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
		// unanswered is how many start requests each worker leaves unanswered; it answers the rest, and all other calls.
		unanswered int
		// prepare comes before the job is submitted.
		prepare func(c *cell)
		// faults come once the run is decided. The worker does not answer for 20 s after them.
		faults func(c *cell, on *fleet.Worker)
	}{
		{"leader and worker die", tasks(1, 4), 1, nil, func(c *cell, on *fleet.Worker) {
			time.Sleep(1500 * time.Millisecond)
			c.crashBehind("a", on)
		}},
		{"leader dies before the second attempt", tasks(1, 4), 3, nil, func(c *cell, on *fleet.Worker) {
			time.Sleep(200 * time.Millisecond)
			c.crashBehind("a", on)
		}},
		{"leader dies at once", tasks(1, 4), 3, nil, func(c *cell, on *fleet.Worker) { c.crashBehind("a", on) }},
		{"second leader dies once the request is executed", tasks(1, 4), 1, nil, func(c *cell, on *fleet.Worker) {
			at := time.Now()
			time.Sleep(1500 * time.Millisecond)
			c.crashBehind("a", on)
			time.Sleep(lateBy + 1200*time.Millisecond - time.Since(at))
			c.killLeader()
		}},
		{"two leaders die", tasks(1, 4), 1, nil, func(c *cell, on *fleet.Worker) {
			time.Sleep(1500 * time.Millisecond)
			c.crashBehind("a", on)
			time.Sleep(4 * time.Second)
			c.killLeader()
		}},
		{"a leader between finds the run on its worker", tasks(1, 4), 1, nil, func(c *cell, on *fleet.Worker) {
			time.Sleep(300 * time.Millisecond)
			c.kill("a")
			time.Sleep(2500 * time.Millisecond)
			c.crashBehind(c.leader(), on)
		}},
		{"leader and worker die, gang", gang(3, 6), 1, nil, func(c *cell, on *fleet.Worker) {
			time.Sleep(1500 * time.Millisecond)
			c.crashBehind("a", on)
		}},
		{"more runs than a record names", job.Step{Count: maxOpenStarts + 50, Size: resource.Vector{MilliCPU: 10, MemoryMB: 1}, Estimate: workTime}, maxOpenStarts + 50, nil,
			func(c *cell, on *fleet.Worker) {
				time.Sleep(1500 * time.Millisecond)
				c.crashBehind("a", on)
			}},
		{"all VMs are off meanwhile", tasks(1, 4), 1, nil, func(c *cell, on *fleet.Worker) {
			time.Sleep(1500 * time.Millisecond)
			c.crashBehind("a", on)
			c.kill("b")
			c.kill("d")
			time.Sleep(time.Second)
			c.start("d")
		}},
		{"leader of an earlier version sends them", tasks(1, 4), 1, func(c *cell) {
			c.kill("a")
			time.Sleep(2 * time.Second)
			c.vms[c.leader()].recordNoStarts()
		}, func(c *cell, on *fleet.Worker) {
			time.Sleep(1500 * time.Millisecond)
			c.crashBehind(c.leader(), on)
		}},
		{"leader of an earlier version between", tasks(1, 4), 1, nil, func(c *cell, on *fleet.Worker) {
			time.Sleep(1500 * time.Millisecond)
			c.crashBehind("a", on)
			time.Sleep(time.Second)
			c.vms[c.leader()].recordNoStarts()
			time.Sleep(3 * time.Second)
			c.killLeader()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 4, func(cl *cell) {
				cl.fleet.KeepIDs()
				cl.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 20 * time.Second, site.Done }
				cl.startThree()
				// On the stand-in the lease of the late start ends that much later.
				time.Sleep(12 * time.Second)
				if c.prepare != nil {
					c.prepare(cl)
				}
				for i := range 4 {
					cl.fleet.Worker(fmt.Sprintf("w%d", i)).DelayStarts(c.unanswered, lateBy)
				}
				cl.submit("j1", c.step)
				expectPhase(cl, cl.vms["d"], "j1", 500*time.Millisecond, job.Running)
				on := cl.fleet.Worker(cl.vms["d"].replica.Job("j1").State.Steps[0][0].Worker)
				c.faults(cl, on)
				time.Sleep(20 * time.Second)
				on.SetSilent(false)
				expectPhase(cl, cl.vms[cl.leader()], "j1", 90*time.Second, job.Completed)
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// TestStartOfEarlierRunThatDeadLeaderStoppedRunsNoTaskTwice guards against a start request without an answer whose run the dead leader has ended, and which the worker executes after a restart, beside the next run but one of the task.
func TestStartOfEarlierRunThatDeadLeaderStoppedRunsNoTaskTwice(t *testing.T) {
	const maxLease = 10 * time.Second
	inCell(t, 1, func(c *cell) {
		c.setMaxLease(maxLease)
		c.fleet.KeepIDs()
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 30 * time.Second, site.Done }
		v := c.startThree()
		time.Sleep(30 * time.Second)
		on := c.fleet.Worker("w0")
		on.DelayStarts(maxStartAttempts, lateBy)
		c.submit("j1", tasks(1, 4))
		time.Sleep(2500 * time.Millisecond)
		if task := v.replica.Job("j1").State.Steps[0][0]; task.Run != 2 || task.Status != job.Dispatched {
			t.Fatalf("the task is %+v, want its second run", task)
		}
		c.killLeader()
		c.fleet.Add("w1", "s", on.Capacity())
		on.SetSilent(true)
		on.Reboot()
		time.Sleep(30 * time.Second)
		on.SetSilent(false)
		expectPhase(c, v, "j1", time.Minute, job.Completed)
	})
}

// TestAnsweredStartIsKnownToLaterLeaders guards against a run that counts as one that may be executed late for longer than callers wait, though its start was answered.
func TestAnsweredStartIsKnownToLaterLeaders(t *testing.T) {
	// finishTime is how long after the end of the traffic callers ask for their jobs.
	const finishTime = 14 * time.Second
	for _, c := range []struct {
		name string
		step job.Step
		// maxLease is the longest lease that a worker grants.
		maxLease time.Duration
		// more comes after the leader and the worker have died.
		more func(c *cell)
	}{
		{"leases of 10 s", tasks(1, 4), 10 * time.Second, func(*cell) {}},
		{"state written again with each end", tasks(40, 1), 6 * time.Second, func(*cell) {}},
		{"another leader dies", tasks(1, 4), 10 * time.Second, func(c *cell) {
			time.Sleep(2 * time.Second)
			c.killLeader()
		}},
		{"all VMs were off", tasks(1, 4), 10 * time.Second, func(c *cell) {
			c.kill("b")
			c.kill("d")
			time.Sleep(500 * time.Millisecond)
			c.start("d")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 5, func(cl *cell) {
				cl.setMaxLease(c.maxLease)
				cl.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
					if t.Index == 0 {
						return time.Minute, site.Done
					}
					return time.Duration(500+50*t.Index) * time.Millisecond, site.Done
				}
				v := cl.startThree()
				cl.submit("j1", c.step)
				expectPhase(cl, v, "j1", time.Second, job.Running)
				time.Sleep(time.Second)
				cl.fleet.Worker(v.replica.Job("j1").State.Steps[0][0].Worker).Terminate()
				cl.kill("a")
				died := time.Now()
				c.more(cl)
				for cl.fleet.Starts(site.TaskID{Job: "j1"}) < 2 && time.Since(died) < time.Minute {
					time.Sleep(20 * time.Millisecond)
				}
				if took := time.Since(died); took > finishTime {
					t.Errorf("the task runs again after %v, want %v at most", took, finishTime)
				}
			})
		})
	}
}

// TestRecordOfAnsweredStarts guards against a record that covers start requests which are not sent yet, or no longer names a run whose end is not durable.
func TestRecordOfAnsweredStarts(t *testing.T) {
	// before is the offset after the last states that are durable.
	const before = 10
	for _, c := range []struct {
		name    string
		prepare func(l *leadership, b *batch)
		// want is how many runs the record names, -1 for no record.
		want int
	}{
		{"all are answered", func(*leadership, *batch) {}, 0},
		{"two are open", func(l *leadership, _ *batch) { l.openStarts(2) }, 2},
		{"states in this batch", func(l *leadership, b *batch) {
			b.states = true
			b.entries = make([]site.Entry, 5)
		}, 0},
		{"nothing has changed", func(l *leadership, _ *batch) { l.answeredStarts.changed = false }, -1},
		{"the last record is new", func(l *leadership, _ *batch) { l.answeredStarts.recordedAt = time.Now() }, -1},
		{"the last record is new, last batch of the term", func(l *leadership, b *batch) {
			l.answeredStarts.recordedAt = time.Now()
			b.final = true
		}, 0},
		{"states are left to the next batch", func(l *leadership, _ *batch) { l.touch(l.jobs["j"]) }, -1},
		{"start requests were left to this batch", func(l *leadership, _ *batch) { l.answeredStarts.deferred = true }, -1},
		{"as many as a record names", func(l *leadership, _ *batch) { l.openStarts(maxOpenStarts) }, maxOpenStarts},
		{"more than a record names", func(l *leadership, _ *batch) { l.openStarts(maxOpenStarts + 1) }, -1},
	} {
		l := leadershipOf("j", tasks(maxOpenStarts+1, 1))
		l.answeredStarts = newAnsweredStarts(&job.AnsweredStarts{}, before)
		b := &batch{}
		c.prepare(l, b)
		others := len(b.entries)
		if err := l.addAnsweredStarts(b, time.Now()); err != nil {
			t.Fatal(err)
		}
		named := -1
		for _, e := range b.entries[others:] {
			v := job.NewView()
			e.Offset = before
			if _, err := v.Apply(&site.Page{Entries: []site.Entry{e}}); err != nil {
				t.Fatal(err)
			}
			a := v.AnsweredStarts()
			named = len(a.Except)
			if a.Before != before {
				t.Errorf("%s: the record covers runs before %d, want %d", c.name, a.Before, before)
			}
		}
		if named != c.want {
			t.Errorf("%s: the record names %d runs, want %d", c.name, named, c.want)
		}
	}
}

// openStarts adds runs whose start requests were just sent.
func (l *leadership) openStarts(n int) {
	for i := range n {
		r := &run{task: site.TaskID{Job: "j", Index: i}, number: 1, tj: l.jobs["j"], startAttempts: 1, unansweredStarts: []time.Time{time.Now()}}
		l.bind(r, l.workerOf("w"))
		l.answeredStarts.add(r)
	}
}

// crashBehind makes a worker restart without an answer, and kills a VM.
func (c *cell) crashBehind(name string, on *fleet.Worker) {
	on.SetSilent(true)
	c.kill(name)
	time.Sleep(500 * time.Millisecond)
	on.Reboot()
}

// kill kills a VM for good.
func (c *cell) kill(name string) {
	c.vms[name].kill()
	delete(c.vms, name)
}

// leader returns the name of the VM that leads.
func (c *cell) leader() string {
	for name, v := range c.vms {
		if leads(v) {
			return name
		}
	}
	c.t.Fatal("no VM leads")
	return ""
}

// recordNoStarts makes a leader record no answered starts in its term, as those of earlier versions.
func (v *vm) recordNoStarts() {
	v.scheduler.post(inspect(func(s *Scheduler) { s.lead.answeredStarts.recordedAt = time.Now().Add(time.Hour) }))
}

// TestLateStartsOfDeadLeadersRunNoTaskTwice checks with random series of start requests that are executed late by restarted workers, and of leaders
// that die before and after, that no task runs twice. SERIES_SEEDS is the number of seeds, SERIES_FIRST the first one.
func TestLateStartsOfDeadLeadersRunNoTaskTwice(t *testing.T) {
	playSeries(t, (*faultSeries).playLateStarts)
}

func (s *faultSeries) playLateStarts() {
	s.fleet.KeepIDs()
	s.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 20 * time.Second, site.Done }
	for i := range seriesWorkers {
		s.fleet.Add(fmt.Sprintf("w%02d", i), "s", resource.Vector{MilliCPU: seriesCores * 1000, MemoryMB: 10_000})
	}
	for ; s.n < 3; s.n++ {
		s.alive = append(s.alive, s.cell.start(fmt.Sprintf("vm%d", s.n)))
		time.Sleep(4 * time.Second)
	}
	for i := range seriesWorkers {
		s.worker(i).DelayStarts(s.rnd.IntN(3), maxRequestDelay-time.Duration(s.rnd.IntN(4000))*time.Millisecond)
	}
	for i := range 8 {
		s.submit(fmt.Sprintf("j%d", i), tasks(1+s.rnd.IntN(4), 2))
		s.submit(fmt.Sprintf("g%d", i), gang(2, 2))
	}
	// By then each start has an answered attempt, and no new one is left unanswered.
	time.Sleep(maxStartAttempts * startTimeout)
	for i := range seriesWorkers {
		s.worker(i).DelayStarts(0, 0)
		if s.rnd.IntN(2) == 0 {
			s.restartUnreached(s.worker(i))
		}
	}
	for range 1 + s.rnd.IntN(3) {
		time.Sleep(time.Duration(s.rnd.IntN(7000)) * time.Millisecond)
		s.replaceLeader()
	}
	time.Sleep(2 * time.Minute)
	for i := range 8 {
		expectPhase(s.cell, s.alive[0], fmt.Sprintf("j%d", i), time.Second, job.Completed)
	}
}

// restartUnreached makes a worker restart behind a partition that lasts for 35 s.
func (s *faultSeries) restartUnreached(wk *fleet.Worker) {
	restartAt := time.Duration(s.rnd.IntN(6000)) * time.Millisecond
	wk.SetSilent(true)
	time.AfterFunc(restartAt, wk.Reboot)
	time.AfterFunc(35*time.Second, func() { wk.SetSilent(false) })
}

// TestLateHoldsOfDeadLeadersRunNoTaskTwice checks with random series of holds and start requests that are executed late by restarted workers, of leaders that
// start runs there and die, and of workers that are cut off, that no task runs twice. SERIES_SEEDS is the number of seeds, SERIES_FIRST the first one.
func TestLateHoldsOfDeadLeadersRunNoTaskTwice(t *testing.T) {
	playSeries(t, (*faultSeries).playLateHolds)
}

func (s *faultSeries) playLateHolds() {
	const maxLease = 10 * time.Second
	s.setMaxLease(maxLease)
	s.fleet.KeepIDs()
	s.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 25 * time.Second, site.Done }
	for i := range seriesWorkers {
		s.fleet.Add(fmt.Sprintf("w%02d", i), "s", resource.Vector{MilliCPU: seriesCores * 1000, MemoryMB: 10_000})
	}
	for ; s.n < 3; s.n++ {
		s.alive = append(s.alive, s.cell.start(fmt.Sprintf("vm%d", s.n)))
		time.Sleep(4 * time.Second)
	}
	for i := range 4 {
		s.submit(fmt.Sprintf("k%d", i), tasks(1+s.rnd.IntN(4), 1))
	}
	time.Sleep(12 * time.Second)
	for i := range seriesWorkers {
		s.worker(i).DelayHolds(s.rnd.IntN(4), s.lateness())
	}
	time.Sleep(time.Duration(s.rnd.IntN(2500)) * time.Millisecond)
	for i := range seriesWorkers {
		if s.rnd.IntN(2) == 0 {
			s.worker(i).Reboot()
		}
		s.worker(i).DelayStarts(s.rnd.IntN(2), s.lateness())
	}
	time.Sleep(time.Duration(s.rnd.IntN(1500)) * time.Millisecond)
	for i := range 6 {
		s.submit(fmt.Sprintf("j%d", i), tasks(1+s.rnd.IntN(4), 2))
	}
	time.Sleep(time.Duration(200+s.rnd.IntN(2500)) * time.Millisecond)
	for i := range seriesWorkers {
		s.worker(i).DelayHolds(0, 0)
		s.worker(i).DelayStarts(0, 0)
		if s.rnd.IntN(2) == 0 {
			s.cutOffWorker(s.worker(i))
		}
	}
	for range 1 + s.rnd.IntN(3) {
		s.replaceLeader()
		time.Sleep(time.Duration(s.rnd.IntN(7000)) * time.Millisecond)
	}
	time.Sleep(2 * time.Minute)
}

// lateness is after how long a request is executed that gets no answer.
func (s *faultSeries) lateness() time.Duration {
	return 5*time.Second + time.Duration(s.rnd.IntN(7400))*time.Millisecond
}

// cutOffWorker makes a worker unreachable for 35 s. It may restart meanwhile.
func (s *faultSeries) cutOffWorker(wk *fleet.Worker) {
	wk.SetSilent(true)
	if s.rnd.IntN(3) == 0 {
		time.AfterFunc(time.Duration(s.rnd.IntN(6000))*time.Millisecond, wk.Reboot)
	}
	time.AfterFunc(35*time.Second, func() { wk.SetSilent(false) })
}
