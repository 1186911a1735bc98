package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// Fleet is all workers of a deployment, and the judge of what they do.
	Fleet struct {
		mu       sync.Mutex
		began    time.Time
		workers  map[string]*Worker
		outcome  func(t site.TaskID, run int64, worker string) (time.Duration, site.EndKind)
		size     func(t site.TaskID) (resource.Vector, int)
		breaches []string
		// done holds the tasks of which a good end was acknowledged.
		done   map[site.TaskID]bool
		starts map[site.TaskID]int
		// startedAt is when the newest run of a task began.
		startedAt map[site.TaskID]time.Time
	}
)

// NewFleet returns a fleet. Outcome says how long a run takes and how it ends,
// size what a task takes of a worker, and how many members its gang has, 0 if
// it is none.
func NewFleet(
	outcome func(t site.TaskID, run int64, worker string) (time.Duration, site.EndKind),
	size func(t site.TaskID) (resource.Vector, int),
) *Fleet {
	return &Fleet{
		began: time.Now(), workers: map[string]*Worker{}, outcome: outcome, size: size,
		done: map[site.TaskID]bool{}, starts: map[site.TaskID]int{}, startedAt: map[site.TaskID]time.Time{},
	}
}

// Add brings up a worker.
func (f *Fleet) Add(id, service string, capacity resource.Vector) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{fleet: f, listed: true, up: site.Upstream{
		ID: id, Service: service, Capacity: capacity, Labels: []string{"a", "r1-1"}, Rack: "r1-1",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+len(f.workers))),
	}}
	w.restart()
	f.workers[id] = w
	return w
}

// Next returns the list of workers.
func (f *Fleet) Next(context.Context) ([]site.Upstream, []string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []site.Upstream{}
	for _, w := range f.workers {
		if w.listed {
			list = append(list, w.up)
		}
	}
	return list, nil, nil
}

// Worker returns the worker of that id.
func (f *Fleet) Worker(id string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// Breaches returns what must not have happened.
func (f *Fleet) Breaches() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.breaches...)
}

// Starts returns how often a task was begun.
func (f *Fleet) Starts(t site.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[t]
}

// StartedAt returns when the newest run of a task began.
func (f *Fleet) StartedAt(t site.TaskID) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedAt[t]
}

// Started returns the ids of the jobs of which a task was begun.
func (f *Fleet) Started() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := map[string]bool{}
	for t := range f.starts {
		ids[t.Job] = true
	}
	return ids
}

// Run ends tasks and leases as time goes by.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		now := time.Now()
		f.gatherGangs(now)
		for _, w := range f.workers {
			w.pass(now)
		}
		f.mu.Unlock()
		select {
		case <-time.After(checkEvery):
		case <-ctx.Done():
		}
	}
}

// gatherGangs starts the work of gangs whose members are all there.
func (f *Fleet) gatherGangs(now time.Time) {
	present := map[string][]*running{}
	wanted := map[string]int{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if _, n := f.size(r.task); n > 0 && r.endAt.IsZero() {
				key := fmt.Sprintf("%s.%d.%d", r.task.Job, r.task.Step, r.number)
				present[key] = append(present[key], r)
				wanted[key] = n
			}
		}
	}
	for key, list := range present {
		if len(list) < wanted[key] {
			continue
		}
		longest := time.Duration(0)
		for _, r := range list {
			longest = max(longest, r.takes)
		}
		for _, r := range list {
			r.partAt = now.Add(r.takes)
			r.endAt = now.Add(longest)
		}
	}
}

// breakGang ends the other members of a run.
func (f *Fleet) breakGang(of *running) {
	for _, w := range f.workers {
		for _, r := range w.sorted() {
			if r.task.Job == of.task.Job && r.task.Step == of.task.Step && r.number == of.number {
				w.end(r, site.GangBroken)
			}
		}
	}
}

// acknowledge notes a good end. Nothing may have been started after it.
func (f *Fleet) acknowledge(e *ending) {
	if e.Kind != site.Done || e.lapsed {
		return
	}
	f.done[e.Task] = true
	if f.startedAt[e.Task].After(e.at) {
		f.breaches = append(f.breaches, fmt.Sprintf("%v run %d was done before a later run began", e.Task, e.Run))
	}
}
