package main

import (
	"sync/atomic"
	"time"
)

// The path between one of five workers and the leading entry VM loses packets for a few seconds,
// again and again, each time that of the worker which has most to do.
func init() {
	const (
		perSecond = 5
		tasks     = 24
		taskMs    = 80
		before    = 3 * time.Second
		lossy     = 5 * time.Second
		pause     = time.Second
		periods   = 12
		lastJobs  = 10
		lastPause = 300 * time.Millisecond
	)
	var victim atomic.Pointer[worker]
	scenarios["lossy"] = scenario{
		vms: 4, workers: 5, capacity: size{CPU: 64000, MemMB: 131072},
		prepare: func(c *cell) {
			c.fleet.net.decide = func(w *worker, _ string, _ []byte) fate {
				if victim.Load() != w {
					return fate{}
				}
				return fate{delay: lossDelay(), answerDelay: lossDelay()}
			}
		},
		play: func(c *cell, cl *clients, trouble bool) error {
			submit := func() {
				cl.submit(newJob(step{Count: tasks, CPU: 1000, MemMB: 256, EstimatedMs: taskMs}))
			}
			flow := func(lasts time.Duration) {
				for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(time.Second / perSecond) {
					go submit()
				}
			}
			c.fleet.busiest()
			flow(before)
			for range periods {
				w := c.fleet.busiest()
				if trouble && w != nil {
					victim.Store(w)
					c.rec.note("the path to %s loses three packets in ten", w.id)
				}
				flow(lossy)
				victim.Store(nil)
				c.rec.note("no path loses packets")
				flow(pause)
			}
			for range lastJobs {
				submit()
				time.Sleep(lastPause)
			}
			c.rec.note("end of the traffic")
			cl.checkFinish()
			return nil
		},
	}
}

// busiest returns the worker that has started most tasks since the last call; nil if none has.
func (f *fleet) busiest() *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var busiest *worker
	most := 0
	for _, w := range f.workers {
		if w.started > most {
			busiest, most = w, w.started
		}
		w.started = 0
	}
	return busiest
}
