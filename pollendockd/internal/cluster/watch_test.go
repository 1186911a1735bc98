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
