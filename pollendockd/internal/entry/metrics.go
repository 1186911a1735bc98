package entry

import "time"

const metricsInterval = time.Second

// tickMetrics updates the gauges.
func (c *control) tickMetrics(now time.Time) {
	if now.Sub(c.lastMetricsAt) < metricsInterval {
		return
	}
	c.lastMetricsAt = now
	scope := c.e.deps.Metrics
	ownedWorkers, backingOff := 0, 0
	for _, u := range c.upstreams {
		if u.phase == owned {
			ownedWorkers++
		}
		if now.Before(u.backoffUntil) {
			backingOff++
		}
	}
	peers := 0
	for _, p := range c.peers {
		if p.alive(now) {
			peers++
		}
	}
	waiting := int64(0)
	for _, team := range c.state.Document.TeamNames() {
		waiting += c.state.WaitingCount(team)
	}
	lookups := 0
	for _, q := range c.lookups {
		lookups += len(q.list)
	}
	scope.Gauge("home_workers").Update(float64(ownedWorkers))
	scope.Gauge("resting_workers").Update(float64(backingOff))
	scope.Gauge("peers_alive").Update(float64(peers))
	scope.Gauge("waiting_tasks").Update(float64(waiting))
	scope.Gauge("waiting_lookups").Update(float64(lookups))
	scope.Gauge("running_lookups").Update(float64(len(c.runningAttempts)))
	scope.Gauge("log_age_seconds").Update(now.Sub(c.lastLogContact).Seconds())
	scope.Gauge("evacuated_data_centres").Update(float64(len(c.state.Document.Evacuated)))
	scope.Gauge("config_version").Update(float64(c.state.Number))
	scope.Gauge("applied_offset").Update(float64(c.state.Next))
}
