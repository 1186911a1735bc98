package entry

import (
	"time"

	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
)

// backfillRun is the declared run time up to which batch work still starts
// while room gathers for a gang.
const backfillRun = time.Second

// displaceForUrgent stops idempotent batch tasks on own workers where urgent
// work has waited and fits nowhere. The stopped tasks are queued again.
func (c *control) displaceForUrgent(now time.Time) {
	for _, team := range c.state.Document.TeamNames() {
		for _, j := range c.state.Waiting(team, jobScan) {
			if !j.Spec.Urgent {
				break
			}
			if !j.Startable() || now.Sub(j.At) < displaceAfter || j.Spec.Kind == config.Gang {
				continue
			}
			c.displaceFor(j, now)
		}
	}
}

// displaceFor frees room for one task of j, unless room is being freed.
func (c *control) displaceFor(j *ledger.Job, now time.Time) {
	if !j.Spec.Size.Fits(c.state.Unused(j.Team).Sub(c.pendingUse[j.Team])) {
		return
	}
	if now.Sub(c.displacedAt) < displaceAfter {
		return
	}
	for _, u := range c.upstreams {
		if !u.usable(now) {
			continue
		}
		if j.Spec.Size.Fits(c.room(u)) {
			return
		}
		victims := c.victims(u, j)
		if len(victims) == 0 {
			continue
		}
		c.displacedAt = now
		for _, ref := range victims {
			t := &c.state.Jobs[ref.Job].Tasks[ref.Task]
			c.stopAttempt(u, ledger.AttemptID(ref.Job, ref.Task, t.Attempt))
		}
		return
	}
}

// victims returns batch tasks on u whose end makes room for a task of j, or
// none.
func (c *control) victims(u *upstream, j *ledger.Job) []ledger.TaskRef {
	room := c.room(u)
	var victims []ledger.TaskRef
	for _, ref := range c.state.OnWorker(u.id) {
		other := c.state.Jobs[ref.Job]
		if other.Spec.Kind != config.Batch || !other.Spec.Idempotent || other.Spec.Urgent {
			continue
		}
		victims = append(victims, ref)
		room = room.Add(other.Spec.Size)
		if j.Spec.Size.Fits(room) {
			return victims
		}
	}
	return nil
}

// heldBack reports whether j waits because room gathers for a gang. Short work
// goes on, since it frees its room before the gang could use it.
func (p *pass) heldBack(j *ledger.Job) bool {
	if p.reserved == nil || j.Spec.Kind != config.Batch || j.Spec.Urgent {
		return false
	}
	return j.Spec.ExpectedRun > backfillRun
}

// reservedGang returns the gang for which room gathers: the oldest one that has
// waited long, if its team holds less of its share than any other team with
// waiting work. One gang at a time cannot wait for another one's room.
func (c *control) reservedGang(p *pass) *ledger.Job {
	oldest := c.oldestGang()
	if oldest == nil || p.now.Sub(oldest.At) < reserveAfter {
		return nil
	}
	need := oldest.Spec.Size.Scale(int64(len(oldest.Tasks)))
	if !need.Fits(c.state.Unused(oldest.Team)) || !c.cellHolds(oldest) {
		return nil
	}
	level := c.level(p, oldest.Team)
	for _, team := range c.state.Document.TeamNames() {
		if c.state.WaitingCount(team) > 0 && c.level(p, team) < level {
			return nil
		}
	}
	return oldest
}

// cellHolds reports whether the workers that are there could hold the gang if
// they were empty.
func (c *control) cellHolds(j *ledger.Job) bool {
	spots := int64(0)
	for _, w := range c.state.Workers {
		if w.Home != "" {
			spots += j.Spec.Size.Count(w.Capacity, int64(len(j.Tasks)))
		}
	}
	return spots >= int64(len(j.Tasks))
}

// oldestGang returns the first waiting gang in log order. It is the same at
// every entry VM that has applied the same records.
func (c *control) oldestGang() *ledger.Job {
	if !c.state.HasQueuedGangs() {
		return nil
	}
	var oldest *ledger.Job
	for _, team := range c.state.Document.TeamNames() {
		if c.state.WaitingCount(team) == 0 {
			continue
		}
		for _, j := range c.state.Waiting(team, jobScan) {
			if j.Spec.Kind != config.Gang || !j.Startable() {
				continue
			}
			if oldest == nil || j.Order < oldest.Order {
				oldest = j
			}
		}
	}
	return oldest
}
