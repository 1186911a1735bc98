package main

import (
	"net"
	"net/http"
	"net/netip"
	"path"
	"testing"
	"time"

	"pollendock.example/cell/loopback"
)

// TestAnswersForAcceptedJobs checks which answers for an accepted job are violations.
func TestAnswersForAcceptedJobs(t *testing.T) {
	const early, late = maxPropagationDelay, maxPropagationDelay + time.Millisecond
	for _, c := range []struct {
		name   string
		job    *jobClient
		status int
		state  string
		after  time.Duration
		want   int
	}{
		{"waiting", &jobClient{}, http.StatusOK, "waiting", late, 0},
		{"unknown at first", &jobClient{}, http.StatusGone, "", early, 0},
		{"unknown", &jobClient{}, http.StatusGone, "", late, 1},
		{"failed without cause", &jobClient{}, http.StatusOK, failed, late, 1},
		{"failed after one failed run of each task", &jobClient{failFirstRun: true}, http.StatusOK, failed, late, 1},
		{"failed because it crashes workers", &jobClient{poison: true}, http.StatusOK, failed, late, 0},
		{"cancelled without cause", &jobClient{}, http.StatusOK, cancelled, late, 1},
		{"cancelled", &jobClient{cancelAfter: time.Second}, http.StatusOK, cancelled, late, 0},
	} {
		c.job.accepted = time.Now()
		got := c.job.judgeAnswer(c.status, []byte(`{"state":"`+c.state+`"}`), c.job.accepted.Add(c.after))
		if len(got) != c.want {
			t.Errorf("%s: got violations %v, want %d", c.name, got, c.want)
		}
	}
}

// TestJobsAreAskedForAfterTraffic checks that accepted jobs must be known and get an answer at the end.
func TestJobsAreAskedForAfterTraffic(t *testing.T) {
	const long = 2 * statusRetention
	c := newAskedCell(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch path.Base(r.URL.Path) {
		case "known", "completed":
			_, _ = w.Write([]byte(`{"state":"completed"}`))
		case "refused":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "silent":
			<-r.Context().Done()
		default:
			w.WriteHeader(http.StatusGone)
		}
	}))
	for _, k := range []struct {
		id        string
		job       *jobClient
		accepted  time.Duration
		completed time.Duration
		want      int
	}{
		{"known", &jobClient{}, long, 0, 0},
		{"completed", &jobClient{}, long, statusRetention / 2, 0},
		{"unknown", &jobClient{}, long, 0, 1},
		{"unknown-completed", &jobClient{}, long, statusRetention / 2, 1},
		{"refused", &jobClient{}, long, 0, 1},
		{"silent", &jobClient{}, long, 0, 1},
		{"completed-long-ago", &jobClient{}, long, statusRetention + time.Second, 0},
		{"cancelled", &jobClient{cancelAfter: time.Second}, long, 0, 0},
		{"not-accepted", &jobClient{}, 0, 0, 0},
	} {
		j := k.job
		j.id, j.key = k.id, teamKey
		if k.accepted > 0 {
			j.accepted = time.Now().Add(-k.accepted)
		}
		if k.completed > 0 {
			j.completedAt = time.Now().Add(-k.completed)
		}
		c.jobs = map[string]*jobClient{j.id: j}
		c.violations = &violationLog{}
		c.askForJobs(t.Context(), 1)
		if got := c.violations.violations; len(got) != k.want {
			t.Errorf("%s: got violations %v, want %d", k.id, got, k.want)
		}
	}
}

// newAskedCell returns a cell of one entry VM, whose answers to callers are those of h.
func newAskedCell(t *testing.T, h http.Handler) *cell {
	t.Helper()
	subnet, err := loopback.Reserve(1, []uint16{frontendPort})
	if err != nil {
		t.Fatal(err)
	}
	ip := subnet.Addr(1)
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, frontendPort).String())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		_ = server.Close()
		subnet.Release()
	})
	return &cell{entries: []*entryVM{{ip: ip}}}
}
