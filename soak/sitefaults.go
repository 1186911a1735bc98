package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// siteFaults are the faults of a soak of a site. Most of them change the leader, or lose the
// answers to starts.
var siteFaults = []fault{
	{"leader killed", func(c *cell, r *rand.Rand) { restartLeader(c, r, syscall.SIGKILL) }},
	{"leader stopped", func(c *cell, r *rand.Rand) { restartLeader(c, r, syscall.SIGTERM) }},
	{"leader paused", pauseLeader},
	{"store unresponsive for the leader", withLeaderStoreFault(loseAll)},
	{"store connections of the leader reset", withLeaderStoreFault(resetOnly)},
	{"store unavailable", storeOutage(func(c *cell, on bool) { c.cellStore.SetUnavailable(on) })},
	{"store unresponsive", storeOutage(func(c *cell, on bool) { c.cellStore.SetSilent(on) })},
	{"kill", func(c *cell, r *rand.Rand) { restartEntry(c, r, syscall.SIGKILL) }},
	{"kill all entries", killAllEntries},
	{"start answers reset", resetStarts},
	{"worker start responses lost", func(c *cell, r *rand.Rand) { c.fleet.Worker(randomWorker(c, r)).DropResponses(2) }},
	{"worker unresponsive", func(c *cell, r *rand.Rand) { withWorkerFault(c, r, loseAll) }},
	{"worker rebooted", func(c *cell, r *rand.Rand) { c.fleet.Worker(randomWorker(c, r)).Reboot() }},
	{"advisor silent", silenceAdvisor},
}

const (
	// Half of the workers break the connections of maxResetStarts starts at most.
	resetShare     = 2
	maxResetStarts = 3
	// storeLoss is how long the store is away at the end.
	storeLoss = 9500 * time.Millisecond
	// A site has faults for faultBurst, and then none for calmLength.
	faultBurst = 6 * time.Second
	calmLength = 12 * time.Second
)

// closings are the faults with which a soak of a site may end.
var closings = []fault{
	{"kill all entries", killAllEntries},
	{"store unavailable, then all entries killed", func(c *cell, r *rand.Rand) {
		c.cellStore.SetUnavailable(true)
		time.Sleep(storeLoss)
		c.cellStore.SetUnavailable(false)
		killAllEntries(c, r)
	}},
	{"all entries off", turnOffEntries},
}

// injectClosing injects the last fault: the one of that name, or a random one of closings. Later
// starts get their answers.
func (c *cell) injectClosing(name string, r *rand.Rand) error {
	f, err := chooseClosing(name, r)
	if err != nil {
		return err
	}
	fmt.Printf("the last fault: %s\n", f.name)
	defer c.disruptions.begin(faultName)()
	f.inject(c, r)
	for id := range c.workers {
		c.fleet.Worker(id).ResetStarts(0)
		c.fleet.Worker(id).DropResponses(0)
	}
	return nil
}

func chooseClosing(name string, r *rand.Rand) (fault, error) {
	if name == "" {
		return closings[r.IntN(len(closings))], nil
	}
	for _, f := range slices.Concat(closings, deaths, restarts) {
		if f.name == name {
			return f, nil
		}
	}
	return fault{}, fmt.Errorf("there is no last fault %q", name)
}

// turnOffEntries ends all entry VMs for so long that the leases of all runs expire.
func turnOffEntries(c *cell, _ *rand.Rand) {
	for i, e := range c.entries {
		c.faultLocks[i].Lock()
		e.sendSignal(syscall.SIGKILL)
		_ = e.process().Wait()
	}
	time.Sleep(c.bounds.MaxLease)
	for i, e := range c.entries {
		if err := e.start(c.program); err != nil {
			panic(err)
		}
		c.faultLocks[i].Unlock()
	}
}

// faults returns the faults of the soak. A longer list would change what a seed plays, so that
// deaths are among them only if the options say so.
func (c *cell) faults(opt *options) []fault {
	if c.site != nil && opt.Deaths {
		return append(slices.Clone(siteFaults), deaths...)
	}
	if c.site != nil {
		return siteFaults
	}
	return faults
}

func restartLeader(c *cell, r *rand.Rand, s syscall.Signal) {
	e, unlock := c.lock(c.leader())
	defer unlock()
	if err := e.restart(c.program, s, time.Duration(r.IntN(1500))*time.Millisecond); err != nil {
		panic(err)
	}
}

func pauseLeader(c *cell, r *rand.Rand) {
	e, unlock := c.lock(c.leader())
	defer unlock()
	e.pause(func() { sleepFaultDuration(r) })
}

// withLeaderStoreFault returns a fault of the link between the leader and the store.
func withLeaderStoreFault(f linkFault) func(c *cell, r *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		end := c.beginStoreFault(c.entries[c.leader()], f)
		sleepFaultDuration(r)
		end()
	}
}

// resetStarts makes some workers begin runs and reset the connections in place of an answer.
func resetStarts(c *cell, r *rand.Rand) {
	for i := range len(c.workers) {
		if r.IntN(resetShare) == 0 {
			c.fleet.Worker(workerName(i)).ResetStarts(1 + r.IntN(maxResetStarts))
		}
	}
}

func silenceAdvisor(c *cell, r *rand.Rand) {
	c.advisor.SetSilent(true)
	sleepFaultDuration(r)
	c.advisor.SetSilent(false)
}
