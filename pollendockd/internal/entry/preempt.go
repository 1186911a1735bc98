package entry

import (
	"time"

	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
)

// maxBackfillRun is the maximum expected run time of batch work that may start
// while capacity is reserved for a gang.
const maxBackfillRun = time.Second

// preemptForUrgent stops idempotent batch tasks on this VM's workers if urgent
// work has waited and does not fit anywhere. The stopped tasks are queued again.
func (c *control) preemptForUrgent(now time.Time) {
	for _, team := range c.state.Document.TeamNames() {
		for _, j := range c.state.Waiting(team, maxJobsScanned) {
			if !j.Spec.Urgent {
				break
			}
			if !j.Startable() || now.Sub(j.At) < preemptAfter || j.Spec.Kind == config.Gang {
				continue
			}
			c.preemptFor(j, now)
		}
	}
}

// preemptFor makes room for one task of j, unless a worker has room or a
// preemption is in progress.
func (c *control) preemptFor(j *ledger.Job, now time.Time) {
	if !j.Spec.Size.Fits(c.state.Unused(j.Team).Sub(c.pendingUse[j.Team])) {
		return
	}
	if now.Sub(c.lastPreemptionAt) < preemptAfter {
		return
	}
	for _, u := range c.upstreams {
		if !c.usable(u, now) {
			continue
		}
		if j.Spec.Size.Fits(c.available(u)) {
			return
		}
		victims := c.victims(u, j)
		if len(victims) == 0 {
			continue
		}
		c.lastPreemptionAt = now
		for _, ref := range victims {
			t := &c.state.Jobs[ref.Job].Tasks[ref.Task]
			c.stopAttempt(u, ledger.AttemptID(ref.Job, ref.Task, t.Attempt))
		}
		return
	}
}

// victims returns batch tasks on u whose preemption makes room for a task of j,
// or nil if that is not possible.
func (c *control) victims(u *upstream, j *ledger.Job) []ledger.TaskRef {
	available := c.available(u)
	var victims []ledger.TaskRef
	for _, ref := range c.state.OnWorker(u.id) {
		other := c.state.Jobs[ref.Job]
		if other.Spec.Kind != config.Batch || !other.Spec.Idempotent || other.Spec.Urgent {
			continue
		}
		victims = append(victims, ref)
		available = available.Add(other.Spec.Size)
		if j.Spec.Size.Fits(available) {
			return victims
		}
	}
	return nil
}

// blockedByGang reports whether j must wait because capacity is reserved for a
// gang. Short jobs may still start (backfill), since they end before the gang
// could use the capacity.
func (p *schedulingPass) blockedByGang(j *ledger.Job) bool {
	if p.reserved == nil || j.Spec.Kind != config.Batch || j.Spec.Urgent {
		return false
	}
	return j.Spec.ExpectedRun > maxBackfillRun
}

// reservedGang returns the gang that capacity is reserved for: the oldest one,
// if it has waited long enough and its team does not exceed the weighted share
// of any other team with waiting work. Reserving for one gang at a time prevents
// gangs from waiting for each other's capacity.
func (c *control) reservedGang(p *schedulingPass) *ledger.Job {
	oldest := c.oldestGang()
	if oldest == nil || p.now.Sub(oldest.At) < gangReserveAfter {
		return nil
	}
	weightedShare := c.weightedShare(p, oldest.Team)
	for _, team := range c.state.Document.TeamNames() {
		if c.state.WaitingCount(team) > 0 && c.weightedShare(p, team) < weightedShare {
			return nil
		}
	}
	return oldest
}

// mayStartGang reports whether the gang is within what is left of its team's limit, and would
// fit into an empty cell.
func (c *control) mayStartGang(j *ledger.Job) bool {
	need := j.Spec.Size.Scale(int64(len(j.Tasks)))
	return need.Fits(c.state.Unused(j.Team)) && c.fitsEmptyCell(j)
}

// fitsEmptyCell reports whether the gang would fit if all current workers that get
// new work were idle.
func (c *control) fitsEmptyCell(j *ledger.Job) bool {
	fittingTasks := int64(0)
	for _, w := range c.state.Workers {
		if w.Home != "" && !c.state.Document.IsEvacuated(w.DataCentre) {
			fittingTasks += j.Spec.Size.Count(w.Capacity, int64(len(j.Tasks)))
		}
	}
	return fittingTasks >= int64(len(j.Tasks))
}

// oldestGang returns the first waiting gang in log order that its team's limit and the
// workers allow to start. All entry VMs that have applied the same records choose the same
// one.
func (c *control) oldestGang() *ledger.Job {
	if !c.state.HasQueuedGangs() {
		return nil
	}
	var oldest *ledger.Job
	for _, team := range c.state.Document.TeamNames() {
		if c.state.WaitingCount(team) == 0 {
			continue
		}
		for _, j := range c.state.Waiting(team, maxJobsScanned) {
			if j.Spec.Kind != config.Gang || !j.Startable() {
				continue
			}
			if (oldest == nil || j.Order < oldest.Order) && c.mayStartGang(j) {
				oldest = j
			}
		}
	}
	return oldest
}
