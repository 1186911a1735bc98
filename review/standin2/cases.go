package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// finishTime is how long after the end of the traffic jobs are asked for (finish_s), and
	// idleTime how long a job may then have nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// lastingTime is how long after its last run a task that lasts may have none.
	lastingTime = 6 * time.Second
	// waitingTime is visible_ms and the 2 s that a number of waiting jobs may be old.
	waitingTime = 5 * time.Second
	// disruptionTime is how long the workers of the deployment hang or are cut off.
	disruptionTime = 5500 * time.Millisecond
	// lateShare is the share of the orders that are carried out late.
	lateShare = 0.5
)

var (
	cases = []testCase{
		{"lasting-gang", 4, size{CPU: 16000, MemMB: 32768}, size{CPU: 100000}, playLastingGang},
		{"cap", 4, size{CPU: 16000, MemMB: 32768, GPU: 2}, size{CPU: 40000, GPU: 2}, playCap},
		{"full", 6, size{CPU: 16000, MemMB: 32768}, size{CPU: 100000}, playFull},
		{"late-restart", 7, size{CPU: 16000, MemMB: 32768}, size{}, playLateRestart},
		{"waiting", 10, size{CPU: 16000, MemMB: 32768}, size{CPU: 100000}, playWaiting},
	}

	errNotAccepted = errors.New("a job was not accepted")
)

// playLastingGang lets the tasks of a gang that lasts end. They must be restarted however they end.
func playLastingGang(c *cell) (string, error) {
	j := c.submit(1, large, step{Count: 2, CPU: 4000, MemMB: 256, Gang: true, LongRunning: true})
	if j.acceptedAt.IsZero() {
		return "", errNotAccepted
	}
	time.Sleep(4 * time.Second)
	if n := c.active(j); n != 2 {
		return "", fmt.Errorf("%d of 2 tasks run", n)
	}
	if c.trouble {
		c.log("both tasks end with done")
		c.endAll(j, "done")
	}
	time.Sleep(lastingTime)
	for end := time.Now().Add(idleTime + time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		n := c.active(j)
		c.log("state %s, %d tasks run", c.state(c.vms[0], j), n)
		if n > 0 {
			return "", nil
		}
	}
	return fmt.Sprintf("LOST: no task of a job that lasts runs for 3 s, from 6 s after the last run on, and it is shown as %s", c.state(c.vms[0], j)), nil
}

// playCap lets a tenant with a task that lasts hand in a job that needs all of its cap of gpu, after
// the operator has lowered that.
func playCap(c *cell) (string, error) {
	lasting := c.submit(1, large, step{Count: 1, CPU: 500, MemMB: 64, LongRunning: true})
	if lasting.acceptedAt.IsZero() {
		return "", errNotAccepted
	}
	time.Sleep(2 * time.Second)
	if c.trouble {
		c.publish(2, size{CPU: 40000, GPU: 1})
	}
	time.Sleep(4 * time.Second)
	return c.judgeLast(c.submit(2, large, step{Count: 1, CPU: 1000, MemMB: 256, GPU: 1, EstimatedMs: 1000, duration: time.Second}))
}

// judgeLast waits for the last job of the traffic: once finishTime has passed it must have something
// running within idleTime, as there is capacity for it.
func (c *cell) judgeLast(j *clientJob) (string, error) {
	if j.acceptedAt.IsZero() {
		return "", errNotAccepted
	}
	if c.awaitState(j, "completed", finishTime) {
		return "", nil
	}
	for end := time.Now().Add(idleTime + time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if c.active(j) > 0 || c.state(c.vms[0], j) == "completed" {
			return "", nil
		}
	}
	return fmt.Sprintf("LOST: %v after the end of the traffic the last job has nothing running for %v; it is shown as %s and has had %d runs",
		finishTime, idleTime, c.state(c.vms[0], j), len(c.runs(j))), nil
}

