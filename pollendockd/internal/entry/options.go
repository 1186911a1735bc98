// Package entry is the part of pollendockd that decides: which workers this
// entry VM is home to, what starts where, and what callers are told.
//
// One goroutine owns all control state. Other goroutines carry traffic and
// pass it typed messages. The files follow a request: admit, queue, place,
// lease, answer; member and home keep the cell together.
package entry

import (
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// Options are the settings of an entry VM.
	Options struct {
		// Cell names the deployment: peers of another one are refused.
		Cell string
		// EntryID names the VM.
		EntryID string
		// DataCentre is where the VM is.
		DataCentre string
		// PeerAddr is where peers reach the VM.
		PeerAddr netip.AddrPort
		// Seeds are peers known at start; others come from the list of VMs.
		Seeds []netip.AddrPort
		// BootstrapHash is the hash of the key that may publish version 1.
		BootstrapHash string
		// AppendGap is the least time between two appends to the log.
		AppendGap time.Duration
		// SnapshotEvery is the time between snapshots, well below the log's
		// retention.
		SnapshotEvery time.Duration
	}

	// Dialer opens the ways to other machines.
	Dialer interface {
		Worker(addr netip.AddrPort) platform.Worker
		Peer(addr netip.AddrPort) peer.Handler
	}

	// Deps are what an Entry works with.
	Deps struct {
		Log     platform.Log
		VMs     platform.VMList
		Dialer  Dialer
		Logger  log.Logger
		Metrics tally.Scope
	}
)

const (
	// claimLease is how long a claim lasts at a worker without a watch.
	claimLease = 3 * time.Second
	// taskLease is how long a durable task lives without a watch. It outlasts
	// a takeover.
	taskLease = 15 * time.Second
	// watchWait is how long a watch waits at the worker, and so the time
	// between heartbeats to a worker at rest.
	watchWait = 500 * time.Millisecond
	// startWithin is the age beyond which a worker refuses a lookup's start.
	startWithin = 1500 * time.Millisecond
	// minLookupLease is the least lease of a lookup.
	minLookupLease = 500 * time.Millisecond
	// leaseFactor is the lease of a lookup over its declared run time.
	leaseFactor = 4
	// clockRate bounds how much slower a worker's clock may run than ours.
	clockRate = 1.02
	// settleMargin is added to waits for a lease to run out.
	settleMargin = 50 * time.Millisecond
	// unrecordedRenew is how long a home renews tasks before its claim is in
	// the log.
	unrecordedRenew = 10 * time.Second
	// lostAfter is how long a worker is out of reach before its tasks are
	// known to have ended: a lease, the renewals of a home that is not in the
	// log, another lease, and 5 s for delays.
	lostAfter = taskLease + unrecordedRenew + taskLease + 5*time.Second

	// tickEvery is the time between looks at everything that depends on time.
	tickEvery = 50 * time.Millisecond
	// exchangeEvery is the time between heartbeats to a peer.
	exchangeEvery = 500 * time.Millisecond
	// peerAlive is the silence after which a peer is taken for dead.
	peerAlive = 1600 * time.Millisecond
	// beaconEvery is the time between beacons in the log.
	beaconEvery = 2 * time.Second
	// retireAfter is the silence, in the log and between peers, after which an
	// incarnation is retired.
	retireAfter = 6 * time.Second
	// rejoinAfter is the time between a retirement and the next join, so that two
	// VMs that were given one name do not flood the log.
	rejoinAfter = 2 * time.Second
	// isolatedAfter is how long an entry VM serves without the log and without
	// more than half of its peers.
	isolatedAfter = 5 * time.Second
	// stopLinger is the least time of a graceful stop, in which the balancer and
	// the peers learn of it.
	stopLinger = 2 * exchangeEvery
	// listEvery is the time between reads of the list of VMs.
	listEvery = time.Second
	// claimEvery is the time between tries to claim a worker.
	claimEvery = 400 * time.Millisecond
	// assignEvery is the time between looks at which VM should be home to what.
	assignEvery = 200 * time.Millisecond
	// settleHome is how long the view of peers is stable before a worker is
	// handed over.
	settleHome = 3 * time.Second

	// maxLookupQueue bounds the lookups that wait, for each team.
	maxLookupQueue = 2000
	// forwardAfter is how long a lookup waits here before a peer is asked.
	forwardAfter = 100 * time.Millisecond
	// retryAfterBusy and retryAfterLog tell callers when to come back.
	retryAfterBusy = time.Second
	retryAfterLog  = 2 * time.Second

	// failuresBeforeRest is the number of failures in a row after which a
	// worker gets no new work for a while.
	failuresBeforeRest = 3
	firstRest          = 5 * time.Second
	maxRest            = 2 * time.Minute

	// helpAfter is how long a job waits before entry VMs other than its owner
	// place it.
	helpAfter = 300 * time.Millisecond
	// displaceAfter is how long urgent work waits before idempotent batch work
	// is stopped for it.
	displaceAfter = 500 * time.Millisecond
	// reserveAfter is how long a gang waits before batch work is held back.
	reserveAfter = 5 * time.Second
	// offerHold is how long room is held for a gang of another entry VM.
	offerHold = 3 * time.Second
	// offerEvery is the time between rounds of offers for a gang.
	offerEvery = 500 * time.Millisecond

	// inboxSize bounds the messages that wait for the control goroutine.
	inboxSize = 4096
	// ringSize is the number of records kept to pass on to peers.
	ringSize = 8192
	// maxRelayBytes bounds the records in one reply to a peer.
	maxRelayBytes = 256 << 10
)
