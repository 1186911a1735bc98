package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

type (
	// fault is something that injectFaults does to a part of the deployment.
	fault struct {
		name string
		// inject returns once the fault is over.
		inject func(c *cell, r *rand.Rand)
	}
)

// faults are injected in random order and overlap. Faults of processes lock the
// entry VM, so that two never signal the same process at once.
var faults = []fault{
	{"kill", func(c *cell, r *rand.Rand) { restartEntry(c, r, syscall.SIGKILL) }},
	{"stop", func(c *cell, r *rand.Rand) { restartEntry(c, r, syscall.SIGTERM) }},
	{"pause", pauseEntry},
	{"kill all entries", killAllEntries},
	{"store unresponsive for one entry", func(c *cell, r *rand.Rand) { withStoreFault(c, r, loseAll) }},
	{"store responses lost for one entry", func(c *cell, r *rand.Rand) { withStoreFault(c, r, loseResponses) }},
	{"store slow for one entry", func(c *cell, r *rand.Rand) { withStoreFault(c, r, slowDown) }},
	{"store connections reset for one entry", func(c *cell, r *rand.Rand) { withStoreFault(c, r, resetOnly) }},
	{"store unresponsive", storeOutage(func(c *cell, on bool) { c.cellStore.SetSilent(on) })},
	{"store unavailable", storeOutage(func(c *cell, on bool) { c.cellStore.SetUnavailable(on) })},
	{"configuration unavailable", storeOutage(func(c *cell, on bool) { c.configStore.SetUnavailable(on) })},
	{"configuration unresponsive", storeOutage(func(c *cell, on bool) { c.configStore.SetSilent(on) })},
	{"store append responses lost", func(c *cell, r *rand.Rand) { c.cellStore.DropResponses(1 + r.IntN(5)) }},
	{"store history trimmed", func(c *cell, _ *rand.Rand) { c.cellStore.Trim() }},
	{"worker unresponsive", func(c *cell, r *rand.Rand) { withWorkerFault(c, r, loseAll) }},
	{"worker connections reset", func(c *cell, r *rand.Rand) { withWorkerFault(c, r, resetOnly) }},
	{"worker rebooted", func(c *cell, r *rand.Rand) { c.fleet.Worker(randomWorker(c, r)).Reboot() }},
	{"worker crashed", func(c *cell, r *rand.Rand) { c.fleet.Worker(randomWorker(c, r)).Crash() }},
	{"worker shrunk", shrinkWorker},
	{"worker start responses lost", func(c *cell, r *rand.Rand) { c.fleet.Worker(randomWorker(c, r)).DropResponses(2) }},
	{"odd entries of workers", writeOddEntries},
	{"odd record", writeOddRecord},
	{"worker starts delayed", func(c *cell, r *rand.Rand) { c.fleet.Worker(randomWorker(c, r)).DelayStarts(2, maxDelayedStart) }},
}

// maxDelayedStart is how late a worker executes a delayed start.
const maxDelayedStart = 3 * time.Second

// sleepFaultDuration sleeps for the random duration of a fault, 0.5 to 4.5 s.
func sleepFaultDuration(r *rand.Rand) {
	time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
}

func randomWorker(c *cell, r *rand.Rand) string {
	return workerName(r.IntN(len(c.workers)))
}

func workerName(i int) string {
	return fmt.Sprintf("w%d", i)
}

func restartEntry(c *cell, r *rand.Rand, s syscall.Signal) {
	e, unlock := c.lockEntry(r)
	defer unlock()
	if err := e.restart(c.program, s, time.Duration(r.IntN(1500))*time.Millisecond); err != nil {
		panic(err)
	}
}

func pauseEntry(c *cell, r *rand.Rand) {
	e, unlock := c.lockEntry(r)
	defer unlock()
	e.pause(func() { sleepFaultDuration(r) })
}

// pause suspends the process while fn runs.
func (e *entryVM) pause(fn func()) {
	e.sendSignal(syscall.SIGSTOP)
	fn()
	e.sendSignal(syscall.SIGCONT)
}

func killAllEntries(c *cell, r *rand.Rand) {
	for i := range c.entries {
		c.faultLocks[i].Lock()
	}
	for _, e := range c.entries {
		e.sendSignal(syscall.SIGKILL)
	}
	for i, e := range c.entries {
		end := c.disruptions.begin(e.name)
		if err := e.restart(c.program, syscall.SIGKILL, time.Duration(r.IntN(400))*time.Millisecond); err != nil {
			panic(err)
		}
		end()
		c.faultLocks[i].Unlock()
	}
}

// lockEntry picks a random entry VM and locks it against other process faults.
// It returns the entry VM and its unlock function.
func (c *cell) lockEntry(r *rand.Rand) (*entryVM, func()) {
	return c.lock(r.IntN(len(c.entries)))
}

func (c *cell) lock(i int) (*entryVM, func()) {
	c.faultLocks[i].Lock()
	end := c.disruptions.begin(c.entries[i].name)
	return c.entries[i], func() {
		end()
		c.faultLocks[i].Unlock()
	}
}

// storeOutage returns a fault that disturbs the store for a while.
func storeOutage(set func(c *cell, on bool)) func(c *cell, r *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		defer c.disruptions.begin(storeName)()
		set(c, true)
		sleepFaultDuration(r)
		set(c, false)
	}
}

// withStoreFault applies a fault to the link between a random entry VM and the store.
func withStoreFault(c *cell, r *rand.Rand, f linkFault) {
	end := c.beginStoreFault(c.entries[r.IntN(len(c.entries))], f)
	sleepFaultDuration(r)
	end()
}

// shrinkWorker takes part of a worker's capacity away for a while.
func shrinkWorker(c *cell, r *rand.Rand) {
	w := c.fleet.Worker(randomWorker(c, r))
	smaller := c.workerCapacity()
	smaller.MilliCPU = smaller.MilliCPU * int64(1+r.IntN(3)) / 4
	w.SetCapacity(smaller)
	sleepFaultDuration(r)
	w.SetCapacity(c.workerCapacity())
}

// withWorkerFault applies a fault to the links between a random worker and all entry VMs.
func withWorkerFault(c *cell, r *rand.Rand, f linkFault) {
	id := randomWorker(c, r)
	end := c.beginFault(f, func(_ *entryVM, worker string) bool { return worker == id })
	sleepFaultDuration(r)
	end()
}
