package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// slowPeer answers each call when the test releases it.
type slowPeer struct {
	called  chan struct{}
	release chan struct{}
}

// Empty is the argument of calls that need none.
type Empty struct{}

// Wait blocks until the test releases the call.
func (s *slowPeer) Wait(_ *Empty, _ *Empty) error {
	s.called <- struct{}{}
	<-s.release
	return nil
}

// TestOneCallerLeaves: calls of several callers share a connection. When one call is
// cancelled, the others still get their answers.
func TestOneCallerLeaves(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &slowPeer{called: make(chan struct{}), release: make(chan struct{})}
	server, err := NewRPCServer(ln, s)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	defer server.Close()
	client := NewClient(netip.MustParseAddrPort(ln.Addr().String()))
	defer client.Close()

	leaving, leave := context.WithCancel(t.Context())
	left, stayed := make(chan error, 1), make(chan error, 1)
	go func() { left <- client.Call(leaving, "Wait", &Empty{}, &Empty{}) }()
	<-s.called
	staying, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() { stayed <- client.Call(staying, "Wait", &Empty{}, &Empty{}) }()
	<-s.called
	leave()
	if err := <-left; err == nil {
		t.Error("the cancelled call was answered")
	}
	close(s.release)
	if err := <-stayed; err != nil {
		t.Errorf("the other caller got %v", err)
	}
}

// TestSilentConnection: a connection on which calls remain unanswered is replaced, even
// if no single call waits for silenceLimit.
func TestSilentConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	client := NewClient(netip.MustParseAddrPort(ln.Addr().String()))
	defer client.Close()
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), silenceLimit/2)
		if err := client.Call(ctx, "Wait", &Empty{}, &Empty{}); err == nil {
			t.Error("a call was answered")
		}
		cancel()
	}
	for range 2 {
		_ = (<-accepted).Close()
	}
}
