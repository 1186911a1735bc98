package site

import (
	"net/netip"
	"slices"
	"time"

	"pollendock.example/cell/resource"
)

type (
	// Upstream is a worker, as it describes itself.
	Upstream struct {
		ID      string
		Service string
		Addr    netip.AddrPort
		// DataCentre and Rack are its location.
		DataCentre string
		Rack       string
		Labels     []string
		Capacity   resource.Vector
		// Boot identifies one run of the worker's process: the Unix time of its
		// start in milliseconds.
		Boot int64
		// Clock is the worker's monotonic clock when it wrote this; 0 if it did not say.
		Clock time.Duration
		// Draining is set if the worker accepts no new tasks.
		Draining bool
		// ColdUntil is the end of the time after its start in which the worker is
		// slow, on the clock of the reader; zero if it has passed.
		ColdUntil time.Time
	}

	// UpstreamList is the complete list of upstreams.
	UpstreamList struct {
		// Revision orders lists that were read concurrently: a newer one has none that is lower.
		Revision  int64
		Upstreams []Upstream
		// Invalid holds the entries that do not describe a worker.
		Invalid []InvalidEntry
	}

	// InvalidEntry is an entry of the list of upstreams that does not describe one.
	InvalidEntry struct {
		Key string
		// Reason is a human-readable explanation.
		Reason string
	}

	// TaskID identifies a task of a job.
	TaskID struct {
		Job string
		// Occurrence numbers the repetitions of the job's steps from 0.
		Occurrence int
		Step       int
		Index      int
	}

	// StartRequest is a request to a worker to run a task.
	StartRequest struct {
		Task TaskID
		// Run numbers the runs of the task from 1.
		Run  int64
		Spec string
		// LeaseEnd is the time on the worker's clock at which it kills all its
		// runs unless the lease is renewed.
		LeaseEnd time.Duration
		// Token is the fencing token of the sender's term.
		Token int64
		// Checkpoint is the checkpoint to resume from; empty to start from the
		// beginning.
		Checkpoint string
		// Ticket is the advisor's permission to run the step on this worker.
		Ticket string
	}

	// StopRequest is a request to stop a run, and to refuse its start if it has not
	// started yet.
	StopRequest struct {
		Task  TaskID
		Run   int64
		Token int64
	}

	// HoldRequest is the heartbeat of the leader: it renews the lease of all runs of
	// a worker and requests the worker's lists of runs.
	HoldRequest struct {
		Token int64
		// Acked is the number of the last run end that is recorded durably.
		Acked int64
		// LeaseEnd is on the worker's clock; zero leaves the lease unchanged.
		LeaseEnd time.Duration
		// Wait is how long the worker may delay the reply to wait for the end of a
		// run.
		Wait time.Duration
	}

	// HoldReply lists the running and the ended runs of a worker.
	HoldReply struct {
		// Clock is the worker's monotonic clock.
		Clock   time.Duration
		Boot    int64
		Running []RunStatus
		// UnreadableRuns is the number of further runs, whose rows could not be read.
		UnreadableRuns int
		// Ended is in ascending order.
		Ended []RunEnd
	}

	// RunStatus is the status of a run that has not ended.
	RunStatus struct {
		Task TaskID
		Run  int64
		// Checkpoint is the latest checkpoint; empty if there is none.
		Checkpoint string
		// Percent is the progress as reported by the worker.
		Percent int
	}

	// RunEnd is the end of a run.
	RunEnd struct {
		// Unreadable is set if the row could not be read. Then only Number is valid, and is
		// 0 if it could not be read either.
		Unreadable bool
		// Number numbers the ends within one run of the worker's process from 1.
		Number     int64
		Task       TaskID
		Run        int64
		Kind       EndKind
		Checkpoint string
	}

	// EndKind is the way a run ended.
	EndKind int

	// RefusalError is a refusal by a worker. The request had no effect.
	RefusalError struct {
		Reason Refusal
		// Detail is a human-readable explanation.
		Detail string
	}

	// Refusal is the reason for which a worker refused a request.
	Refusal int

	// Ticket is the advisor's permission to run a step on an upstream.
	Ticket struct {
		Upstream string
		Ticket   string
	}
)

const (
	// EndUnknown is a kind of end that this version does not know.
	EndUnknown EndKind = iota
	// Done runs have succeeded.
	Done
	// Failed runs ended because of an error of their own or of the worker.
	Failed
	// Stopped runs were ended by a stop request.
	Stopped
	// LeaseExpired runs were killed when their lease expired.
	LeaseExpired
	// GangBroken runs ended because another member of the gang had ended.
	GangBroken
	// GangIncomplete runs timed out waiting for the other members of the gang.
	GangIncomplete
	// NotRun runs have not started and never will.
	NotRun
	// Crashed runs may have been at work when the process of their worker ended without
	// notice. No worker lists this end.
	Crashed
)

const (
	// RefusedOther covers invalid requests and unknown reasons.
	RefusedOther Refusal = iota
	// RefusedFenced means that the worker has seen a higher fencing token.
	RefusedFenced
	// RefusedStaleRun means that a run with the same or a higher number was
	// stopped or has ended.
	RefusedStaleRun
	// RefusedLeaseExpired means that the lease in the request had expired.
	RefusedLeaseExpired
	// RefusedFull means that the worker has no capacity for the task.
	RefusedFull
	// RefusedTicket means that the ticket is missing or no longer valid.
	RefusedTicket
	// RefusedUnavailable means that the worker temporarily accepts no requests.
	RefusedUnavailable
	// RefusedWrongBoot means that the request is for another run of the worker's
	// process.
	RefusedWrongBoot
	// RefusedConnection means that no process listens at the worker's address, so that
	// the request was not delivered.
	RefusedConnection
)

var (
	endKindNames = map[EndKind]string{
		EndUnknown: "unknown", Done: "done", Failed: "failed", Stopped: "stopped", LeaseExpired: "lapsed",
		GangBroken: "gangBroken", GangIncomplete: "gangIncomplete", NotRun: "notRun",
		Crashed: "crashed",
	}
	refusalNames = map[Refusal]string{
		RefusedOther: "other", RefusedFenced: "fenced", RefusedStaleRun: "oldRun", RefusedLeaseExpired: "leaseEnded",
		RefusedConnection: "connection", RefusedFull: "full", RefusedTicket: "ticket", RefusedUnavailable: "unwell", RefusedWrongBoot: "otherBoot",
	}
)

// HasLabel reports whether the upstream has the label. Every upstream matches the
// empty label.
func (u *Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}

// String returns the name of the kind.
func (k EndKind) String() string {
	return endKindNames[k]
}

// String returns the name of the reason.
func (r Refusal) String() string {
	return refusalNames[r]
}

// Error implements error.
func (e *RefusalError) Error() string {
	return "the worker refused the order: " + e.Reason.String() + " " + e.Detail
}
