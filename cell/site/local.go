package site

import (
	"net/netip"
	"time"
)

type (
	// Local is the configuration that the deployment gives to a process.
	Local struct {
		Name       string
		DataCentre string
		// CPUCores is the CPU share of the VM, in cores.
		CPUCores float64
		// MemoryBytes is the memory above which the process is killed, and Descriptors the number
		// that files and sockets share.
		MemoryBytes int64
		Descriptors int
		// Listen is the address for callers, Ready the one for the load balancer's
		// health checks, and Peer the one for other entry VMs.
		Listen netip.AddrPort
		Ready  netip.AddrPort
		Peer   netip.AddrPort
		Bounds Bounds
	}

	// Bounds are the time limits of the deployment.
	Bounds struct {
		// MaxLease is the longest lease that workers grant.
		MaxLease time.Duration
		// StopTime is the maximum time that a worker takes to stop a run.
		StopTime time.Duration
		// Grace is the time between the termination signal and the kill.
		Grace time.Duration
		// StatusRetention is how long the status of an ended job remains available.
		StatusRetention time.Duration
		// Heartbeat is the interval in which a worker writes its entry on the list.
		Heartbeat time.Duration
		// Contact is how long after a disturbance the deployment allows for everybody to
		// know of what happened meanwhile. A capacity that has shrunk may be relied on for
		// Contact and Heartbeat; without limit if either is 0.
		Contact time.Duration
		// Evacuation is the time after which an evacuated data centre gets no new
		// runs; 0 if the deployment sets no limit.
		Evacuation time.Duration
		// CatalogApply is the time within which a new catalog version must be in
		// force, and CatalogOutage how much longer that may take during an outage; 0
		// if the deployment allows none.
		CatalogApply  time.Duration
		CatalogOutage time.Duration
	}
)
