package entry

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/resource"
)

type (
	// teamQueue holds the waiting jobs of a team during one scheduling pass.
	teamQueue struct {
		name string
		// weightedShare is the team's dominant resource share of the cell,
		// divided by its configured share. The team with the lowest value is
		// scheduled first.
		weightedShare float64
		// correction is added to weightedShare to compensate for past usage.
		correction float64
		// urgent jobs precede the others, whichever VM is their primary scheduler.
		urgent, others waitingJobs
	}

	// waitingJobs are jobs of equal urgency.
	waitingJobs struct {
		// primary are the waiting jobs. Of their tasks, this VM places those for
		// which it is the primary scheduler. backup are the jobs, except gangs,
		// that have waited longer than backupAfter. Any entry VM may place their
		// tasks.
		primary, backup []*ledger.Job
	}

	// schedulingPass is one round over the waiting durable work.
	schedulingPass struct {
		now           time.Time
		totalCapacity resource.Vector // of the cell
		members       []string
		// unplaceable lists sizes for which no worker of this VM has room.
		unplaceable []resource.Vector
		// own lists the usable workers that this VM owns.
		own []*upstream
		// reserved is the gang in favor of which batch work is blocked.
		reserved *ledger.Job
	}
)

const (
	// maxJobsScanned bounds the waiting jobs of a team that one pass considers.
	maxJobsScanned = 64
	// tasksPerDispatch bounds the placements in one dispatch record of a job
	// with many tasks.
	tasksPerDispatch = 16
	// maxPlacementsPerPass bounds the length of a pass, so that other messages
	// are not delayed.
	maxPlacementsPerPass = 64
	// minPassInterval is the minimum time between passes over the durable work,
	// so that a long queue does not delay lookups.
	minPassInterval = 10 * time.Millisecond
	// workerSampleSize is the number of workers compared for one task.
	workerSampleSize = 24
)

func newJobID() string {
	return uuid.NewString()
}

// placeAll starts all lookups and tasks that can start.
func (c *control) placeAll() {
	if !c.dirty {
		return
	}
	now := time.Now()
	c.placeLookups(now)
	if now.Sub(c.lastPassAt) < minPassInterval {
		// dirty stays set, so the next message or tick tries again.
		return
	}
	c.dirty = false
	c.lastPassAt = now
	if !c.joined || c.stopping || !c.serving() || c.e.appender.Down() {
		return
	}
	c.placeJobs(now)
}

// placeJobs places waiting tasks, always for the team with the lowest weighted
// share, until no worker of this VM has room.
func (c *control) placeJobs(now time.Time) {
	p := c.newPass(now)
	if !c.hasFreeSlot(p) && !c.state.HasQueuedGangs() {
		return
	}
	teamQueues := c.teamQueues(p)
	placed := 0
	for placed < maxPlacementsPerPass && len(teamQueues) > 0 {
		sort.SliceStable(teamQueues, func(a, b int) bool { return teamQueues[a].weightedShare < teamQueues[b].weightedShare })
		t := teamQueues[0]
		n := c.placeForTeam(p, t, len(teamQueues) > 1)
		if n == 0 {
			teamQueues = teamQueues[1:]
			continue
		}
		placed += n
		t.weightedShare = c.weightedShare(p, t.name) + t.correction
	}
	if placed > 0 {
		c.dirty = true
	}
}

// hasFreeSlot reports whether any worker of this VM has a free slot.
func (c *control) hasFreeSlot(p *schedulingPass) bool {
	for _, u := range p.own {
		if c.available(u).Slots > 0 {
			return true
		}
	}
	return false
}

func (c *control) newPass(now time.Time) *schedulingPass {
	p := &schedulingPass{now: now, members: c.state.LiveMembers(), totalCapacity: c.cellCapacity()}
	c.forgetKept(now)
	for _, u := range c.upstreams {
		if c.usable(u, now) {
			p.own = append(p.own, u)
		}
	}
	p.reserved = c.reservedGang(p)
	return p
}

