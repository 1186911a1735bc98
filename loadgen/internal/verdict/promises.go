// Package verdict judges what callers saw against what the workers did, and
// works out the measures.
package verdict

import (
	"fmt"
	"strings"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
	"pollendock.example/loadgen/internal/caller"
	"pollendock.example/loadgen/internal/rehearsal"
	"pollendock.example/standin/history"
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
		byTag    map[string][]role.Run
		breaches []Breach
	}
)

const (
	maxBreaches = 50
)

// Judge returns every breach that the stories and the workers' report show.
func Judge(mix *rehearsal.Mix, stories []*caller.Call, report *web.Report) []Breach {
	j := &judge{byTag: map[string][]role.Run{}}
	for _, r := range report.Runs {
		j.byTag[r.Tag] = append(j.byTag[r.Tag], r)
	}
	for _, s := range stories {
		j.story(s)
	}
	limits := map[string]resource.Vector{}
	for name, t := range mix.Teams {
		limits[name] = t.Limit
	}
	j.failAll("no task in two places", history.Overlaps(report.Runs))
	j.failAll("no VM beyond its capacity", history.Overcommitted(report.Runs, report.Capacities))
	j.failAll("no team beyond its limit", history.OverLimit(report.Runs, limits))
	return j.breaches
}

func (j *judge) fail(promise, format string, args ...any) {
	if len(j.breaches) < maxBreaches {
		j.breaches = append(j.breaches, Breach{promise, fmt.Sprintf(format, args...)})
	}
}

func (j *judge) failAll(promise string, details []string) {
	for _, d := range details {
		j.fail(promise, "%s", d)
	}
}

func (j *judge) story(s *caller.Call) {
	if s.Final == nil {
		j.fail("answered", "%s has no answer after %d tries", s.Arrival.Tag, len(s.Attempts))
		return
	}
	if s.Arrival.Request.Kind == config.Lookup {
		for _, t := range s.Attempts {
			j.lookup(s.Arrival, &t)
		}
		return
	}
	j.durable(s)
}

func (j *judge) lookup(o *rehearsal.Arrival, t *caller.Attempt) {
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

func (j *judge) durable(s *caller.Call) {
	o := s.Arrival
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
func (j *judge) wholeAndOwn(tag string, o *rehearsal.Arrival, c code.Code, data string) {
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
