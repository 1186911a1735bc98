package scheduler

import "time"

// pacedHolds limits the holds to workers that have not answered this leader, or not the
// last time. A new leader of a large cell that sent all of them at once could process none
// of the answers before they time out.
type pacedHolds struct {
	underWay int
	// urgent holds the workers that run something, whose leases may expire, unless they have
	// left several holds unanswered; others the rest.
	urgent, others []*worker
}

// maxPacedHolds is how many such holds may be under way.
const maxPacedHolds = 128

// holdDue reports whether it is time to renew the lease of a worker and request its lists.
func (wk *worker) holdDue(now time.Time) bool {
	return !wk.holdBusy && !now.Before(wk.holdAt) && (wk.listed || wk.watched())
}

// holdOrQueue sends a hold to a worker that answers, and queues one to any other.
func (l *leadership) holdOrQueue(wk *worker, now time.Time) {
	if wk.boot != 0 && wk.holdFails == 0 {
		l.hold(wk, now)
		return
	}
	if wk.holdQueued {
		return
	}
	wk.holdQueued = true
	if len(wk.runs) > 0 && wk.holdFails <= 1 {
		l.pacedHolds.urgent = append(l.pacedHolds.urgent, wk)
		return
	}
	l.pacedHolds.others = append(l.pacedHolds.others, wk)
}

// sendQueuedHolds sends as many of the queued holds as may be under way.
func (l *leadership) sendQueuedHolds(now time.Time) {
	for l.pacedHolds.underWay < maxPacedHolds {
		wk := l.pacedHolds.next()
		if wk == nil {
			return
		}
		wk.holdQueued = false
		if !wk.holdDue(now) || wk.client == nil {
			continue
		}
		wk.holdPaced = true
		l.pacedHolds.underWay++
		l.hold(wk, now)
	}
}

// endPacedHold makes room for the next hold once a worker has answered or failed to.
func (l *leadership) endPacedHold(wk *worker, now time.Time) {
	if !wk.holdPaced {
		return
	}
	wk.holdPaced = false
	l.pacedHolds.underWay--
	l.sendQueuedHolds(now)
}

// next removes the worker whose turn is next; nil if none waits.
func (p *pacedHolds) next() *worker {
	queue := &p.urgent
	if len(*queue) == 0 {
		queue = &p.others
	}
	if len(*queue) == 0 {
		return nil
	}
	wk := (*queue)[0]
	*queue = (*queue)[1:]
	return wk
}
