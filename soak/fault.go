package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

type (
	// fault is one kind of trouble. It returns once it is over.
	fault struct {
		name   string
		strike func(c *cell, r *rand.Rand)
	}
)

// faults come in any order, overlapping. Those of processes take one entry VM
// at a time, so that two never signal the same process at once.
var faults = []fault{
	{"kill", func(c *cell, r *rand.Rand) { restartOne(c, r, syscall.SIGKILL) }},
	{"stop", func(c *cell, r *rand.Rand) { restartOne(c, r, syscall.SIGTERM) }},
	{"pause", pauseOne},
	{"kill all", killAll},
	{"store silent for one", func(c *cell, r *rand.Rand) { onStore(c, r, func(p *proxy) { p.silent.Store(true) }) }},
	{"store deaf for one", func(c *cell, r *rand.Rand) { onStore(c, r, func(p *proxy) { p.deaf.Store(true) }) }},
	{"store slow for one", func(c *cell, r *rand.Rand) {
		onStore(c, r, func(p *proxy) { p.delay.Store(int64(150 * time.Millisecond)) })
	}},
	{"store resets", func(c *cell, r *rand.Rand) { onStore(c, r, (*proxy).reset) }},
	{"store silent", func(c *cell, r *rand.Rand) { c.own.SetSilent(true); span(r); c.own.SetSilent(false) }},
	{"store away", func(c *cell, r *rand.Rand) { c.own.SetUnavailable(true); span(r); c.own.SetUnavailable(false) }},
	{"store loses answers", func(c *cell, r *rand.Rand) { c.own.DropResponses(1 + r.IntN(5)) }},
	{"store forgets", func(c *cell, _ *rand.Rand) { c.own.Trim() }},
	{"worker silent", func(c *cell, r *rand.Rand) { onWorker(c, r, func(p *proxy) { p.silent.Store(true) }) }},
	{"worker resets", func(c *cell, r *rand.Rand) { onWorker(c, r, (*proxy).reset) }},
	{"worker reborn", func(c *cell, r *rand.Rand) { c.fleet.Worker(workerID(c, r)).Reboot() }},
	{"worker loses answers", func(c *cell, r *rand.Rand) { c.fleet.Worker(workerID(c, r)).DropResponses(2) }},
	{"worker late", func(c *cell, r *rand.Rand) { c.fleet.Worker(workerID(c, r)).DelayStarts(2, 3*time.Second) }},
}

// span waits for as long as a trouble lasts.
func span(r *rand.Rand) {
	time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
}

func workerID(c *cell, r *rand.Rand) string {
	return fmt.Sprintf("w%d", r.IntN(len(c.workers)))
}

func restartOne(c *cell, r *rand.Rand, s syscall.Signal) {
	e, free := c.take(r)
	defer free()
	if err := e.restart(c.program, s, time.Duration(r.IntN(1500))*time.Millisecond); err != nil {
		panic(err)
	}
}

func pauseOne(c *cell, r *rand.Rand) {
	e, free := c.take(r)
	defer free()
	e.signal(syscall.SIGSTOP)
	span(r)
	e.signal(syscall.SIGCONT)
}

func killAll(c *cell, r *rand.Rand) {
	for i := range c.entries {
		c.busy[i].Lock()
	}
	for _, e := range c.entries {
		e.signal(syscall.SIGKILL)
	}
	for i, e := range c.entries {
		if err := e.restart(c.program, syscall.SIGKILL, time.Duration(r.IntN(400))*time.Millisecond); err != nil {
			panic(err)
		}
		c.busy[i].Unlock()
	}
}

// take keeps one entry VM from other faults of processes.
func (c *cell) take(r *rand.Rand) (*entry, func()) {
	i := r.IntN(len(c.entries))
	c.busy[i].Lock()
	return c.entries[i], c.busy[i].Unlock
}

func onStore(c *cell, r *rand.Rand, do func(p *proxy)) {
	p := c.entries[r.IntN(len(c.entries))].store
	do(p)
	span(r)
	p.heal()
	p.reset()
}

func onWorker(c *cell, r *rand.Rand, do func(p *proxy)) {
	p := c.workers[workerID(c, r)]
	do(p)
	span(r)
	p.heal()
	p.reset()
}
