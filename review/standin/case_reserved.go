package main

import (
	"fmt"
	"math"
	"time"
)

// A tenant has a lasting job that uses three tenths of its limit, and hands in a gang that needs
// eight tenths, then a small job.
func init() {
	const (
		capCPU     = 100_000
		lastingCPU = 10_000
		gangCPU    = 10_000
		gangTasks  = 8
		smallCPU   = 1_000
		workMs     = 16_000
		pause      = 500 * time.Millisecond
		settle     = 3 * time.Second
	)
	scenarios["reserved"] = scenario{
		vms: 3, workers: 8, capacity: size{CPU: 64000, MemMB: 131072},
		config: func(cfg *config) { cfg.Tenants[0].Cap = size{CPU: capCPU, MemMB: 1_000_000} },
		play: func(c *cell, cl *clients, trouble bool) error {
			lasting := newJob(step{Count: 3, CPU: lastingCPU, MemMB: 512, EstimatedMs: math.MaxInt32, LongRunning: true})
			if !cl.submit(lasting) || c.awaitRun(lasting.id, 5*time.Second) == nil {
				return fmt.Errorf("the lasting job does not run")
			}
			time.Sleep(settle)
			if trouble {
				gang := newJob(step{Count: gangTasks, CPU: gangCPU, MemMB: 512, EstimatedMs: workMs, Gang: true})
				if !cl.submit(gang) {
					return fmt.Errorf("the gang was not accepted")
				}
				time.Sleep(pause)
			}
			small := newJob(step{Count: 2, CPU: smallCPU, MemMB: 256, EstimatedMs: workMs})
			if !cl.submit(small) {
				return fmt.Errorf("the small job was not accepted")
			}
			c.rec.note("end of the traffic")
			time.Sleep(finishTime)
			idle := true
			for began := time.Now(); time.Since(began) < idleTime; time.Sleep(idlePoll) {
				running, used := cl.running()
				idle = idle && !running[small.id] && used < 0.5
			}
			status, state := cl.ask(small)
			if done, total := c.fleet.progress(small); idle && done < total {
				c.rec.breach("LOST: job %s, accepted %.1f s ago, is %q (%d) and had nothing running for %v; %d of its %d tasks have ended done",
					small.id, time.Since(small.acceptedAt).Seconds(), state, status, idleTime, done, total)
			}
			return nil
		},
	}
}
