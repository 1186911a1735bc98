package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// maxCut is the longest time for which links are cut, minCut the shortest.
	minCut = 2 * time.Second
	maxCut = 13 * time.Second
	// maxCutPause is the longest time between two cuts.
	maxCutPause = 4 * time.Second
)

// cuts disturb some of the links between entry VMs, workers and the store, and leave others
// as they are.
var cuts = []fault{
	{"data centre cut off", cutDataCentre},
}

// injectCuts cuts links. Its draws are apart from those of the other faults.
func (c *cell) injectCuts(opt *options, end time.Time) {
	r := rand.New(rand.NewPCG(opt.Seed, 6))
	list := chosenFaults(cuts, opt.Only)
	for len(list) > 0 {
		time.Sleep(time.Duration(r.Int64N(int64(maxCutPause))))
		if time.Now().After(end) {
			return
		}
		f := &list[r.IntN(len(list))]
		fmt.Printf("%s left, cutting links: %s\n", time.Until(end).Round(time.Millisecond), f.name)
		f.inject(c, r)
	}
}

func sleepCut(r *rand.Rand) {
	time.Sleep(minCut + time.Duration(r.Int64N(int64(maxCut-minCut))))
}

// cutDataCentre cuts the entry VMs and workers of a data centre from the store and from those
// elsewhere. What runs there goes on, and they reach each other.
func cutDataCentre(c *cell, r *rand.Rand) {
	name := dataCentreOf(r.IntN(dataCentres))
	f := loseAll
	if r.IntN(3) == 0 {
		f = holdRequests
	}
	ends := []func(){c.beginFault(f, func(e *entryVM, worker string) bool {
		return (e.dataCentre == name) != (c.dataCentres[worker] == name)
	})}
	for _, e := range c.entries {
		if e.dataCentre == name {
			ends = append(ends, e.store.begin(f))
		}
	}
	for id, dataCentre := range c.dataCentres {
		if dataCentre == name {
			ends = append(ends, c.cutOffWorker(id))
		}
	}
	sleepCut(r)
	callAll(ends)
}
