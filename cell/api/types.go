// Package api defines the JSON bodies between callers and entry VMs, and a
// client for them.
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
	// Truth says what became of a request.
	Truth string

	// Size is the size of one task.
	Size struct {
		// MilliCPU is processor time in thousandths of a core.
		MilliCPU int64 `json:"milliCpu"`
		// MemoryMB is memory in units of 2^20 bytes.
		MemoryMB int64 `json:"memoryMb"`
		// Accelerators is a number of whole devices.
		Accelerators int64 `json:"accelerators"`
	}

	// SubmitRequest asks for work.
	SubmitRequest struct {
		Kind config.Kind `json:"kind"`
		Size Size        `json:"size"`
		// Count is the number of tasks, 1 if absent.
		Count int `json:"count"`
		// ExpectedRunMs is the run time that the team declares, in
		// milliseconds.
		ExpectedRunMs int64 `json:"expectedRunMs"`
		// DeadlineMs is the time within which the work must start, or end in
		// the case of lookups, in milliseconds from now. 0 means none for
		// durable work and 5000 for lookups.
		DeadlineMs int64 `json:"deadlineMs"`
		// NonIdempotent says that the work must not run twice.
		NonIdempotent bool `json:"nonIdempotent"`
		// IdempotencyKey names the request for repeats.
		IdempotencyKey string `json:"idempotencyKey"`
		// IssuedAt is when the idempotency key was made.
		IssuedAt time.Time `json:"issuedAt"`
		// Urgent work goes before other work of its team.
		Urgent bool `json:"urgent"`
		// Payload is handed to the worker.
		Payload string `json:"payload"`
		// WaitMs is how long the answer may wait for the end of durable work,
		// in milliseconds.
		WaitMs int64 `json:"waitMs"`
	}

	// Answer is the answer to any request.
	Answer struct {
		// RequestID names the request in logs and traces.
		RequestID string    `json:"requestId"`
		Code      code.Code `json:"code"`
		// Name is the name of Code.
		Name   string `json:"name"`
		Truth  Truth  `json:"truth"`
		Detail string `json:"detail,omitempty"`
		// RetryAfterMs says when to come back, in milliseconds.
		RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
		// Job is the id of durable work.
		Job string `json:"job,omitempty"`
		// Data, Length and Digest are the whole answer of one task.
		Data   string `json:"data,omitempty"`
		Length int    `json:"length"`
		// Digest is the SHA-256 sum of Data in hex.
		Digest string `json:"digest,omitempty"`
		// Tasks holds the tasks of durable work.
		Tasks []TaskAnswer `json:"tasks,omitempty"`
	}

	// TaskAnswer is one task of durable work.
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

	// PatchRequest proposes a configuration version.
	PatchRequest struct {
		config.Patch
		// DryRun checks the patch and returns the difference only.
		DryRun bool `json:"dryRun"`
	}

	// PatchAnswer is the answer to a patch.
	PatchAnswer struct {
		Answer
		// Number is the new version, or the current one after a refusal.
		Number int64 `json:"number"`
		// RecordID finds the patch in the history after an unknown answer.
		RecordID string `json:"recordId,omitempty"`
		// Difference is the effective merge patch of a dry run.
		Difference json.RawMessage `json:"difference,omitempty"`
		// Unconfirmed holds the incarnations that have not confirmed the
		// version.
		Unconfirmed []string `json:"unconfirmed,omitempty"`
	}

	// ConfigAnswer is the configuration in force at the entry VM.
	ConfigAnswer struct {
		Answer
		Number      int64            `json:"number"`
		Document    *config.Document `json:"document"`
		Unconfirmed []string         `json:"unconfirmed,omitempty"`
	}

	// HistoryAnswer holds versions, oldest first.
	HistoryAnswer struct {
		Answer
		Versions []config.Version `json:"versions"`
	}

	// CellAnswer is what one entry VM knows of the cell.
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

	// WorkerAnswer is one worker.
	WorkerAnswer struct {
		ID       string          `json:"id"`
		Home     string          `json:"home"`
		Boot     string          `json:"boot"`
		Capacity resource.Vector `json:"capacity"`
		// Durable is what durable tasks hold here.
		Durable resource.Vector `json:"durable"`
		// Lookups is what is set aside for lookups here.
		Lookups resource.Vector `json:"lookups"`
	}

	// TeamAnswer is one team.
	TeamAnswer struct {
		Name    string          `json:"name"`
		Share   int64           `json:"share"`
		Limit   resource.Vector `json:"limit"`
		Use     resource.Vector `json:"use"`
		Waiting int64           `json:"waiting"`
	}

	// MemberAnswer is one entry VM.
	MemberAnswer struct {
		EntryID     string `json:"entryId"`
		Incarnation string `json:"incarnation"`
		DataCentre  string `json:"dataCentre"`
		Heard       bool   `json:"heard"`
	}
)

const (
	// Ran means that the work ran and the answer is whole.
	Ran Truth = "ran"
	// NotRun means that the work has not run and will not.
	NotRun Truth = "notRun"
	// MayHaveRun means that it is not known.
	MayHaveRun Truth = "mayHaveRun"
	// Underway means that the work is accepted and has not ended.
	Underway Truth = "underway"
	// NoWork goes with requests that ask for no work.
	NoWork Truth = "none"
)

// TruthOf returns what a code says of the work.
func TruthOf(c code.Code) Truth {
	switch c {
	case code.OK, code.TaskFailed:
		return Ran
	case code.Accepted, code.Pending:
		return Underway
	case code.MayHaveRun, code.AcceptUnknown, code.PatchUnknown, code.Internal:
		return MayHaveRun
	}
	return NotRun
}

// Digest returns the digest that goes with data.
func Digest(data string) string {
	sum := sha256.Sum256([]byte(data))
	return hex.EncodeToString(sum[:])
}

// NewAnswer returns an answer with the code and what follows from it.
func NewAnswer(c code.Code, detail string) Answer {
	return Answer{Code: c, Name: c.String(), Truth: TruthOf(c), Detail: detail}
}
