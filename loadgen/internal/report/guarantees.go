// Package report checks the answers that callers got against what the workers
// ran, and computes performance figures.
package report

import (
	"fmt"
	"strings"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
	"pollendock.example/loadgen/internal/client"
	"pollendock.example/loadgen/internal/workload"
	"pollendock.example/standin/httpapi"
	"pollendock.example/standin/invariant"
	"pollendock.example/standin/memplatform"
)

type (
	// Violation is a guarantee of the scheduler that did not hold, written to the
	// results as a breach of a promise.
	Violation struct {
		Guarantee string `json:"promise"`
		Detail    string `json:"detail"`
	}

	// checker collects violations, at most maxViolations of them.
	checker struct {
		runsByTag  map[string][]memplatform.Run
		violations []Violation
	}
)

const (
	maxViolations = 50
)

// Check returns the violations found in the calls and the workers' report.
func Check(mix *workload.Mix, calls []*client.Call, standinReport *httpapi.Report) []Violation {
	ch := &checker{runsByTag: map[string][]memplatform.Run{}}
	for _, r := range standinReport.Runs {
		ch.runsByTag[r.Tag] = append(ch.runsByTag[r.Tag], r)
	}
	for _, c := range calls {
		ch.checkCall(c)
	}
	limits := map[string]resource.Vector{}
	for name, t := range mix.Teams {
		limits[name] = t.Limit
	}
	ch.addAll("no task in two places", invariant.Overlaps(standinReport.Runs))
	ch.addAll("no VM beyond its capacity", invariant.Overcommitted(standinReport.Runs, standinReport.Capacities))
	ch.addAll("no team beyond its limit", invariant.OverLimit(standinReport.Runs, limits))
	return ch.violations
}

func (ch *checker) add(guarantee, format string, args ...any) {
	if len(ch.violations) < maxViolations {
		ch.violations = append(ch.violations, Violation{guarantee, fmt.Sprintf(format, args...)})
	}
}

func (ch *checker) addAll(guarantee string, details []string) {
	for _, d := range details {
		ch.add(guarantee, "%s", d)
	}
}

func (ch *checker) checkCall(c *client.Call) {
	if c.Final == nil {
		ch.add("answered", "%s got no answer in %d attempts", c.Arrival.Tag, len(c.Attempts))
		return
	}
	if c.Arrival.Request.Kind == config.Lookup {
		for _, attempt := range c.Attempts {
			ch.checkLookup(c.Arrival, &attempt)
		}
		return
	}
	ch.checkDurable(c)
}

func (ch *checker) checkLookup(a *workload.Arrival, attempt *client.Attempt) {
	if attempt.Answer == nil {
		return
	}
	ran := len(ch.runsByTag[attempt.Tag])
	switch attempt.Answer.Truth {
	case api.Ran:
		ch.checkAnswer(attempt.Tag, a, attempt.Answer.Code, attempt.Answer.Data)
	case api.NotRun:
		if ran > 0 {
			ch.add("not run is true", "%s was answered %s but ran %d times", attempt.Tag, attempt.Answer.Name, ran)
		}
	}
}

func (ch *checker) checkDurable(c *client.Call) {
	a := c.Arrival
	runs := ch.runsByTag[a.Tag]
	if a.Request.NonIdempotent && len(runs) > a.Request.Count {
		ch.add("at most once", "%s has %d tasks but ran %d times", a.Tag, a.Request.Count, len(runs))
	}
	if c.Final.Truth == api.NotRun && len(runs) > 0 {
		ch.add("not run is true", "%s was answered %s but ran %d times", a.Tag, c.Final.Name, len(runs))
	}
	if c.Final.Code == code.Accepted && a.Request.Kind != config.Service {
		ch.add("accepted work is not lost", "%s (job %s) has not ended", a.Tag, c.Final.Job)
	}
	for _, t := range c.Final.Tasks {
		if t.Truth == api.Ran {
			ch.checkAnswer(a.Tag, a, t.Code, t.Data)
		}
	}
}

// checkAnswer checks that the answer to a task that ran is complete and is that
// of the request's own payload. A failed task has no answer to compare.
func (ch *checker) checkAnswer(tag string, a *workload.Arrival, c code.Code, data string) {
	if c == code.TaskFailed {
		return
	}
	if want := tag + strings.Repeat(".", a.AnswerBytes); data != want {
		ch.add("whole and own answer", "%s: unexpected answer of %d bytes that starts with %.40q", tag, len(data), data)
	}
	if len(ch.runsByTag[tag]) == 0 {
		ch.add("whole and own answer", "%s was reported as run but never ran", tag)
	}
}
