package main

import (
	"fmt"
	"strings"
	"time"
)

// A new configuration drops a route that has an accepted job.
func init() {
	const (
		firstTime = 4 * time.Second
		dropAfter = time.Second
		otherPath = "/pule252/"
	)
	scenarios["route"] = scenario{
		vms: 3, workers: 8, capacity: size{CPU: 64000, MemMB: 131072},
		config: func(cfg *config) {
			dropped := cfg.Routes[0]
			dropped.Name, dropped.PathPrefix = "r-nax7u27", otherPath
			dropped.Advice = &advice{DecideMs: 12, EachMs: 0.17, ValidMs: 2000}
			cfg.Routes = append(cfg.Routes, dropped)
		},
		play: func(c *cell, cl *clients, trouble bool) error {
			j := newJob(step{Count: 1, CPU: 2000, MemMB: 512, EstimatedMs: int(firstTime.Milliseconds())}, step{Count: 2, CPU: 2000, MemMB: 512, EstimatedMs: 1000, After: []int{0}})
			j.path = otherPath
			c.fleet.mu.Lock()
			c.fleet.needsTicket = func(task string) bool { return strings.HasPrefix(task, j.id+".") }
			c.fleet.mu.Unlock()
			if !cl.submit(j) {
				return fmt.Errorf("the job was not accepted")
			}
			if c.awaitRun(j.id, 5*time.Second) == nil {
				return fmt.Errorf("the job has not started")
			}
			time.Sleep(dropAfter)
			if trouble {
				next := c.config
				next.Version += 3
				next.Routes = next.Routes[:1]
				c.publish(next)
			}
			time.Sleep(firstTime)
			c.rec.note("end of the traffic")
			time.Sleep(finishTime)
			idle := true
			for began := time.Now(); time.Since(began) < idleTime; time.Sleep(idlePoll) {
				running, _ := cl.running()
				idle = idle && !running[j.id]
			}
			done, total := c.fleet.progress(j)
			if idle && done < total {
				c.rec.breach("LOST: job %s, accepted %.1f s ago, had nothing running for %v; %d of its %d tasks have ended done", j.id, time.Since(j.acceptedAt).Seconds(), idleTime, done, total)
			}
			return nil
		},
	}
}
