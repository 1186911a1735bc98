package main

import (
	"sync"
	"time"
)

// disruptions records what the faults disturb: entry VMs by their names, and the store.
type disruptions struct {
	mu      sync.Mutex
	active  map[string]int
	endedAt map[string]time.Time
	// contact is the time after a disruption in which a VM is not in touch.
	contact time.Duration
}

// storeName stands for the store among the names of entry VMs.
const storeName = "store"

// faultName stands for all faults that injectFaults begins.
const faultName = "fault"

func newDisruptions(contact time.Duration) *disruptions {
	return &disruptions{active: map[string]int{}, endedAt: map[string]time.Time{}, contact: contact}
}

// begin records a disruption, which lasts until end is called.
func (d *disruptions) begin(name string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[name]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.active[name]--
		d.endedAt[name] = time.Now()
	}
}

// calmFor reports whether no fault of injectFaults was active in the last span.
func (d *disruptions) calmFor(span time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active[faultName] == 0 && time.Since(d.endedAt[faultName]) >= span
}

// inTouch reports whether neither the entry VM nor the store was disturbed in the last
// contact interval.
func (d *disruptions) inTouch(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range []string{name, storeName} {
		if d.active[n] > 0 || time.Since(d.endedAt[n]) < d.contact {
			return false
		}
	}
	return true
}
