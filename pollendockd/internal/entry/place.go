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
	// teamTurn is a team with waiting work in one pass.
	teamTurn struct {
		name string
		// level is the dominant part of the cell that the team holds, over its
		// share. The lowest level goes first.
		level float64
		// correction is added for what the team held before.
		correction float64
		// own are jobs of which this VM owns tasks, help those of which it may
		// place other tasks, since they have waited.
		own, help []*ledger.Job
	}

	// pass is one round over the waiting durable work.
	pass struct {
		now     time.Time
		cell    resource.Vector
		members []string
		// full holds sizes that no own worker has room for.
		full []resource.Vector
		// own holds the usable own workers.
		own []*upstream
		// reserved is the gang for which batch work is held back.
		reserved *ledger.Job
	}
)

const (
	// jobScan bounds the waiting jobs of a team that one pass looks at.
	jobScan = 64
	// tasksPerRecord bounds the placements of one dispatch of a wide job.
	tasksPerRecord = 16
	// placementsPerPass bounds a pass, so that traffic is not held up.
	placementsPerPass = 64
	// passGap is the least time between passes over the durable work, so that a
	// deep queue does not hold lookups up.
	passGap = 10 * time.Millisecond
	// sample is the number of workers that are compared for one task.
	sample = 24
)

func newJobID() string {
	return uuid.NewString()
}

// placeAll starts what can start.
func (c *control) placeAll() {
	if !c.dirty {
		return
	}
	now := time.Now()
	c.placeLookups(now)
	if now.Sub(c.placedAt) < passGap {
		// Still dirty: the next message or tick tries again.
		return
	}
	c.dirty = false
	c.placedAt = now
	if !c.joined || c.stopping || !c.serving() || c.e.appender.Down() {
		return
	}
	c.placeJobs(now)
}

// placeJobs gives the waiting tasks of all teams their turns, the team with the
// lowest level first, until no own worker has room.
func (c *control) placeJobs(now time.Time) {
	p := c.newPass(now)
	if !c.anySlot(p) && !c.state.HasQueuedGangs() {
		return
	}
	turns := c.turns(p)
	placed := 0
	for placed < placementsPerPass && len(turns) > 0 {
		sort.SliceStable(turns, func(a, b int) bool { return turns[a].level < turns[b].level })
		t := turns[0]
		n := c.placeForTeam(p, t, len(turns) > 1)
		if n == 0 {
			turns = turns[1:]
			continue
		}
		placed += n
		t.level = c.level(p, t.name) + t.correction
	}
	if placed > 0 {
		c.dirty = true
	}
}

// anySlot reports whether an own worker has room for a task of any size.
func (c *control) anySlot(p *pass) bool {
	for _, u := range p.own {
		if c.room(u).Slots > 0 {
			return true
		}
	}
	return false
}

func (c *control) newPass(now time.Time) *pass {
	p := &pass{now: now, members: c.state.LiveMembers(), cell: c.cellCapacity()}
	for _, u := range c.upstreams {
		if u.usable(now) {
			p.own = append(p.own, u)
		}
	}
	p.reserved = c.reservedGang(p)
	return p
}

// owner returns the live incarnation that is first to place a task. Parts of a
// wide job have different owners; a gang has one.
func (p *pass) owner(j *ledger.Job, task int) string {
	if len(p.members) == 0 {
		return ""
	}
	part := uint64(0)
	if j.Spec.Kind != config.Gang {
		part = uint64(task / tasksPerRecord)
	}
	return p.members[(xxhash.Sum64String(j.ID)+part)%uint64(len(p.members))]
}

func (c *control) turns(p *pass) []*teamTurn {
	now := p.now
	var turns []*teamTurn
	for _, team := range c.state.Document.TeamNames() {
		if c.state.WaitingCount(team) == 0 {
			continue
		}
		t := &teamTurn{name: team}
		for _, j := range c.state.Waiting(team, jobScan) {
			if !j.Startable() {
				continue
			}
			t.own = append(t.own, j)
			if j.Spec.Kind != config.Gang && now.Sub(j.At) > helpAfter {
				t.help = append(t.help, j)
			}
		}
		rand.Shuffle(len(t.help), func(a, b int) { t.help[a], t.help[b] = t.help[b], t.help[a] })
		turns = append(turns, t)
	}
	c.correct(p, turns)
	return turns
}

