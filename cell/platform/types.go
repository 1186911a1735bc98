// Package platform defines what pollendock needs of the platform: the log, the
// workers and the list of VMs, with HTTP clients for each.
package platform

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"pollendock.example/cell/resource"
)

type (
	// Log is the append-only log service.
	Log interface {
		// Append adds the records in order and returns the first offset. An
		// error that is not a Refusal leaves open whether they were added.
		Append(ctx context.Context, records []json.RawMessage) (int64, error)
		// Read returns records from the offset on. It waits up to wait for the
		// first one. Trimmed is returned if the offset is no longer kept.
		Read(ctx context.Context, from int64, wait time.Duration) (*LogPage, error)
	}

	// LogPage is a run of records.
	LogPage struct {
		// First is the offset of Records[0].
		First   int64             `json:"first"`
		Records []json.RawMessage `json:"records"`
		// Oldest is the oldest offset that the log keeps.
		Oldest int64 `json:"oldest"`
		// End is the offset that the next record will have.
		End int64 `json:"end"`
	}

	// Worker is one upstream. A claim makes an entry VM its home; requests
	// under any other claim than the newest are refused.
	Worker interface {
		// Claim succeeds if no other home's claim is in force.
		Claim(ctx context.Context, r *ClaimRequest) (*Claim, error)
		// Release ends the claim in favour of another incarnation.
		Release(ctx context.Context, r *ReleaseRequest) error
		// Start runs an attempt. A repeat returns the first one's status.
		Start(ctx context.Context, r *StartRequest) (*TaskStatus, error)
		// Stop ends an attempt and refuses any later start of it.
		Stop(ctx context.Context, r *StopRequest) (*TaskStatus, error)
		// Watch renews the claim and the leases of all tasks, and returns
		// attempts that have ended.
		Watch(ctx context.Context, r *WatchRequest) (*WatchReply, error)
		// Forget drops ended attempts whose outcome is durable.
		Forget(ctx context.Context, r *ForgetRequest) error
	}

	// ClaimRequest asks for the claim.
	ClaimRequest struct {
		// Incarnation is the entry VM's.
		Incarnation string `json:"incarnation"`
		// Lease is how long the claim lasts without a Watch.
		Lease time.Duration `json:"lease"`
	}

	// Claim is a granted claim with what the worker holds.
	Claim struct {
		// Token goes with every request under the claim.
		Token string `json:"token"`
		// Boot names the run of the worker's process.
		Boot string `json:"boot"`
		// Epoch is the number of the claim within the boot.
		Epoch    int64           `json:"epoch"`
		Capacity resource.Vector `json:"capacity"`
		// Tasks holds the running attempts and the ended ones not forgotten.
		Tasks []TaskStatus `json:"tasks"`
	}

	// ReleaseRequest gives the claim away.
	ReleaseRequest struct {
		Token string `json:"token"`
		// Next is the only incarnation that may claim within Reserve.
		Next    string        `json:"next"`
		Reserve time.Duration `json:"reserve"`
	}

	// StartRequest starts an attempt.
	StartRequest struct {
		Token   string          `json:"token"`
		Attempt string          `json:"attempt"`
		Team    string          `json:"team"`
		Size    resource.Vector `json:"size"`
		Payload string          `json:"payload"`
		// Lease is how long the task lives without a Watch.
		Lease time.Duration `json:"lease"`
		// Fixed says that Watch does not renew the lease.
		Fixed bool `json:"fixed"`
		// AfterWatch and Within bound the age of the request without clocks
		// that agree: it is refused if it arrives later than Within after the
		// worker took the watch of that number. Zero Within sets no bound.
		AfterWatch int64         `json:"afterWatch"`
		Within     time.Duration `json:"within"`
		// Wait is how long the call waits for the end of the task.
		Wait time.Duration `json:"wait"`
	}

	// StopRequest stops an attempt.
	StopRequest struct {
		Token   string `json:"token"`
		Attempt string `json:"attempt"`
	}

	// WatchRequest is the heartbeat of a home.
	WatchRequest struct {
		Token string `json:"token"`
		// After is the Seq of the last reply.
		After int64 `json:"after"`
		// Wait is how long the call waits for an ended attempt.
		Wait time.Duration `json:"wait"`
		// Lease renews the claim, TaskLease the tasks. A TaskLease of zero
		// leaves the tasks' leases as they are.
		Lease     time.Duration `json:"lease"`
		TaskLease time.Duration `json:"taskLease"`
	}

	// WatchReply reports ended attempts.
	WatchReply struct {
		Seq int64 `json:"seq"`
		// Number counts the watches of the boot.
		Number int64        `json:"number"`
		Ended  []TaskStatus `json:"ended"`
		// Used is the use that the worker measured, with a lag.
		Used resource.Vector `json:"used"`
	}

	// ForgetRequest drops ended attempts.
	ForgetRequest struct {
		Token    string   `json:"token"`
		Attempts []string `json:"attempts"`
	}

	// TaskStatus is one attempt at a worker.
	TaskStatus struct {
		Attempt string          `json:"attempt"`
		Team    string          `json:"team"`
		Size    resource.Vector `json:"size"`
		State   TaskState       `json:"state"`
		// Failed says that the task ended by itself without success.
		Failed bool `json:"failed,omitempty"`
		// Data is the answer of a finished task, Digest its SHA-256 in hex.
		Data   string `json:"data,omitempty"`
		Digest string `json:"digest,omitempty"`
	}

	// TaskState is the state of an attempt.
	TaskState string

	// VM is one entry of the platform's list.
	VM struct {
		ID         string         `json:"id"`
		Role       Role           `json:"role"`
		Addr       netip.AddrPort `json:"addr"`
		DataCentre string         `json:"dataCentre"`
		Rack       string         `json:"rack"`
		Leaving    bool           `json:"leaving"`
	}

	// Role says what a VM is for.
	Role string

	// VMList is the lagging list of live and leaving VMs.
	VMList interface {
		List(ctx context.Context) ([]VM, error)
	}
)

const (
	// Running tasks hold their size.
	Running TaskState = "running"
	// Ended tasks left a result.
	Ended TaskState = "ended"
	// Halted tasks were stopped before their end.
	Halted TaskState = "halted"
	// Lapsed tasks were ended by the worker when their lease ran out.
	Lapsed TaskState = "lapsed"
	// Barred attempts never started and never will.
	Barred TaskState = "barred"

	// EntryRole is a VM that runs pollendockd.
	EntryRole Role = "entry"
	// WorkerRole is a VM that runs tasks.
	WorkerRole Role = "worker"
)
