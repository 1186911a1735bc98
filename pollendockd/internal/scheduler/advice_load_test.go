package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pollendock.example/cell/advice"
	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// queueAdvisor is an advisor whose calls take as long as the queue of the step
	// says. It serves one call at a time for each VM.
	queueAdvisor struct {
		// advice is by the first letter of the job id.
		advice map[string]site.Advice
		// allows reports whether a job may run on a worker.
		allows func(job, worker string) bool
		mu     sync.Mutex
		vms    map[string]*sync.Mutex
		// down holds the VMs through which queries fail.
		down map[string]bool
	}

	// mix is a load of three queues: lookups, wide steps and gangs that need several
	// workers.
	mix struct {
		name string
		// every is the interval between two jobs of a queue, by the first letter of
		// their ids.
		every map[string]time.Duration
		// failAt is when a third of the routes begin to fail, for failFor.
		failAt, failFor time.Duration
		// want is the share of steps that have to start in time.
		want map[string]float64
	}
)

const (
	mixRoutes  = 35
	mixWorkers = 200
	mixTime    = 20 * time.Second
	burstAt    = 3 * time.Second
	burstTime  = 4 * time.Second
	// allowedMod and allowedBelow are the share of workers that may run a step.
	allowedMod, allowedBelow = 10, 3
)

func (a *queueAdvisor) Advise(ctx context.Context, through string, q *AdviceQuery) ([]site.Ticket, error) {
	a.mu.Lock()
	if a.vms[through] == nil {
		a.vms[through] = &sync.Mutex{}
	}
	vm, down, advice := a.vms[through], a.down[through], a.advice[q.Job[:1]]
	a.mu.Unlock()
	if down {
		return nil, errors.New("the VM is not reachable")
	}
	if !vm.TryLock() {
		return nil, errors.New("two calls through one VM")
	}
	defer vm.Unlock()
	select {
	case <-time.After(advice.Base + time.Duration(len(q.Workers))*advice.PerUpstream):
	case <-ctx.Done():
	}
	var tickets []site.Ticket
	for _, id := range q.Workers {
		if a.allows(q.Job, id) {
			tickets = append(tickets, site.Ticket{Upstream: id, Ticket: q.Job})
		}
	}
	return tickets, ctx.Err()
}

// Answers returns none: VMs keep nothing.
func (a *queueAdvisor) Answers(context.Context, string) ([]advice.StepAnswers, error) {
	return nil, nil
}

// allowsThird allows about a third of the workers.
func allowsThird(job, id string) bool {
	return (7*len(id)+13*int(id[len(id)-1])+5*int(id[len(id)-2])+len(job)+int(job[len(job)-1]))%allowedMod < allowedBelow
}

func (a *queueAdvisor) setDown(names []string, down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range names {
		a.down[name] = down
	}
}

// TestQueuesShareTheAdvisor plays lookups, wide steps and gangs whose queries take
// 12 ms, 0.2 s and a second or more, on a cell that is three quarters full. Queries
// of gangs that could not start yet used to keep all routes for slow queries, and wide
// steps waited for 20 s while their capacity stood free. In the second case a third of
// the routes fail for a while.
func TestQueuesShareTheAdvisor(t *testing.T) {
	every := map[string]time.Duration{"l": 12 * time.Millisecond, "w": 120 * time.Millisecond, "g": 160 * time.Millisecond}
	for _, c := range []mix{
		{"all routes", every, 0, 0, map[string]float64{"l": 0.95, "w": 0.95, "g": 0.95}},
		{"a third of the routes fail", every, 6 * time.Second, 3 * time.Second, map[string]float64{"l": 0.95, "w": 0.95, "g": 0.95}},
	} {
		t.Run(c.name, func(t *testing.T) { inCell(t, 0, func(cell *cell) { cell.playMix(&c) }) })
	}
}

