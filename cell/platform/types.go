// Package platform defines the services of the platform that pollendock uses: the
// log, the workers and the list of VMs, with an HTTP client for each.
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
		// Append appends the records in order and returns the first offset. After
		// an error that is not a Refusal it is unknown whether they were appended.
		Append(ctx context.Context, records []json.RawMessage) (int64, error)
		// Read returns records from the offset on. It waits up to wait for the
		// first one. It fails with Trimmed if the offset is no longer retained.
		Read(ctx context.Context, from int64, wait time.Duration) (*LogPage, error)
	}

	// LogPage is a sequence of records.
	LogPage struct {
		// First is the offset of Records[0].
		First   int64             `json:"first"`
		Records []json.RawMessage `json:"records"`
		// Oldest is the oldest offset that the log retains.
		Oldest int64 `json:"oldest"`
		// End is the offset that the next record will get.
		End int64 `json:"end"`
	}

	// Worker is an upstream. The entry VM that holds its claim is its home. The
	// worker refuses requests under any claim but the newest.
	Worker interface {
		// Claim grants the claim unless the claim of another home is valid.
		Claim(ctx context.Context, r *ClaimRequest) (*Claim, error)
		// Release ends the claim in favor of another incarnation.
		Release(ctx context.Context, r *ReleaseRequest) error
		// Start starts an attempt. A repeated request returns the status of the
		// attempt.
		Start(ctx context.Context, r *StartRequest) (*TaskStatus, error)
		// Stop stops an attempt and prevents any later start of it.
		Stop(ctx context.Context, r *StopRequest) (*TaskStatus, error)
		// Watch renews the claim and the leases of all tasks, and returns the
		// attempts that have ended.
		Watch(ctx context.Context, r *WatchRequest) (*WatchReply, error)
		// Forget removes ended attempts whose outcome is recorded durably.
		Forget(ctx context.Context, r *ForgetRequest) error
	}

	// ClaimRequest requests the claim of a worker.
	ClaimRequest struct {
		// Incarnation is the incarnation of the entry VM.
		Incarnation string `json:"incarnation"`
		// Lease is how long the claim lasts without a Watch request.
		Lease time.Duration `json:"lease"`
	}

	// Claim is a granted claim and the state of the worker.
	Claim struct {
		// Token authorizes the requests under the claim.
		Token string `json:"token"`
		// Boot identifies the run of the worker's process.
		Boot string `json:"boot"`
		// Epoch numbers the claims within the boot.
		Epoch    int64           `json:"epoch"`
		Capacity resource.Vector `json:"capacity"`
		// Tasks lists the running attempts, and the ended ones until Forget.
		Tasks []TaskStatus `json:"tasks"`
	}

	// ReleaseRequest ends the claim in favor of Next.
	ReleaseRequest struct {
		Token string `json:"token"`
		// Next is the only incarnation that may claim the worker within Reserve.
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
		// Lease is how long the task runs without a Watch request.
		Lease time.Duration `json:"lease"`
		// Fixed says that Watch does not renew the lease of the task.
		Fixed bool `json:"fixed"`
		// AfterWatch and Within limit the age of the request without synchronized
		// clocks: it is refused if it arrives later than Within after the worker
		// received the watch with number AfterWatch. A Within of 0 sets no limit.
		AfterWatch int64         `json:"afterWatch"`
		Within     time.Duration `json:"within"`
		// Wait is how long the call waits for the task to end.
		Wait time.Duration `json:"wait"`
	}

	// StopRequest stops an attempt.
	StopRequest struct {
		Token   string `json:"token"`
		Attempt string `json:"attempt"`
	}

	// WatchRequest is the heartbeat that a home sends.
	WatchRequest struct {
		Token string `json:"token"`
		// After is the Seq of the last reply.
		After int64 `json:"after"`
		// Wait is how long the call waits for an attempt to end.
		Wait time.Duration `json:"wait"`
		// Lease is the new lease of the claim, and TaskLease that of the tasks. A
		// TaskLease of 0 leaves the leases of the tasks unchanged.
		Lease     time.Duration `json:"lease"`
		TaskLease time.Duration `json:"taskLease"`
	}

	// WatchReply lists the attempts that have ended.
	WatchReply struct {
		Seq int64 `json:"seq"`
		// Number numbers the watches within the boot.
		Number int64        `json:"number"`
		Ended  []TaskStatus `json:"ended"`
		// Used is the resource usage measured by the worker, with a delay.
		Used resource.Vector `json:"used"`
	}

	// ForgetRequest removes ended attempts.
	ForgetRequest struct {
		Token    string   `json:"token"`
		Attempts []string `json:"attempts"`
	}

	// TaskStatus is the status of an attempt on a worker.
	TaskStatus struct {
		Attempt string          `json:"attempt"`
		Team    string          `json:"team"`
		Size    resource.Vector `json:"size"`
		State   TaskState       `json:"state"`
		// Failed says that the task ended by itself with an error.
		Failed bool `json:"failed,omitempty"`
		// Data is the output of a finished task, and Digest its SHA-256 sum in
		// hex.
		Data   string `json:"data,omitempty"`
		Digest string `json:"digest,omitempty"`
	}

	// TaskState is the state of an attempt.
	TaskState string

	// VM is an entry of the platform's list of VMs.
	VM struct {
		ID         string         `json:"id"`
		Role       Role           `json:"role"`
		Addr       netip.AddrPort `json:"addr"`
		DataCentre string         `json:"dataCentre"`
		Rack       string         `json:"rack"`
		Leaving    bool           `json:"leaving"`
	}

	// Role is the role of a VM.
	Role string

	// VMList is the list of live and leaving VMs. It is eventually consistent.
	VMList interface {
		List(ctx context.Context) ([]VM, error)
	}
)

const (
	// Running tasks occupy their size on the worker.
	Running TaskState = "running"
	// Ended tasks have a result.
	Ended TaskState = "ended"
	// Halted tasks were stopped before they finished.
	Halted TaskState = "halted"
	// LeaseExpired tasks were killed by the worker when their lease expired.
	LeaseExpired TaskState = "lapsed"
	// NeverStarted attempts have not started and never will.
	NeverStarted TaskState = "barred"

	// EntryRole is a VM that runs pollendockd.
	EntryRole Role = "entry"
	// WorkerRole is a VM that runs tasks.
	WorkerRole Role = "worker"
)
