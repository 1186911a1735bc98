package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// deaths are faults of a site in which workers end for good, or one leader after the other dies.
var deaths = []fault{
	{"workers end", endWorkers},
	{"leaders die", func(c *cell, r *rand.Rand) { killLeaders(c, r, leadersInSeries, shortTerm) }},
	{"workers end and leaders die", func(c *cell, r *rand.Rand) {
		endWorkers(c, r)
		killLeaders(c, r, leadersWithWorkers, 0)
	}},
	{"workers end and leaders die in series", func(c *cell, r *rand.Rand) {
		endWorkers(c, r)
		killLeaders(c, r, leadersInSeries, shortTerm)
	}},
	{"leader dies and workers end", func(c *cell, r *rand.Rand) {
		killLeaders(c, r, 1, shortTerm)
		endWorkers(c, r)
	}},
}

const (
	// Of endShare workers one ends. Those that are left are more than half.
	endShare    = 8
	maxEndShare = 3
	// A leader and its successor die with workers, leadersInSeries within seconds, each after a
	// shortTerm.
	leadersWithWorkers = 2
	leadersInSeries    = 4
	shortTerm          = 2500 * time.Millisecond
	// maxElection is how long killLeaders waits for the next leader.
	maxElection  = 4 * time.Second
	electionPoll = 20 * time.Millisecond
)

// endWorkers ends some workers for good, with all that runs there: they leave the list and answer
// no call. None ends once a maxEndShare-th of all have.
func endWorkers(c *cell, r *rand.Rand) {
	for i := range len(c.workers) {
		if r.IntN(endShare) == 0 && c.noteEnd(workerName(i)) {
			c.fleet.Worker(workerName(i)).Terminate()
		}
	}
}

// noteEnd notes that a worker is to end, unless too many have ended.
func (c *cell) noteEnd(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ended) >= len(c.workers)/maxEndShare {
		return false
	}
	c.ended[id] = true
	return true
}

// hasEnded reports whether the worker has ended for good.
func (c *cell) hasEnded(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[id]
}

// killLeaders kills n leaders one after the other, each once it has led for a term. Their
// processes start again soon after.
func killLeaders(c *cell, r *rand.Rand, n int, term time.Duration) {
	var restarts sync.WaitGroup
	for range n {
		i := c.leader()
		e, unlock := c.lock(i)
		pause := time.Duration(r.IntN(1500)) * time.Millisecond
		restarts.Go(func() {
			defer unlock()
			if err := e.restart(c.program, syscall.SIGKILL, pause); err != nil {
				panic(err)
			}
		})
		c.awaitOtherLeader(i)
		time.Sleep(term)
	}
	restarts.Wait()
}

// awaitOtherLeader waits until workers have heard of a leader other than that entry VM.
func (c *cell) awaitOtherLeader(i int) {
	for began := time.Now(); c.leader() == i && time.Since(began) < maxElection; {
		time.Sleep(electionPoll)
	}
}
