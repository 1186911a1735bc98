// Package history checks what the workers ran against the promises that need
// no knowledge of the callers.
package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/standin/role"
)

type (
	// change is a step in what runs somewhere.
	change struct {
		at    time.Time
		delta resource.Vector
	}
)

const (
	endlessRun   = 24 * time.Hour
	lookupPrefix = "L!"
)

// EndOf returns the end of a run; that of a running one is far away.
func EndOf(r role.Run) time.Time {
	if r.End.IsZero() {
		return r.Start.Add(endlessRun)
	}
	return r.End
}

// taskOf names the task that a run belongs to. Lookups are told apart by tag,
// durable tasks by the part of the attempt before the last slash.
func taskOf(r role.Run) string {
	at := strings.LastIndex(r.Attempt, "/")
	if at < 0 || strings.HasPrefix(r.Attempt, lookupPrefix) {
		return r.Tag
	}
	return r.Attempt[:at]
}

// Overlaps returns the tasks of which two runs overlap in time.
func Overlaps(runs []role.Run) []string {
	byTask := map[string][]role.Run{}
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

// before orders runs by start. A run that ended as it started comes before one
// that started then.
func before(a, b role.Run) bool {
	if !a.Start.Equal(b.Start) {
		return a.Start.Before(b.Start)
	}
	return EndOf(a).Before(EndOf(b))
}

// Overcommitted returns the workers that ever held more than their capacity.
func Overcommitted(runs []role.Run, capacities map[string]resource.Vector) []string {
	return beyond(runs, func(r role.Run) string { return r.Worker }, capacities)
}

// OverLimit returns the teams that ever had more running than their limit.
func OverLimit(runs []role.Run, limits map[string]resource.Vector) []string {
	return beyond(runs, func(r role.Run) string { return r.Team }, limits)
}

func beyond(runs []role.Run, keyOf func(role.Run) string, bounds map[string]resource.Vector) []string {
	byKey := map[string][]change{}
	for _, r := range runs {
		byKey[keyOf(r)] = append(byKey[keyOf(r)], change{r.Start, r.Size}, change{EndOf(r), r.Size.Scale(-1)})
	}
	var found []string
	for key, changes := range byKey {
		if peak := peakOf(changes); !peak.Fits(bounds[key]) {
			found = append(found, fmt.Sprintf("%s held %s of %s", key, peak, bounds[key]))
		}
	}
	return found
}

// peakOf returns the greatest sum in each component; an end comes before a
// start at the same time.
func peakOf(changes []change) resource.Vector {
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