// primary returns the live incarnation that is the primary scheduler of a task.
// Ranges of tasks of a large job have different ones. A gang has one.
func (p *schedulingPass) primary(j *ledger.Job, task int) string {
	if len(p.members) == 0 {
		return ""
	}
	part := uint64(0)
	if j.Spec.Kind != config.Gang {
		part = uint64(task / tasksPerDispatch)
	}
	return p.members[(xxhash.Sum64String(j.ID)+part)%uint64(len(p.members))]
}

func (c *control) teamQueues(p *schedulingPass) []*teamQueue {
	now := p.now
	var teamQueues []*teamQueue
	for _, team := range c.state.Document.TeamNames() {
		if c.state.WaitingCount(team) == 0 {
			continue
		}
		t := &teamQueue{name: team}
		for _, j := range c.state.Waiting(team, maxJobsScanned) {
			if !j.Startable() {
				continue
			}
			if j.Spec.Urgent {
				t.urgent.add(j, now)
			} else {
				t.others.add(j, now)
			}
		}
		t.urgent.shuffleBackup()
		t.others.shuffleBackup()
		teamQueues = append(teamQueues, t)
	}
	c.applyCorrections(p, teamQueues)
	return teamQueues
}

// placeForTeam dispatches tasks of one job of the team and returns their number.
// If teams compete it places one task at a time, to keep their shares fair.
func (c *control) placeForTeam(p *schedulingPass, t *teamQueue, compete bool) int {
	limit := tasksPerDispatch
	if compete {
		limit = 1
	}
	if n := c.placeFirst(p, &t.urgent, limit); n > 0 {
		return n
	}
	return c.placeFirst(p, &t.others, limit)
}

// placeFirst dispatches tasks of the first job that it can place, and returns their
// number. It removes the jobs before that one.
func (c *control) placeFirst(p *schedulingPass, w *waitingJobs, limit int) int {
	for len(w.primary) > 0 {
		if n := c.placeJob(p, w.primary[0], limit, false); n > 0 {
			return n
		}
		w.primary = w.primary[1:]
	}
	for len(w.backup) > 0 {
		if n := c.placeJob(p, w.backup[0], limit, true); n > 0 {
			return n
		}
		w.backup = w.backup[1:]
	}
	return 0
}

func (w *waitingJobs) add(j *ledger.Job, now time.Time) {
	w.primary = append(w.primary, j)
	if j.Spec.Kind != config.Gang && now.Sub(j.At) > backupAfter {
		w.backup = append(w.backup, j)
	}
}

// shuffleBackup puts the backup jobs in random order, so that two VMs rarely choose
// the same one.
func (w *waitingJobs) shuffleBackup() {
	rand.Shuffle(len(w.backup), func(a, b int) { w.backup[a], w.backup[b] = w.backup[b], w.backup[a] })
}

// placeJob dispatches up to limit tasks of j. With backup set it places any
// task, otherwise only those for which this VM is the primary scheduler.
func (c *control) placeJob(p *schedulingPass, j *ledger.Job, limit int, backup bool) int {
	if j.Spec.Kind == config.Gang {
		if p.primary(j, 0) != c.incarnation {
			return 0
		}
		return c.placeGang(p, j)
	}
	if p.blockedByGang(j) {
		return 0
	}
	spare := c.state.Unused(j.Team).Sub(c.pendingUse[j.Team])
	limit = int(j.Spec.Size.Count(spare, int64(limit)))
	var placements []ledger.Placement
	for i := j.NextQueued(0); i >= 0 && len(placements) < limit; i = j.NextQueued(i + 1) {
		if c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: i}] || !backup && p.primary(j, i) != c.incarnation {
			continue
		}
		u := c.chooseWorker(p, j, i)
		if u == nil {
			c.keepFree(p, j, i)
			break
		}
		placements = append(placements, c.reservePlacement(u, j, i))
	}
	if len(placements) > 0 {
		c.sendDispatch(j, placements)
	}
	return len(placements)
}

