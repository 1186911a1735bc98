package main

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// A start request gets no answer and is carried out seconds later; its repetition was answered
// meanwhile, and the worker has crashed and started again under its id.
func init() {
	const (
		late     = 6 * time.Second
		crashAt  = 1500 * time.Millisecond
		downTime = 1500 * time.Millisecond
		taskTime = 9 * time.Second
	)
	var target atomic.Pointer[string]
	var delayed atomic.Bool
	scenarios["reborn"] = scenario{
		vms: 3, workers: 8, capacity: size{CPU: 64000, MemMB: 131072},
		prepare: func(c *cell) {
			c.fleet.net.decide = func(w *worker, path string, body []byte) fate {
				var b startBody
				_ = json.Unmarshal(body, &b)
				id := target.Load()
				if path == "/api/run-start" && id != nil && jobOf(b.Task) == *id && !delayed.Swap(true) {
					c.rec.note("start %s run %d on %s gets no answer and is carried out %v later", b.Task, b.Run, w.id, late)
					return fate{late: late}
				}
				return fate{}
			}
		},
		play: func(c *cell, cl *clients, trouble bool) error {
			// A worker that has work already is preferred: the first of kind b.
			if other := newJob(step{Count: 1, CPU: 1000, MemMB: 100, EstimatedMs: 60000, Needs: "b"}); !cl.submit(other) {
				return fmt.Errorf("the other job was not accepted")
			}
			time.Sleep(200 * time.Millisecond)
			j := newJob(step{Count: 1, CPU: 18000, MemMB: 4096, EstimatedMs: int(taskTime.Milliseconds())})
			delayed.Store(!trouble)
			target.Store(&j.id)
			if !cl.submit(j) {
				return fmt.Errorf("the job was not accepted")
			}
			on := c.awaitRun(j.id, 5*time.Second)
			if on == nil {
				return fmt.Errorf("the job has not started")
			}
			if trouble {
				time.Sleep(crashAt)
				on.crash()
				time.Sleep(downTime)
				if err := on.start(); err != nil {
					return err
				}
			}
			state := cl.awaitState(j, 30*time.Second, "completed", "failed", "cancelled")
			c.rec.note("the job is %s", state)
			return nil
		},
	}
}
