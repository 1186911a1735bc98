package helper

import (
	"context"
	"testing"
	"time"
)

// TestWatchLeader: the end of the leader's process is told from its connection,
// and a connection that breaks while the process lives is not taken for it.
func TestWatchLeader(t *testing.T) {
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	gone := make(chan string, 1)
	go func() { _ = p.peers.WatchLeader(ctx, func(incarnation string) { gone <- incarnation }) }()
	m := p.peers.memberOf("b/1")
	for range 5 {
		time.Sleep(20 * time.Millisecond)
		p.peers.client(m, forWatches).Close()
	}
	select {
	case g := <-gone:
		t.Fatalf("%s was taken for ended while it lives", g)
	case <-time.After(200 * time.Millisecond):
	}
	p.server.Close()
	select {
	case g := <-gone:
		if g != "b/1" {
			t.Errorf("%q was told to have ended", g)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the end was not noticed")
	}
}