// chooseWorker returns a worker of this VM with room for a task of j. It picks
// the one with the least capacity left if the policy packs tasks, or the most if
// it spreads them. It compares a random sample and falls back to all workers if
// none of the sample fits.
func (c *control) chooseWorker(p *schedulingPass, j *ledger.Job, task int) *upstream {
	size := j.Spec.Size
	spread := c.state.Document.Policy(j.Spec.Kind).Spread
	if j.Suspected(task) {
		return c.pickWorker(p, p.own, j, task, spread)
	}
	for _, unplaceable := range p.unplaceable {
		if unplaceable.Fits(size) {
			return nil
		}
	}
	if len(p.own) > workerSampleSize {
		if u := c.pickWorker(p, sampleWorkers(p.own), j, task, spread); u != nil {
			return u
		}
	}
	u := c.pickWorker(p, p.own, j, task, spread)
	if u == nil {
		p.unplaceable = append(p.unplaceable, size)
	}
	return u
}

func sampleWorkers(own []*upstream) []*upstream {
	list := make([]*upstream, 0, workerSampleSize)
	for range workerSampleSize {
		list = append(list, own[rand.IntN(len(own))])
	}
	return list
}

func (c *control) pickWorker(p *schedulingPass, list []*upstream, j *ledger.Job, task int, spread bool) *upstream {
	size := j.Spec.Size
	var best *upstream
	var bestLeft float64
	for _, u := range list {
		available := c.available(u)
		if !size.Fits(available) || u.failures > 0 && !u.pending.IsZero() || !c.admits(u, j, task, p.now) {
			continue
		}
		left := available.Sub(size).Dominant(p.totalCapacity)
		if best == nil || spread && left > bestLeft || !spread && left < bestLeft {
			best, bestLeft = u, left
		}
	}
	return best
}

// reservePlacement counts a task as placed on a worker until its dispatch is in
// the log.
func (c *control) reservePlacement(u *upstream, j *ledger.Job, task int) ledger.Placement {
	u.pending = u.pending.Add(j.Spec.Size)
	c.pendingUse[j.Team] = c.pendingUse[j.Team].Add(j.Spec.Size)
	c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: task}] = true
	return ledger.Placement{Task: task, Attempt: j.Tasks[task].Attempt + 1, Worker: u.id}
}

// sendDispatch appends a dispatch record. The owners of the workers start the
// tasks once they have read it.
func (c *control) sendDispatch(j *ledger.Job, placements []ledger.Placement) {
	sessions := map[string]*session{}
	for _, p := range placements {
		if u := c.upstreams[p.Worker]; u != nil {
			sessions[p.Worker] = u.session
		}
	}
	size := j.Spec.Size
	team := j.Team
	r := c.newRecord()
	r.Dispatch = &ledger.Dispatch{Job: j.ID, Placements: placements}
	c.submit(r, true, func(int64, ledger.ApplyResult) {
		c.dirty = true
		for _, p := range placements {
			delete(c.pendingTasks, ledger.TaskRef{Job: r.Dispatch.Job, Task: p.Task})
			c.pendingUse[team] = c.pendingUse[team].Sub(size)
			u := c.upstreams[p.Worker]
			if u != nil && u.session != nil && u.session == sessions[p.Worker] {
				u.pending = u.pending.Sub(size)
			}
		}
	})
}

// tickJobs expires jobs past their deadline and preempts batch work for urgent
// jobs.
func (c *control) tickJobs(now time.Time) {
	c.expireJobWaiters(now)
	c.expireReservations(now)
	if !c.joined || c.stopping || c.e.appender.Down() {
		return
	}
	p := &schedulingPass{now: now, members: c.state.LiveMembers()}
	for _, team := range c.state.Document.TeamNames() {
		for _, j := range c.state.Waiting(team, maxJobsScanned) {
			if p.primary(j, 0) == c.incarnation {
				c.expireJob(j, now)
			}
		}
	}
	c.preemptForUrgent(now)
}

// expireJob cancels a job that has not started before its deadline.
func (c *control) expireJob(j *ledger.Job, now time.Time) {
	if j.Spec.Deadline.IsZero() || !now.After(j.Spec.Deadline) || c.settling[j.ID] {
		return
	}
	c.settling[j.ID] = true
	id := j.ID
	r := c.newRecord()
	r.Cancel = &ledger.Cancel{Job: id, Team: j.Team, Code: code.Expired}
	c.submit(r, true, func(int64, ledger.ApplyResult) { delete(c.settling, id) })
}