// playMix submits the jobs of a mix and checks how many start in time.
func (c *cell) playMix(m *mix) {
	c.addMixQueues()
	names := []string{"a"}
	a := c.start("a")
	for i := range mixRoutes - 1 {
		names = append(names, fmt.Sprintf("vm%02d", i))
		c.join(names[i+1])
	}
	time.Sleep(3 * time.Second)
	began, next, count := time.Now(), map[string]time.Duration{}, 0
	submitted := map[string]time.Time{}
	failing := names[1 : 1+mixRoutes/3]
	for time.Since(began) < mixTime {
		age := time.Since(began)
		c.queueAdvisor.setDown(failing, age >= m.failAt && age < m.failAt+m.failFor)
		for _, queue := range []string{"l", "w", "g"} {
			for ; next[queue] <= age; next[queue] += m.interval(queue, age) {
				id := fmt.Sprintf("%s%04d", queue, count)
				count++
				submitted[id] = time.Now()
				c.submitTo(queue, id, mixStep(queue))
			}
		}
		time.Sleep(4 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	c.expectStarted(m, submitted)
	expectPhase(c, a, "l0000", 0, job.Completed)
}

// interval returns the time between two jobs of a queue. In a burst there are three times
// as many gangs.
func (m *mix) interval(queue string, age time.Duration) time.Duration {
	if queue == "g" && age >= burstAt && age < burstAt+burstTime {
		return m.every[queue] / 3
	}
	return m.every[queue]
}

// addMixQueues adds the queues of a mix and the workers.
func (c *cell) addMixQueues() {
	c.queueAdvisor = &queueAdvisor{vms: map[string]*sync.Mutex{}, down: map[string]bool{}, allows: allowsThird, advice: map[string]site.Advice{
		"l": {Base: 12 * time.Millisecond, PerUpstream: 170 * time.Microsecond, TicketLifetime: 2 * time.Second},
		"w": {Base: 130 * time.Millisecond, PerUpstream: 1800 * time.Microsecond, TicketLifetime: 2 * time.Second},
		"g": {Base: 720 * time.Millisecond, PerUpstream: 10 * time.Millisecond, TicketLifetime: 2 * time.Second},
	}}
	c.catalog.Queues = nil
	for i, name := range []string{"l", "g", "w"} {
		advice := c.queueAdvisor.advice[name]
		c.catalog.Queues = append(c.catalog.Queues, site.Queue{
			Name: name, Service: "s", Priority: i, MaxAttempts: 2, Advice: &advice,
			Stretch: []float64{1.5, 2.2, 4}[i], Objective: []time.Duration{250 * time.Millisecond, time.Second, 3 * time.Second}[i],
		})
	}
	c.catalog.Index()
	c.outcome = func(n site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
		return mixStep(n.Job[:1]).Estimate * time.Duration(70+(7*n.Index+int(n.Job[len(n.Job)-1]))%60) / 100, site.Done
	}
	for i := range mixWorkers {
		c.fleet.Add(fmt.Sprintf("w%03d", i), "s", resource.Vector{MilliCPU: 16_000, MemoryMB: 32_000})
	}
}

// mixStep returns the step of a job of a queue.
func mixStep(queue string) job.Step {
	var s job.Step
	switch queue {
	case "l":
		s = tasks(2, 2)
		s.Estimate = 800 * time.Millisecond
	case "w":
		s = tasks(36, 1)
		s.Estimate = 2700 * time.Millisecond
	case "g":
		s = gang(12, 4)
		s.Estimate = 4 * time.Second
	}
	return s
}

// mixSlack is how long after its submission a step may start.
func mixSlack(queue string) time.Duration {
	return map[string]time.Duration{"l": 250 * time.Millisecond, "w": 8 * time.Second, "g": 6 * time.Second}[queue]
}

// expectStarted checks for each queue which share of the steps have started in time.
func (c *cell) expectStarted(m *mix, submitted map[string]time.Time) {
	c.t.Helper()
	all, inTime := map[string]int{}, map[string]int{}
	for id, at := range submitted {
		queue := id[:1]
		all[queue]++
		if s := c.fleet.StartedAt(site.TaskID{Job: id}); !s.IsZero() && s.Sub(at) <= mixSlack(queue) {
			inTime[queue]++
		}
	}
	for _, queue := range []string{"l", "w", "g"} {
		share := float64(inTime[queue]) / float64(all[queue])
		c.t.Logf("%s: queue %s: %d of %d steps started in time", m.name, queue, inTime[queue], all[queue])
		if share < m.want[queue] {
			c.t.Errorf("%s: %.2f of the steps of queue %s started in time, want %.2f", m.name, share, queue, m.want[queue])
		}
	}
}
