package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestTaskOfDeadWorkerRunsAgainSoonAfterAllVMsRestarted guards against waiting for renewals of leaders that have ended before any of the VMs has started.
func TestTaskOfDeadWorkerRunsAgainSoonAfterAllVMsRestarted(t *testing.T) {
	// longestWait is how long a job may have nothing running: 4 s until all is calm, and 3 s.
	const longestWait = 7 * time.Second
	for _, c := range []struct {
		name string
		// before comes between the death of the worker and the end of all VMs.
		before func(c *cell)
	}{
		{"with the worker", func(*cell) {}},
		{"after the leader", func(c *cell) {
			c.killNoticed(c.leader())
			c.awaitLeader()
			time.Sleep(500 * time.Millisecond)
		}},
		{"after two leaders", func(c *cell) {
			for range 2 {
				c.killNoticed(c.leader())
				c.awaitLeader()
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{"after a leader that handed over", func(c *cell) {
			c.handOver()
			time.Sleep(time.Second)
		}},
		{"twice", func(c *cell) {
			c.restartAll(0)
			c.awaitLeader()
			time.Sleep(300 * time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 3, func(cl *cell) {
				cl.peersAnswer.Store(true)
				cl.startLongTask(4)
				cl.fleet.Worker(cl.vms["b"].replica.Job("j1").State.Steps[0][0].Worker).Terminate()
				c.before(cl)
				cl.restartAll(300 * time.Millisecond)
				if took := cl.untilNextStart("j1"); took > longestWait {
					t.Errorf("the task runs again after %v, want %v at most", took, longestWait)
				}
			})
		})
	}
}

// TestCutLeaderIsWaitedForAfterAllOthersRestarted guards against running a task twice: a leader that is cut off renews leases, and its successors have started since and have not heard of it.
func TestCutLeaderIsWaitedForAfterAllOthersRestarted(t *testing.T) {
	for _, c := range []struct {
		name string
		// led is how long the leader after it has led when all others end, leaders how many follow it.
		led     time.Duration
		leaders int
	}{
		{"at once", 300 * time.Millisecond, 1},
		{"after 2 s", 2 * time.Second, 1},
		{"after two leaders", time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 2, func(cl *cell) {
				cl.peersAnswer.Store(true)
				cl.startLongTask(4)
				old := cl.vms["a"]
				if !leads(old) {
					t.Fatal("VM a does not lead")
				}
				id := cl.vms["b"].replica.Job("j1").State.Steps[0][0].Worker
				other := map[string]string{"w0": "w1", "w1": "w0"}[id]
				delete(cl.vms, "a")
				cl.cutWorkers(id)
				// The old leader would learn of its successor from the other worker.
				old.stream.cutWorkers.Store(other, true)
				old.stream.cutOff(true)
				for range c.leaders {
					cl.awaitLeader()
					time.Sleep(c.led)
					if c.leaders > 1 {
						cl.killNoticed(cl.leader())
					}
				}
				cl.restartAll(0)
				cl.cutWorkers(id)
				time.Sleep(40 * time.Second)
				expectStarts(cl, "j1", 0, 2)
			})
		})
	}
}

// cutWorkers cuts all VMs off from a worker.
func (c *cell) cutWorkers(id string) {
	for _, v := range c.vms {
		v.stream.cutWorkers.Store(id, true)
	}
}

// restartAll kills all VMs, and starts them again after a time.
func (c *cell) restartAll(after time.Duration) {
	var names []string
	for name := range c.vms {
		names = append(names, name)
	}
	for _, name := range names {
		c.kill(name)
	}
	time.Sleep(after)
	for _, name := range names {
		c.start(name)
		c.join(name)
	}
}

// TestRecordOfRenewers guards against a record that leaves out a leader which may still renew leases.
func TestRecordOfRenewers(t *testing.T) {
	const long = streamTimeout + time.Second
	now := time.Now()
	name := func(epoch int64) string { return string(rune('a'+epoch)) + "/1" }
	for _, c := range []struct {
		name string
		// record is that of the last leader to append one, in the epoch recorded, and names these.
		recorded int64
		named    []int64
		// ages are how long ago the terms of the last epochs began.
		ages []time.Duration
		// want is whom the record of epoch 5 names, nil for no record.
		want []int64
	}{
		{"the last leader has named all", 4, []int64{2, 4}, []time.Duration{time.Second}, []int64{2, 4, 5}},
		{"the last leader has led for long", 4, []int64{2, 4}, []time.Duration{long}, []int64{4, 5}},
		{"the last leader has appended none", 3, []int64{1, 3}, []time.Duration{time.Second}, []int64{4, 1, 3, 5}},
		{"two have appended none", 2, []int64{2}, []time.Duration{2 * time.Second, time.Second}, []int64{4, 3, 2, 5}},
		{"a leader between is not known", 2, []int64{2}, []time.Duration{time.Second}, nil},
		{"no record", 0, nil, []time.Duration{time.Second}, nil},
		{"no record, all terms are known", 0, nil, []time.Duration{4, 3, 2, 1}, []int64{4, 3, 2, 1, 5}},
		{"no record, a term is old", 0, nil, []time.Duration{long, time.Second}, []int64{4, 3, 5}},
	} {
		v := job.NewView()
		for i, age := range c.ages {
			epoch := 5 - int64(len(c.ages)) + int64(i)
			expectApplied(t, v, recordOfLeader(t, epoch, name(epoch)))
			v.Terms()[i].Since = now.Add(-age)
		}
		r := &job.Renewers{Epoch: c.recorded}
		for _, epoch := range c.named {
			r.Leaders = append(r.Leaders, job.TermOf{Epoch: epoch, Incarnation: name(epoch)})
		}
		if c.recorded > 0 {
			e, err := job.RenewersEntry(r)
			if err != nil {
				t.Fatal(err)
			}
			expectApplied(t, v, e)
		}
		s := &Scheduler{opt: Options{Name: "f", Incarnation: name(5)}, deps: Deps{View: v}}
		e, err := s.renewersEntry(5, now)
		if err != nil {
			t.Fatal(err)
		}
		if (e == nil) != (c.want == nil) {
			t.Errorf("%s: record %v, want %v", c.name, e, c.want)
			continue
		}
		if e == nil {
			continue
		}
		expectApplied(t, v, *e)
		got := v.Renewers().Leaders
		if len(got) != len(c.want) {
			t.Errorf("%s: the record names %v, want %v", c.name, got, c.want)
			continue
		}
		for i, epoch := range c.want {
			if got[i].Epoch != epoch || got[i].Incarnation != name(epoch) {
				t.Errorf("%s: the record names %v, want %v", c.name, got, c.want)
			}
		}
	}
}

func recordOfLeader(t *testing.T, epoch int64, incarnation string) site.Entry {
	t.Helper()
	e, err := job.LeaderEntry(&job.Leader{Epoch: epoch, Incarnation: incarnation})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func expectApplied(t *testing.T, v *job.View, e site.Entry) {
	t.Helper()
	e.Offset = v.Next()
	if _, err := v.Apply(&site.Page{Entries: []site.Entry{e}, Next: e.Offset + 1}); err != nil {
		t.Fatal(err)
	}
}
