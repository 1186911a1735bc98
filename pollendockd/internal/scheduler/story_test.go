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

// TestStories plays one job of each form through one fault of each kind.
func TestStories(t *testing.T) {
	jobs := []struct {
		name  string
		steps []job.Step
	}{
		{"tasks", []job.Step{tasks(3, 4)}},
		{"gang", []job.Step{gang(3, 6)}},
		{"steps", []job.Step{tasks(2, 4), after(gang(2, 6), 0)}},
	}
	faults := []struct {
		name   string
		strike func(c *cell)
	}{
		{"none", func(*cell) {}},
		{"start answer lost", func(c *cell) { c.fleet.Worker("w0").LoseAnswers(1) }},
		{"start late", func(c *cell) { c.fleet.Worker("w0").DelayStarts(1, 3*time.Second) }},
		{"append answer lost", func(c *cell) { c.store.LoseAnswers(1) }},
		{"worker leaves", func(c *cell) { time.Sleep(time.Second); c.fleet.Worker("w0").Leave() }},
		{"worker reborn", func(c *cell) { time.Sleep(time.Second); c.fleet.Worker("w0").Reboot() }},
		{"worker silent", func(c *cell) {
			time.Sleep(time.Second)
			c.fleet.Worker("w0").SetSilent(true)
			time.Sleep(3 * time.Second)
			c.fleet.Worker("w0").SetSilent(false)
		}},
		{"leader killed", func(c *cell) { time.Sleep(time.Second); c.vms["a"].kill() }},
		{"leader killed at once", func(c *cell) { time.Sleep(20 * time.Millisecond); c.vms["a"].kill() }},
		{"store silent", func(c *cell) {
			time.Sleep(300 * time.Millisecond)
			c.store.SetSilent(true)
			time.Sleep(4 * time.Second)
			c.store.SetSilent(false)
		}},
		{"store refuses", func(c *cell) {
			c.store.SetAway(true)
			time.Sleep(4 * time.Second)
			c.store.SetAway(false)
		}},
		{"history dropped", func(c *cell) { time.Sleep(30 * time.Millisecond); c.store.Trim() }},
	}
	for _, f := range faults {
		for _, j := range jobs {
			t.Run(f.name+"/"+j.name, func(t *testing.T) {
				inCell(t, 3, func(c *cell) {
					c.start("a")
					time.Sleep(3 * time.Second)
					b := c.start("b")
					time.Sleep(time.Second)
					c.submit("j1", j.steps...)
					f.strike(c)
					expectPhase(c, b, "j1", 30*time.Second, job.Completed)
				})
			})
		}
	}
}

// TestWorkerThatLeftIsGivenUp: a worker that went away for good was sent holds
// with new leases for ever, so what it had run never counted as lapsed.
func TestWorkerThatLeftIsGivenUp(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		c.fleet.Worker("w0").Leave()
		c.fleet.Add("w1", "s", c.fleet.Worker("w0").Capacity())
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		expectStarts(c, "j1", 0, 2)
	})
}

// TestFailuresEndTheJob: a task is started anew until it has failed as often as
// the queue allows.
func TestFailuresEndTheJob(t *testing.T) {
	for _, step := range []job.Step{tasks(1, 4), gang(2, 4)} {
		inCell(t, 2, func(c *cell) {
			c.outcome = func(site.TaskName, int64, string) (time.Duration, site.EndKind) { return workTime, site.Failed }
			a := c.start("a")
			c.submit("j1", step)
			expectPhase(c, a, "j1", 20*time.Second, job.Failed)
			expectStarts(c, "j1", 0, 2)
		})
	}
}

// TestCancelStopsTasks: a canceled job has nothing running soon after.
func TestCancelStopsTasks(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		c.submit("j1", tasks(2, 6))
		time.Sleep(time.Second)
		c.cancel("j1")
		expectPhase(c, a, "j1", time.Second, job.Canceled)
		time.Sleep(time.Second)
		for _, id := range []string{"w0", "w1"} {
			if n := c.fleet.Worker(id).Running(); n > 0 {
				t.Errorf("%s still runs %d tasks", id, n)
			}
		}
	})
}

// TestHandover: a leader that stops names a successor, which goes on at once.
func TestHandover(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(2 * time.Second)
		b := c.start("b")
		c.submit("j1", tasks(2, 6))
		time.Sleep(500 * time.Millisecond)
		a.scheduler.Stop(c.ctx)
		a.kill()
		c.submit("j2", tasks(1, 4))
		expectPhase(c, b, "j2", 4*time.Second, job.Completed)
		expectPhase(c, b, "j1", 4*time.Second, job.Completed)
		expectStarts(c, "j1", 0, 1)
	})
}

