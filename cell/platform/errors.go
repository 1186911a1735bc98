package platform

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

type (
	// Reason says why the platform refused a request.
	Reason string

	// Refusal is a definite answer that a request had no effect.
	Refusal struct {
		Reason Reason `json:"reason"`
		Detail string `json:"detail"`
	}
)

const (
	// Held means that another home's claim is in force.
	Held Reason = "held"
	// StaleClaim means that the request came under an old claim.
	StaleClaim Reason = "staleClaim"
	// WorkerFull means that the worker has no room for the task.
	WorkerFull Reason = "workerFull"
	// StartFailed means that the worker could not start the task.
	StartFailed Reason = "startFailed"
	// Late means that a start arrived beyond its bound.
	Late Reason = "late"
	// Unavailable means that the service takes no requests now.
	Unavailable Reason = "unavailable"
	// Trimmed means that the offset is older than the log keeps.
	Trimmed Reason = "trimmed"
	// BadRequest means that the request was not understood.
	BadRequest Reason = "badRequest"
	// Unreachable means that no connection could be made.
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

// Refuse returns a Refusal.
func Refuse(reason Reason, format string, args ...any) error {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// IsRefusal reports whether err says for certain that the request had no
// effect.
func IsRefusal(err error) bool {
	var r *Refusal
	return errors.As(err, &r)
}

// HasReason reports whether err is a Refusal with the reason.
func HasReason(err error, reason Reason) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Reason == reason
}
