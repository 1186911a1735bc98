package entry

import (
	"time"

	"pollendock.example/cell/ledger"
)

// freeKept is a worker that gets no new work until a suspect has started there.
type freeKept struct {
	job   string
	until time.Time
}

// keepFreeTime is how long a worker is kept free for a suspect that does not ask again.
const keepFreeTime = 2 * time.Second

// admits reports whether a task may start on a worker as far as suspects are concerned:
// tasks that crash their workers, perhaps. They and other work keep apart. The log refuses
// dispatches that go against it; lookups are known here only.
func (c *control) admits(u *upstream, j *ledger.Job, task int, now time.Time) bool {
	if kept, is := c.keptFree[u.id]; is && kept.job != j.ID && now.Before(kept.until) {
		return false
	}
	if j.Suspected(task) && !u.lookupLoad.IsZero() {
		return false
	}
	admitted, _ := c.state.Admits(u.id, j, task)
	return admitted
}

// admitsLookup reports whether a lookup may start on a worker.
func (c *control) admitsLookup(u *upstream, now time.Time) bool {
	return !c.state.Isolated(u.id) && !now.Before(c.keptFree[u.id].until)
}

// keepFree keeps the worker of this VM with the fewest tasks free for a suspect, until it
// has none.
func (c *control) keepFree(p *schedulingPass, j *ledger.Job, task int) {
	if !j.Suspected(task) {
		return
	}
	var best *upstream
	for _, u := range p.own {
		kept, is := c.keptFree[u.id]
		if is && kept.job == j.ID {
			best = u
			break
		}
		if is && p.now.Before(kept.until) || !j.Spec.Size.Fits(c.state.Workers[u.id].Capacity) {
			continue
		}
		if best == nil || c.state.Load(u.id).Slots < c.state.Load(best.id).Slots {
			best = u
		}
	}
	if best != nil {
		c.keptFree[best.id] = freeKept{j.ID, p.now.Add(keepFreeTime)}
	}
}

// forgetKept removes the workers that are no longer kept free.
func (c *control) forgetKept(now time.Time) {
	for id, kept := range c.keptFree {
		if !now.Before(kept.until) {
			delete(c.keptFree, id)
		}
	}
}
