package job

import "time"

// Replace takes over the records of a copy that was loaded anew, which must not be used any more,
// and returns the ids of the jobs that changed. What this VM has noted of a record that is the
// same in both stays. A copy that is behind this one, which has no gap then, is dropped.
func (v *View) Replace(fresh *View) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if fresh.next <= v.next {
		return nil
	}
	var changed []string
	for id := range v.jobs {
		if fresh.jobs[id] == nil {
			changed = append(changed, id)
		}
	}
	for id, j := range fresh.jobs {
		old := v.jobs[id]
		switch {
		case old != nil && v.hasSameRecords(fresh, id):
			fresh.jobs[id] = old
			continue
		case old != nil && v.sameOffset(fresh, submissionKey+id):
			j.Order, j.AcceptedAt = old.Order, old.AcceptedAt
		}
		changed = append(changed, id)
	}
	v.keepHistories(fresh)
	v.next, v.offsets = fresh.next, fresh.offsets
	v.replacedBefore = fresh.next
	v.jobs, v.waiting = fresh.jobs, fresh.waiting
	v.members, v.queues = fresh.members, fresh.queues
	v.leader, v.leaderAt, v.terms = fresh.leader, fresh.leaderAt, fresh.terms
	v.speeds, v.givenUpRuns = fresh.speeds, fresh.givenUpRuns
	v.silent, v.renewals, v.renewers = fresh.silent, fresh.renewals, fresh.renewers
	v.settled, v.bounded = fresh.settled, fresh.bounded
	v.exceptedSince = fresh.answeredStarts.exceptedSince(v.exceptedSince, time.Now())
	v.answeredStarts, v.startDelay = fresh.answeredStarts, fresh.startDelay
	v.renewedStarts, v.unbegun = fresh.renewedStarts, fresh.unbegun
	return changed
}

// keepHistories gives a copy that was loaded anew the times since when records are known that
// are the same in both.
func (v *View) keepHistories(fresh *View) {
	for worker, h := range v.silent {
		if _, found := fresh.silent[worker]; found && v.sameOffset(fresh, silentKey+worker) {
			fresh.silent[worker] = h
		}
	}
	for worker, b := range v.bounded {
		if _, found := fresh.bounded[worker]; found && v.sameOffset(fresh, boundedKey+worker) {
			fresh.bounded[worker] = b
		}
	}
	if v.sameOffset(fresh, renewalsKey) {
		fresh.renewals = v.renewals
	}
	if v.leader.Epoch == fresh.leader.Epoch && len(v.terms) > 0 {
		fresh.terms = v.terms
	}
}

// hasSameRecords reports whether a job has the same records in another copy.
func (v *View) hasSameRecords(other *View, id string) bool {
	for _, e := range RemovalEntries(id, true) {
		if !v.sameOffset(other, e.Key) {
			return false
		}
	}
	return true
}

// sameOffset reports whether both copies have the same record under a key, or none.
func (v *View) sameOffset(other *View, key string) bool {
	offset, found := v.offsets[key]
	otherOffset, otherFound := other.offsets[key]
	return found == otherFound && offset == otherOffset
}
