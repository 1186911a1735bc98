package platform

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

type (
	// Reason is the reason for which the platform refused a request.
	Reason string

	// Refusal is an error that guarantees that the request had no effect.
	Refusal struct {
		Reason Reason `json:"reason"`
		Detail string `json:"detail"`
	}
)

const (
	// ClaimHeld means that the claim of another home is valid.
	ClaimHeld Reason = "held"
	// StaleClaim means that the request was made under an outdated claim.
	StaleClaim Reason = "staleClaim"
	// WorkerFull means that the worker has no capacity for the task.
	WorkerFull Reason = "workerFull"
	// StartFailed means that the worker could not start the task.
	StartFailed Reason = "startFailed"
	// Late means that a start request arrived after its time limit.
	Late Reason = "late"
	// Unavailable means that the service currently accepts no requests.
	Unavailable Reason = "unavailable"
	// Trimmed means that the log no longer retains the offset.
	Trimmed Reason = "trimmed"
	// BadRequest means that the request is invalid.
	BadRequest Reason = "badRequest"
	// Unreachable means that no connection could be established.
	Unreachable Reason = "unreachable"
)

var (
	// Class wraps the errors of this package.
	Class = errs.Class("platform")
)

// Error returns the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// Refuse returns a Refusal as an error.
func Refuse(reason Reason, format string, args ...any) error {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// IsRefusal reports whether err guarantees that the request had no effect.
func IsRefusal(err error) bool {
	var r *Refusal
	return errors.As(err, &r)
}

// HasReason reports whether err is a Refusal for the given reason.
func HasReason(err error, reason Reason) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Reason == reason
}
