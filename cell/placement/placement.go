// Package placement chooses workers for the tasks of one step. It knows no
// network, no clock and no other step.
package placement

import (
	"sort"

	"pollendock.example/cell/resource"
)

type (
	// Room is a worker that may run the step.
	Room struct {
		Worker string
		Rack   string
		// Free is what no other task holds.
		Free resource.Vector
		// Tasks is the number of the step's tasks that are there.
		Tasks int
		// Reserved workers have room that is held back for a gang; they are
		// taken after the others.
		Reserved bool
		// Slow workers take longer for the same work than others.
		Slow bool
		// Doubtful workers are taken last.
		Doubtful bool
	}

	// Need is what the waiting tasks of a step ask for.
	Need struct {
		Count int
		Size  resource.Vector
		// Gang tasks are placed all or none.
		Gang bool
		// OneRack asks for a single rack where one has the room.
		OneRack bool
		// Rack is preferred; empty for any.
		Rack string
		// Patient steps take slow workers before others, which they leave to work
		// that has to be done soon; other steps take slow ones last.
		Patient bool
		// PerWorker bounds the tasks of the step on one worker; 0 for any.
		PerWorker int
	}
)

// Choose returns the workers for the tasks, at most Count; for a gang exactly
// Count or none. A task goes where it leaves the least room, so that large
// rooms stay whole for large tasks.
func Choose(n Need, rooms []Room) []string {
	if n.OneRack {
		if chosen := chooseRack(n, rooms); len(chosen) == n.Count {
			return chosen
		}
	}
	return choose(n, rooms)
}

// chooseRack tries each rack alone.
func chooseRack(n Need, rooms []Room) []string {
	byRack := map[string][]Room{}
	for _, r := range rooms {
		byRack[r.Rack] = append(byRack[r.Rack], r)
	}
	racks := make([]string, 0, len(byRack))
	for rack := range byRack {
		racks = append(racks, rack)
	}
	sort.Strings(racks)
	for _, rack := range racks {
		if chosen := choose(n, byRack[rack]); len(chosen) == n.Count {
			return chosen
		}
	}
	return nil
}

func choose(n Need, rooms []Room) []string {
	order := append([]Room(nil), rooms...)
	sort.SliceStable(order, func(a, b int) bool { return before(n, &order[a], &order[b]) })
	var chosen []string
	for i := range order {
		fit := Fit(n, &order[i])
		for range min(fit, n.Count-len(chosen)) {
			chosen = append(chosen, order[i].Worker)
		}
		if len(chosen) == n.Count {
			return chosen
		}
	}
	if n.Gang {
		return nil
	}
	return chosen
}

// before orders rooms: sound workers first, then those that nobody waits for,
// then those near the data, then those of the better pace, then the fullest.
func before(n Need, a, b *Room) bool {
	if a.Doubtful != b.Doubtful {
		return b.Doubtful
	}
	if a.Reserved != b.Reserved {
		return b.Reserved
	}
	if nearA, nearB := n.Rack == a.Rack, n.Rack == b.Rack; n.Rack != "" && nearA != nearB {
		return nearA
	}
	if a.Slow != b.Slow {
		return a.Slow == n.Patient
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return a.Free.MilliCPU < b.Free.MilliCPU
	}
	return a.Worker < b.Worker
}

// Fit returns how many tasks of the step a room takes.
func Fit(n Need, r *Room) int {
	limit := n.Count
	if n.PerWorker > 0 {
		limit = min(limit, max(0, n.PerWorker-r.Tasks))
	}
	return int(n.Size.Count(r.Free, int64(limit)))
}
