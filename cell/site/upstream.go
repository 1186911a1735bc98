package site

import (
	"net/netip"
	"slices"
	"time"

	"pollendock.example/cell/resource"
)

type (
	// Upstream is one worker as it describes itself.
	Upstream struct {
		ID      string
		Service string
		Addr    netip.AddrPort
		// DataCentre and Rack say where it stands.
		DataCentre string
		Rack       string
		Labels     []string
		Capacity   resource.Vector
		// Boot names one life of the worker: the Unix time of its start in
		// milliseconds.
		Boot int64
		// Draining workers take no new tasks.
		Draining bool
	}

	// TaskName names a task of a job.
	TaskName struct {
		Job string
		// Occurrence counts the repetitions of the job's steps from 0.
		Occurrence int
		Step       int
		Index      int
	}

	// StartOrder tells a worker to run a task.
	StartOrder struct {
		Task TaskName
		// Run numbers the starts of the task from 1.
		Run  int64
		Spec string
		// LeaseEnd is when the worker kills all that it runs, on its own clock.
		LeaseEnd time.Duration
		// Token is the fencing token of the sender's term.
		Token int64
		// Checkpoint resumes the task; empty starts it from the beginning.
		Checkpoint string
		// Ticket shows that the advisor allows the step here.
		Ticket string
	}

	// StopOrder ends a run and bars it if it has not begun.
	StopOrder struct {
		Task  TaskName
		Run   int64
		Token int64
	}

	// HoldOrder renews the lease of all that a worker runs and asks for its
	// lists of runs.
	HoldOrder struct {
		Token int64
		// Acked is the number of the last end whose outcome is durable.
		Acked int64
		// LeaseEnd is on the worker's clock; zero leaves the lease as it is.
		LeaseEnd time.Duration
		// Wait is how long the worker may wait for an end.
		Wait time.Duration
	}

	// HoldReply is what a worker runs, and what ended there.
	HoldReply struct {
		// Clock is the worker's steady clock.
		Clock   time.Duration
		Boot    int64
		Running []RunStatus
		Ended   []RunEnd
	}

	// RunStatus is a run at work.
	RunStatus struct {
		Task TaskName
		Run  int64
		// Checkpoint is the newest one; empty if there is none.
		Checkpoint string
		// Percent is the progress that the worker reports.
		Percent int
	}

	// RunEnd is a run that has ended.
	RunEnd struct {
		// Number counts the ends of one life of the worker from 1.
		Number     int64
		Task       TaskName
		Run        int64
		How        EndKind
		Checkpoint string
	}

	// EndKind is the way a run ended.
	EndKind int

	// OrderError is a refusal by a worker: the order was not carried out.
	OrderError struct {
		Reason Refusal
		// Detail is for people.
		Detail string
	}

	// Refusal is why a worker did not carry out an order.
	Refusal int

	// Ticket is the advisor's permission to run a step on an upstream.
	Ticket struct {
		Upstream string
		Ticket   string
	}
)

const (
	// EndUnknown is an end of a kind that is not known here.
	EndUnknown EndKind = iota
	// Done runs have finished their work.
	Done
	// Failed runs ended by their own fault or the worker's.
	Failed
	// Stopped runs were ended by an order.
	Stopped
	// Lapsed runs were killed at the end of their lease.
	Lapsed
	// GangBroken runs ended since another member of the gang had ended.
	GangBroken
	// GangIncomplete runs waited too long for the others of the gang.
	GangIncomplete
	// NotRun marks orders that were not carried out and never will be.
	NotRun
)

const (
	// RefusedOther covers bad orders.
	RefusedOther Refusal = iota
	// RefusedFenced means that a higher token was seen.
	RefusedFenced
	// RefusedOld means that a run as high has been stopped or has ended.
	RefusedOld
	// RefusedLate means that the lease in the order had run out.
	RefusedLate
	// RefusedFull means that the task does not fit.
	RefusedFull
	// RefusedTicket means that the ticket is missing or no longer valid.
	RefusedTicket
	// RefusedUnwell means that the worker takes no orders for now.
	RefusedUnwell
	// RefusedBoot means that another life of the worker was meant.
	RefusedBoot
)

var (
	endNames = map[EndKind]string{
		EndUnknown: "unknown", Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed",
		GangBroken: "gangBroken", GangIncomplete: "gangIncomplete", NotRun: "notRun",
	}
	refusalNames = map[Refusal]string{
		RefusedOther: "other", RefusedFenced: "fenced", RefusedOld: "oldRun", RefusedLate: "leaseEnded",
		RefusedFull: "full", RefusedTicket: "ticket", RefusedUnwell: "unwell", RefusedBoot: "otherBoot",
	}
)

// HasLabel reports whether the upstream carries the label; the empty label
// asks for nothing.
func (u *Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}

// String returns the name of the kind.
func (k EndKind) String() string {
	return endNames[k]
}

// String returns the name of the reason.
func (r Refusal) String() string {
	return refusalNames[r]
}

// Error implements error.
func (e *OrderError) Error() string {
	return "the worker refused the order: " + e.Reason.String() + " " + e.Detail
}
