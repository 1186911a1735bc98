package entry

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

func expectCode(t *testing.T, req *trackedRequest, want code.Code) {
	t.Helper()
	if !req.answered || req.answer.Code != want {
		t.Errorf("%s: answered %t with %d %s (%s), want %d %s", req.tag, req.answered, req.answer.Code, req.answer.Name, req.answer.Detail, want, want)
	}
}

func TestEveryKindIsServed(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		var all []*trackedRequest
		for i := range 20 {
			all = append(all, c.lookup(fmt.Sprintf("entry-%d", i%3+1), fmt.Sprintf("lookup-%d", i), 20*time.Millisecond))
		}
		all = append(all,
			c.submit(jobParams{entry: "entry-1", tag: "batch", kind: config.Batch, count: 6, run: time.Second}),
			c.submit(jobParams{entry: "entry-2", tag: "gang", kind: config.Gang, count: 8, run: time.Second}),
			c.submit(jobParams{entry: "entry-3", tag: "settlement", kind: config.Batch, run: time.Second, nonIdempotent: true}),
		)
		c.wait(20 * time.Second)
		for _, req := range all {
			expectCode(t, req, code.OK)
		}
	})
}