// TestRejoinedTermIsOver: a leader that a worker refused began the same term
// again at once, as long as its book still showed it as the leader.
func TestRejoinedTermIsOver(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		l, _ := a.book.Leader()
		if l.Incarnation == "" {
			t.Fatal("nobody leads")
		}
		if _, err := c.fleet.Worker("w0").Hold(c.ctx, &site.HoldOrder{Token: l.Epoch + 1}); err != nil {
			t.Fatal(err)
		}
		c.submit("j1", tasks(1, 4))
		expectPhase(c, a, "j1", 8*time.Second, job.Completed)
		if next, _ := a.book.Leader(); next.Epoch <= l.Epoch {
			t.Errorf("term %d is still recorded", next.Epoch)
		}
	})
}

// TestStandstill: tasks that make no progress on one worker are run elsewhere,
// and that worker gets no more while none of its tasks does.
func TestStandstill(t *testing.T) {
	for _, step := range []job.Step{tasks(2, 4), gang(2, 4)} {
		inCell(t, 2, func(c *cell) {
			c.outcome = func(_ site.TaskName, _ int64, worker string) (time.Duration, site.EndKind) {
				if worker == "w0" {
					return fleet.Standstill, site.Done
				}
				return workTime, site.Done
			}
			a := c.start("a")
			time.Sleep(time.Second)
			c.submit("j1", step)
			time.Sleep(2500 * time.Millisecond)
			c.submit("j2", tasks(1, 1))
			expectPhase(c, a, "j2", 3*time.Second, job.Completed)
			expectPhase(c, a, "j1", 8*time.Second, job.Completed)
		})
	}
}

// TestUnevenGang: the fast member of a gang, which has done its part and waits
// for the slow one, was taken for one that stands still, and all its work lost.
func TestUnevenGang(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.outcome = func(n site.TaskName, _ int64, _ string) (time.Duration, site.EndKind) {
			return time.Duration(1+9*n.Index) * time.Second, site.Done
		}
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", gang(2, 6))
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		expectStarts(c, "j1", 0, 1)
	})
}

// TestLeaderTurnedAway: a leader whose appends the stream refuses asks another
// VM to lead, which does so long before the leader's silence would tell.
func TestLeaderTurnedAway(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(2 * time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		entry, err := job.MemberEntry(&job.Member{Name: "b", Incarnation: "b/1"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.store.Append(c.ctx, []site.Entry{entry}); err != nil {
			t.Fatal(err)
		}
		a.stream.refuses.Store(true)
		time.Sleep(450 * time.Millisecond)
		if l, _ := b.book.Leader(); l.Incarnation != "b/1" {
			t.Errorf("%q leads", l.Incarnation)
		}
		c.submit("j1", tasks(1, 4))
		expectPhase(c, b, "j1", 3*time.Second, job.Completed)
	})
}

// TestLostAnswers: while the stream loses the answers of every second append, the
// leader goes on, and jobs are not late. It used to wait 0.8 s for each, and
// others took over again and again.
func TestLostAnswers(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		b := c.start("b")
		time.Sleep(3 * time.Second)
		expectSteady(c, a, b, 20, 1500*time.Millisecond, func() { c.store.LoseEvery(2) })
	})
}

// expectSteady checks that jobs, one after the other, are done with at most some
// slack, as seen by another VM, and that the leader stays, while a fault lasts.
func expectSteady(c *cell, leader, other *vm, jobs int, slack time.Duration, fault func()) {
	c.t.Helper()
	began, _ := leader.book.Leader()
	fault()
	for i := range jobs {
		id := fmt.Sprintf("job%d", i)
		c.submit(id, tasks(1, 1))
		expectPhase(c, other, id, workTime+slack, job.Completed)
	}
	if now, _ := leader.book.Leader(); now.Epoch != began.Epoch {
		c.t.Errorf("leader %+v follows %+v", now, began)
	}
}

// TestSlowStream: on a stream that takes 0.2 s for a read and as long for each
// append, one at a time, the leader waits for its answers. Repeats that came too
// soon kept the stream so busy that none was answered in time.
func TestSlowStream(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		c.start("b")
		c.start("d")
		time.Sleep(3 * time.Second)
		// Those who lost the first campaign have repeated its record.
		before := c.store.Repeats()
		// A job takes two reads and four appends with those under way, and the
		// pauses between: 1.5 s. Ten calls are 2 s.
		expectSteady(c, a, a, 5, 2*time.Second, func() {
			c.store.SetPace(200 * time.Millisecond)
			c.store.SetDelay(200 * time.Millisecond)
			time.Sleep(time.Second)
		})
		if n := c.store.Repeats() - before; n > 2 {
			t.Errorf("%d appends were repeated", n)
		}
	})
}

