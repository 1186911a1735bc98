// Package loopback reserves addresses for cells that run as several processes on
// one machine. It needs a system that takes all of 127.0.0.0/8 as its own, such as
// Linux.
package loopback

import (
	"net"
	"net/netip"

	"github.com/zeebo/errs"
)

type (
	// Subnet is a range of loopback addresses that no other caller of this package
	// uses, in any process, until Release.
	Subnet struct {
		number uint8
		lock   net.Listener
	}
)

const (
	firstOctet  = 127
	secondOctet = 90
	// lockHost and lockPort are where the owner of a subnet listens. The system
	// closes the listener when the owner exits.
	lockHost = 254
	lockPort = 8400

	firstNumber = 1
	lastNumber  = 254
)

// Class wraps the errors of this package.
var Class = errs.Class("loopback")

// Reserve returns a subnet whose hosts 1 to hosts have the ports free.
func Reserve(hosts int, ports []uint16) (*Subnet, error) {
	for n := firstNumber; n <= lastNumber; n++ {
		if s, err := ReserveNumber(uint8(n), hosts, ports); err == nil {
			return s, nil
		}
	}
	return nil, Class.New("no free subnet")
}

// ReserveNumber is like Reserve for the subnet 127.90.n.0/24. It fails if that
// subnet is in use.
func ReserveNumber(n uint8, hosts int, ports []uint16) (*Subnet, error) {
	s := &Subnet{number: n}
	lock, err := net.Listen("tcp", netip.AddrPortFrom(s.Addr(lockHost), lockPort).String())
	if err != nil {
		return nil, Class.Wrap(err)
	}
	s.lock = lock
	if err := s.probe(hosts, ports); err != nil {
		s.Release()
		return nil, Class.Wrap(err)
	}
	return s, nil
}

// probe returns an error if a process that has outlived the owner of the subnet
// still listens there.
func (s *Subnet) probe(hosts int, ports []uint16) error {
	for host := 1; host <= hosts; host++ {
		for _, port := range ports {
			ln, err := net.Listen("tcp", netip.AddrPortFrom(s.Addr(host), port).String())
			if err != nil {
				return err
			}
			_ = ln.Close()
		}
	}
	return nil
}

// Addr returns the address of a host, from 1 on.
func (s *Subnet) Addr(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{firstOctet, secondOctet, s.number, byte(host)})
}

// Release allows others to reserve the subnet.
func (s *Subnet) Release() {
	_ = s.lock.Close()
}
