package scheduler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

// countsByName adds up counters.
type countsByName map[string]int64

func (c countsByName) Count(name string, n int64) { c[name] += n }
func (c countsByName) Gauge(string, int64)        {}
func (c countsByName) Time(string, time.Duration) {}

// TestReportInvalidEntries checks that each change of an entry is counted and logged once,
// and that the log is bounded.
func TestReportInvalidEntries(t *testing.T) {
	var lines bytes.Buffer
	counts := countsByName{}
	s := New(Options{}, Deps{Logger: log.NewLogfmtLogger(&lines), Counts: counts})
	now := time.Unix(1000, 0)
	many := make([]site.InvalidEntry, 1000)
	for i := range many {
		many[i] = site.InvalidEntry{Key: fmt.Sprint("odd", i), Reason: "deep"}
	}
	for _, step := range []struct {
		name         string
		list         []site.InvalidEntry
		after        time.Duration
		lines, total int
	}{
		{"none", nil, 0, 0, 0},
		{"one", []site.InvalidEntry{{Key: "a", Reason: "deep"}}, 0, 1, 1},
		{"the same", []site.InvalidEntry{{Key: "a", Reason: "deep"}}, time.Second, 0, 1},
		{"another reason", []site.InvalidEntry{{Key: "a", Reason: "port"}}, 0, 1, 2},
		{"another entry", []site.InvalidEntry{{Key: "a", Reason: "port"}, {Key: "b", Reason: "deep"}}, 0, 1, 3},
		{"taken back", []site.InvalidEntry{{Key: "b", Reason: "deep"}}, 0, 1, 3},
		{"very many", many, invalidLogInterval, maxInvalidLines, 1003},
		{"all taken back", nil, invalidLogInterval, maxInvalidLines, 1003},
	} {
		now = now.Add(step.after)
		lines.Reset()
		s.reportInvalid(step.list, now)
		if n := strings.Count(lines.String(), "\n"); n != step.lines {
			t.Errorf("%s: %d lines, want %d: %s", step.name, n, step.lines, &lines)
		}
		if n := counts["upstream_entries_left_out"]; n != int64(step.total) {
			t.Errorf("%s: counted %d, want %d", step.name, n, step.total)
		}
	}
}

// TestUnknownServices checks that a worker of a service that no configuration names is left
// out, and is used once one does.
func TestUnknownServices(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		c.fleet.Add("other", "later", resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000})
		v := c.start("n1")
		time.Sleep(2 * time.Second)
		list, err := c.fleet.Next(c.ctx)
		if err != nil {
			t.Fatal(err)
		}
		known, others := ofKnownServices(list.Upstreams, c.currentCatalog())
		if len(known) != 1 || len(others) != 1 || others[0].Key != "other" || others[0].Reason == "" {
			t.Errorf("known are %+v, others %+v", known, others)
		}
		if known, others := ofKnownServices(list.Upstreams, nil); len(known) != 2 || len(others) != 0 {
			t.Errorf("without a catalog known are %+v, others %+v", known, others)
		}
		c.mu.Lock()
		c.catalog = (&site.Catalog{
			Version: 2, Teams: c.catalog.Teams, Services: map[string]site.Service{"s": {}, "later": {}},
			Queues: append(c.catalog.Queues, site.Queue{Name: "laterQueue", Service: "later", MaxAttempts: 2, Stretch: 2, Objective: time.Second}),
		}).Index()
		c.mu.Unlock()
		c.submitTo("laterQueue", "a", tasks(1, 2))
		expectPhase(c, v, "a", 5*time.Second, job.Completed)
		if n := c.fleet.Worker("w0").Running(); n != 0 {
			t.Errorf("%d runs on a worker of another service", n)
		}
	})
}
