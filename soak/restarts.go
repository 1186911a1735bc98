package main

import (
	"math/rand/v2"
	"time"
)

// restarts are faults in which workers start again under their ids. A site ends with one of them only if
// it is named.
var restarts = []fault{
	{"workers reboot, leader dies, workers cut off", func(c *cell, r *rand.Rand) {
		chosen := c.rebootWorkers(r)
		time.Sleep(beforeDeath)
		killLeaders(c, r, 1, beforeCut)
		end := c.beginFault(loseAll, func(_ *entryVM, id string) bool { return chosen[id] })
		time.Sleep(cutLength)
		end()
	}},
}

const (
	// Of rebootShare workers one starts again.
	rebootShare = 3
	// The leader dies beforeDeath after the workers have started again. They are cut off beforeCut after
	// its successor has begun, for cutLength.
	beforeDeath = 1400 * time.Millisecond
	beforeCut   = 600 * time.Millisecond
	cutLength   = 9 * time.Second
)

// rebootWorkers restarts some workers and returns their ids.
func (c *cell) rebootWorkers(r *rand.Rand) map[string]bool {
	chosen := map[string]bool{}
	for i := range len(c.workers) {
		if id := workerName(i); r.IntN(rebootShare) == 0 {
			chosen[id] = true
			c.fleet.Worker(id).Reboot()
		}
	}
	return chosen
}
