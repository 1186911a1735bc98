package main

import (
	"fmt"
	"time"
)

// Workers crash and return, three times the one on which a long task is at work.
func init() {
	const (
		crashes  = 3
		work     = 2 * time.Second
		downTime = 4 * time.Second
		taskTime = 8 * time.Second
	)
	scenarios["crashes"] = scenario{
		vms: 3, workers: 8, capacity: size{CPU: 64000, MemMB: 131072},
		play: func(c *cell, cl *clients, trouble bool) error {
			j := newJob(step{Count: 1, CPU: 18000, MemMB: 4096, EstimatedMs: int(taskTime.Milliseconds())})
			if !cl.submit(j) {
				return fmt.Errorf("the job was not accepted")
			}
			for range crashes {
				on := c.awaitRun(j.id, 15*time.Second)
				if on == nil {
					return fmt.Errorf("the job does not run")
				}
				time.Sleep(work)
				if !trouble {
					break
				}
				on.crash()
				time.Sleep(downTime)
				if err := on.start(); err != nil {
					return err
				}
				time.Sleep(time.Second)
			}
			state := cl.awaitState(j, 40*time.Second, "completed", "failed", "cancelled")
			if state == "failed" || state == "cancelled" {
				c.rec.breach("LOST: job %s is shown as %q; nobody has cancelled it, and none of its runs has ended failed", j.id, state)
			}
			return nil
		},
	}
}
