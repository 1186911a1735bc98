package main

import "time"

const (
	// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running then.
	idleTime = 3 * time.Second
	idlePoll = 250 * time.Millisecond
)

// checkFinish looks, finish_s after the end of the traffic, for accepted jobs that have nothing
// running for 3 s on end although they are not done, while the cell is nearly empty.
func (cl *clients) checkFinish() {
	time.Sleep(finishTime)
	var open []*job
	for _, j := range cl.accepted() {
		status, state := cl.ask(j)
		cl.c.rec.note("GET %s: %d %s", j.id, status, state)
		if state != "completed" && state != "failed" && state != "cancelled" {
			open = append(open, j)
		}
		if status == 410 {
			cl.c.rec.breach("LOST: job %s, accepted %.1f s ago, is answered 410", j.id, time.Since(j.acceptedAt).Seconds())
		}
	}
	idle := map[*job]bool{}
	for _, j := range open {
		idle[j] = true
	}
	for began := time.Now(); time.Since(began) < idleTime; time.Sleep(idlePoll) {
		running, used := cl.running()
		for j := range idle {
			// All jobs of the cases fit twice into half of the capacity.
			if running[j.id] || used >= 0.5 {
				delete(idle, j)
			}
		}
	}
	for j := range idle {
		status, state := cl.ask(j)
		if state != "queued" && state != "running" {
			continue
		}
		done, total := cl.c.fleet.progress(j)
		cl.c.rec.breach("LOST: job %s, accepted %.1f s ago, is %q (%d) and had nothing running for %v; %d of its %d tasks have ended done",
			j.id, time.Since(j.acceptedAt).Seconds(), state, status, idleTime, done, total)
	}
}

func (cl *clients) accepted() []*job {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var list []*job
	for _, j := range cl.jobs {
		if j.accepted {
			list = append(list, j)
		}
	}
	return list
}

// running returns the jobs that have a task running, and the share of the capacity in use, in
// processor time.
func (cl *clients) running() (map[string]bool, float64) {
	f := cl.c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	jobs, used, total := map[string]bool{}, int64(0), int64(0)
	for _, w := range f.workers {
		total += w.capacity.CPU
		for key := range w.runs {
			if w.up {
				jobs[jobOf(key.task)] = true
				used += cl.cpu(key.task)
			}
		}
	}
	return jobs, float64(used) / float64(total)
}

// progress returns how many tasks of a job have ended done, and how many it has.
func (f *fleet) progress(j *job) (done, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range j.steps {
		total += s.Count
	}
	for task := range f.done {
		if jobOf(task) == j.id {
			done++
		}
	}
	return done, total
}
