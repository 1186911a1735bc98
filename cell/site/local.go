package site

import (
	"net/netip"
	"time"
)

type (
	// Local is what a process is told about its place in the deployment.
	Local struct {
		// Name is the VM's name.
		Name       string
		DataCentre string
		// Power is the processor time of the VM, in cores.
		Power float64
		// Listen takes callers, Ready the balancer's checks, Peer other entry
		// VMs.
		Listen netip.AddrPort
		Ready  netip.AddrPort
		Peer   netip.AddrPort
		Bounds Bounds
	}

	// Bounds are the deployment's limits in time.
	Bounds struct {
		// MaxLease is the longest lease that a worker grants.
		MaxLease time.Duration
		// StopTime is the most that a worker takes to stop a run.
		StopTime time.Duration
		// Grace is the time between the signal to stop and the kill.
		Grace time.Duration
		// KeepStatus is how long the state of a job that has ended is served.
		KeepStatus time.Duration
	}
)