// TestListsThatTell: a list that was asked for before a start was confirmed, or in
// the same instant, does not tell that the run is gone.
func TestListsThatTell(t *testing.T) {
	now := time.Now()
	confirmed, unknown := &run{}, &run{}
	confirmed.confirm(now)
	for _, c := range []struct {
		name   string
		r      *run
		sentAt time.Time
		want   bool
	}{
		{"asked for before", confirmed, now.Add(-time.Millisecond), false},
		{"asked for in the same instant", confirmed, now, false},
		{"asked for after", confirmed, now.Add(time.Millisecond), true},
		{"nothing is known of the run", unknown, now, false},
	} {
		if got := c.r.toldBy(c.sentAt); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLateCampaign: on a slow stream the record of a campaign was added after its
// VM had given the campaign up and stood again. Everybody took that VM for the
// leader, but itself.
func TestLateCampaign(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.store.SetDelay(170 * time.Millisecond)
		c.store.SetLate(2500 * time.Millisecond)
		a := c.start("a")
		time.Sleep(2900 * time.Millisecond)
		a.stream.refuses.Store(true)
		time.Sleep(600 * time.Millisecond)
		a.stream.refuses.Store(false)
		c.store.SetLate(0)
		c.submit("x", tasks(1, 1))
		expectPhase(c, a, "x", workTime+1200*time.Millisecond, job.Completed)
	})
}

// TestDoneBehindACut: a task ended well at a worker that was cut off, where
// nothing else ran, and was begun elsewhere. Acknowledging the first end later
// said that it was done twice.
func TestDoneBehindACut(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.submit("j1", tasks(1, 4))
		time.Sleep(500 * time.Millisecond)
		cut := c.fleet.Worker("w0")
		cut.SetSilent(true)
		c.fleet.Add("w1", "s", cut.Capacity())
		expectPhase(c, a, "j1", 12*time.Second, job.Completed)
		cut.SetSilent(false)
		time.Sleep(3 * time.Second)
		c.submit("j2", tasks(2, 8))
		expectPhase(c, a, "j2", 6*time.Second, job.Completed)
		time.Sleep(2 * time.Second)
	})
}

// TestAppendsAreBounded: after an outage so much waits that one append with all
// of it would be refused for its size, for ever.
func TestAppendsAreBounded(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		const jobs = 100
		done := make(chan error, jobs)
		for i := range jobs {
			entry := site.Entry{Key: fmt.Sprintf("m/%d", i)}
			if i%2 == 0 {
				entry.Value = make([]byte, 20<<10)
			}
			go func() { done <- a.scheduler.Accept(c.ctx, []site.Entry{entry}) }()
		}
		for range jobs {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		if n := a.stream.largest.Load(); n > 512<<10 {
			t.Errorf("an append of %d bytes", n)
		}
	})
}

// TestOldJobsAreForgotten: what ended is kept as long as callers may ask for it,
// and then removed at every VM; a job that runs is kept.
func TestOldJobsAreForgotten(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		b := c.start("b")
		c.submit("j1", tasks(1, 4))
		expectPhase(c, b, "j1", 5*time.Second, job.Completed)
		time.Sleep(leastKeep)
		expectPhase(c, b, "j1", time.Second, job.Completed)
		c.outcome = func(site.TaskName, int64, string) (time.Duration, site.EndKind) { return 3 * leastKeep, site.Done }
		c.submit("j2", tasks(1, 4))
		time.Sleep(leastKeep + 5*time.Second)
		for name, v := range map[string]*vm{"a": a, "b": b} {
			if v.book.Job("j1") != nil {
				t.Errorf("%s still knows j1", name)
			}
			if v.book.Job("j2") == nil {
				t.Errorf("%s has forgotten j2", name)
			}
		}
	})
}

// TestFalseEstimate: a task that takes a hundred times its estimate is not
// stopped again and again as standing still.
func TestFalseEstimate(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.outcome = func(site.TaskName, int64, string) (time.Duration, site.EndKind) { return 15 * time.Minute, site.Done }
		a := c.start("a")
		c.submit("j1", tasks(1, 4))
		expectPhase(c, a, "j1", 20*time.Minute, job.Completed)
	})
}

// TestHopelessJobsHoldNobodyBack: jobs that no worker can run, more than a pass
// looks at once they are overdue, kept every later overdue job from running.
func TestHopelessJobsHoldNobodyBack(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		hopeless := tasks(1, 1)
		hopeless.Label = "none has it"
		for i := range 2 * overduePerPass {
			c.submit(fmt.Sprintf("hopeless%d", i), hopeless)
		}
		c.submit("j1", tasks(1, 4))
		time.Sleep(time.Minute)
		c.fleet.Add("w0", "s", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
		expectPhase(c, a, "j1", 10*time.Second, job.Completed)
	})
}

