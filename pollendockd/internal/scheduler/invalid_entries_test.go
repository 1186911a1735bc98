package scheduler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/site"
)

// countsByName adds up counters.
type countsByName map[string]int64

func (c countsByName) Count(name string, n int64) { c[name] += n }
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
