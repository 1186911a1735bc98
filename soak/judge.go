package main

import (
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/standin/fleet"
)

const (
	// cancelBound is how long after the acknowledgement of a job's cancelling an entry VM in
	// touch may start its tasks.
	cancelBound = 3 * time.Second
	// completedBound is the same after the job was shown as completed.
	completedBound = time.Second
	// limitOverage is the share by which a team may exceed its limit.
	limitOverage = 0.1
)

// settleTime returns the time without faults after which no task of a cancelled job runs.
func (c *cell) settleTime() time.Duration {
	return cancelBound + c.bounds.StopTime + c.bounds.Contact
}

// judgeStart is called when a worker starts a run.
func (c *cell) judgeStart(s fleet.Start) {
	c.operator.checkStart(s.Task, s.Worker)
	j := c.clientOf(s.Task.Job)
	if j == nil {
		return
	}
	c.checkLimit(j, s)
	if s.Late || !c.disruptions.inTouch(s.Sender) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if late := time.Since(j.completedAt); !j.completedAt.IsZero() && late > completedBound {
		c.violations.addf("%v run %d was started by %s %v after its job was shown as completed", s.Task, s.Run, s.Sender, late)
	}
	if late := time.Since(j.cancelledAt); !j.cancelledAt.IsZero() && late > cancelBound {
		c.violations.addf("%v run %d was started by %s %v after its job was cancelled", s.Task, s.Run, s.Sender, late)
	}
}

// checkLimit checks what runs of the limited team against its limit and one task more.
func (c *cell) checkLimit(j *jobClient, s fleet.Start) {
	if j.key != limitedKey {
		return
	}
	var use resource.Vector
	for _, t := range s.Running {
		if other := c.clientOf(t.Job); other != nil && other.key == limitedKey {
			size, _ := c.taskSize(t)
			use = use.Add(size)
		}
	}
	size, _ := c.taskSize(s.Task)
	if allowed := int64(float64(teamLimit.MilliCPU)*(1+limitOverage)) + size.MilliCPU; use.MilliCPU > allowed {
		c.violations.addf("%v run %d: its team uses %v of %v", s.Task, s.Run, use, teamLimit)
	}
}

// checkCancelled reports the tasks of cancelled jobs that still run.
func (c *cell) checkCancelled() {
	for _, t := range c.fleet.Running() {
		j := c.clientOf(t.Job)
		if j == nil {
			continue
		}
		j.mu.Lock()
		if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > c.settleTime() {
			c.violations.addf("%v still runs %v after its job was cancelled", t, time.Since(j.cancelledAt))
		}
		j.mu.Unlock()
	}
}