// TestEndedJobsAreOutlined: of a job that has ended the records keep no more than
// answers need, and a new leader begins without it.
func TestEndedJobsAreOutlined(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.start("a")
		time.Sleep(3 * time.Second)
		c.submit("x", tasks(2, 1))
		expectPhase(c, a, "x", 5*time.Second, job.Completed)
		time.Sleep(time.Second)
		b := c.start("b")
		expectPhase(c, b, "x", time.Second, job.Completed)
		if j := b.book.Job("x"); !j.Submission.Outline() || j.Submission.Spec != "" {
			t.Errorf("the whole submission is kept: %+v", j.Submission)
		}
		a.kill()
		c.submit("y", tasks(2, 1))
		expectPhase(c, b, "y", 10*time.Second, job.Completed)
		expectPhase(c, b, "x", time.Second, job.Completed)
		expectStarts(c, "x", 0, 1)
	})
}

// TestRefusedJobsWait: a job of which no run has begun after all counts as waiting
// again. Seen after the store had been away for 4 s: 30 of 37 jobs that waited were
// not counted, as their runs had been decided before.
func TestRefusedJobsWait(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(2 * time.Second)
		b := c.start("b")
		time.Sleep(2 * time.Second)
		c.fleet.Worker("w0").RefuseStarts(2)
		c.submit("refused", tasks(2, 2))
		time.Sleep(300 * time.Millisecond)
		expectWaiting(t, b, "refused", 1)
		// A later leader counts it as well.
		a.kill()
		time.Sleep(10 * time.Second)
		expectPhase(c, b, "refused", 0, job.Completed)
		expectWaiting(t, b, "refused", 0)
	})
}

// expectWaiting checks how many jobs of the queue wait, and the state of one.
func expectWaiting(t *testing.T, v *vm, id string, want int) {
	t.Helper()
	if n := v.book.Waiting("q"); n != want {
		t.Errorf("%d jobs wait, want %d", n, want)
	}
	if j := v.book.Job(id); (j.Phase() == job.Queued) != (want > 0) {
		t.Errorf("job %s is %v while %d wait", id, j.Phase(), want)
	}
}

// TestOneTermFollows: VMs that stand at the same time begin one term between them.
// The second used to end the term of the first after 15 ms, with all that this had
// learned from the workers.
func TestOneTermFollows(t *testing.T) {
	for _, delay := range []time.Duration{0, 40 * time.Millisecond, 200 * time.Millisecond} {
		inCell(t, 2, func(c *cell) {
			c.start("a")
			time.Sleep(3 * time.Second)
			vms := []*vm{c.start("b"), c.start("d"), c.start("e")}
			time.Sleep(2 * time.Second)
			before := len(leaders(c))
			c.store.SetDelay(delay)
			c.vms["a"].kill()
			time.Sleep(10 * time.Second)
			if after := leaders(c); len(after) != before+1 {
				t.Errorf("delay %v: leaders are %v, want one more than %d", delay, after, before)
			}
			c.submit("j1", tasks(2, 4))
			expectPhase(c, vms[0], "j1", 5*time.Second, job.Completed)
		})
	}
}

// leaders returns the incarnations that have led, one after the other.
func leaders(c *cell) []string {
	var list []string
	b := job.NewBook()
	for _, e := range c.store.Entries() {
		if _, err := b.Apply(&site.Page{Entries: []site.Entry{e}, Next: e.Offset + 1}); err != nil {
			c.t.Fatal(err)
		}
		l, _ := b.Leader()
		if l.Incarnation != "" && (len(list) == 0 || list[len(list)-1] != l.Incarnation) {
			list = append(list, l.Incarnation)
		}
	}
	return list
}

// TestLeaderEnded: when the process of the leader is known to have ended, another VM
// stands at once. Its silence told that after 0.6 s and more.
func TestLeaderEnded(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.start("a")
		time.Sleep(3 * time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		c.vms["a"].kill()
		b.scheduler.LeaderEnded("a/1")
		time.Sleep(150 * time.Millisecond)
		if l, _ := b.book.Leader(); l.Incarnation != "b/1" {
			t.Errorf("%q leads", l.Incarnation)
		}
	})
}

// TestLeaderStaysOverAnOutage: the leader's append gets through soon enough after
// the store was silent that nobody else stands.
func TestLeaderStaysOverAnOutage(t *testing.T) {
	for away := 2 * time.Second; away < 4*time.Second; away += 70 * time.Millisecond {
		inCell(t, 2, func(c *cell) {
			c.start("a")
			time.Sleep(3 * time.Second)
			c.start("b")
			c.start("d")
			time.Sleep(time.Second)
			c.store.SetSilent(true)
			time.Sleep(away)
			c.store.SetSilent(false)
			time.Sleep(2 * time.Second)
			if list := leaders(c); len(list) != 1 {
				t.Errorf("away for %v: leaders are %v", away, list)
			}
		})
	}
}
