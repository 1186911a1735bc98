package entry

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

func expectCode(t *testing.T, s *story, want code.Code) {
	t.Helper()
	if !s.answered || s.answer.Code != want {
		t.Errorf("%s: answered %t with %d %s (%s), want %d %s", s.tag, s.answered, s.answer.Code, s.answer.Name, s.answer.Detail, want, want)
	}
}

func TestEveryKindIsServed(t *testing.T) {
	runCell(t, 3, 6, func(c *testCell) {
		var all []*story
		for i := range 20 {
			all = append(all, c.lookup(fmt.Sprintf("entry-%d", i%3+1), fmt.Sprintf("lookup-%d", i), 20*time.Millisecond))
		}
		all = append(all,
			c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 6, run: time.Second}),
			c.submit(order{entry: "entry-2", tag: "gang", kind: config.Gang, count: 8, run: time.Second}),
			c.submit(order{entry: "entry-3", tag: "settlement", kind: config.Batch, run: time.Second, nonIdempotent: true}),
		)
		c.settle(20 * time.Second)
		for _, s := range all {
			expectCode(t, s, code.OK)
		}
	})
}
