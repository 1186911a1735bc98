// Package api defines the JSON bodies of the HTTP API of entry VMs, and a client
// for it.
package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// Truth says whether the requested work ran.
	Truth string

	// Size is the size of one task. The names of its fields are part of the digest
	// of a request, which is stored.
	Size struct {
		// MilliCPU is CPU time in thousandths of a core.
		MilliCPU int64 `json:"milliCpu"`
		// MemoryMB is memory in MiB.
		MemoryMB int64 `json:"memoryMb"`
		// Accelerators is a number of whole devices.
		Accelerators int64 `json:"accelerators"`
	}

	// SubmitRequest is a submission of work.
	SubmitRequest struct {
		Kind config.Kind `json:"kind"`
		Size Size        `json:"size"`
		// Count is the number of tasks, 1 if absent.
		Count int `json:"count"`
		// ExpectedRunMs is the run time of a task that the team expects, in
		// milliseconds.
		ExpectedRunMs int64 `json:"expectedRunMs"`
		// DeadlineMs is the time within which the work must start, or end in
		// the case of lookups, in milliseconds from now. 0 means none for
		// durable work and 5000 for lookups.
		DeadlineMs int64 `json:"deadlineMs"`
		// NonIdempotent says that the work must not run more than once.
		NonIdempotent bool `json:"nonIdempotent"`
		// IdempotencyKey identifies repeats of the request.
		IdempotencyKey string `json:"idempotencyKey"`
		// IssuedAt is when the idempotency key was generated.
		IssuedAt time.Time `json:"issuedAt"`
		// Urgent gives the work precedence over other work of its team.
		Urgent bool `json:"urgent"`
		// Payload is passed to the worker.
		Payload string `json:"payload"`
		// WaitMs is how long the call may wait for durable work to end, in
		// milliseconds.
		WaitMs int64 `json:"waitMs"`
	}

	// Answer is the common part of all answers.
	Answer struct {
		// RequestID identifies the request in logs and traces.
		RequestID string    `json:"requestId"`
		Code      code.Code `json:"code"`
		Name      string    `json:"name"`
		Truth     Truth     `json:"truth"`
		Detail    string    `json:"detail,omitempty"`
		// RetryAfterMs is the delay before a retry in milliseconds.
		RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
		// Job is the id of durable work.
		Job string `json:"job,omitempty"`
		// Data is the output of a single task, and Length its length in bytes.
		Data   string `json:"data,omitempty"`
		Length int    `json:"length"`
		// Digest is the SHA-256 sum of Data in hex.
		Digest string `json:"digest,omitempty"`
		// Tasks holds the tasks of durable work.
		Tasks []TaskAnswer `json:"tasks,omitempty"`
	}

	// TaskAnswer is the status of one task of durable work.
	TaskAnswer struct {
		Phase   string    `json:"phase"`
		Attempt int64     `json:"attempt"`
		Worker  string    `json:"worker,omitempty"`
		Code    code.Code `json:"code,omitempty"`
		Truth   Truth     `json:"truth"`
		Data    string    `json:"data,omitempty"`
		Length  int       `json:"length"`
		Digest  string    `json:"digest,omitempty"`
	}

	// PatchRequest is a proposed change of the configuration.
	PatchRequest struct {
		config.Patch
		// DryRun only checks the patch and returns the difference.
		DryRun bool `json:"dryRun"`
	}

	// PatchAnswer is the answer to a patch.
	PatchAnswer struct {
		Answer
		// Number is the new version; the current one if the patch was refused.
		Number int64 `json:"number"`
		// RecordID identifies the patch in the version history, which resolves an
		// unknown outcome.
		RecordID string `json:"recordId,omitempty"`
		// Difference is the effective merge patch of a dry run.
		Difference json.RawMessage `json:"difference,omitempty"`
		// Unconfirmed lists the incarnations that have not confirmed the
		// version.
		Unconfirmed []string `json:"unconfirmed,omitempty"`
	}

	// ConfigAnswer is the current configuration at the entry VM.
	ConfigAnswer struct {
		Answer
		Number      int64            `json:"number"`
		Document    *config.Document `json:"document"`
		Unconfirmed []string         `json:"unconfirmed,omitempty"`
	}

	// HistoryAnswer is the version history, oldest first.
	HistoryAnswer struct {
		Answer
		Versions []config.Version `json:"versions"`
	}

	// CellAnswer is the state of the cell as seen by one entry VM.
	CellAnswer struct {
		Answer
		Entry       string         `json:"entry"`
		Incarnation string         `json:"incarnation"`
		Ready       bool           `json:"ready"`
		Version     int64          `json:"version"`
		Applied     int64          `json:"applied"`
		Workers     []WorkerAnswer `json:"workers"`
		Teams       []TeamAnswer   `json:"teams"`
		Members     []MemberAnswer `json:"members"`
	}

	// WorkerAnswer is the state of a worker.
	WorkerAnswer struct {
		ID       string          `json:"id"`
		Home     string          `json:"home"`
		Boot     string          `json:"boot"`
		Capacity resource.Vector `json:"capacity"`
		// DataCentre is the worker's location. Evacuated is set if the worker gets
		// no new work because the data centre is evacuated.
		DataCentre string `json:"dataCentre"`
		Evacuated  bool   `json:"evacuated,omitempty"`
		// Durable is the total size of the durable tasks on the worker.
		Durable resource.Vector `json:"durable"`
		// Lookups is the capacity that is allocated to lookups on the worker.
		Lookups resource.Vector `json:"lookups"`
	}

	// TeamAnswer is the state of a team.
	TeamAnswer struct {
		Name    string          `json:"name"`
		Share   int64           `json:"share"`
		Limit   resource.Vector `json:"limit"`
		Usage   resource.Vector `json:"use"`
		Waiting int64           `json:"waiting"`
	}

	// MemberAnswer is the state of an entry VM.
	MemberAnswer struct {
		EntryID     string `json:"entryId"`
		Incarnation string `json:"incarnation"`
		DataCentre  string `json:"dataCentre"`
		Heard       bool   `json:"heard"`
	}
)

const (
	// Ran means that the work ran and the answer is complete.
	Ran Truth = "ran"
	// NotRun means that the work has not run and never will.
	NotRun Truth = "notRun"
	// MayHaveRun means that it is unknown whether the work ran.
	MayHaveRun Truth = "mayHaveRun"
	// Underway means that the work was accepted and has not ended.
	Underway Truth = "underway"
	// NoWork is for requests that do not submit work.
	NoWork Truth = "none"
)

// HasDataCentre reports whether a worker or an entry VM is in the data centre.
func (a *CellAnswer) HasDataCentre(name string) bool {
	for _, w := range a.Workers {
		if w.DataCentre == name {
			return true
		}
	}
	for _, m := range a.Members {
		if m.DataCentre == name {
			return true
		}
	}
	return false
}

// TruthOf returns the truth that a code implies.
func TruthOf(c code.Code) Truth {
	switch c {
	case code.OK, code.TaskFailed:
		return Ran
	case code.Accepted, code.Pending:
		return Underway
	case code.MayHaveRun, code.AcceptUnknown, code.PatchUnknown, code.CrashesWorkers, code.Internal:
		return MayHaveRun
	}
	return NotRun
}

// Digest returns the SHA-256 sum of data in hex.
func Digest(data string) string {
	sum := sha256.Sum256([]byte(data))
	return hex.EncodeToString(sum[:])
}

// NewAnswer returns an answer with the code and the fields derived from it.
func NewAnswer(c code.Code, detail string) Answer {
	return Answer{Code: c, Name: c.String(), Truth: TruthOf(c), Detail: detail}
}
