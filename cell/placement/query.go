package placement

import "sort"

type (
	// Candidate is a worker that may be named in a query to the advisor. Its Free
	// capacity excludes what other pending queries are expected to take, and may
	// be too small for the step.
	Candidate struct {
		WorkerState
		// PreviouslyAllowed is set if the advisor allowed the worker before and
		// only the ticket has expired.
		PreviouslyAllowed bool
	}

	// QueryParams configures the selection of workers for a query.
	QueryParams struct {
		// AllowedFraction is the expected fraction of named workers that will be
		// allowed.
		AllowedFraction float64
		// CapacityFactor is the ratio of expected capacity to remaining tasks at
		// which enough workers are named.
		CapacityFactor float64
		// FittingTasks is the number of tasks that already fit on allowed workers.
		FittingTasks int
		// MinWorkers is the minimum number of workers to name.
		MinWorkers int
		// EmptiestFirst names the workers with the most free CPU first. By default
		// those with the least come first, so that workers with much free
		// capacity remain available for large tasks.
		EmptiestFirst bool
	}
)

// queryCandidate is a candidate with the number of tasks that fit on it.
type queryCandidate struct {
	*Candidate
	fit int
}

// SelectForQuery returns the workers to name in a query, and the number of tasks
// that are expected to fit on those that will be allowed. By default it names the
// fullest workers that fit: lookups that named the emptiest ones used up the
// capacity for which gangs of large tasks were waiting.
func SelectForQuery(req Request, q QueryParams, candidates []Candidate) ([]string, float64) {
	// Previously allowed workers come first, then those with capacity. A full
	// cell has few of these; the many other candidates are only sorted if needed.
	var groups [3][]queryCandidate
	for i := range candidates {
		a := queryCandidate{&candidates[i], FitCount(req, &candidates[i].WorkerState)}
		switch {
		case a.PreviouslyAllowed:
			groups[0] = append(groups[0], a)
		case a.fit > 0:
			groups[1] = append(groups[1], a)
		default:
			groups[2] = append(groups[2], a)
		}
	}
	expected := float64(q.FittingTasks)
	required := q.CapacityFactor * float64(req.Count)
	var named []string
	enough := func() bool { return expected >= required && len(named) >= q.MinWorkers }
	for _, group := range groups {
		if enough() {
			break
		}
		sort.Slice(group, func(a, b int) bool { return queryBefore(req, &q, &group[a], &group[b]) })
		for i := range group {
			if enough() {
				break
			}
			named = append(named, group[i].Worker)
			fraction := q.AllowedFraction
			if group[i].PreviouslyAllowed {
				fraction = 1
			}
			expected += fraction * float64(group[i].fit)
		}
	}
	return named, expected
}

// queryBefore orders candidates of a group by preference: with capacity, healthy,
// unreserved, of the preferred speed, and then by free CPU as q.EmptiestFirst says.
func queryBefore(req Request, q *QueryParams, a, b *queryCandidate) bool {
	if fitsA, fitsB := a.fit > 0, b.fit > 0; fitsA != fitsB {
		return fitsA
	}
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if a.Reserved != b.Reserved {
		return b.Reserved
	}
	if a.Slowness != b.Slowness {
		return (a.Slowness > b.Slowness) == req.PreferSlow
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return (a.Free.MilliCPU > b.Free.MilliCPU) == q.EmptiestFirst
	}
	return a.Worker < b.Worker
}
