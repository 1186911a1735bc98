package entry

import (
	"time"

	"pollendock.example/cell/resource"
)

const (
	// shareWindow is the averaging time for a team's weighted share: over this
	// time the team's use of the cell is brought to its share.
	shareWindow = 20 * time.Second
	// correctionGain is the weight of past usage in the correction.
	correctionGain = 4.0
	// maxCorrection bounds the correction, as a fraction of the mean weighted
	// share, so that a team that was idle gets only a little extra.
	maxCorrection = 0.25
)

// weightedShare returns a team's dominant resource share of the cell, divided by
// its configured share. It assumes that every other entry VM has as many
// dispatches of the team on their way to the log as this one: when many tasks of
// a team end at once, all VMs see its share drop at the same time.
func (c *control) weightedShare(p *schedulingPass, team string) float64 {
	pending := c.pendingUse[team].Scale(int64(len(p.members)))
	return c.weightedShareOf(p.totalCapacity, team, pending)
}

func (c *control) weightedShareOf(cell resource.Vector, team string, pending resource.Vector) float64 {
	use := c.state.Usage(team).Add(pending)
	return use.Dominant(cell) / float64(c.state.Document.Teams[team].Share)
}

// tickShares updates each team's moving average of the weighted share over
// shareWindow.
func (c *control) tickShares() {
	cell := c.cellCapacity()
	part := tickInterval.Seconds() / shareWindow.Seconds()
	for _, team := range c.state.Document.TeamNames() {
		now := c.weightedShareOf(cell, team, resource.Vector{})
		c.meanShares[team] += part * (now - c.meanShares[team])
	}
}

// applyCorrections sets the weighted shares of the queues. A team that used more
// of its share over the window than the others is scheduled a little later, and
// one that used less a little earlier.
func (c *control) applyCorrections(p *schedulingPass, teamQueues []*teamQueue) {
	mean := 0.0
	for _, t := range teamQueues {
		mean += c.meanShares[t.name] / float64(len(teamQueues))
	}
	bound := maxCorrection * mean
	for _, t := range teamQueues {
		t.correction = min(max(correctionGain*(c.meanShares[t.name]-mean), -bound), bound)
		t.weightedShare = c.weightedShare(p, t.name) + t.correction
	}
}

// cellCapacity returns the total capacity of the workers that have an owner.
func (c *control) cellCapacity() resource.Vector {
	var cell resource.Vector
	for _, w := range c.state.Workers {
		if w.Home != "" {
			cell = cell.Add(w.Capacity)
		}
	}
	return cell
}
