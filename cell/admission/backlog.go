package admission

import (
	"sort"

	"pollendock.example/cell/placement"
)

type (
	// Backlog is the pending work that competes for one resource, in scheduling
	// order.
	Backlog struct {
		items []backlogItem
		// recent is the demand of jobs that were accepted since the backlog was built.
		recent totals
	}

	// backlogItem is a pending step and the demand of all steps up to it.
	backlogItem struct {
		key placement.SortKey
		sum totals
	}

	// totals is the demand of work of all teams, and of work within its team's
	// guaranteed rate.
	totals struct {
		all, withinRate Demand
	}
)

// Reset removes all work.
func (b *Backlog) Reset() {
	b.items = b.items[:0]
	b.recent = totals{}
}

// Append adds a step. Steps must be appended in scheduling order.
func (b *Backlog) Append(key placement.SortKey, d Demand, overRate bool) {
	sum := totals{}
	if n := len(b.items); n > 0 {
		sum = b.items[n-1].sum
	}
	sum.add(d, overRate)
	b.items = append(b.items, backlogItem{key, sum})
}

// AppendRecent adds a job that was accepted after the backlog was built.
func (b *Backlog) AppendRecent(d Demand, overRate bool) {
	b.recent.add(d, overRate)
}

// Before returns the demand of the work that is scheduled before a step with the key.
// For a step within its team's rate that excludes work beyond the rate of any team.
func (b *Backlog) Before(key *placement.SortKey, overRate bool) Demand {
	sum := b.recent
	if n := sort.Search(len(b.items), func(i int) bool { return !b.items[i].key.Before(key) }); n > 0 {
		sum.all = sum.all.Add(b.items[n-1].sum.all)
		sum.withinRate = sum.withinRate.Add(b.items[n-1].sum.withinRate)
	}
	if overRate {
		return sum.all
	}
	return sum.withinRate
}

func (t *totals) add(d Demand, overRate bool) {
	t.all = t.all.Add(d)
	if !overRate {
		t.withinRate = t.withinRate.Add(d)
	}
}
