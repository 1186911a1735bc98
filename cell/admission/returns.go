package admission

import "time"

// Returns spreads the retries of refused callers over time, so that they do not come
// back at once: each gets the next free time at the rate at which jobs can be served. The
// zero value has no times reserved.
type Returns struct {
	next time.Time
}

// MinRetryAfter is the shortest delay that callers can be given, since Retry-After
// counts whole seconds.
const MinRetryAfter = time.Second

// Book returns the delay after which a refused caller should retry. If that would leave
// the job too little time, it reports false and returns a delay that leaves half of the
// time for another attempt, in case the forecast is wrong, and takes no place.
func (r *Returns) Book(now time.Time, j *Job, v *Verdict) (time.Duration, bool) {
	at := now.Add(max(MinRetryAfter, v.Earliest))
	if r.next.After(at) {
		at = r.next
	}
	delay := at.Sub(now)
	if delay > j.patience() {
		return max(MinRetryAfter, j.patience()/2), false
	}
	r.next = at.Add(v.Interval)
	return delay, true
}
