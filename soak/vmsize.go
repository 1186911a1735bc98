package main

import (
	"fmt"

	"pollendock.example/cell/loopback"
)

// vmSize is what an entry VM has. Its settings tell it of the limits; only the bandwidth is enforced,
// on its links to the store, the workers and the advisor. The zero size has no limits.
type vmSize struct {
	// cpuShare is in cores.
	cpuShare              float64
	memoryMB, descriptors int
	// mbps is the bandwidth of each direction, in Mbit/s.
	mbps float64
}

const bytesPerMbit = 1_000_000 / 8

// vmSizeOf returns the size of the entry VM of that number.
func (c *cell) vmSizeOf(i int) vmSize {
	switch {
	case c.site == nil:
		return vmSize{}
	case i < c.site.strongEntries:
		return c.site.strong
	default:
		return c.site.weak
	}
}

// encodeLimits returns the limits for the settings file.
func (s vmSize) encodeLimits() []byte {
	if s == (vmSize{}) {
		return nil
	}
	return fmt.Appendf(nil, `[limits]
cpu-share = %v
cores = 1
memory-mb = %d
max-fds = %d
bandwidth-mbps = %v
`, s.cpuShare, s.memoryMB, s.descriptors, s.mbps)
}

// newLinks returns the VM's own link, nil if its speed isn't limited.
func (s vmSize) newLinks() (up, down *loopback.Link) {
	if s.mbps == 0 {
		return nil, nil
	}
	bytesPerSecond := int(s.mbps * bytesPerMbit)
	return loopback.NewLink(bytesPerSecond), loopback.NewLink(bytesPerSecond)
}
