package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxCut is the longest time for which links are cut, minCut the shortest.
	minCut = 2 * time.Second
	maxCut = 13 * time.Second
	// maxCutPause is the longest time between two cuts.
	maxCutPause = 8 * time.Second
)

// cuts disturb some of the links between entry VMs, workers and the store, and leave others
// as they are.
var cuts = []fault{
	{"data centre cut off", func(c *cell, r *rand.Rand) { cutDataCentre(c, r, c.dataCentreOf(r.IntN(dataCentres))) }},
	{"leader cut off with its neighbours", func(c *cell, r *rand.Rand) { cutDataCentre(c, r, c.entries[c.leader()].dataCentre) }},
	{"some links lost", cutSomeLinks},
	{"store lost for some entries", cutSomeStores},
	{"store lost for the leader", func(c *cell, r *rand.Rand) {
		withFault(r, c.beginStoreFault(c.entries[c.leader()], randomCut(r)))
	}},
	{"leader paused", func(c *cell, r *rand.Rand) {
		e, unlock := c.lock(c.leader())
		defer unlock()
		e.pause(func() { sleepCut(r) })
	}},
	{"worker cut off", cutWorker},
	{"worker cut from the store", func(c *cell, r *rand.Rand) { withFault(r, c.cutOffWorker(randomWorker(c, r))) }},
	{"responses of workers shuffled", func(c *cell, r *rand.Rand) {
		withFault(r, c.beginFault(shuffleResponses, func(*entryVM, string) bool { return true }))
	}},
}

// injectCuts begins a random cut every 0 to maxCutPause. Cuts overlap. Their draws are apart
// from those of the other faults.
func (c *cell) injectCuts(opt *options, end time.Time, activeFaults *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(opt.Seed, 6))
	list := chosenFaults(cuts, opt.Only)
	for len(list) > 0 {
		time.Sleep(time.Duration(r.Int64N(int64(maxCutPause))))
		if time.Now().After(end) {
			return
		}
		f := list[r.IntN(len(list))]
		cutRand := rand.New(rand.NewPCG(r.Uint64(), 9))
		fmt.Printf("%s left, cutting links: %s\n", time.Until(end).Round(time.Millisecond), f.name)
		activeFaults.Go(func() { f.inject(c, cutRand) })
	}
}

func sleepCut(r *rand.Rand) {
	time.Sleep(minCut + time.Duration(r.Int64N(int64(maxCut-minCut))))
}

// cutDataCentre cuts the entry VMs and workers of a data centre from the store and from those
// elsewhere. What runs there goes on, and they reach each other.
func cutDataCentre(c *cell, r *rand.Rand, name string) {
	f := loseAll
	if r.IntN(3) == 0 {
		f = holdRequests
	}
	ends := []func(){c.beginFault(f, func(e *entryVM, worker string) bool {
		return (e.dataCentre == name) != (c.dataCentres[worker] == name)
	})}
	for _, e := range c.entries {
		if e.dataCentre == name {
			ends = append(ends, c.beginStoreFault(e, f))
		}
	}
	for id, dataCentre := range c.dataCentres {
		if dataCentre == name {
			ends = append(ends, c.cutOffWorker(id))
		}
	}
	withFault(r, func() { callAll(ends) })
}

// cutSomeLinks cuts half of the links between entry VMs and workers.
func cutSomeLinks(c *cell, r *rand.Rand) {
	f := randomCut(r)
	withFault(r, c.beginFault(f, func(*entryVM, string) bool { return r.IntN(2) == 0 }))
}

// cutSomeStores cuts half of the entry VMs from the store.
func cutSomeStores(c *cell, r *rand.Rand) {
	var ends []func()
	for _, e := range c.entries {
		if r.IntN(2) == 0 {
			ends = append(ends, c.beginStoreFault(e, randomCut(r)))
		}
	}
	withFault(r, func() { callAll(ends) })
}

// cutWorker cuts a worker from the store and from all entry VMs.
func cutWorker(c *cell, r *rand.Rand) {
	id := randomWorker(c, r)
	f := randomCut(r)
	ends := []func(){c.cutOffWorker(id), c.beginFault(f, func(_ *entryVM, worker string) bool { return worker == id })}
	withFault(r, func() { callAll(ends) })
}

// randomCut returns a fault that cuts a link in one direction or in both.
func randomCut(r *rand.Rand) linkFault {
	list := []linkFault{loseAll, loseRequests, loseResponses, holdRequests}
	return list[r.IntN(len(list))]
}

// withFault lets a fault last for the time of a cut.
func withFault(r *rand.Rand, end func()) {
	sleepCut(r)
	end()
}

// leader returns the number of the entry VM that leads, as far as the workers know.
func (c *cell) leader() int {
	name := c.fleet.Leader()
	for i, e := range c.entries {
		if e.name == name {
			return i
		}
	}
	return 0
}
