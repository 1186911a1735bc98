package entry

import (
	"context"
	"time"

	"pollendock.example/cell/ledger"
	"pollendock.example/cell/resource"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// reservation holds capacity on one of this VM's workers for a gang until it
	// expires.
	reservation struct {
		job       string
		u         *upstream
		s         *session
		size      resource.Vector
		expiresAt time.Time
	}

	// offerReceived is a peer's request for capacity for a gang.
	offerReceived struct {
		request *peer.OfferRequest
		reply   chan *peer.OfferReply
	}

	// offersGathered carries the peers' offers for a gang of this VM.
	offersGathered struct {
		job     string
		workers []string
	}
)

// maxOfferTasks bounds the tasks of one offer.
const maxOfferTasks = 4096

// placeGang dispatches all tasks of a gang to this VM's workers, or requests
// offers from peers for the rest. Only the primary scheduler of the oldest gang
// requests offers, so that two gangs never each hold capacity that the other one
// needs.
func (c *control) placeGang(p *schedulingPass, j *ledger.Job) int {
	size := j.Spec.Size
	count := len(j.Tasks)
	spare := c.state.Unused(j.Team).Sub(c.pendingUse[j.Team])
	if size.Count(spare, int64(count)) < int64(count) || c.hasPendingTask(j) {
		return 0
	}
	own := c.workersWithRoom(p.own, j, size, count, p.now)
	if len(own) == count {
		c.dispatchGang(j, own)
		return count
	}
	if j == c.oldestGang() && !c.gatheringOffers && p.now.Sub(c.lastGatherAt) > offerInterval {
		c.gatheringOffers = true
		c.gatherOffers(j, count-len(own))
	}
	return 0
}

func (c *control) hasPendingTask(j *ledger.Job) bool {
	for i := range j.Tasks {
		if c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: i}] {
			return true
		}
	}
	return false
}

// workersWithRoom returns workers with room for up to count tasks of j. A worker is
// listed once for each task.
func (c *control) workersWithRoom(list []*upstream, j *ledger.Job, size resource.Vector, count int, now time.Time) []string {
	var workersWithRoom []string
	for _, u := range list {
		if !c.admits(u, j, 0, now) {
			continue
		}
		n := size.Count(c.available(u), int64(count-len(workersWithRoom)))
		for range n {
			workersWithRoom = append(workersWithRoom, u.id)
		}
		if len(workersWithRoom) == count {
			return workersWithRoom
		}
	}
	return workersWithRoom
}

func (c *control) dispatchGang(j *ledger.Job, workers []string) {
	placements := make([]ledger.Placement, 0, len(workers))
	for i, id := range workers {
		u := c.upstreams[id]
		if u != nil && u.phase == owned {
			placements = append(placements, c.reservePlacement(u, j, i))
			continue
		}
		c.pendingUse[j.Team] = c.pendingUse[j.Team].Add(j.Spec.Size)
		c.pendingTasks[ledger.TaskRef{Job: j.ID, Task: i}] = true
		placements = append(placements, ledger.Placement{Task: i, Attempt: j.Tasks[i].Attempt + 1, Worker: id})
	}
	c.sendDispatch(j, placements)
}

// gatherOffers requests offers from all peers concurrently.
func (c *control) gatherOffers(j *ledger.Job, missing int) {
	now := time.Now()
	var handlers []peer.Handler
	for _, p := range c.peers {
		// Does not filter by FreeSlots: capacity reserved for this gang counts
		// as used there.
		if p.alive(now) && p.view.Ready {
			handlers = append(handlers, p.handler)
		}
	}
	r := peer.OfferRequest{Job: j.ID, Size: j.Spec.Size, Count: int64(missing)}
	ctx := c.ctx
	id := j.ID
	c.e.spawn(func() {
		// Capacity is reserved only once the offers suffice, so that a gang that
		// cannot start does not block other work.
		workers := requestOffers(ctx, handlers, r)
		if len(workers) >= missing {
			r.Hold = offerReservationTime
			workers = requestOffers(ctx, handlers, r)
		}
		c.e.post(offersGathered{id, workers})
	})
}

func requestOffers(ctx context.Context, handlers []peer.Handler, r peer.OfferRequest) []string {
	ctx, cancel := context.WithTimeout(ctx, offerReservationTime/3)
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
	c.gatheringOffers = false
	c.lastGatherAt = time.Now()
	j := c.state.Jobs[m.job]
	if j == nil || !j.Startable() || c.hasPendingTask(j) || !c.joined || c.stopping {
		return
	}
	count := len(j.Tasks)
	now := time.Now()
	workersWithRoom := c.workersWithRoom(c.newPass(now).own, j, j.Spec.Size, count, now)
	for _, id := range m.workers {
		if len(workersWithRoom) < count {
			workersWithRoom = append(workersWithRoom, id)
		}
	}
	if len(workersWithRoom) < count {
		return
	}
	c.dispatchGang(j, workersWithRoom)
}

func (m offerReceived) handle(c *control) {
	now := time.Now()
	c.dropReservations(m.request.Job)
	reply := &peer.OfferReply{}
	j := c.state.Jobs[m.request.Job]
	if j != nil && c.joined && !c.stopping && c.serving() && m.request.Size.Validate() == nil {
		reply.Workers = c.workersWithRoom(c.newPass(now).own, j, m.request.Size, int(min(m.request.Count, maxOfferTasks)), now)
		if m.request.Hold > 0 {
			c.reserveForGang(m.request, reply.Workers, now)
		}
	}
	m.reply <- reply
}

func (c *control) reserveForGang(r *peer.OfferRequest, workers []string, now time.Time) {
	for _, id := range workers {
		u := c.upstreams[id]
		u.held = u.held.Add(r.Size)
		c.reservations = append(c.reservations, &reservation{r.Job, u, u.session, r.Size, now.Add(min(r.Hold, offerReservationTime))})
	}
}

// dropReservations releases the capacity reserved for a job.
func (c *control) dropReservations(job string) {
	kept := c.reservations[:0]
	for _, r := range c.reservations {
		if r.job == job {
			r.release()
			continue
		}
		kept = append(kept, r)
	}
	clear(c.reservations[len(kept):])
	c.reservations = kept
}

func (c *control) expireReservations(now time.Time) {
	kept := c.reservations[:0]
	for _, r := range c.reservations {
		if !now.Before(r.expiresAt) {
			r.release()
			continue
		}
		kept = append(kept, r)
	}
	clear(c.reservations[len(kept):])
	c.reservations = kept
}

func (r *reservation) release() {
	if r.u.session == r.s {
		r.u.held = r.u.held.Sub(r.size)
	}
}

// Offer implements peer.Handler.
func (e *Entry) Offer(ctx context.Context, r *peer.OfferRequest) (*peer.OfferReply, error) {
	m := offerReceived{r, make(chan *peer.OfferReply, 1)}
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
