package scheduler

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
)

// invalidEntries remembers which entries of the list of workers are left out, so that each
// change is reported once and not with each reading of the list.
type invalidEntries struct {
	// reasons holds the reason by key.
	reasons map[string]string
	// loggedAt holds the times of the latest log lines.
	loggedAt []time.Time
}

const (
	// Other writers may change an entry as often as they like. At most maxInvalidLines
	// changes are logged in each invalidLogInterval; all are counted.
	maxInvalidLines    = 20
	invalidLogInterval = 10 * time.Second
)

// reportInvalid logs and counts the entries that have become invalid, or invalid for another
// reason, and logs those that no longer are.
func (s *Scheduler) reportInvalid(list []site.InvalidEntry, now time.Time) {
	before := s.invalid.reasons
	s.invalid.reasons = make(map[string]string, len(list))
	for _, e := range list {
		s.invalid.reasons[e.Key] = e.Reason
		if before[e.Key] == e.Reason {
			continue
		}
		s.deps.Counts.Count("upstream_entries_left_out", 1)
		if s.invalid.mayLog(now) {
			_ = level.Warn(s.deps.Logger).Log("msg", "entry does not describe a worker; left out", "worker", e.Key, "why", e.Reason, "leftOut", len(list))
		}
	}
	for key := range before {
		if _, still := s.invalid.reasons[key]; !still && s.invalid.mayLog(now) {
			_ = level.Info(s.deps.Logger).Log("msg", "entry is no longer invalid", "worker", key, "leftOut", len(list))
		}
	}
}

// ofKnownServices returns the workers of the services that the catalog names, and the other
// entries: such an entry names no worker to use. Without a catalog all are taken for workers.
func ofKnownServices(list []site.Upstream, catalog *site.Catalog) ([]site.Upstream, []site.InvalidEntry) {
	if catalog == nil {
		return list, nil
	}
	known := make([]site.Upstream, 0, len(list))
	var others []site.InvalidEntry
	for i := range list {
		if _, found := catalog.Services[list[i].Service]; found {
			known = append(known, list[i])
			continue
		}
		others = append(others, site.InvalidEntry{Key: list[i].ID, Reason: fmt.Sprintf("unknown service %.60q", list[i].Service)})
	}
	return known, others
}

// mayLog reports whether one more change may be logged, and notes that it is.
func (v *invalidEntries) mayLog(now time.Time) bool {
	for len(v.loggedAt) > 0 && now.Sub(v.loggedAt[0]) >= invalidLogInterval {
		v.loggedAt = v.loggedAt[1:]
	}
	if len(v.loggedAt) >= maxInvalidLines {
		return false
	}
	v.loggedAt = append(v.loggedAt, now)
	return true
}
