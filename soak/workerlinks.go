package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// workerLinks accepts the connections of one entry VM to all workers with one listener: a listener for
// each pair of VM and worker would take more descriptors than a process may have. Each worker has a
// loopback address of its own, and the one that the VM has dialled tells which worker it means.
type workerLinks struct {
	ln net.Listener
	// byAddr holds the VM's links by the addresses of the workers.
	byAddr map[netip.Addr]*proxy
}

const (
	loopbackDevice = "lo"
	// Worker i is reached at 127.91.i/256.i%256.
	linkFirstOctet  = 127
	linkSecondOctet = 91
	hostsPerOctet   = 256
	maxLinks        = hostsPerOctet * hostsPerOctet
)

// linkAddr returns the address at which entry VMs reach worker i.
func linkAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{linkFirstOctet, linkSecondOctet, byte(i / hostsPerOctet), byte(i % hostsPerOctet)})
}

// listen listens on one port of all addresses of the loopback device. Nobody else reaches it: a packet
// that comes in through another device doesn't find the listener.
func (l *workerLinks) listen() error {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		if controlErr := conn.Control(func(fd uintptr) { err = syscall.BindToDevice(int(fd), loopbackDevice) }); controlErr != nil {
			return controlErr
		}
		if err != nil {
			return fmt.Errorf("a listener can't be kept to the loopback device, which needs Linux 5.7 or newer: %w", err)
		}
		return nil
	}}
	var err error
	l.ln, err = config.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	return err
}

// addrOf returns the address at which the VM reaches worker i.
func (l *workerLinks) addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(linkAddr(i), addrPortOf(l.ln.Addr()).Port())
}

func (l *workerLinks) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		if p := l.byAddr[addrPortOf(conn.LocalAddr()).Addr()]; p != nil {
			go p.forward(conn)
			continue
		}
		_ = conn.Close()
	}
}

// addrPortOf returns the address of a TCP connection or listener.
func addrPortOf(a net.Addr) netip.AddrPort {
	addr, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	p := addr.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}
