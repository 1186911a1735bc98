package entry

import (
	"time"

	"pollendock.example/cell/resource"
)

const (
	// shareWindow is the time over which a team's part of the cell is brought
	// to its share.
	shareWindow = 20 * time.Second
	// shareGain is the weight of what a team held over the window.
	shareGain = 4.0
	// maxCorrection bounds the correction, as a part of the mean level, so that
	// a team that was idle gets no more than a little extra.
	maxCorrection = 0.25
)

// level is the dominant part of the cell that a team holds, over its share. The
// other entry VMs are taken to have as much on its way to the log as this one:
// when many tasks of a team end at once, all of them see its level fall at once.
func (c *control) level(p *pass, team string) float64 {
	onTheWay := c.pendingUse[team].Scale(int64(len(p.members)))
	return c.levelOf(p.cell, team, onTheWay)
}

func (c *control) levelOf(cell resource.Vector, team string, onTheWay resource.Vector) float64 {
	use := c.state.Usage(team).Add(onTheWay)
	return use.Dominant(cell) / float64(c.state.Document.Teams[team].Share)
}

// tickShares follows the mean level of every team over shareWindow.
func (c *control) tickShares() {
	cell := c.cellCapacity()
	part := tickEvery.Seconds() / shareWindow.Seconds()
	for _, team := range c.state.Document.TeamNames() {
		now := c.levelOf(cell, team, resource.Vector{})
		c.meanLevel[team] += part * (now - c.meanLevel[team])
	}
}

// correct sets the levels of the turns. A team that held more of its share over
// the window than the others comes a little later, one that held less a little
// earlier.
func (c *control) correct(p *pass, turns []*teamTurn) {
	mean := 0.0
	for _, t := range turns {
		mean += c.meanLevel[t.name] / float64(len(turns))
	}
	bound := maxCorrection * mean
	for _, t := range turns {
		t.correction = min(max(shareGain*(c.meanLevel[t.name]-mean), -bound), bound)
		t.level = c.level(p, t.name) + t.correction
	}
}

// cellCapacity is the sum of the workers that have a home.
func (c *control) cellCapacity() resource.Vector {
	var cell resource.Vector
	for _, w := range c.state.Workers {
		if w.Home != "" {
			cell = cell.Add(w.Capacity)
		}
	}
	return cell
}
