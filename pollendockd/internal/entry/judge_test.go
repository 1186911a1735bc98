package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/resource"
	"pollendock.example/standin/history"
	"pollendock.example/standin/role"
)

// breaches checks the whole history against the promises.
func (c *testCell) breaches() []string {
	var runs []role.Run
	for _, w := range c.workers {
		runs = append(runs, w.Runs()...)
	}
	found := judgeRuns(runs, c.caps, c.limits, c.stories)
	for _, r := range runs {
		left, leaving := c.leftAt[r.Worker]
		if leaving && r.Start.Sub(left) > leavingBound {
			found = append(found, fmt.Sprintf("%s started on %s %s after it was listed as leaving", r.Tag, r.Worker, r.Start.Sub(left)))
		}
	}
	return found
}

// leavingBound is the promise for upstreams that leave, and the lag of the list.
const leavingBound = 4 * time.Second

// leave lists a worker as leaving.
func (c *testCell) leave(id string) {
	vms, err := c.vms.List(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	for _, vm := range vms {
		if vm.ID == id {
			vm.Leaving = true
			c.vms.Put(vm)
			c.leftAt[id] = time.Now()
		}
	}
}

// judgeRuns returns every breach that the runs and the stories show.
func judgeRuns(runs []role.Run, caps, limits map[string]resource.Vector, stories []*story) []string {
	found := history.Overlaps(runs)
	found = append(found, history.Overcommitted(runs, caps)...)
	found = append(found, history.OverLimit(runs, limits)...)
	byTag := map[string]int{}
	for _, r := range runs {
		byTag[r.Tag]++
	}
	for _, r := range runs {
		if strings.HasPrefix(r.Tag, withdrawnTag) {
			found = append(found, r.Tag+": ran under a withdrawn key on "+r.Worker)
		}
	}
	for _, s := range stories {
		found = append(found, judgeStory(s, byTag[s.tag])...)
	}
	return found
}

func judgeStory(s *story, ran int) []string {
	var found []string
	fail := func(format string, args ...any) { found = append(found, s.tag+": "+fmt.Sprintf(format, args...)) }
	if s.nonIdempotent && ran > s.count {
		fail("non-idempotent, %d tasks ran %d times", s.count, ran)
	}
	if !s.answered {
		fail("not answered within %s; last answer %+v", s.budget, s.answer)
		return found
	}
	if s.took > s.budget {
		fail("answered after %s", s.took)
	}
	if s.patch {
		if s.answer.Code != code.OK && s.answer.Code != code.Pending {
			fail("final answer %+v", s.answer)
		}
		return found
	}
	switch s.answer.Truth {
	case api.NotRun:
		if ran > 0 {
			fail("answered %s and ran %d times", s.answer.Name, ran)
		}
	case api.Ran:
		if ran == 0 {
			fail("answered as run and never ran")
		}
		results := []string{s.answer.Data}
		if len(s.answer.Tasks) > 0 {
			results = nil
		}
		for _, task := range s.answer.Tasks {
			results = append(results, task.Data)
		}
		for _, data := range results {
			if data != s.tag+strings.Repeat(".", 20) {
				fail("got the answer %.40q", data)
			}
		}
	case api.MayHaveRun:
	default:
		fail("final answer %+v", s.answer)
	}
	return found
}
