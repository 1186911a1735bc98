package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/peer"
)

// TestJudgeCanFail breaks one rule at a time and expects the judge to find it.
func TestJudgeCanFail(t *testing.T) {
	cases := []struct {
		promise string
		find    string
		run     func(c *testCell)
	}{
		{"no VM beyond its capacity", " held ", func(c *testCell) {
			// The judge is told of smaller workers than there are.
			for id := range c.caps {
				c.caps[id] = testSize
			}
			c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 8, run: time.Second})
		}},
		{"no task in two places", "at once", func(c *testCell) {
			// Workers hide what they run from whoever claims them.
			c.tamper.claim = func(claim *platform.Claim) { claim.Tasks = nil }
			c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 12, run: 20 * time.Second})
			c.settle(4 * time.Second)
			c.kill(c.busyHome())
		}},
		{"a withdrawn key stops working", "withdrawn key", func(c *testCell) {
			// One entry VM misses the withdrawal and says that it has it.
			misses := c.otherHome()
			c.tamper.page = func(from string, page *platform.LogPage) {
				if from == misses {
					blank(page, "publish")
				}
			}
			c.tamper.view = func(_ string, v *peer.View) { v.Next = 1 << 40 }
			s := c.operate("entry-1", "withdrawal", `{"teams":{"borea":{"keys":{"k1":null}}}}`)
			c.useWithdrawnKey(s)
		}},
		{"no team beyond its limit", " held ", func(c *testCell) {
			c.tamper.page = func(_ string, page *platform.LogPage) {
				for i, data := range page.Records {
					page.Records[i] = json.RawMessage(strings.ReplaceAll(string(data), `"slots":12`, `"slots":16`))
				}
			}
			c.operate("entry-1", "raise", `{"teams":{"atlas":{"limit":{"milliCpu":16000,"slots":12}}}}`)
			c.settle(5 * time.Second)
			c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 16, run: 5 * time.Second})
		}},
		{"whole and own answers", "got the answer", func(c *testCell) {
			c.tamper.start = func(s *platform.TaskStatus) { s.Data = "another's"; s.Digest = api.Digest(s.Data) }
			c.lookup("entry-1", "lookup", 20*time.Millisecond)
		}},
		{"not run is true", "answered noRoom and ran", func(c *testCell) {
			// A stop of a task that ran is answered as if it had not started.
			c.tamper.stop = func(s *platform.TaskStatus) { s.State = platform.NeverStarted }
			c.wires.add(&rule{match: opIs("startLookup"), count: 1, after: hang})
			c.wires.add(&rule{match: opIs("startLookup"), before: func(context.Context) error {
				return platform.Refuse(platform.WorkerFull, "no room")
			}})
			c.lookup(c.otherHome(), "lookup", 20*time.Millisecond)
		}},
		{"at most once", "non-idempotent, 12 tasks ran", func(c *testCell) {
			// Workers hide what they ran from whoever claims them.
			c.tamper.claim = func(claim *platform.Claim) { claim.Tasks = nil }
			c.submit(order{entry: "entry-1", tag: "settlement", kind: config.Batch, count: 12, run: 20 * time.Second, nonIdempotent: true})
			c.settle(4 * time.Second)
			c.kill(c.busyHome())
		}},
		{"every request is answered", "not answered", func(c *testCell) {
			c.wires.add(&rule{match: appendOf("settle"), before: hang})
			c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, run: time.Second})
		}},
		{"leaving upstreams", "listed as leaving", func(c *testCell) {
			c.leftAt["worker-1"] = time.Now()
			c.settle(leavingBound)
			c.submit(order{entry: "entry-1", tag: "batch", kind: config.Batch, count: 12, run: time.Second})
			c.submit(order{entry: "entry-1", tag: "more", kind: config.Batch, count: 12, run: time.Second})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.promise, func(t *testing.T) {
			t.Parallel()
			inBubble(t, 3, 4, func(c *testCell) {
				tc.run(c)
				c.awaitAnswers(250 * time.Second)
				found := c.breaches()
				if !strings.Contains(strings.Join(found, "\n"), tc.find) {
					t.Errorf("the judge did not find %q in %q", tc.find, found)
				}
			})
		})
	}
}

// blank replaces records of a kind by records without effect.
func blank(page *platform.LogPage, kind string) {
	for i, data := range page.Records {
		if strings.Contains(string(data), fmt.Sprintf("%q:{", kind)) && strings.Contains(string(data), "null") {
			page.Records[i] = json.RawMessage(`{}`)
		}
	}
}
