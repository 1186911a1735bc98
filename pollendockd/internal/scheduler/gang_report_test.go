package scheduler

import "testing"

// TestGangWaitNamesItsReasons checks the log field that tells why a gang sent no query.
func TestGangWaitNamesItsReasons(t *testing.T) {
	for _, c := range []struct {
		name string
		w    gangWait
		want string
	}{
		{"none", gangWait{}, ""},
		{"two", gangWait{passes: reasonCounts{noCapacity: 3, laterPass: 40}}, "room:3 a later pass:40"},
	} {
		if got := c.w.sinceLastQuery(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
