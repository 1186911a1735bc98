package scheduler

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"sync"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/placement"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// backlog is a random load of jobs past their deadlines, most of them gangs.
	backlog struct {
		c   *cell
		rnd *rand.Rand
		ids []string
		// couldRunFor is for how long a job could have run with none of its tasks at work.
		couldRunFor map[string]time.Duration
	}
)

const (
	backlogWorkers = 24
	backlogJobs    = 120
	// allowedPercent is the percentage of the workers that may run a job.
	allowedPercent = 45
	// judgedAfter leaves time for the first queries, judgedFor is how long jobs are watched.
	judgedAfter   = 20 * time.Second
	judgedFor     = 80 * time.Second
	judgeInterval = 100 * time.Millisecond
)

// TestNoJobIsLostBesideRoom guards against overdue jobs with nothing running for lostAfter, while
// there is capacity for a step twice over and less than half of all capacity is in use.
func TestNoJobIsLostBesideRoom(t *testing.T) {
	for _, seed := range []int64{201, 202} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inCell(t, backlogWorkers, func(c *cell) {
				b := &backlog{c: c, rnd: rand.New(rand.NewSource(seed)), couldRunFor: map[string]time.Duration{}}
				v := b.start()
				time.Sleep(judgedAfter)
				for began := time.Now(); time.Since(began) < judgedFor; time.Sleep(judgeInterval) {
					done := make(chan bool)
					v.scheduler.post(inspect(func(s *Scheduler) { b.judge(s.lead); close(done) }))
					<-done
				}
			})
		})
	}
}

// start submits the jobs, a third of whose runs fail once, and starts a VM.
func (b *backlog) start() *vm {
	c := b.c
	c.catalog.Queues[0].Advice = &slowAdvice
	c.addUnadvisedQueue()
	c.queueAdvisor = &queueAdvisor{vms: map[string]*sync.Mutex{}, advice: map[string]site.Advice{"j": slowAdvice}, allows: allowsByHash}
	c.outcome = func(t site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
		r := hashOf(fmt.Sprint(t, run))
		d := c.subs[t.Job].Steps[t.Step].Estimate * time.Duration(50+r%150) / 100
		switch {
		case t.Job == "long":
			return time.Hour, site.Done
		case run == 1 && r%3 == 0:
			return d, site.Failed
		}
		return d, site.Done
	}
	c.submitTo("unadvised", "long", tasks(4, 10))
	for n := range backlogJobs {
		id := fmt.Sprintf("j%d", n)
		b.ids = append(b.ids, id)
		c.submitAt(time.Now().Add(-time.Duration(b.rnd.Intn(60))*time.Second), id, tasks(1, 1), after(b.step(), 0))
	}
	for _, name := range []string{"b", "d", "e", "f", "g"} {
		c.join(name)
	}
	return c.start("a")
}

// step returns a random step.
func (b *backlog) step() job.Step {
	s := gang(3+b.rnd.Intn(8), 4+int64(b.rnd.Intn(5)))
	if b.rnd.Intn(4) == 0 {
		s = tasks(1+b.rnd.Intn(4), 1+int64(b.rnd.Intn(4)))
	}
	s.Estimate = time.Duration(1+b.rnd.Intn(5)) * time.Second
	return s
}

func hashOf(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

func allowsByHash(job, worker string) bool {
	return hashOf(worker+" "+job)%100 < allowedPercent
}

// judge notes for how long each job could have run, and fails after lostAfter.
func (b *backlog) judge(l *leadership) {
	var free, total resource.Vector
	for _, wk := range l.workers {
		free = free.Add(wk.free())
		total = total.Add(wk.upstream.Capacity)
	}
	for _, id := range b.ids {
		tj := l.jobs[id]
		if tj == nil || tj.state.Phase.Final() || 2*free.MilliCPU <= total.MilliCPU || tj.state.AnyDispatched() || !couldRun(l, tj) {
			b.couldRunFor[id] = 0
			continue
		}
		b.couldRunFor[id] += judgeInterval
		if b.couldRunFor[id] == lostAfter {
			b.c.t.Errorf("job %s could run for %v and does not", id, lostAfter)
		}
	}
}

// couldRun reports whether there is capacity for a step of the job twice over, on the workers
// that the advisor allows.
func couldRun(l *leadership, tj *trackedJob) bool {
	for step := range tj.state.Steps {
		if !tj.state.Ready(tj.sub, step) || len(tj.waitingTasks(step, false)) == 0 {
			continue
		}
		spec := &tj.sub.Steps[step]
		needed := 2
		if spec.Gang {
			needed = 2 * spec.Count
		}
		req := placement.Request{Count: needed, Size: spec.Size}
		room := 0
		for _, wk := range l.workers {
			if allowsByHash(tj.id, wk.id) {
				room += placement.FitCount(req, &placement.WorkerState{Free: wk.free()})
			}
		}
		if room >= needed {
			return true
		}
	}
	return false
}

// TestVMThatMissedTheEndOfAJobStartsItNoMore guards against a leader that has missed that a job ended and was removed, since the records were trimmed meanwhile.
func TestVMThatMissedTheEndOfAJobStartsItNoMore(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 5 * time.Second, site.Done }
		c.startThree()
		d := c.vms["d"]
		c.submit("j1", tasks(1, 4))
		expectPhase(c, d, "j1", time.Second, job.Running)
		time.Sleep(time.Second)
		d.stream.cutOff(true)
		time.Sleep(4 * time.Minute)
		if j := c.vms["b"].replica.Job("j1"); j != nil {
			t.Fatalf("j1 is still there: %+v", j.State)
		}
		c.store.Trim()
		d.stream.cutOff(false)
		time.Sleep(5 * time.Second)
		c.kill("a")
		c.kill("b")
		time.Sleep(30 * time.Second)
		expectStarts(c, "j1", 0, 1)
	})
}
