package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// This file has the jobs of a site that last, and judges how long their tasks are away.

const (
	// lastingInterval is the time between two jobs that last.
	lastingInterval = time.Second
	// firstLastingJob is the number of the first job that lasts. Other jobs have lower ones.
	firstLastingJob = 1_000_000
	// maxLastingTasks and maxLastingCores limit a job that lasts and its tasks.
	maxLastingTasks = 12
	maxLastingCores = 4
	lastingMemoryMB = 2000
	// backAtWork is how long after its last run a task that lasts may be away at all times.
	backAtWork = 6 * time.Second
)

// generateLastingJobs submits jobs that last. Their draws are apart from those of the other jobs.
func (c *cell) generateLastingJobs(ctx context.Context, opt *options, end time.Time, clients *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(opt.Seed, 11))
	for n := firstLastingJob; time.Now().Before(end); n++ {
		j := c.site.newLastingJob(newJobID(n, opt.Seed), r)
		c.addJob(j)
		seed := r.Uint64()
		clients.Go(func() { j.run(ctx, c, seed, c.violations.add) })
		sleepUntil(end, lastingInterval)
	}
}

// newLastingJob draws a job that lasts.
func (m *siteModel) newLastingJob(id string, r *rand.Rand) *jobClient {
	return &jobClient{
		id: id, queue: &m.queues[r.IntN(len(m.queues))], key: m.teamKey(r.IntN(m.teams)), runTime: lastingRun, lasting: true,
		steps: []stepBody{{
			Count: 1 + r.IntN(maxLastingTasks), CPU: 1000 * (1 + r.Int64N(maxLastingCores)), MemMB: lastingMemoryMB,
			EstimatedMs: lastingRun.Milliseconds(), LongRunning: true,
		}},
	}
}

// lastingJobs returns the accepted jobs that last and that nobody has cancelled.
func (c *cell) lastingJobs() []*jobClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*jobClient
	for _, j := range c.jobs {
		if j.lasting && !j.acceptedAt().IsZero() && !j.hasEnded() && !j.mayBeCancelled() {
			list = append(list, j)
		}
	}
	return list
}

// noteLastingRuns notes which tasks of jobs that last run now, and that those which ran at the look
// before may have run until now.
func (w *waitJudge) noteLastingRuns(o *occupancy, jobs []*jobClient, now time.Time) {
	for t := range w.lastingRuns {
		w.lastRun[t] = now
	}
	lasting := map[string]bool{}
	for _, j := range jobs {
		lasting[j.id] = true
	}
	w.lastingRuns = map[site.TaskID]bool{}
	for _, t := range o.Running {
		if lasting[t.Job] {
			w.lastingRuns[t] = true
		}
	}
}

// checkLasting notes the tasks of a job that could be back at work, whether others of the job run or not.
func (w *waitJudge) checkLasting(o *occupancy, j *jobClient, now time.Time, could map[string]bool) {
	if !o.underHalf(o.teams[j.key], w.c.teamLimitOf(j.key)) {
		return
	}
	for i := range j.steps[0].Count {
		t := site.TaskID{Job: j.id, Index: i}
		if w.lastingRuns[t] || !w.mayBeBack(t, now) {
			continue
		}
		if r := w.c.roomForStep(o, j, 0); r.places >= r.needed {
			r.tasks = 1
			id := fmt.Sprint(t)
			could[id] = true
			w.note(id, r, now)
		}
	}
}

// mayBeBack reports whether a task has been away for so long after its last run that its wait counts.
// Of a task that ran before the judge began, it is not known how long it has been away.
func (w *waitJudge) mayBeBack(t site.TaskID, now time.Time) bool {
	last, seen := w.lastRun[t]
	if !seen && !w.c.fleet.StartedAt(t).IsZero() {
		last = now
		w.lastRun[t] = now
	}
	return now.Sub(last) >= backAtWork
}

// teamLimitOf returns what the team with that key may have running, zero for no limit.
func (c *cell) teamLimitOf(key string) resource.Vector {
	switch {
	case c.site != nil:
		return c.site.teamLimit(len(c.workers))
	case key == limitedKey:
		return teamLimit
	}
	return resource.Vector{}
}

// admits reports whether the worker may run the step.
func (c *cell) admits(jobID string, step int, worker string) bool {
	return c.advisor == nil || c.advisor.Allows(jobID, step, worker)
}
