// Package invariant checks the history of runs on the workers for violations of
// the invariants that do not depend on what callers submitted.
package invariant

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/standin/memplatform"
)

type (
	// usageChange is a change in resource usage.
	usageChange struct {
		at    time.Time
		delta resource.Vector
	}
)

const (
	unendedDuration = 24 * time.Hour
	lookupPrefix    = "L!"
)

// EndOf returns the end of a run. For one that has not ended, it is a time far
// after its start.
func EndOf(r memplatform.Run) time.Time {
	if r.End.IsZero() {
		return r.Start.Add(unendedDuration)
	}
	return r.End
}

// taskOf returns the task that a run belongs to: the tag for a lookup, the part
// of the attempt before the last slash for a durable task.
func taskOf(r memplatform.Run) string {
	at := strings.LastIndex(r.Attempt, "/")
	if at < 0 || strings.HasPrefix(r.Attempt, lookupPrefix) {
		return r.Tag
	}
	return r.Attempt[:at]
}

// Overlaps returns a message for each pair of runs of one task that overlap in
// time.
func Overlaps(runs []memplatform.Run) []string {
	byTask := map[string][]memplatform.Run{}
	for _, r := range runs {
		byTask[taskOf(r)] = append(byTask[taskOf(r)], r)
	}
	var found []string
	for task, list := range byTask {
		sort.Slice(list, func(a, b int) bool { return before(list[a], list[b]) })
		for i := 1; i < len(list); i++ {
			if list[i].Start.Before(EndOf(list[i-1])) {
				found = append(found, fmt.Sprintf("%s ran on %s and on %s at once", task, list[i-1].Worker, list[i].Worker))
			}
		}
	}
	return found
}

// before orders runs by start. Of two with the same start, the one that ended
// first comes first, so that a run of no duration does not count as an overlap.
func before(a, b memplatform.Run) bool {
	if !a.Start.Equal(b.Start) {
		return a.Start.Before(b.Start)
	}
	return EndOf(a).Before(EndOf(b))
}

// Overcommitted returns a message for each worker whose runs exceeded its
// capacity at any time.
func Overcommitted(runs []memplatform.Run, capacities map[string]resource.Vector) []string {
	return exceeding(runs, func(r memplatform.Run) string { return r.Worker }, capacities)
}

// OverLimit returns a message for each team whose runs exceeded its limit at
// any time.
func OverLimit(runs []memplatform.Run, limits map[string]resource.Vector) []string {
	return exceeding(runs, func(r memplatform.Run) string { return r.Team }, limits)
}

// exceeding groups runs by key and returns a message for each group whose peak
// usage exceeds its limit.
func exceeding(runs []memplatform.Run, keyOf func(memplatform.Run) string, limits map[string]resource.Vector) []string {
	byKey := map[string][]usageChange{}
	for _, r := range runs {
		byKey[keyOf(r)] = append(byKey[keyOf(r)], usageChange{r.Start, r.Size}, usageChange{EndOf(r), r.Size.Scale(-1)})
	}
	var found []string
	for key, changes := range byKey {
		if peak := peakOf(changes); !peak.Fits(limits[key]) {
			found = append(found, fmt.Sprintf("%s held %s of %s", key, peak, limits[key]))
		}
	}
	return found
}

// peakOf returns the peak of each resource separately. An end is applied before
// a start at the same time.
func peakOf(changes []usageChange) resource.Vector {
	sort.SliceStable(changes, func(a, b int) bool {
		if !changes[a].at.Equal(changes[b].at) {
			return changes[a].at.Before(changes[b].at)
		}
		return changes[a].delta.Slots < changes[b].delta.Slots
	})
	var sum, peak resource.Vector
	for _, c := range changes {
		sum = sum.Add(c.delta)
		peak = peak.Max(sum)
	}
	return peak
}
