package scheduler

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// TestOvertakenListTakesNoWorkerOutOfUse guards against tracking an ended run that an older list
// shows as running for the rest of the term.
func TestOvertakenListTakesNoWorkerOutOfUse(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		v := c.start("n1")
		w := c.fleet.Worker("w0")
		var older site.HoldReply
		w.AlterReplies(func(h *site.HoldReply) {
			if len(h.Running) > 0 {
				older = *h
			}
		})
		c.submit("a", tasks(1, 2))
		expectPhase(c, v, "a", 10*time.Second, job.Completed)
		replayed := false
		w.AlterReplies(func(h *site.HoldReply) {
			if !replayed {
				*h, replayed = older, true
			}
		})
		time.Sleep(5 * time.Second)
		c.submit("b", tasks(1, 10))
		expectPhase(c, v, "b", 5*time.Second, job.Completed)
	})
}

// TestOvertakenAnswerChangesNothing checks which answers to holds are used, whatever the order
// in which they arrive.
func TestOvertakenAnswerChangesNothing(t *testing.T) {
	const tick = time.Millisecond
	task := site.TaskID{Job: "j"}
	running := []site.RunStatus{{Task: task, Run: 1, Percent: 10}}
	ended := []site.RunEnd{{Number: 1, Task: task, Run: 1, Kind: site.Done}}
	for _, c := range []struct {
		name string
		// first and second are the answers in the order in which they are read. The second
		// hold was sent after the first answer was read unless overlap is set.
		first, second site.HoldReply
		overlap       bool
		wantRuns      int
		wantBoot      int64
	}{
		{"older list", site.HoldReply{Boot: 1, Clock: 20 * tick, Ended: ended}, site.HoldReply{Boot: 1, Clock: 19 * tick, Running: running}, true, 0, 1},
		{"older list of the same tick", site.HoldReply{Boot: 1, Clock: 20 * tick, Ended: ended}, site.HoldReply{Boot: 1, Clock: 20 * tick, Running: running}, true, 0, 1},
		{"newer list", site.HoldReply{Boot: 1, Clock: 20 * tick}, site.HoldReply{Boot: 1, Clock: 21 * tick, Running: running}, true, 1, 1},
		{"newer list of the same tick", site.HoldReply{Boot: 1, Clock: 20 * tick}, site.HoldReply{Boot: 1, Clock: 20 * tick, Running: running}, true, 1, 1},
		{"clock that was set back", site.HoldReply{Boot: 1, Clock: 20 * tick}, site.HoldReply{Boot: 1, Clock: 19 * tick, Running: running}, false, 1, 1},
		{"earlier incarnation", site.HoldReply{Boot: 2, Clock: tick}, site.HoldReply{Boot: 1, Clock: 20 * tick, Running: running}, true, 0, 2},
		{"later incarnation", site.HoldReply{Boot: 1, Clock: 20 * tick}, site.HoldReply{Boot: 2, Clock: tick, Running: running}, false, 1, 2},
	} {
		l := leadershipOf("j", tasks(1, 1))
		wk := l.workerOf("w")
		before := time.Now().Add(-time.Second)
		holdDone{l: l, wk: wk, sentAt: before, reply: &c.first}.handle(l.s)
		sentAt := time.Now()
		if c.overlap {
			sentAt = before
		}
		holdDone{l: l, wk: wk, sentAt: sentAt, reply: &c.second}.handle(l.s)
		if len(wk.runs) != c.wantRuns || wk.boot != c.wantBoot {
			t.Errorf("%s: %d runs of incarnation %d, want %d of %d", c.name, len(wk.runs), wk.boot, c.wantRuns, c.wantBoot)
		}
	}
}

// leadershipOf returns a leader with one job and no workers.
func leadershipOf(id string, steps ...job.Step) *leadership {
	s := New(Options{}, Deps{View: job.NewView(), Logger: log.NewNopLogger(), Counts: noCounts{}})
	l := &leadership{
		s: s, jobs: map[string]*trackedJob{}, workers: map[string]*worker{}, teamUse: map[string]resource.Vector{},
		meters: map[string]*placement.RateMeter{}, isolatedRuns: map[*run]bool{},
	}
	s.lead = l
	sub := &job.Submission{ID: id, Team: "team", Queue: "q", Service: "s", MaxAttempts: 2, Steps: steps}
	l.jobs[id] = newTrackedJob(id, sub, &job.Job{State: job.NewState(sub)})
	return l
}

// TestFailureOfOlderHoldChangesNothing guards against taking a worker that answers for silent.
func TestFailureOfOlderHoldChangesNothing(t *testing.T) {
	refused := &site.RefusalError{Reason: site.RefusedConnection}
	for _, c := range []struct {
		name string
		// sentAgo is how long before the last answer the failed hold was sent, wait how long the
		// worker could leave it unanswered.
		sentAgo, wait time.Duration
		// restarted is set if the last answer is the first one of its incarnation.
		restarted   bool
		err         error
		wantFails   int
		wantRefuses bool
	}{
		{"older list request", 300 * time.Millisecond, 0, false, context.DeadlineExceeded, 0, false},
		{"older refusal", 300 * time.Millisecond, holdWait, false, refused, 0, false},
		{"hold to an earlier incarnation", 300 * time.Millisecond, holdWait, true, io.EOF, 0, false},
		{"hold that was due later", 300 * time.Millisecond, holdWait, false, context.DeadlineExceeded, 1, false},
		{"newer list request", -10 * time.Millisecond, 0, false, context.DeadlineExceeded, 1, false},
		{"newer refusal", -10 * time.Millisecond, 0, false, refused, 1, true},
	} {
		l := leadershipOf("j", tasks(1, 1))
		wk := l.workerOf("w")
		answeredAt := time.Now().Add(-time.Second)
		wk.boot, wk.clockAt = 1, answeredAt
		if c.restarted {
			wk.bootAt = answeredAt
		}
		holdDone{l: l, wk: wk, sentAt: answeredAt.Add(-c.sentAgo), wait: c.wait, err: c.err}.handle(l.s)
		if wk.holdFails != c.wantFails || wk.refusesConnections != c.wantRefuses {
			t.Errorf("%s: %d failures, refuses %v, want %d, %v", c.name, wk.holdFails, wk.refusesConnections, c.wantFails, c.wantRefuses)
		}
	}
}

// TestOlderListOfWorkersIsNotApplied guards against a worker that counts as listed, or as not
// draining, because an older list arrived after a newer one.
func TestOlderListOfWorkersIsNotApplied(t *testing.T) {
	ready := site.Upstream{ID: "w"}
	draining := site.Upstream{ID: "w", Draining: true}
	for _, c := range []struct {
		name      string
		revisions [2]int64
		want      bool
	}{
		{"older", [2]int64{3, 2}, true},
		{"newer", [2]int64{3, 4}, false},
		{"same", [2]int64{3, 3}, false},
	} {
		l := leadershipOf("j", tasks(1, 1))
		l.s.deps.Catalog = func() *site.Catalog { return nil }
		l.s.deps.Dial = func(string, netip.AddrPort) Worker { return silentWorker{} }
		for i, u := range []site.Upstream{draining, ready} {
			upstreamsDone{list: &site.UpstreamList{Revision: c.revisions[i], Upstreams: []site.Upstream{u}}, at: time.Now()}.handle(l.s)
		}
		if got := l.workers["w"].upstream.Draining; got != c.want || l.s.upstreams[0].Draining != c.want {
			t.Errorf("%s list: draining %v, want %v", c.name, got, c.want)
		}
	}
}
