package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/platform"
	"pollendock.example/pollendockd/internal/sleep"
	"pollendock.example/standin/fleet"
)

// entryInterval is the time between two entries of a worker.
const entryInterval = 500 * time.Millisecond

// oddEntry is an entry that names no worker.
type oddEntry struct {
	name, value string
}

func oddEntries() []oddEntry {
	const entry = `{"service":"s","address":"127.0.0.1:1007","zone":"z","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,` +
		`"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"sequence":4,"born":946684800000}`
	return []oddEntry{
		{"very deep", strings.Repeat("[", 200_000)},
		{"very deep in a field", strings.Replace(entry, `"v1"`, strings.Repeat(`{"a":`, 40_000)+"1"+strings.Repeat("}", 40_000), 1)},
		{"near the largest record", strings.Replace(entry, "v1", strings.Repeat("v", 260_000), 1)},
		{"number too large", strings.Replace(entry, "946684800000", "1e999", 1)},
		{"capacity that overflows", strings.Replace(entry, "16000", "9223372036854775807", 1)},
		{"cold for ever", strings.Replace(entry, `"cold-remaining-ms":0`, `"cold-remaining-ms":1e300`, 1)},
		{"port out of range", strings.Replace(entry, "1007", "70000", 1)},
		{"port 0", strings.Replace(entry, "1007", "0", 1)},
		{"missing fields", `{"service":"s"}`},
		{"bytes that are not text", "\x00\xff\xfe"},
		{"state that is not named", strings.Replace(entry, "ready", "asleep", 1)},
		{"service that is not named", strings.Replace(entry, `"s"`, `"other"`, 1)},
	}
}

// heartbeat writes the entries of the workers until the cell ends. The workers for which
// overwritten reports true are followed by an odd entry under their id.
func (c *cell) heartbeat(overwritten func(id string) bool, odd string) {
	for c.ctx.Err() == nil {
		list, err := c.fleet.Next(c.ctx)
		if err != nil {
			c.t.Error(err)
			return
		}
		for i := range list.Upstreams {
			u := &list.Upstreams[i]
			value, err := platform.EncodeUpstream(u)
			if err != nil {
				c.t.Error(err)
				return
			}
			c.setEntry(u.ID, string(value))
			if overwritten(u.ID) {
				c.setEntry(u.ID, odd)
			}
		}
		sleep.For(c.ctx, entryInterval)
	}
}

func (c *cell) setEntry(id, value string) {
	if _, err := c.entries.Append(c.ctx, []site.Entry{{Key: id, Value: []byte(value)}}); err != nil && c.ctx.Err() == nil {
		c.t.Error(err)
	}
}

// TestOddEntries checks that an odd entry alone is left out, and jobs go on: one that is
// present at the start, one among many, and one that overwrites a worker in use, whose runs
// end as usual and which is used again once its own entry is back; also under a leader that
// takes over meanwhile, and with a history that is deleted.
func TestOddEntries(t *testing.T) {
	for _, odd := range oddEntries() {
		t.Run(odd.name, func(t *testing.T) { inCell(t, 2, func(c *cell) { expectOthersUsed(c, odd.value) }) })
	}
}

// expectOthersUsed runs jobs while the odd entry is among the entries of the workers.
func expectOthersUsed(c *cell, odd string) {
	c.entries = fleet.NewStore()
	began := time.Now()
	go c.heartbeat(func(id string) bool {
		age := time.Since(began)
		return id == "w0" && age > 4*time.Second && age < 12*time.Second
	}, odd)
	c.setEntry("present at the start", odd)
	v := c.start("n1")
	c.submit("first", tasks(10, 2))
	expectPhase(c, v, "first", 4*time.Second, job.Completed)

	// Both workers run tasks as the entry of one is overwritten.
	time.Sleep(time.Until(began.Add(3900 * time.Millisecond)))
	c.submit("during", tasks(10, 2))
	for i := range 30 {
		c.setEntry(fmt.Sprint("odd", i), odd)
	}
	time.Sleep(time.Second)
	if n := c.fleet.Worker("w0").Running(); n == 0 {
		c.t.Error("the worker whose entry is overwritten runs nothing")
	}
	expectPhase(c, v, "during", 4*time.Second, job.Completed)
	for i := range 10 {
		expectStarts(c, "during", i, 1)
	}

	// The next leader reads the list anew, while the entry is overwritten.
	c.entries.Trim()
	second := c.start("n2")
	time.Sleep(time.Second)
	v.kill()
	c.submit("taken over", tasks(5, 2))
	expectPhase(c, second, "taken over", 10*time.Second, job.Completed)

	time.Sleep(time.Until(began.Add(14 * time.Second)))
	c.submit("after", tasks(10, 2))
	time.Sleep(time.Second)
	if n := c.fleet.Worker("w0").Running(); n == 0 {
		c.t.Error("the worker is not used again")
	}
	expectPhase(c, second, "after", 4*time.Second, job.Completed)
	if n := c.dialedOthers.Load(); n > 0 {
		c.t.Errorf("%d odd entries were taken for workers", n)
	}
}
