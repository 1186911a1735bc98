package main

import (
	"fmt"

	"pollendock.example/standin/fleet"
)

// This file judges which jobs can't be done. The advisor's answers for a step don't change, so a gang
// can't run for which the admitted workers have too few places even if all of them are there and empty.
// Its caller is owed the truth until workers come for which that changes: it is queued. Only failed runs
// make a job failed.

// impossible returns why a job can't be done, "" if it can. Workers that are away may return, unless
// they have ended for good.
func (c *cell) impossible(j *jobClient) string {
	if c.site == nil {
		return ""
	}
	empty := c.emptyWorkers()
	for step := range j.steps {
		if empty.remaining(j, step) == 0 {
			continue
		}
		b := &j.steps[step]
		together := 1
		if b.Gang {
			together = b.Count
		}
		if r := c.roomForStep(empty, j, step); r.places < together {
			return fmt.Sprintf("step %d needs %d places at once, all %d admitted workers have %d", step, together, r.admitted, r.places)
		}
	}
	return ""
}

// emptyWorkers returns the workers that have not ended for good as if all of them were there and empty.
func (c *cell) emptyWorkers() *occupancy {
	o := &occupancy{Usage: c.fleet.Usage()}
	o.Workers = nil
	for id := range c.workers {
		if !c.hasEnded(id) {
			o.Workers = append(o.Workers, fleet.WorkerUsage{ID: id, Capacity: c.workerCapacity(), Up: true})
		}
	}
	return o
}

// doable returns the jobs that can be done, and why each of the others can't.
func (c *cell) doable(jobs []*jobClient) (list []*jobClient, others []string) {
	for _, j := range jobs {
		why := c.impossible(j)
		if why == "" {
			list = append(list, j)
			continue
		}
		others = append(others, fmt.Sprintf("job %s of queue %s is %q and can't be done: %s", j.id, j.queue.Name, j.shownState(), why))
	}
	return list, others
}