// playFull cuts each worker off once while a task ends there.
func playFull(c *cell) (string, error) {
	workers := c.fleet.workers
	for i, w := range workers {
		j := c.submit(i, large, step{Count: len(workers), CPU: 1000, MemMB: 64, EstimatedMs: 1500, Apart: 1, duration: 1500 * time.Millisecond})
		if j.acceptedAt.IsZero() {
			return "", errNotAccepted
		}
		time.Sleep(700 * time.Millisecond)
		if c.trouble {
			c.log("worker %s is cut off", w.id)
			w.cutOff()
			time.Sleep(disruptionTime)
			if err := w.listen(); err != nil {
				return "", err
			}
			c.log("worker %s is reached again", w.id)
		}
		if !c.awaitState(j, "completed", 10*time.Second) {
			return "", fmt.Errorf("job %s is %s", j.id, c.state(c.vms[0], j))
		}
	}
	c.log("jobs of many short tasks")
	for i := range 50 {
		c.submit(100+i, quick, step{Count: 60, CPU: 1000, MemMB: 64, EstimatedMs: 100, duration: 100 * time.Millisecond})
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	c.log("the last job")
	return c.judgeLast(c.submit(1000, quick, step{Count: 1, CPU: 1000, MemMB: 64, EstimatedMs: 500, duration: 500 * time.Millisecond}))
}

// playWaiting lets one worker of ten hang, and asks for the number of waiting jobs once those that
// were decided for it have waited for waitingTime.
func playWaiting(c *cell) (string, error) {
	w := c.fleet.workers[0]
	if c.trouble {
		w.setHanging(true)
		time.AfterFunc(disruptionTime, func() { w.setHanging(false) })
		c.log("worker %s hangs", w.id)
	}
	var jobs []*clientJob
	for i := range 6 {
		j := c.submit(i, quick, step{Count: 1, CPU: 6000, MemMB: 256, EstimatedMs: 1000, duration: time.Second})
		if j.acceptedAt.IsZero() {
			return "", errNotAccepted
		}
		jobs = append(jobs, j)
	}
	broken := ""
	for end := time.Now().Add(waitingTime + 3*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		asked := time.Now()
		n := c.waiting(c.vms[1], quick)
		unbegun := 0
		for _, j := range jobs {
			if len(c.runs(j)) == 0 && asked.Sub(j.acceptedAt) > waitingTime {
				unbegun++
			}
		}
		if n >= 0 && 2*n < unbegun {
			broken = fmt.Sprintf("MIXED: %d jobs are said to wait; %d that were accepted over %v before have not begun", n, unbegun, waitingTime)
			c.log("%s", broken)
		}
	}
	return broken, nil
}

// playLateRestart lets the workers leave a share of their orders unanswered and carry them out late,
// and then the busiest of them crash and start again under its id.
func playLateRestart(c *cell) (string, error) {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				go c.submit(n, quick, step{Count: 10, CPU: 500, MemMB: 64, EstimatedMs: 100, duration: 100 * time.Millisecond})
			}
		}
	}()
	time.Sleep(2 * time.Second)
	for round := range 5 {
		if c.trouble {
			c.log("round %d: orders are carried out late", round)
			c.fleet.setLate(lateShare)
		}
		time.Sleep(disruptionTime)
		c.fleet.setLate(0)
		if w := c.fleet.busiest(); c.trouble {
			c.log("worker %s crashes and starts again", w.id)
			w.crash()
			time.Sleep(500 * time.Millisecond)
			if err := w.begin(); err != nil {
				return "", err
			}
		}
		time.Sleep(8 * time.Second)
		c.fleet.mu.Lock()
		twice := c.fleet.twice
		c.fleet.mu.Unlock()
		if twice != "" {
			return twice, nil
		}
	}
	return "", nil
}

// setLate sets the share of the orders that the workers carry out late.
func (f *fleet) setLate(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.lateShare = share
	}
}

// busiest returns the worker that has begun most runs.
func (f *fleet) busiest() *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	begun := map[*worker]int{}
	best := f.workers[0]
	for _, e := range f.history {
		begun[e.w]++
		if begun[e.w] > begun[best] {
			best = e.w
		}
	}
	return best
}
