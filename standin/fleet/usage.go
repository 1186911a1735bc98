package fleet

import (
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// Usage is what the workers run at one moment.
	Usage struct {
		Workers []WorkerUsage
		// Running are the tasks that run, once for each run.
		Running []site.TaskID
		// done holds the tasks with a successful end that a worker lists.
		done map[site.TaskID]bool
	}

	// WorkerUsage is the use of one worker.
	WorkerUsage struct {
		ID       string
		Capacity resource.Vector
		Used     resource.Vector
		// Up is set if the worker serves calls and is listed.
		Up bool
	}
)

// Usage returns what the workers run now.
func (f *Fleet) Usage() *Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := &Usage{Running: f.running(), done: map[site.TaskID]bool{}}
	for t := range f.done {
		u.done[t] = true
	}
	for _, w := range f.workers {
		u.Workers = append(u.Workers, w.usage())
		for i := range w.ended {
			if e := &w.ended[i]; e.Kind == site.Done && !e.lapsed && !w.gone {
				u.done[e.Task] = true
			}
		}
	}
	return u
}

func (w *Worker) usage() WorkerUsage {
	u := WorkerUsage{ID: w.upstream.ID, Capacity: w.upstream.Capacity, Up: w.listed && !w.gone && !w.silent}
	for t := range w.runs {
		size, _ := w.fleet.size(t)
		u.Used = u.Used.Add(size)
	}
	return u
}

// Done reports whether a task has ended successfully and need not run again.
func (u *Usage) Done(t site.TaskID) bool {
	return u.done[t]
}

// bootOf returns the incarnation of a worker.
func (f *Fleet) bootOf(worker string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[worker]; w != nil {
		return w.upstream.Boot
	}
	return 0
}
