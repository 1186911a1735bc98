package advice

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestAnswersAreKept checks what is kept of several queries about a step.
func TestAnswersAreKept(t *testing.T) {
	now := time.Now()
	a := NewAnswers()
	a.Add(now, "j", 0, []string{"w1", "w2", "w3"}, []string{"w2"})
	a.Add(now, "j", 0, []string{"w2", "w3", "w4"}, []string{"w2", "w3"})
	a.Add(now, "j", 1, []string{"w1"}, nil)
	for _, c := range []struct {
		step             int
		allowed, refused []string
	}{
		{0, []string{"w2", "w3"}, []string{"w1", "w4"}},
		{1, nil, []string{"w1"}},
	} {
		got := a.List(now)[c.step]
		if got.Job != "j" || got.Step != c.step || !slices.Equal(got.Allowed, c.allowed) || !slices.Equal(got.Refused, c.refused) {
			t.Errorf("%+v, want allowed %v and refused %v", got, c.allowed, c.refused)
		}
	}
}

// TestAnswersAreBounded checks that answers are dropped by their number and their age, the oldest
// first.
func TestAnswersAreBounded(t *testing.T) {
	now := time.Now()
	a := NewAnswers()
	workers := make([]string, 100)
	for i := range workers {
		workers[i] = fmt.Sprintf("w%d", i)
	}
	for i := range 3 * maxAnswers / len(workers) {
		a.Add(now, fmt.Sprintf("j%d", i), 0, workers, workers[:30])
		// The first step is asked about again and again.
		a.Add(now, "j0", 0, workers, workers[:30])
	}
	steps := a.List(now)
	if n := len(steps) * len(workers); n > maxAnswers {
		t.Errorf("%d answers are kept, want %d at most", n, maxAnswers)
	}
	if !slices.ContainsFunc(steps, func(s StepAnswers) bool { return s.Job == "j0" }) {
		t.Error("the step with the newest answer is not kept")
	}
	a.DropEnded(func(job string) bool { return job == "j0" })
	if steps := a.List(now); slices.ContainsFunc(steps, func(s StepAnswers) bool { return s.Job == "j0" }) {
		t.Error("the answers for a job that has ended are kept")
	}
	if steps := a.List(now.Add(maxAnswersAge)); len(steps) != 0 || a.count != 0 || len(a.steps) != 0 {
		t.Errorf("%d steps are kept after %v", len(steps), maxAnswersAge)
	}
}
