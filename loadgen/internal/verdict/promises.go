// Package verdict judges what callers saw against what the workers did, and
// works out the measures.
package verdict

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
	"pollendock.example/loadgen/internal/caller"
	"pollendock.example/loadgen/internal/rehearsal"
	"pollendock.example/standin/role"
	"pollendock.example/standin/web"
)

type (
	// Breach is a promise that did not hold.
	Breach struct {
		Promise string `json:"promise"`
		Detail  string `json:"detail"`
	}

	// judge collects breaches.
	judge struct {
		mix      *rehearsal.Mix
		byTag    map[string][]role.Run
		breaches []Breach
	}

	// change is a step in what runs somewhere.
	change struct {
		at    time.Time
		delta resource.Vector
	}
)

const (
	maxBreaches = 50
	endlessRun  = 24 * time.Hour
)

// Judge returns every breach that the stories and the workers' report show.
func Judge(mix *rehearsal.Mix, stories []*caller.Story, report *web.Report) []Breach {
	j := &judge{mix: mix, byTag: map[string][]role.Run{}}
	for _, r := range report.Runs {
		j.byTag[r.Tag] = append(j.byTag[r.Tag], r)
	}
	for _, s := range stories {
		j.story(s)
	}
	j.tasksTwice(report.Runs)
	j.commitments(report)
	j.limits(report.Runs)
	return j.breaches
}

func (j *judge) fail(promise, format string, args ...any) {
	if len(j.breaches) < maxBreaches {
		j.breaches = append(j.breaches, Breach{promise, fmt.Sprintf(format, args...)})
	}
}

func (j *judge) story(s *caller.Story) {
	if s.Final == nil {
		j.fail("answered", "%s has no answer after %d tries", s.Order.Tag, len(s.Tries))
		return
	}
	if s.Order.Request.Kind == config.Lookup {
		for _, t := range s.Tries {
			j.lookup(s.Order, &t)
		}
		return
	}
	j.durable(s)
}

func (j *judge) lookup(o *rehearsal.Order, t *caller.Try) {
	if t.Answer == nil {
		return
	}
	ran := len(j.byTag[t.Tag])
	switch t.Answer.Truth {
	case api.Ran:
		j.wholeAndOwn(t.Tag, o, t.Answer.Code, t.Answer.Data)
	case api.NotRun:
		if ran > 0 {
			j.fail("not run is true", "%s was answered %s and ran %d times", t.Tag, t.Answer.Name, ran)
		}
	}
}

func (j *judge) durable(s *caller.Story) {
	o := s.Order
	runs := j.byTag[o.Tag]
	if o.Request.NonIdempotent && len(runs) > o.Request.Count {
		j.fail("at most once", "%s has %d tasks and ran %d times", o.Tag, o.Request.Count, len(runs))
	}
	if s.Final.Truth == api.NotRun && len(runs) > 0 {
		j.fail("not run is true", "%s was answered %s and ran %d times", o.Tag, s.Final.Name, len(runs))
	}
	if s.Final.Code == code.Accepted && o.Request.Kind != config.Service {
		j.fail("accepted work is not lost", "%s (job %s) has not ended", o.Tag, s.Final.Job)
	}
	for _, t := range s.Final.Tasks {
		if t.Truth == api.Ran {
			j.wholeAndOwn(o.Tag, o, t.Code, t.Data)
		}
	}
}

// wholeAndOwn checks that an answer is the one that the request's own payload
// leads to.
func (j *judge) wholeAndOwn(tag string, o *rehearsal.Order, c code.Code, data string) {
	if c == code.TaskFailed {
		return
	}
	if want := tag + strings.Repeat(".", o.AnswerBytes); data != want {
		j.fail("whole and own answer", "%s got %d bytes that start with %.40q", tag, len(data), data)
	}
	if len(j.byTag[tag]) == 0 {
		j.fail("whole and own answer", "%s was answered as run and never ran", tag)
	}
}

// tasksTwice checks that no two runs of one task overlap in time. Lookups are
// told apart by tag, durable tasks by the part of the attempt before the last
// slash.
func (j *judge) tasksTwice(runs []role.Run) {
	byTask := map[string][]role.Run{}
	for _, r := range runs {
		task := r.Tag
		if at := strings.LastIndex(r.Attempt, "/"); at >= 0 && !strings.HasPrefix(r.Attempt, "L!") {
			task = r.Attempt[:at]
		}
		byTask[task] = append(byTask[task], r)
	}
	for task, list := range byTask {
		sort.Slice(list, func(a, b int) bool { return list[a].Start.Before(list[b].Start) })
		for i := 1; i < len(list); i++ {
			if list[i].Start.Before(endOf(list[i-1])) {
				j.fail("no task in two places", "%s ran on %s and on %s at once", task, list[i-1].Worker, list[i].Worker)
			}
		}
	}
}

// commitments checks that no worker ever held more than its capacity.
func (j *judge) commitments(report *web.Report) {
	byWorker := map[string][]change{}
	for _, r := range report.Runs {
		byWorker[r.Worker] = append(byWorker[r.Worker], changesOf(r)...)
	}
	for worker, changes := range byWorker {
		if peak := peakOf(changes); !peak.Fits(report.Capacities[worker]) {
			j.fail("no VM beyond its capacity", "%s held %s of %s", worker, peak, report.Capacities[worker])
		}
	}
}

// limits checks that no team ever had more running than its limit.
func (j *judge) limits(runs []role.Run) {
	byTeam := map[string][]change{}
	for _, r := range runs {
		byTeam[r.Team] = append(byTeam[r.Team], changesOf(r)...)
	}
	for team, changes := range byTeam {
		if peak := peakOf(changes); !peak.Fits(j.mix.Teams[team].Limit) {
			j.fail("no team beyond its limit", "%s had %s of %s", team, peak, j.mix.Teams[team].Limit)
		}
	}
}

func endOf(r role.Run) time.Time {
	if r.End.IsZero() {
		return r.Start.Add(endlessRun)
	}
	return r.End
}

func changesOf(r role.Run) []change {
	return []change{{r.Start, r.Size}, {endOf(r), r.Size.Scale(-1)}}
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
