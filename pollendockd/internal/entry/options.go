// Package entry implements the scheduler of pollendockd. It decides which
// workers this entry VM owns, where tasks are placed, and what clients are
// answered.
//
// One goroutine owns all control state. Other goroutines do the I/O and send it
// typed messages. The owner of a worker is the only entry VM that starts tasks
// there; the log records it as the worker's home.
//
// The files follow a request: admit, queue, place, attempts, jobs. Files
// membership and ownership handle cell membership and worker ownership.
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
		// Cell names the deployment. Peers of another cell are refused.
		Cell string
		// EntryID is the ID of this VM.
		EntryID string
		// DataCentre is the data centre of this VM.
		DataCentre string
		// PeerAddr is the address that peers use to reach this VM.
		PeerAddr netip.AddrPort
		// Seeds are the peers known at start. Others are added from the VM list
		// and from the log.
		Seeds []netip.AddrPort
		// BootstrapHash is the hash of the API key that may publish version 1.
		BootstrapHash string
		// AppendGap is the minimum time between two appends to the log.
		AppendGap time.Duration
		// SnapshotEvery is the time between snapshots. It must be well below the
		// retention time of the log.
		SnapshotEvery time.Duration
	}

	// Dialer returns clients for workers and peers.
	Dialer interface {
		Worker(addr netip.AddrPort) platform.Worker
		Peer(addr netip.AddrPort) peer.Handler
	}

	// Deps are the dependencies of an Entry.
	Deps struct {
		Log     platform.Log
		VMs     platform.VMList
		Dialer  Dialer
		Logger  log.Logger
		Metrics tally.Scope
	}
)

const (
	// claimLease is how long a claim is valid at a worker without a watch.
	claimLease = 3 * time.Second
	// taskLease is how long a durable task runs without a watch. It is longer
	// than it takes another VM to take over the worker.
	taskLease = 15 * time.Second
	// watchPollTimeout is how long the worker may hold a watch (a long poll)
	// open. It is also the heartbeat interval for an idle worker.
	watchPollTimeout = 500 * time.Millisecond
	// lookupStartWindow is the time since the last watch after which a worker
	// refuses to start a lookup.
	lookupStartWindow = 1500 * time.Millisecond
	// minLookupLease is the minimum lease of a lookup.
	minLookupLease = 500 * time.Millisecond
	// lookupLeaseFactor is the ratio of a lookup's lease to its expected run
	// time.
	lookupLeaseFactor = 4
	// maxClockRate is the maximum ratio of this VM's clock rate to a worker's.
	maxClockRate = 1.02
	// leaseExpiryMargin is added when waiting for a lease to expire.
	leaseExpiryMargin = 50 * time.Millisecond
	// unrecordedRenewal is how long an entry VM renews task leases before its
	// claim is in the log.
	unrecordedRenewal = 10 * time.Second
	// workerLostAfter is how long a worker must be unreachable until its tasks
	// have certainly ended: a task lease, the renewals by an owner whose claim
	// is not in the log, another task lease, and 5 s for delays.
	workerLostAfter = taskLease + unrecordedRenewal + taskLease + 5*time.Second

	// tickInterval is the time between ticks of the control goroutine.
	tickInterval = 50 * time.Millisecond
	// exchangeInterval is the time between heartbeats to a peer.
	exchangeInterval = 500 * time.Millisecond
	// peerTimeout is the time without heartbeats after which a peer is
	// considered dead.
	peerTimeout = 1600 * time.Millisecond
	// logHeartbeatInterval is the minimum time between heartbeat records of a
	// VM in the log.
	logHeartbeatInterval = 2 * time.Second
	// retireAfter is the time without heartbeats and log records after which an
	// incarnation is retired.
	retireAfter = 6 * time.Second
	// rejoinAfter is the minimum time between being retired and the next join.
	// It keeps two VMs with the same ID, whose joins retire each other, from
	// flooding the log.
	rejoinAfter = 2 * time.Second
	// isolatedAfter is how long an entry VM keeps serving while it reaches
	// neither the log nor more than half of the entry VMs.
	isolatedAfter = 5 * time.Second
	// minStopDuration is the minimum duration of a graceful stop. It gives the
	// load balancer and the peers time to notice.
	minStopDuration = 2 * exchangeInterval
	// vmListInterval is the time between reads of the VM list.
	vmListInterval = time.Second
	// claimInterval is the minimum time between claim requests to a worker.
	claimInterval = 400 * time.Millisecond
	// assignInterval is the time between updates of the desired worker owners.
	assignInterval = 200 * time.Millisecond
	// handoverStableTime is how long the set of live entry VMs must be stable
	// before workers are handed over.
	handoverStableTime = 3 * time.Second

	// maxLookupQueue bounds the waiting lookups of each team.
	maxLookupQueue = 2000
	// forwardAfter is how long a lookup waits before it is forwarded to a peer.
	forwardAfter = 100 * time.Millisecond
	// retryAfterBusy and retryAfterLog are sent to clients as retry delays.
	retryAfterBusy = time.Second
	retryAfterLog  = 2 * time.Second

	// failuresBeforeBackoff is the number of consecutive failures after which a
	// worker gets no new work for a while.
	failuresBeforeBackoff = 3
	initialBackoff        = 5 * time.Second
	maxBackoff            = 2 * time.Minute

	// backupAfter is how long a job waits before entry VMs other than its
	// primary scheduler may place it.
	backupAfter = 300 * time.Millisecond
	// preemptAfter is how long urgent work waits before it preempts idempotent
	// batch work.
	preemptAfter = 500 * time.Millisecond
	// gangReserveAfter is how long a gang waits before batch work is blocked in
	// favor of it.
	gangReserveAfter = 5 * time.Second
	// offerReservationTime is how long capacity is reserved for a gang of
	// another entry VM.
	offerReservationTime = 3 * time.Second
	// offerInterval is the minimum time between rounds of offers for a gang.
	offerInterval = 500 * time.Millisecond

	// inboxSize bounds the queued messages for the control goroutine.
	inboxSize = 4096
	// recordCacheSize is the number of records kept to relay to peers. Up to
	// twice as many are held before the oldest are dropped.
	recordCacheSize = 8192
	// maxRelayBytes limits the size of the records in one reply to a peer.
	maxRelayBytes = 256 << 10
)
