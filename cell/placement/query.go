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

// asked is a candidate with the number of tasks for which it has room.
type asked struct {
	*Candidate
	fit int
}

// Ask returns the workers to name in a query, and how many tasks are expected to
// find room. It answers the load of lookups that asked about the emptiest
// workers, and so took the rooms for which gangs of large tasks waited.
func Ask(n Need, q Query, candidates []Candidate) ([]string, float64) {
	// Known workers come first, then those with room. In a full cell these are
	// few, and the many others are not even sorted.
	var groups [3][]asked
	for i := range candidates {
		a := asked{&candidates[i], Fit(n, &candidates[i].Room)}
		switch {
		case a.Known:
			groups[0] = append(groups[0], a)
		case a.fit > 0:
			groups[1] = append(groups[1], a)
		default:
			groups[2] = append(groups[2], a)
		}
	}
	expected := float64(q.Have)
	wanted := q.Spare * float64(n.Count)
	var named []string
	enough := func() bool { return expected >= wanted && len(named) >= q.Least }
	for _, group := range groups {
		if enough() {
			break
		}
		sort.Slice(group, func(a, b int) bool { return askBefore(n, &q, &group[a], &group[b]) })
		for i := range group {
			if enough() {
				break
			}
			named = append(named, group[i].Worker)
			part := q.Part
			if group[i].Known {
				part = 1
			}
			expected += part * float64(group[i].fit)
		}
	}
	return named, expected
}

// askBefore orders candidates of a group: those with room first, then sound
// ones, those at which no room is held back, and those of the better pace.
func askBefore(n Need, q *Query, a, b *asked) bool {
	if roomA, roomB := a.fit > 0, b.fit > 0; roomA != roomB {
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
