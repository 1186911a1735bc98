package placement

import "sort"

type (
	// Candidate is a worker about which the advisor may be asked. Its Free room
	// is what other queries leave, and may be too little.
	Candidate struct {
		Room
		// Known workers are known to be allowed; only their ticket has run out.
		Known bool
	}

	// Query says how a step asks.
	Query struct {
		// Part is the expected part of workers that are allowed.
		Part float64
		// Spare is how many times the tasks that are left should find room.
		Spare float64
		// Have is the number of tasks for which there is room already.
		Have int
		// Least workers are named at least.
		Least int
		// Emptiest has the emptiest workers named first. Otherwise these are the
		// fullest, so that large rooms stay whole for large tasks.
		Emptiest bool
	}
)

// Ask returns the workers to name in a query, and how many tasks are expected to
// find room. It answers the load of lookups that asked about the emptiest
// workers, and so took the rooms for which gangs of large tasks waited.
func Ask(n Need, q Query, candidates []Candidate) ([]string, float64) {
	order := append([]Candidate(nil), candidates...)
	fits := make(map[string]int, len(order))
	for i := range order {
		fits[order[i].Worker] = Fit(n, &order[i].Room)
	}
	sort.Slice(order, func(a, b int) bool { return askBefore(n, &q, fits, &order[a], &order[b]) })
	expected := float64(q.Have)
	wanted := q.Spare * float64(n.Count)
	var named []string
	for i := range order {
		if expected >= wanted && len(named) >= q.Least {
			break
		}
		named = append(named, order[i].Worker)
		part := q.Part
		if order[i].Known {
			part = 1
		}
		expected += part * float64(fits[order[i].Worker])
	}
	return named, expected
}

// askBefore orders candidates: known ones first, then those with room, sound
// ones, those at which no room is held back, and those of the better pace.
func askBefore(n Need, q *Query, fits map[string]int, a, b *Candidate) bool {
	if a.Known != b.Known {
		return a.Known
	}
	if roomA, roomB := fits[a.Worker] > 0, fits[b.Worker] > 0; roomA != roomB {
		return roomA
	}
	if a.Doubtful != b.Doubtful {
		return b.Doubtful
	}
	if a.Reserved != b.Reserved {
		return b.Reserved
	}
	if a.Slow != b.Slow {
		return a.Slow == n.Patient
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return (a.Free.MilliCPU > b.Free.MilliCPU) == q.Emptiest
	}
	return a.Worker < b.Worker
}
