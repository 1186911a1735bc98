package cluster

import (
	"context"
	"testing"
	"time"
)

// TestWatchLeader: the end of the leader's process is detected by its connection, and a
// connection that breaks while the process is running is not mistaken for it.
func TestWatchLeader(t *testing.T) {
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan string, 1)
	go func() { _ = p.peers.WatchLeader(ctx, func(incarnation string) { ended <- incarnation }) }()
	m := p.peers.memberByIncarnation("b/1")
	for range 5 {
		time.Sleep(20 * time.Millisecond)
		p.peers.client(m, forWatches).Close()
	}
	select {
	case g := <-ended:
		t.Fatalf("%s was reported as ended while it is running", g)
	case <-time.After(200 * time.Millisecond):
	}
	p.server.Close()
	select {
	case g := <-ended:
		if g != "b/1" {
			t.Errorf("%q was reported as ended", g)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the end was not reported")
	}
}

// TestEnded guards against taking a process for ended that runs, and against one whose VM answers as another process or not at all.
func TestEnded(t *testing.T) {
	p := newPair(t)
	for _, c := range []struct {
		name        string
		incarnation string
		want        bool
	}{
		{"it answers", "b/1", false},
		{"another process answers", "b/0", true},
		{"its VM is no member", "c/1", false},
	} {
		if got := p.peers.Ended(t.Context(), c.incarnation); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	p.server.Close()
	for began := time.Now(); !p.peers.Ended(t.Context(), "b/1"); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("nothing listens there: not ended")
		}
	}
}
