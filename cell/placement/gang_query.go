package placement

import "time"

// Place is what a worker adds to a gang's query.
type Place struct {
	// Tasks is the number of tasks that fit on the worker.
	Tasks int
	// Chance is the probability that it is allowed.
	Chance float64
}

// PlacesOf returns what the named workers add to a query, in their order.
func PlacesOf(req Request, allowedFraction float64, named []string, candidates []Candidate) []Place {
	byName := map[string]*Candidate{}
	for i := range candidates {
		byName[candidates[i].Worker] = &candidates[i]
	}
	places := make([]Place, 0, len(named))
	for _, name := range named {
		c := byName[name]
		p := Place{FitCount(req, &c.WorkerState), allowedFraction}
		if c.PreviouslyAllowed {
			p.Chance = 1
		}
		places = append(places, p)
	}
	return places
}

// ShortestQuery returns how many workers, in the order given, a query of a gang should name
// so that the expected time until count tasks fit on allowed workers is shortest: the
// time of the query, divided by the probability that it suffices. It returns 0 if no
// number of them can suffice.
func ShortestQuery(count int, places []Place, base, perWorker time.Duration) int {
	// chances[k] is the probability that k tasks fit on the allowed ones; the last one
	// stands for count and more.
	chances := make([]float64, count+1)
	chances[0] = 1
	best, shortest := 0, 0.0
	for i, p := range places {
		addPlace(chances, p)
		enough := chances[count]
		if enough == 0 {
			continue
		}
		expected := float64(base+time.Duration(i+1)*perWorker) / enough
		if best == 0 || expected < shortest {
			best, shortest = i+1, expected
		}
	}
	return best
}

// addPlace updates the probabilities with one more worker.
func addPlace(chances []float64, p Place) {
	last := len(chances) - 1
	for k := last; k >= 0; k-- {
		moved := chances[k] * p.Chance
		chances[k] -= moved
		chances[min(last, k+p.Tasks)] += moved
	}
}
