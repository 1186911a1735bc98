package advice

import (
	"math"
	"time"
)

// arrivals measures the load by quick queries: the average number of routes that they
// keep busy.
type arrivals struct {
	load float64
	at   time.Time
}

const (
	// arrivalWindow is the time constant of the average.
	arrivalWindow = time.Second
	// spareDeviations is the number of standard deviations of the load for which routes are
	// kept.
	spareDeviations = 1
	// negligibleLoad is a load for which no route is kept, in routes.
	negligibleLoad = 0.01
)

// count adds a query that takes that long.
func (a *arrivals) count(now time.Time, takes time.Duration) {
	a.load = a.loadAt(now) + float64(takes)/float64(arrivalWindow)
	a.at = now
}

// loadAt returns the load, decayed since the last query.
func (a *arrivals) loadAt(now time.Time) float64 {
	return a.load * math.Exp(-float64(now.Sub(a.at))/float64(arrivalWindow))
}

// routesNeeded is how many routes the quick queries need so that they seldom find all of
// them busy, the mean load plus spareDeviations standard deviations of a Poisson load. They
// need none if none has come for arrivalWindow: a route that is kept for the last of a burst
// keeps slow queries waiting for seconds.
func (a *arrivals) routesNeeded(now time.Time) int {
	load := a.loadAt(now)
	if load < negligibleLoad || now.Sub(a.at) >= arrivalWindow {
		return 0
	}
	return int(math.Ceil(load + spareDeviations*math.Sqrt(load)))
}
