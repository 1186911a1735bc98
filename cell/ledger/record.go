// Package ledger implements the replicated state machine of the cell. It applies
// the records of the platform's log to the state that all entry VMs agree on:
// configuration, members, worker claims, allocations of the teams' limits, and
// durable jobs.
//
// An incarnation is one run of an entry VM's process. The home of a worker is the
// incarnation that holds its claim. A boot is one run of a worker's process.
//
// The state is a pure function of the records in log order. No clock is read: the
// current time is the greatest time stamp of the records applied so far.
package ledger

import (
	"net/netip"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// Record is one entry of the log. Exactly one of the pointers is non-nil.
	Record struct {
		// ID identifies the record in logs and in the version history.
		ID string `json:"id"`
		// By is the incarnation of the entry VM that appended the record.
		By string `json:"by"`
		// Seq numbers the records of the incarnation from 1. A record whose Seq
		// is not greater than the last one of its incarnation is a repeat.
		Seq int64 `json:"seq"`
		// At is the time by the clock of the entry VM.
		At time.Time `json:"at"`

		Join       *Join         `json:"join,omitempty"`
		Heartbeat  *Heartbeat    `json:"beacon,omitempty"`
		Leave      *Leave        `json:"leave,omitempty"`
		Retire     *Retire       `json:"retire,omitempty"`
		Publish    *Publish      `json:"publish,omitempty"`
		Home       *Home         `json:"home,omitempty"`
		Allocation *Allocation   `json:"ceiling,omitempty"`
		Lost       *Lost         `json:"lost,omitempty"`
		Accept     *Accept       `json:"accept,omitempty"`
		Dispatch   *Dispatch     `json:"dispatch,omitempty"`
		Settle     *Settle       `json:"settle,omitempty"`
		Cancel     *Cancel       `json:"cancel,omitempty"`
		Snapshot   *SnapshotPart `json:"snapshot,omitempty"`
	}

	// Join starts an incarnation of an entry VM.
	Join struct {
		// EntryID is the name of the VM in its settings.
		EntryID string `json:"entryId"`
		// PeerAddr is the address on which the VM serves other entry VMs.
		PeerAddr   netip.AddrPort `json:"peerAddr"`
		DataCentre string         `json:"dataCentre"`
	}

	// Heartbeat shows that an incarnation still reads the log and appends to
	// it.
	Heartbeat struct {
		// Next is the offset up to which the appender has applied the log.
		Next int64 `json:"next"`
	}

	// Leave retires the incarnation that appends it.
	Leave struct{}

	// Retire retires another incarnation, which has stopped sending heartbeats.
	Retire struct {
		// Incarnation is the one to retire.
		Incarnation string `json:"incarnation"`
		// LastSeq is the last Seq of it that the appender has seen. The record
		// is refused if the incarnation has appended anything since.
		LastSeq int64 `json:"lastSeq"`
	}

	// Publish applies a patch to the configuration.
	Publish struct {
		// KeyName is the name of the operator key that authorized the patch.
		KeyName string `json:"keyName"`
		// Bootstrap is set if the patch was authorized by the bootstrap key of the
		// settings, which is valid for version 0 only.
		Bootstrap bool         `json:"bootstrap,omitempty"`
		Patch     config.Patch `json:"patch"`
	}

	// Home records that the appender holds the claim of a worker.
	Home struct {
		Worker string `json:"worker"`
		// Boot identifies the run of the worker's process.
		Boot string `json:"boot"`
		// Epoch numbers the claims within the boot.
		Epoch int64 `json:"epoch"`
		// Capacity is the total capacity of the worker.
		Capacity resource.Vector `json:"capacity"`
		// DataCentre and Rack are the location of the worker.
		DataCentre string `json:"dataCentre"`
		Rack       string `json:"rack"`
	}

	// Allocation changes the part of a team's limit that is allocated to
	// lookups on one worker. Only the worker's home may append it.
	Allocation struct {
		Worker string `json:"worker"`
		Team   string `json:"team"`
		// Delta is added to the allocation. An increase is capped at the unused
		// part of the limit, a decrease at the allocation.
		Delta resource.Vector `json:"delta"`
		// Decrease says that Delta is a decrease.
		Decrease bool `json:"fall,omitempty"`
	}

	// Lost records that all tasks of one boot of a worker have ended, because the
	// worker was unreachable for longer than its leases last.
	Lost struct {
		Worker string `json:"worker"`
		Boot   string `json:"boot"`
		// Home is the home of the worker as seen by the appender. The record is
		// refused if the worker has been claimed since.
		Home string `json:"home"`
	}

	// Accept adds a job.
	Accept struct {
		Job     string `json:"job"`
		Team    string `json:"team"`
		KeyName string `json:"keyName"`
		Spec    Spec   `json:"spec"`
		// Version is the configuration version against which the key was checked.
		Version int64 `json:"version"`
		// UnknownCapacities is the number of listed workers whose capacity was
		// not in the log yet, as seen by the appender.
		UnknownCapacities int `json:"unsized,omitempty"`
	}

	// Dispatch assigns queued tasks to workers.
	Dispatch struct {
		Job        string      `json:"job"`
		Placements []Placement `json:"placements"`
	}

	// Placement is the assignment of one task.
	Placement struct {
		Task    int    `json:"task"`
		Attempt int64  `json:"attempt"`
		Worker  string `json:"worker"`
	}

	// Settle records the end of an attempt.
	Settle struct {
		Job     string `json:"job"`
		Task    int    `json:"task"`
		Attempt int64  `json:"attempt"`
		// EndKind is the way the attempt ended, which the appender has proof of.
		EndKind EndKind `json:"how"`
		// Result is set if EndKind is Finished.
		Result *Result `json:"result,omitempty"`
		// Reason is a human-readable explanation.
		Reason string `json:"reason,omitempty"`
	}

	// Result is the result of a task.
	Result struct {
		// Code is OK or TaskFailed.
		Code code.Code `json:"code"`
		// Data is the task's output.
		Data string `json:"data"`
		// Digest is the SHA-256 sum of Data in hex, computed by the worker.
		Digest string `json:"digest"`
	}

	// Cancel ends a job at the request of its team or at its deadline.
	Cancel struct {
		Job string `json:"job"`
		// Team is the team that the request was authenticated for.
		Team string `json:"team"`
		// Code is Canceled or Expired.
		Code code.Code `json:"code"`
	}

	// SnapshotPart is one part of a serialized State.
	SnapshotPart struct {
		// Through is the offset of the first record that the snapshot does not
		// include.
		Through int64 `json:"through"`
		Part    int   `json:"part"`
		Parts   int   `json:"parts"`
		// Data is the content of the part, in base64 within JSON.
		Data []byte `json:"data"`
	}

	// EndKind is the way an attempt ended.
	EndKind string

	// Spec is the specification of a job.
	Spec struct {
		Kind config.Kind `json:"kind"`
		// Size is the size of each task; its Slots is 1.
		Size resource.Vector `json:"size"`
		// Count is the number of tasks.
		Count int `json:"count"`
		// ExpectedRun is the run time of a task that the team expects.
		ExpectedRun time.Duration `json:"expectedRun"`
		// Deadline is the time after which the job is no longer started; zero for
		// none.
		Deadline time.Time `json:"deadline"`
		// Idempotent allows running a task more than once.
		Idempotent bool `json:"idempotent"`
		// Urgent gives the job precedence over others of its team and lets it
		// preempt idempotent batch work.
		Urgent bool `json:"urgent,omitempty"`
		// IdempotencyKey identifies repeats of the request within the team.
		IdempotencyKey string `json:"idempotencyKey,omitempty"`
		// IssuedAt is when the caller generated the idempotency key.
		IssuedAt time.Time `json:"issuedAt,omitzero"`
		// Digest is the SHA-256 sum of the request without its deadlines.
		Digest string `json:"digest,omitempty"`
		// Payload is passed to the worker.
		Payload string `json:"payload"`
	}
)

const (
	// Finished means that the worker returned a result.
	Finished EndKind = "finished"
	// NotRun means that the attempt never started and never will.
	NotRun EndKind = "notRun"
	// Stopped means that the attempt was stopped before it finished.
	Stopped EndKind = "stopped"
	// Vanished means that the attempt has certainly ended without a known
	// result.
	Vanished EndKind = "vanished"
)
