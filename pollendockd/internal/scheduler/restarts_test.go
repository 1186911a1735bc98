package scheduler

import (
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestTicketsForRestartsAreValidInTime checks when queries for restarts go out: their tickets come early and have not expired when the leases have.
func TestTicketsForRestartsAreValidInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		advice  site.Advice
		workers float64
		want    time.Duration
	}{
		{"tickets of 2 s", site.Advice{Base: 380 * time.Millisecond, PerUpstream: 5 * time.Millisecond, TicketLifetime: 2 * time.Second}, 10, 1680 * time.Millisecond},
		{"tickets of 1.5 s", site.Advice{Base: 380 * time.Millisecond, PerUpstream: 5 * time.Millisecond, TicketLifetime: 1500 * time.Millisecond}, 10, 1180 * time.Millisecond},
		{"tickets that expire soon", site.Advice{Base: 100 * time.Millisecond, TicketLifetime: 600 * time.Millisecond}, 10, 100 * time.Millisecond},
	} {
		lead := queryLead(&c.advice, c.workers)
		if lead != c.want {
			t.Errorf("%s: the query goes out %v before, want %v", c.name, lead, c.want)
		}
	}
}

// TestRestartsOfSilentWorkers checks for which tasks queries are prepared.
func TestRestartsOfSilentWorkers(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		step   job.Step
		change func(l *leadership, r *run)
		// want is the number of tasks that start again.
		want     int
		isolated bool
	}{
		{"a task", tasks(3, 1), func(*leadership, *run) {}, 1, true},
		{"a task of a worker that has announced its end", tasks(3, 1), func(_ *leadership, r *run) { r.wk.upstream.Draining = true }, 1, false},
		{"a gang", gang(3, 1), func(*leadership, *run) {}, 3, true},
		{"the worker answers", tasks(3, 1), func(_ *leadership, r *run) { r.wk.unreachable = false }, 0, false},
		{"not started yet", tasks(3, 1), func(_ *leadership, r *run) { r.stage = starting }, 0, false},
		{"a start may be executed late", tasks(3, 1), func(_ *leadership, r *run) {
			r.startAttempts, r.unansweredStarts = 1, []time.Time{now.Add(-5 * time.Second)}
		}, 0, false},
		{"the job has ended", tasks(3, 1), func(_ *leadership, r *run) { r.tj.state.Phase = job.Canceled }, 0, false},
	} {
		l := leadershipOf("j", c.step)
		tj := l.jobs["j"]
		l.startedAt = now.Add(-time.Minute)
		l.s.deps.Catalog = func() *site.Catalog { return nil }
		wk := l.workerOf("w")
		wk.listed, wk.unreachable, wk.boot, wk.holdFails = true, true, 1, 2
		wk.clockAt, wk.answeredAt = now.Add(-4*time.Second), now.Add(-4*time.Second)
		wk.leaseEnd = lease
		r := &run{task: site.TaskID{Job: "j", Index: 1}, number: 1, tj: tj, boot: 1, stage: running, startAttempts: 1}
		l.bind(r, wk)
		for i := range tj.state.Steps[0] {
			tj.state.Steps[0][i] = job.Task{Status: job.Dispatched, Run: 1, Worker: "w", Boot: 1}
		}
		c.change(l, r)
		got, isolated := 0, false
		for _, r := range l.restarts(&pass{now: now, speeds: newSpeedTable(), catalog: &site.Catalog{}}) {
			got += len(r.ws.tasks)
			isolated = r.ws.isolated
			if want := l.lapseAt(wk); !r.at.Equal(want) {
				t.Errorf("%s: restarts in %v, want %v", c.name, r.at.Sub(now), want.Sub(now))
			}
		}
		if got != c.want || isolated != c.isolated {
			t.Errorf("%s: %d tasks restart, isolated %v, want %d, %v", c.name, got, isolated, c.want, c.isolated)
		}
	}
}
