package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestHandover checks that a leader that stops names a successor, which takes over at
// once.
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

// TestEndedTermIsNotResumed guards against a leader that resumes its own term. After a
// refusal by a worker it began the same term again at once, as long as its view still
// showed it as the leader.
func TestEndedTermIsNotResumed(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		l, _ := a.replica.Leader()
		if l.Incarnation == "" {
			t.Fatal("no leader")
		}
		if _, err := c.fleet.Worker("w0").Hold(c.ctx, &site.HoldRequest{Token: l.Epoch + 1}); err != nil {
			t.Fatal(err)
		}
		c.submit("j1", tasks(1, 4))
		expectPhase(c, a, "j1", 8*time.Second, job.Completed)
		if next, _ := a.replica.Leader(); next.Epoch <= l.Epoch {
			t.Errorf("the recorded term is still %d", next.Epoch)
		}
	})
}

// TestRefusedLeaderYields checks that a leader whose appends are refused by the stream
// asks another VM to lead, long before its silence would be noticed.
func TestRefusedLeaderYields(t *testing.T) {
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
		if l, _ := b.replica.Leader(); l.Incarnation != "b/1" {
			t.Errorf("leader is %q", l.Incarnation)
		}
		c.submit("j1", tasks(1, 4))
		expectPhase(c, b, "j1", 3*time.Second, job.Completed)
	})
}

// TestLostAnswers checks that the leader keeps going and jobs are not late while the
// stream loses every second answer to an append. The leader used to wait 0.8 s for
// each, and other VMs took over again and again.
func TestLostAnswers(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		b := c.start("b")
		time.Sleep(3 * time.Second)
		expectSteady(c, a, b, 20, 1500*time.Millisecond, func() { c.store.DropEvery(2) })
	})
}

// expectSteady checks that sequential jobs complete within the given slack, as seen by
// another VM, and that the leader does not change while a fault lasts.
func expectSteady(c *cell, leader, other *vm, jobs int, slack time.Duration, fault func()) {
	c.t.Helper()
	began, _ := leader.replica.Leader()
	fault()
	for i := range jobs {
		id := fmt.Sprintf("job%d", i)
		c.submit(id, tasks(1, 1))
		expectPhase(c, other, id, workTime+slack, job.Completed)
	}
	if now, _ := leader.replica.Leader(); now.Epoch != began.Epoch {
		c.t.Errorf("leader is %+v, was %+v", now, began)
	}
}

// TestSlowStream checks that the leader waits for its answers on a stream that takes
// 0.2 s for a read and 0.2 s for each append, one at a time. Premature retries kept the
// stream so busy that no append was answered in time.
func TestSlowStream(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.start("a")
		c.start("b")
		c.start("d")
		time.Sleep(3 * time.Second)
		// VMs that lost the first campaign have retried its record.
		before := c.store.Repeats()
		// A job takes two reads and four appends including those in progress, plus the
		// intervals between: 1.5 s. Ten calls take 2 s.
		expectSteady(c, a, a, 5, 2*time.Second, func() {
			c.store.SetAppendTime(200 * time.Millisecond)
			c.store.SetReadDelay(200 * time.Millisecond)
			time.Sleep(time.Second)
		})
		if n := c.store.Repeats() - before; n > 2 {
			t.Errorf("%d appends were retried", n)
		}
	})
}

// TestLateCampaign covers a campaign record that is added late on a slow stream, after
// its VM has given up that campaign and started another. All VMs took that VM for the
// leader, except the VM itself.
func TestLateCampaign(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.store.SetReadDelay(170 * time.Millisecond)
		c.store.SetAppendDelay(2500 * time.Millisecond)
		a := c.start("a")
		time.Sleep(2900 * time.Millisecond)
		a.stream.refuses.Store(true)
		time.Sleep(600 * time.Millisecond)
		a.stream.refuses.Store(false)
		c.store.SetAppendDelay(0)
		c.submit("x", tasks(1, 1))
		expectPhase(c, a, "x", workTime+1200*time.Millisecond, job.Completed)
	})
}

// TestOneTermFollows checks that VMs that campaign simultaneously begin only one term.
// The second VM used to end the term of the first after 15 ms and discard all that it
// had learned from the workers.
func TestOneTermFollows(t *testing.T) {
	for _, delay := range []time.Duration{0, 40 * time.Millisecond, 200 * time.Millisecond} {
		inCell(t, 2, func(c *cell) {
			c.start("a")
			time.Sleep(3 * time.Second)
			vms := []*vm{c.start("b"), c.start("d"), c.start("e")}
			time.Sleep(2 * time.Second)
			before := len(leaders(c))
			c.store.SetReadDelay(delay)
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

// leaders returns the incarnations that have led, in order.
func leaders(c *cell) []string {
	var list []string
	b := job.NewView()
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

// TestLeaderEnded checks that another VM campaigns at once when the process of the
// leader is known to have exited. Waiting for the leader's silence took 0.6 s or more.
func TestLeaderEnded(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.start("a")
		time.Sleep(3 * time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		c.vms["a"].kill()
		b.scheduler.LeaderEnded("a/1")
		time.Sleep(150 * time.Millisecond)
		if l, _ := b.replica.Leader(); l.Incarnation != "b/1" {
			t.Errorf("leader is %q", l.Incarnation)
		}
	})
}

// TestLeaderStaysOverAnOutage checks that after an outage of the store the leader's
// append succeeds soon enough that no other VM campaigns.
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
				t.Errorf("outage of %v: leaders are %v", away, list)
			}
		})
	}
}

// TestCallersRecordsDoNotSilenceLeader: appends of callers' records alone postponed the heartbeat, so that leaders changed twice a second.
func TestCallersRecordsDoNotSilenceLeader(t *testing.T) {
	for _, gap := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 110 * time.Millisecond} {
		inCell(t, 0, func(c *cell) {
			a := c.start("a")
			time.Sleep(time.Second)
			c.start("b")
			time.Sleep(time.Second)
			for i := range 5 * time.Second / gap {
				go func() {
					_ = a.scheduler.Accept(c.ctx, []site.Entry{c.entry(time.Now(), fmt.Sprintf("j%d", i), tasks(1, 1))})
				}()
				time.Sleep(gap)
			}
			if list := leaders(c); len(list) != 1 {
				t.Errorf("a record every %v: leaders are %v", gap, list)
			}
		})
	}
}

// TestOtherVMsRecordsDoNotHideDeadLeader: records that a VM appends for its callers are no sign of the leader.
func TestOtherVMsRecordsDoNotHideDeadLeader(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		c.start("a")
		time.Sleep(time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		c.vms["a"].kill()
		for i := range 40 {
			c.submit(fmt.Sprintf("j%d", i), tasks(1, 1))
			time.Sleep(20 * time.Millisecond)
		}
		if l, _ := b.replica.Leader(); l.Incarnation != "b/1" {
			t.Errorf("leader is %q", l.Incarnation)
		}
	})
}
