// Package placement selects workers for the tasks of a single step. It is pure:
// it does no I/O, reads no clock and has no knowledge of other steps, except for
// what its arguments say.
package placement

import (
	"sort"

	"pollendock.example/cell/resource"
)

type (
	// WorkerState is the state of a worker that is eligible to run the step.
	WorkerState struct {
		Worker string
		Rack   string
		// Free is the capacity that is not allocated to other tasks.
		Free resource.Vector
		// Tasks is the number of tasks of the step that are already on the worker.
		Tasks int
		// Reserved is set if part of the capacity is reserved for a gang. Such
		// workers rank below unreserved ones.
		Reserved bool
		// Slowness is the class of the worker's speed. It is 0 for an average worker,
		// and higher for one that takes longer for the same work.
		Slowness int
		// Suspect is set if the worker may be unhealthy. Such workers rank last.
		Suspect bool
	}

	// Request describes the pending tasks of a step.
	Request struct {
		Count int
		Size  resource.Vector
		// Gang requires that either all tasks are placed or none.
		Gang bool
		// OneRack prefers placing all tasks on one rack, if a rack has the
		// capacity.
		OneRack bool
		// Rack is the preferred rack; empty for no preference.
		Rack string
		// PreferSlow ranks the slowest workers first, to leave the fast ones to work
		// with less slack. Without it the fastest rank first.
		PreferSlow bool
		// PerWorker is the maximum number of tasks of the step on one worker; 0
		// means no limit.
		PerWorker int
	}
)

// Choose returns a worker for each task that can be placed, at most Count. For a
// gang it returns exactly Count workers or none. It packs best-fit, so that
// workers with much free capacity remain available for large tasks.
func Choose(req Request, workers []WorkerState) []string {
	if req.OneRack {
		if chosen := chooseOnRack(req, workers); len(chosen) == req.Count {
			return chosen
		}
	}
	return chooseBestFit(req, workers)
}

// chooseOnRack places all tasks on the first rack that can hold them.
func chooseOnRack(req Request, workers []WorkerState) []string {
	byRack := map[string][]WorkerState{}
	for _, w := range workers {
		byRack[w.Rack] = append(byRack[w.Rack], w)
	}
	racks := make([]string, 0, len(byRack))
	for rack := range byRack {
		racks = append(racks, rack)
	}
	sort.Strings(racks)
	for _, rack := range racks {
		if chosen := chooseBestFit(req, byRack[rack]); len(chosen) == req.Count {
			return chosen
		}
	}
	return nil
}

func chooseBestFit(req Request, workers []WorkerState) []string {
	order := append([]WorkerState(nil), workers...)
	sort.SliceStable(order, func(a, b int) bool { return preferred(req, &order[a], &order[b]) })
	var chosen []string
	for i := range order {
		fit := FitCount(req, &order[i])
		for range min(fit, req.Count-len(chosen)) {
			chosen = append(chosen, order[i].Worker)
		}
		if len(chosen) == req.Count {
			return chosen
		}
	}
	if req.Gang {
		return nil
	}
	return chosen
}

// preferred orders workers by preference: healthy, unreserved, on the preferred
// rack, of the preferred speed, and then the one with the least free CPU.
func preferred(req Request, a, b *WorkerState) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if a.Reserved != b.Reserved {
		return b.Reserved
	}
	if nearA, nearB := req.Rack == a.Rack, req.Rack == b.Rack; req.Rack != "" && nearA != nearB {
		return nearA
	}
	if a.Slowness != b.Slowness {
		return (a.Slowness > b.Slowness) == req.PreferSlow
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return a.Free.MilliCPU < b.Free.MilliCPU
	}
	return a.Worker < b.Worker
}

// FitCount returns how many tasks of the step fit on a worker.
func FitCount(req Request, w *WorkerState) int {
	limit := req.Count
	if req.PerWorker > 0 {
		limit = min(limit, max(0, req.PerWorker-w.Tasks))
	}
	return int(req.Size.Count(w.Free, int64(limit)))
}
