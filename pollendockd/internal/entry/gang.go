package entry

import (
	"context"
	"time"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/resource"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// hold keeps room on an own worker for a gang until an end time.
	hold struct {
		job  string
		u    *upstream
		s    *session
		size resource.Vector
		ends time.Time
	}

	// offerAsked asks for room for a gang of a peer.
	offerAsked struct {
		request *peer.OfferRequest
		reply   chan *peer.OfferReply
	}

	// offersGathered ends a round of offers for an own gang.
	offersGathered struct {
		job     string
		workers []string
	}
)

// maxOffer bounds the tasks of one offer.
const maxOffer = 4096

// placeGang dispatches all tasks of a gang on own workers, or asks the peers
// for the rest. Only the owner of the oldest gang may ask, so two gangs never
// hold a part of each other's room.
func (c *control) placeGang(p *pass, j *ledger.Job) int {
	size := j.Spec.Size
	count := len(j.Tasks)
	spare := c.state.Unused(j.Team).Sub(c.pendingUse[j.Team])
	if size.Count(spare, int64(count)) < int64(count) || c.anyPending(j) {
		return 0
	}
	own := c.spots(p.own, size, count)
	if len(own) == count {
		c.dispatchGang(j, own)
		return count
	}
	if j == c.oldestGang() && !c.gathering && p.now.Sub(c.gatheredAt) > offerEvery {
		c.gathering = true
		c.gatherOffers(j, count-len(own))
	}
	return 0
}

func (c *control) anyPending(j *ledger.Job) bool {
	for i := range j.Tasks {
		if c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: i}] {
			return true
		}
	}
	return false
}

// spots returns workers with room for up to count tasks, one entry a task.
func (c *control) spots(list []*upstream, size resource.Vector, count int) []string {
	var spots []string
	for _, u := range list {
		n := size.Count(c.room(u), int64(count-len(spots)))
		for range n {
			spots = append(spots, u.id)
		}
		if len(spots) == count {
			return spots
		}
	}
	return spots
}

func (c *control) dispatchGang(j *ledger.Job, workers []string) {
	placements := make([]ledger.Placement, 0, len(workers))
	for i, id := range workers {
		u := c.upstreams[id]
		if u != nil && u.phase == home {
			placements = append(placements, c.reserve(u, j, i))
			continue
		}
		c.pendingUse[j.Team] = c.pendingUse[j.Team].Add(j.Spec.Size)
		c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: i}] = true
		placements = append(placements, ledger.Placement{Task: i, Attempt: j.Tasks[i].Attempt + 1, Worker: id})
	}
	c.sendDispatch(j, placements)
}

// gatherOffers asks every peer for room, at once.
func (c *control) gatherOffers(j *ledger.Job, missing int) {
	now := time.Now()
	var handlers []peer.Handler
	for _, p := range c.peers {
		// Free slots are not asked for: room held for this gang counts as used.
		if p.alive(now) && p.view.Ready {
			handlers = append(handlers, p.handler)
		}
	}
	r := peer.OfferRequest{Job: j.ID, Size: j.Spec.Size, Count: int64(missing)}
	ctx := c.ctx
	id := j.ID
	c.e.spawn(func() {
		// Room is held only once there is enough of it, so that a gang that
		// cannot start keeps nobody from starting.
		workers := askOffers(ctx, handlers, r)
		if len(workers) >= missing {
			r.Hold = offerHold
			workers = askOffers(ctx, handlers, r)
		}
		c.e.post(offersGathered{id, workers})
	})
}

func askOffers(ctx context.Context, handlers []peer.Handler, r peer.OfferRequest) []string {
	ctx, cancel := context.WithTimeout(ctx, offerHold/3)
	defer cancel()
	replies := make(chan []string, len(handlers))
	for _, h := range handlers {
		go func() {
			request := r
			reply, err := h.Offer(ctx, &request)
			if err != nil {
				replies <- nil
				return
			}
			replies <- reply.Workers
		}()
	}
	var workers []string
	for range handlers {
		workers = append(workers, <-replies...)
	}
	return workers
}

func (m offersGathered) handle(c *control) {
	c.gathering = false
	c.gatheredAt = time.Now()
	j := c.state.Jobs[m.job]
	if j == nil || !j.Startable() || c.anyPending(j) || !c.joined || c.stopping {
		return
	}
	count := len(j.Tasks)
	now := time.Now()
	spots := c.spots(c.newPass(now).own, j.Spec.Size, count)
	for _, id := range m.workers {
		if len(spots) < count {
			spots = append(spots, id)
		}
	}
	if len(spots) < count {
		return
	}
	c.dispatchGang(j, spots)
}

func (m offerAsked) handle(c *control) {
	now := time.Now()
	c.dropHolds(m.request.Job)
	reply := &peer.OfferReply{}
	if c.joined && !c.stopping && c.serving() && m.request.Size.Validate() == nil {
		reply.Workers = c.spots(c.newPass(now).own, m.request.Size, int(min(m.request.Count, maxOffer)))
		if m.request.Hold > 0 {
			c.addHolds(m.request, reply.Workers, now)
		}
	}
	m.reply <- reply
}

func (c *control) addHolds(r *peer.OfferRequest, workers []string, now time.Time) {
	for _, id := range workers {
		u := c.upstreams[id]
		u.held = u.held.Add(r.Size)
		c.holds = append(c.holds, &hold{r.Job, u, u.session, r.Size, now.Add(min(r.Hold, offerHold))})
	}
}

// dropHolds frees the room held for a job.
func (c *control) dropHolds(job string) {
	kept := c.holds[:0]
	for _, h := range c.holds {
		if h.job == job {
			h.free()
			continue
		}
		kept = append(kept, h)
	}
	clear(c.holds[len(kept):])
	c.holds = kept
}

func (c *control) expireHolds(now time.Time) {
	kept := c.holds[:0]
	for _, h := range c.holds {
		if !now.Before(h.ends) {
			h.free()
			continue
		}
		kept = append(kept, h)
	}
	clear(c.holds[len(kept):])
	c.holds = kept
}

func (h *hold) free() {
	if h.u.session == h.s {
		h.u.held = h.u.held.Sub(h.size)
	}
}

// Offer implements peer.Handler.
func (e *Entry) Offer(ctx context.Context, r *peer.OfferRequest) (*peer.OfferReply, error) {
	m := offerAsked{r, make(chan *peer.OfferReply, 1)}
	e.post(m)
	select {
	case reply := <-m.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.done:
		return nil, errStopped
	}
}
