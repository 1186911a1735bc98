package main

import (
	"fmt"
	"math"
	"time"
)

// The store is down for some seconds, while clients hand in jobs at a steady rate to a
// queue whose advice takes over half a second. A lasting task fails once, as they may.
func init() {
	const (
		slowPath  = "/pule252/"
		decide    = 520 * time.Millisecond
		each      = 7400 * time.Microsecond
		tasks     = 6
		taskMs    = 300
		down      = 4 * time.Second
		failAfter = time.Second
		flowAfter = 26 * time.Second
		// A lasting task has to run again 6 s after its last run. Spans of 3 s count if they and
		// the 4 s before them are calm.
		restart = 6 * time.Second
		calm    = 4 * time.Second
		// margin covers the delay of the timers.
		margin = 500 * time.Millisecond
	)
	// The rate of the jobs rises until it is steady.
	rates := []struct {
		perSecond int
		lasts     time.Duration
	}{{2, 3 * time.Second}, {5, 3 * time.Second}, {8, 3 * time.Second}, {12, 8 * time.Second}}
	scenarios["silence"] = scenario{
		vms: 9, workers: 48, capacity: size{CPU: 64000, MemMB: 131072},
		config: func(cfg *config) {
			slow := cfg.Routes[0]
			slow.Name, slow.PathPrefix = "r-nax7u27", slowPath
			slow.Advice = &advice{DecideMs: 520, EachMs: 7.4, ValidMs: 2000}
			cfg.Routes = append(cfg.Routes, slow)
		},
		prepare: func(c *cell) {
			c.fleet.adviceTime = func(workers int) time.Duration { return decide + time.Duration(workers)*each }
		},
		play: func(c *cell, cl *clients, trouble bool) error {
			lasting := newJob(step{Count: 1, CPU: 2000, MemMB: 512, EstimatedMs: math.MaxInt32, LongRunning: true})
			lasting.path = slowPath
			if !cl.submit(lasting) {
				return fmt.Errorf("the lasting job was not accepted")
			}
			if c.awaitRun(lasting.id, 5*time.Second) == nil {
				return fmt.Errorf("the lasting job has not started")
			}
			flow := func(perSecond int, lasts time.Duration) {
				for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
					j := newJob(step{Count: tasks, CPU: 500, MemMB: 256, EstimatedMs: taskMs, PerWorker: 1})
					j.path = slowPath
					go cl.submit(j)
				}
			}
			for _, r := range rates {
				flow(r.perSecond, r.lasts)
			}
			began := time.Now()
			if trouble {
				c.rec.note("the store is down")
				c.store.silent.Store(true)
				time.AfterFunc(down, func() {
					c.store.silent.Store(false)
					c.rec.note("the store is back")
				})
			}
			time.AfterFunc(failAfter, func() { c.fleet.fail(lasting.id) })
			steady := rates[len(rates)-1]
			done := make(chan struct{})
			go func() {
				flow(steady.perSecond, flowAfter)
				close(done)
			}()
			watchFrom := began.Add(max(failAfter+restart, down+calm) + margin)
			time.Sleep(time.Until(watchFrom))
			cl.watchLasting(lasting, done)
			c.rec.note("end of the traffic")
			if state := cl.awaitState(lasting, time.Second, "running"); state != "running" {
				c.rec.note("the lasting job is %q", state)
			}
			if c.awaitRun(lasting.id, 10*time.Second) == nil {
				c.rec.note("the lasting job does not run after the traffic either")
			}
			return nil
		},
	}
}

// watchLasting looks for 3 s on end without a run of a lasting job of one task, until done is
// closed.
func (cl *clients) watchLasting(j *job, done <-chan struct{}) {
	last, reported := time.Now(), false
	for {
		select {
		case <-done:
			return
		case <-time.After(idlePoll):
		}
		running, used := cl.running()
		if running[j.id] || used >= 0.5 {
			last = time.Now()
		}
		if idle := time.Since(last); idle >= idleTime && !reported {
			reported = true
			cl.c.rec.breach("LOST: the task of the lasting job %s has not been running for %.1f s, with %.0f %% of the service's capacity in use", j.id, idle.Seconds(), 100*used)
		}
	}
}

// fail ends the runs of a job by their own fault.
func (f *fleet) fail(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, r := range w.sorted() {
			if w.up && jobOf(r.key.task) == id {
				w.end(r, "failed")
			}
		}
	}
}
