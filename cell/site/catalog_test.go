package site

import (
	"fmt"
	"strings"
	"testing"
)

// TestQueueFor checks that the longest matching prefix of the host wins.
func TestQueueFor(t *testing.T) {
	c := (&Catalog{Queues: []Queue{
		{Name: "all", Host: "h", PathPrefix: "/"},
		{Name: "a", Host: "h", PathPrefix: "/a/"},
		{Name: "ab", Host: "h", PathPrefix: "/a/b/"},
		{Name: "abAgain", Host: "h", PathPrefix: "/a/b/"},
		{Name: "other", Host: "o", PathPrefix: "/a/b/c/"},
	}}).Index()
	for _, q := range []struct{ host, path, queue, rest string }{
		{"h", "/a/b/c", "ab", "c"},
		{"h", "/a/b/", "ab", ""},
		{"h", "/a/b", "a", "b"},
		{"h", "/b", "all", "b"},
		{"h", "x", "", ""},
		{"h", "", "", ""},
		{"o", "/a/b/c/d", "other", "d"},
		{"o", "/a/b/", "", ""},
		{"p", "/", "", ""},
	} {
		got, rest := c.QueueFor(q.host, q.path)
		name := ""
		if got != nil {
			name = got.Name
		}
		if name != q.queue || rest != q.rest {
			t.Errorf("%s%s: queue %q and rest %q, want %q and %q", q.host, q.path, name, rest, q.queue, q.rest)
		}
	}
	if c.Queue("ab") == nil || c.Queue("none") != nil {
		t.Error("lookup of queues by name is wrong")
	}
}

// TestManyQueues checks that the cost of a lookup does not depend on the number of
// queues. A single configuration change may add 1,100 routes.
func TestManyQueues(t *testing.T) {
	allocated := testing.AllocsPerRun(100, func() {})
	c := &Catalog{}
	for i := range 2000 {
		c.Queues = append(c.Queues, Queue{Name: fmt.Sprint("q", i), Host: "h", PathPrefix: fmt.Sprintf("/%s%d/", strings.Repeat("p", i%7), i)})
	}
	c.Index()
	if n := len(c.queuesByHost["h"].prefixLengths); n > 12 {
		t.Errorf("a lookup tries %d prefix lengths", n)
	}
	if n := testing.AllocsPerRun(100, func() { c.QueueFor("h", "/p1/0123456789abcdef") }); n > allocated {
		t.Errorf("%v allocations a lookup", n)
	}
}
