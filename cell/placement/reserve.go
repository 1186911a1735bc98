package placement

import (
	"sort"
	"time"

	"pollendock.example/cell/resource"
)

type (
	// WorkerForecast is a worker and the capacity that is expected to become free
	// on it.
	WorkerForecast struct {
		WorkerState
		Releases []Release
	}

	// Release is capacity of a worker that is expected to become free.
	Release struct {
		Worker string
		// Delay is the time until the release.
		Delay time.Duration
		Size  resource.Vector
	}

	// Reservation is capacity of a worker that is reserved for tasks of a gang.
	Reservation struct {
		Worker string
		Tasks  int
	}
)

// Reserve returns the workers on which a gang can start soonest, and the time
// until then; false if the expected releases do not suffice. Without reservations
// small tasks fill each gap as it appears, and a gang of large tasks starves
// because its workers are never free at the same time.
func Reserve(req Request, workers []WorkerForecast) ([]Reservation, time.Duration, bool) {
	index := map[string]int{}
	states := make([]WorkerState, len(workers))
	fits := make([]int, len(workers))
	total := 0
	var releases []Release
	for i := range workers {
		index[workers[i].Worker] = i
		states[i] = workers[i].WorkerState
		fits[i] = FitCount(req, &states[i])
		total += fits[i]
		releases = append(releases, workers[i].Releases...)
	}
	if total >= req.Count {
		return reserveLargestFirst(req, states, fits), 0, true
	}
	sort.SliceStable(releases, func(a, b int) bool { return releases[a].Delay < releases[b].Delay })
	for _, r := range releases {
		i := index[r.Worker]
		states[i].Free = states[i].Free.Add(r.Size)
		fit := FitCount(req, &states[i])
		total += fit - fits[i]
		fits[i] = fit
		if total >= req.Count {
			return reserveLargestFirst(req, states, fits), r.Delay, true
		}
	}
	return nil, 0, false
}

// reserveLargestFirst reserves the workers that can hold the most tasks first, to
// keep the number of reserved workers small.
func reserveLargestFirst(req Request, workers []WorkerState, fits []int) []Reservation {
	order := make([]int, len(workers))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return fits[order[a]] > fits[order[b]] })
	var reserved []Reservation
	left := req.Count
	for _, i := range order {
		take := min(left, fits[i])
		if take == 0 {
			break
		}
		reserved = append(reserved, Reservation{workers[i].Worker, take})
		left -= take
	}
	return reserved
}
