package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/platform"
)

// operator evacuates one data centre at a time and restores it, and checks that no run
// starts there in between.
type operator struct {
	c *cell

	mu sync.Mutex
	// evacuated is the data centre that is evacuated since evacuatedAt; empty for none.
	evacuated   string
	evacuatedAt time.Time
	violations  []violation
}

const (
	// dataCentres is their number without a site.
	dataCentres = 3
	// evacuationBound is the time that the settings allow until an evacuation is in
	// force.
	evacuationBound = 3 * time.Second
	// startTolerance covers starts that a fault delays, and their delivery.
	startTolerance     = maxDelayedStart + 500*time.Millisecond
	evacuationLength   = 10 * time.Second
	maxEvacuationPause = 4 * time.Second
	operatorPoll       = 100 * time.Millisecond
	publishTimeout     = 500 * time.Millisecond
)

// run evacuates and restores data centres until the end. All are restored then.
func (o *operator) run(r *rand.Rand, end time.Time) error {
	for time.Now().Before(end) {
		name := o.c.dataCentreOf(r.IntN(dataCentres))
		fmt.Printf("%s left, evacuating data centre %s\n", time.Until(end).Round(time.Millisecond), name)
		if err := o.evacuate(name); err != nil {
			return err
		}
		sleepUntil(end, evacuationLength)
		if err := o.restore(name); err != nil {
			return err
		}
		sleepUntil(end, time.Duration(r.Int64N(int64(maxEvacuationPause))))
	}
	return nil
}

// sleepUntil sleeps for d, but not beyond the end.
func sleepUntil(end time.Time, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until) && time.Now().Before(end); {
		time.Sleep(operatorPoll)
	}
}

func (o *operator) evacuate(name string) error {
	if err := o.publish(site.Entry{Key: platform.EvacuatePrefix + name, Value: []byte("{}")}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated, o.evacuatedAt = name, time.Now()
	return nil
}

func (o *operator) restore(name string) error {
	o.mu.Lock()
	o.evacuated = ""
	o.mu.Unlock()
	return o.publish(site.Entry{Key: platform.EvacuatePrefix + name})
}

// publish repeats an append until it succeeds: a fault may make the configuration unavailable
// meanwhile.
func (o *operator) publish(e site.Entry) error {
	for {
		ctx, cancel := context.WithTimeout(o.c.ctx, publishTimeout)
		_, err := o.c.configStore.Append(ctx, []site.Entry{e})
		cancel()
		if err == nil || o.c.ctx.Err() != nil {
			return err
		}
		time.Sleep(operatorPoll)
	}
}

// checkStart is called when a worker starts a run.
func (o *operator) checkStart(t site.TaskID, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	late := time.Since(o.evacuatedAt)
	if o.evacuated == o.c.dataCentres[worker] && late > evacuationBound+startTolerance {
		o.violations = append(o.violations, violation(fmt.Sprintf("%v was started on %s %v after its data centre was evacuated", t, worker, late)))
	}
}

// report adds the violations that checkStart has found.
func (o *operator) report(vl *violationLog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.violations {
		vl.add(v)
	}
}

// dataCentreOf returns the data centre of the VM or worker of that number.
func (c *cell) dataCentreOf(i int) string {
	n := dataCentres
	if c.site != nil {
		n = c.site.dataCentres
	}
	return fmt.Sprintf("dc-%d", i%n)
}
