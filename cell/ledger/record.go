// Package ledger folds the records of the platform's log into the state that
// all entry VMs agree on: configuration, members, homes of workers, parts of
// the teams' limits, and durable jobs.
//
// The fold is a pure function of the records in log order. It reads no clock:
// its time is the greatest time stamp of any record.
package ledger

import (
	"net/netip"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// Record is one entry of the log. Exactly one of the pointers is set.
	Record struct {
		// ID names the record, for people.
		ID string `json:"id"`
		// By is the incarnation of the entry VM that appended the record.
		By string `json:"by"`
		// Seq counts the records of the incarnation from 1. A record whose Seq
		// is not above the last one of its incarnation is a repeat.
		Seq int64 `json:"seq"`
		// At is the time at the entry VM.
		At time.Time `json:"at"`

		Join     *Join         `json:"join,omitempty"`
		Beacon   *Beacon       `json:"beacon,omitempty"`
		Leave    *Leave        `json:"leave,omitempty"`
		Retire   *Retire       `json:"retire,omitempty"`
		Publish  *Publish      `json:"publish,omitempty"`
		Home     *Home         `json:"home,omitempty"`
		Ceiling  *Ceiling      `json:"ceiling,omitempty"`
		Lost     *Lost         `json:"lost,omitempty"`
		Accept   *Accept       `json:"accept,omitempty"`
		Dispatch *Dispatch     `json:"dispatch,omitempty"`
		Settle   *Settle       `json:"settle,omitempty"`
		Cancel   *Cancel       `json:"cancel,omitempty"`
		Snapshot *SnapshotPart `json:"snapshot,omitempty"`
	}

	// Join starts an incarnation of an entry VM.
	Join struct {
		// EntryID is the name of the VM in its settings.
		EntryID string `json:"entryId"`
		// PeerAddr is the address for calls between entry VMs.
		PeerAddr netip.AddrPort `json:"peerAddr"`
		// DataCentre is the data centre of the VM.
		DataCentre string `json:"dataCentre"`
	}

	// Beacon shows that an incarnation reads and writes the log.
	Beacon struct {
		// Next is the offset up to which the appender has applied the log.
		Next int64 `json:"next"`
	}

	// Leave ends the incarnation that appends it.
	Leave struct{}

	// Retire ends an incarnation that has fallen silent.
	Retire struct {
		// Incarnation is the one to end.
		Incarnation string `json:"incarnation"`
		// LastSeq is the last Seq that the appender saw of it. The record is
		// void if the incarnation has appended anything since.
		LastSeq int64 `json:"lastSeq"`
	}

	// Publish proposes a configuration version.
	Publish struct {
		// KeyName is the operator key that came with the patch.
		KeyName string `json:"keyName"`
		// Bootstrap marks a patch under the bootstrap key of the settings,
		// which is valid on version 0 only.
		Bootstrap bool         `json:"bootstrap,omitempty"`
		Patch     config.Patch `json:"patch"`
	}

	// Home says that the appender holds the claim of a worker.
	Home struct {
		// Worker is the worker's id.
		Worker string `json:"worker"`
		// Boot names the run of the worker's process.
		Boot string `json:"boot"`
		// Epoch is the number of the claim within the boot.
		Epoch int64 `json:"epoch"`
		// Capacity is what the worker offers.
		Capacity resource.Vector `json:"capacity"`
		// DataCentre and Rack say where the worker is.
		DataCentre string `json:"dataCentre"`
		Rack       string `json:"rack"`
	}

	// Ceiling moves a part of a team's limit to or from the lookups of one
	// worker. Only the worker's home may append it.
	Ceiling struct {
		Worker string `json:"worker"`
		Team   string `json:"team"`
		// Delta is added. A rise is cut to what is left of the limit.
		Delta resource.Vector `json:"delta"`
		// Fall marks a negative Delta.
		Fall bool `json:"fall,omitempty"`
	}

	// Lost says that every task of one boot of a worker has ended, because the
	// worker was out of reach for longer than its leases last.
	Lost struct {
		Worker string `json:"worker"`
		Boot   string `json:"boot"`
		// Home is the incarnation that the appender saw as the home.
		Home string `json:"home"`
	}

	// Accept makes a job durable.
	Accept struct {
		Job     string `json:"job"`
		Team    string `json:"team"`
		KeyName string `json:"keyName"`
		Spec    Spec   `json:"spec"`
		// Version is the configuration version under which the key was good.
		Version int64 `json:"version"`
		// Unsized is the number of listed workers whose capacity the log had
		// not got yet, as seen by the VM that wrote the record.
		Unsized int `json:"unsized,omitempty"`
	}

	// Dispatch binds queued tasks to workers.
	Dispatch struct {
		Job        string      `json:"job"`
		Placements []Placement `json:"placements"`
	}

	// Placement is one task of a Dispatch.
	Placement struct {
		Task    int    `json:"task"`
		Attempt int64  `json:"attempt"`
		Worker  string `json:"worker"`
	}

	// Settle says what became of an attempt.
	Settle struct {
		Job     string `json:"job"`
		Task    int    `json:"task"`
		Attempt int64  `json:"attempt"`
		// How is the proof that the appender has.
		How How `json:"how"`
		// Result is set if How is Finished.
		Result *Result `json:"result,omitempty"`
		// Reason is for people.
		Reason string `json:"reason,omitempty"`
	}

	// Result is what a task left.
	Result struct {
		// Code is OK or TaskFailed.
		Code code.Code `json:"code"`
		// Data is the answer.
		Data string `json:"data"`
		// Digest is the SHA-256 sum of Data in hex, made by the worker.
		Digest string `json:"digest"`
	}

	// Cancel ends a job.
	Cancel struct {
		Job string `json:"job"`
		// Team is the team whose key came with the request.
		Team string `json:"team"`
		// Code is Canceled or Expired.
		Code code.Code `json:"code"`
	}

	// SnapshotPart is a part of a serialized State.
	SnapshotPart struct {
		// Through is the offset of the first record not in the snapshot.
		Through int64 `json:"through"`
		Part    int   `json:"part"`
		Parts   int   `json:"parts"`
		// Data is the part, in base64 within JSON.
		Data []byte `json:"data"`
	}

	// How is the way an attempt ended.
	How string

	// Spec is what a submission asks for.
	Spec struct {
		Kind config.Kind `json:"kind"`
		// Size is the size of each task; Slots is 1.
		Size resource.Vector `json:"size"`
		// Count is the number of tasks.
		Count int `json:"count"`
		// ExpectedRun is the run time that the team declares.
		ExpectedRun time.Duration `json:"expectedRun"`
		// Deadline is the time after which the job need not start.
		Deadline time.Time `json:"deadline"`
		// Idempotent says that a task may be run again.
		Idempotent bool `json:"idempotent"`
		// Urgent says that the job goes before others of its team and may
		// displace idempotent batch work.
		Urgent bool `json:"urgent,omitempty"`
		// IdempotencyKey names the request for repeats, unique in the team.
		IdempotencyKey string `json:"idempotencyKey,omitempty"`
		// IssuedAt is when the caller made the idempotency key.
		IssuedAt time.Time `json:"issuedAt,omitzero"`
		// Digest is the SHA-256 sum of the request without deadlines.
		Digest string `json:"digest,omitempty"`
		// Payload is handed to the worker.
		Payload string `json:"payload"`
	}
)

const (
	// Finished means that the worker gave the result.
	Finished How = "finished"
	// NotRun means that the attempt has not started and never will.
	NotRun How = "notRun"
	// Stopped means that the attempt was stopped before its end.
	Stopped How = "stopped"
	// Vanished means that the attempt has certainly ended, with no result.
	Vanished How = "vanished"
)
