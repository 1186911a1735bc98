package main

import (
	"net/netip"

	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// dialer creates the clients of workers and peers.
	dialer struct {
		connections int
	}
)

// Worker implements entry.Dialer.
func (d dialer) Worker(addr netip.AddrPort) platform.Worker {
	return platform.WorkerClient{Client: platform.NewClient(addr, d.connections)}
}

// Peer implements entry.Dialer.
func (d dialer) Peer(addr netip.AddrPort) peer.Handler {
	return peer.NewClient(addr)
}