// placeForTeam dispatches tasks of one job of the team, and returns how many.
// One task at a time keeps the turns fair where teams compete.
func (c *control) placeForTeam(p *pass, t *teamTurn, compete bool) int {
	limit := tasksPerRecord
	if compete {
		limit = 1
	}
	for len(t.own) > 0 {
		if n := c.placeJob(p, t.own[0], limit, false); n > 0 {
			return n
		}
		t.own = t.own[1:]
	}
	// Helpers take jobs in no order, so that two of them rarely take the same.
	for len(t.help) > 0 {
		if n := c.placeJob(p, t.help[0], limit, true); n > 0 {
			return n
		}
		t.help = t.help[1:]
	}
	return 0
}

// placeJob dispatches up to limit tasks of j: those that this VM owns, or, as a
// helper, any.
func (c *control) placeJob(p *pass, j *ledger.Job, limit int, help bool) int {
	if j.Spec.Kind == config.Gang {
		if p.owner(j, 0) != c.inc {
			return 0
		}
		return c.placeGang(p, j)
	}
	if p.heldBack(j) {
		return 0
	}
	spare := c.state.Unused(j.Team).Sub(c.pendingUse[j.Team])
	limit = int(j.Spec.Size.Count(spare, int64(limit)))
	var placements []ledger.Placement
	for i := j.NextQueued(0); i >= 0 && len(placements) < limit; i = j.NextQueued(i + 1) {
		if c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: i}] || !help && p.owner(j, i) != c.inc {
			continue
		}
		u := c.chooseWorker(p, j)
		if u == nil {
			break
		}
		placements = append(placements, c.reserve(u, j, i))
	}
	if len(placements) > 0 {
		c.sendDispatch(j, placements)
	}
	return len(placements)
}

// chooseWorker returns an own worker with room for a task of j: the one with
// the least room left where tasks are to be packed, with the most where they
// are to be spread. It compares a sample and looks at all only if none fits.
func (c *control) chooseWorker(p *pass, j *ledger.Job) *upstream {
	size := j.Spec.Size
	for _, full := range p.full {
		if full.Fits(size) {
			return nil
		}
	}
	spread := c.state.Document.Policy(j.Spec.Kind).Spread
	if len(p.own) > sample {
		if u := c.bestOf(p, sampleOf(p.own), size, spread); u != nil {
			return u
		}
	}
	u := c.bestOf(p, p.own, size, spread)
	if u == nil {
		p.full = append(p.full, size)
	}
	return u
}

func sampleOf(own []*upstream) []*upstream {
	list := make([]*upstream, 0, sample)
	for range sample {
		list = append(list, own[rand.IntN(len(own))])
	}
	return list
}

func (c *control) bestOf(p *pass, list []*upstream, size resource.Vector, spread bool) *upstream {
	var best *upstream
	var bestLeft float64
	for _, u := range list {
		room := c.room(u)
		if !size.Fits(room) || u.failures > 0 && !u.pending.IsZero() {
			continue
		}
		left := room.Sub(size).Dominant(p.cell)
		if best == nil || spread && left > bestLeft || !spread && left < bestLeft {
			best, bestLeft = u, left
		}
	}
	return best
}

// reserve counts a task on a worker until its dispatch is in the log.
func (c *control) reserve(u *upstream, j *ledger.Job, task int) ledger.Placement {
	u.pending = u.pending.Add(j.Spec.Size)
	c.pendingUse[j.Team] = c.pendingUse[j.Team].Add(j.Spec.Size)
	c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: task}] = true
	return ledger.Placement{Task: task, Attempt: j.Tasks[task].Attempt + 1, Worker: u.id}
}

// sendDispatch appends a dispatch. The homes start the tasks once they read it.
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

// tickJobs drops what is past its deadline and makes room for urgent work.
func (c *control) tickJobs(now time.Time) {
	c.tickFollowers(now)
	c.expireHolds(now)
	if !c.joined || c.stopping || c.e.appender.Down() {
		return
	}
	p := &pass{now: now, members: c.state.LiveMembers()}
	for _, team := range c.state.Document.TeamNames() {
		for _, j := range c.state.Waiting(team, jobScan) {
			if p.owner(j, 0) == c.inc {
				c.expireJob(j, now)
			}
		}
	}
	c.displaceForUrgent(now)
}

// expireJob gives up a job that has not started before its deadline.
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
