// Package code defines the numeric result codes of pollendock. They are documented
// in docs/CODES.md.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

type (
	// Code is a result code. Codes below 2000 are not errors.
	Code int

	// Error is an error with a result code.
	Error struct {
		Code Code
		// Detail describes the specific error.
		Detail string
		// RetryAfter is the delay after which the caller should retry; 0 for none.
		RetryAfter time.Duration
	}

	info struct {
		code   Code
		name   string
		status int
		exit   int
	}
)

const (
	// OK is a complete answer.
	OK Code = 1000
	// Accepted is durable work that has not ended.
	Accepted Code = 1001
	// Pending is a configuration version that is logged but not yet confirmed
	// by every entry VM.
	Pending Code = 1002

	// BadRequest is a request that cannot be decoded.
	BadRequest Code = 2001
	// UnknownField is a request with a field that is not defined.
	UnknownField Code = 2002
	// TooLarge is a body or a payload that exceeds its limit.
	TooLarge Code = 2003
	// BadSize is a task size or count out of range.
	BadSize Code = 2004
	// BadKind is an undefined kind of work.
	BadKind Code = 2005
	// BadDeadline is a deadline or run time out of range.
	BadDeadline Code = 2006
	// NeedsKey is a non-idempotent request without an idempotency key.
	NeedsKey Code = 2007
	// KeyTooOld is an idempotency key that was issued before the retention period
	// of outcomes.
	KeyTooOld Code = 2008
	// KeyReused is an idempotency key that was used with a different request.
	KeyReused Code = 2009
	// NotFound is an unknown job or path.
	NotFound Code = 2010
	// NoSuchJob is a job that the team of the key has not submitted, or that is no
	// longer retained after its end.
	NoSuchJob Code = 2011
	// NotSupported is a form of work that this version cannot run.
	NotSupported Code = 2012
	// BodyTimeout is a request whose body has stopped arriving.
	BodyTimeout Code = 2013

	// Unauthenticated is a request with no key or an unknown key.
	Unauthenticated Code = 3001
	// Forbidden is a key that does not permit the request.
	Forbidden Code = 3002

	// StaleBase is a patch against a version that is not the current one.
	StaleBase Code = 4001
	// BadPatch is a patch that does not produce a valid configuration.
	BadPatch Code = 4002
	// PatchUnknown is a patch that may or may not have been logged.
	PatchUnknown Code = 4003
	// NoDataCentre is a patch that evacuates a data centre in which there is neither
	// a worker nor an entry VM.
	NoDataCentre Code = 4004

	// NeverFits is work that exceeds the capacity of the cell or the limit of the
	// team.
	NeverFits Code = 5001
	// OverLimit is work that exceeds the free part of its team's limit.
	OverLimit Code = 5002
	// NoRoom is a lookup for which no capacity was found in time.
	NoRoom Code = 5003
	// QueueFull is work that exceeds the queue limits of its team.
	QueueFull Code = 5004
	// Expired is work whose deadline passed before it started.
	Expired Code = 5005
	// Canceled is work that was canceled by its team.
	Canceled Code = 5006
	// Overloaded is work that could not be done in a time that is of use to its
	// caller. It was not accepted.
	Overloaded Code = 5007

	// LogDown is a request that requires the log while the log is unavailable.
	LogDown Code = 6001
	// NotReady is an entry VM that has no configuration yet or is shutting down.
	NotReady Code = 6002
	// Isolated is an entry VM that can reach neither the log nor enough peers.
	Isolated Code = 6003
	// MayHaveRun is a request whose attempt has no known outcome.
	MayHaveRun Code = 6004
	// TaskFailed is a task that ran and failed.
	TaskFailed Code = 6005
	// AcceptUnknown is a request that may or may not have been accepted. Repeating
	// it with the same idempotency key resolves this.
	AcceptUnknown Code = 6006
	// CrashesWorkers is work that has crashed the workers that started it, and is not
	// started again.
	CrashesWorkers Code = 6007
	// Internal is an internal error of pollendock.
	Internal Code = 6099
)

const (
	exitUsage    = 2
	exitRefused  = 3
	exitNoAccess = 4
	exitConflict = 5
	exitNotRun   = 6
	exitUnknown  = 7
)

var (
	// Class wraps every error with a result code.
	Class = errs.Class("pollendock")

	table = []info{
		{OK, "ok", http.StatusOK, 0},
		{Accepted, "accepted", http.StatusAccepted, 0},
		{Pending, "pending", http.StatusAccepted, 0},
		{BadRequest, "badRequest", http.StatusBadRequest, exitUsage},
		{UnknownField, "unknownField", http.StatusBadRequest, exitUsage},
		{TooLarge, "tooLarge", http.StatusRequestEntityTooLarge, exitUsage},
		{BadSize, "badSize", http.StatusBadRequest, exitUsage},
		{BadKind, "badKind", http.StatusBadRequest, exitUsage},
		{BadDeadline, "badDeadline", http.StatusBadRequest, exitUsage},
		{NeedsKey, "needsKey", http.StatusBadRequest, exitUsage},
		{KeyTooOld, "keyTooOld", http.StatusConflict, exitConflict},
		{KeyReused, "keyReused", http.StatusConflict, exitConflict},
		{NotFound, "notFound", http.StatusNotFound, exitUsage},
		{NoSuchJob, "noSuchJob", http.StatusGone, exitUsage},
		{NotSupported, "notSupported", http.StatusNotImplemented, exitUsage},
		{BodyTimeout, "bodyTimeout", http.StatusRequestTimeout, exitNotRun},
		{Unauthenticated, "unauthenticated", http.StatusUnauthorized, exitNoAccess},
		{Forbidden, "forbidden", http.StatusForbidden, exitNoAccess},
		{StaleBase, "staleBase", http.StatusConflict, exitConflict},
		{BadPatch, "badPatch", http.StatusUnprocessableEntity, exitUsage},
		{PatchUnknown, "patchUnknown", http.StatusServiceUnavailable, exitUnknown},
		{NoDataCentre, "noDataCentre", http.StatusUnprocessableEntity, exitUsage},
		{NeverFits, "neverFits", http.StatusUnprocessableEntity, exitRefused},
		{OverLimit, "overLimit", http.StatusTooManyRequests, exitRefused},
		{NoRoom, "noRoom", http.StatusServiceUnavailable, exitNotRun},
		{QueueFull, "queueFull", http.StatusTooManyRequests, exitNotRun},
		{Expired, "expired", http.StatusGatewayTimeout, exitNotRun},
		{Canceled, "canceled", http.StatusGone, exitNotRun},
		{Overloaded, "overloaded", http.StatusTooManyRequests, exitNotRun},
		{LogDown, "logDown", http.StatusServiceUnavailable, exitNotRun},
		{NotReady, "notReady", http.StatusServiceUnavailable, exitNotRun},
		{Isolated, "isolated", http.StatusServiceUnavailable, exitNotRun},
		{MayHaveRun, "mayHaveRun", http.StatusBadGateway, exitUnknown},
		{TaskFailed, "taskFailed", http.StatusInternalServerError, exitRefused},
		{AcceptUnknown, "acceptUnknown", http.StatusServiceUnavailable, exitUnknown},
		{CrashesWorkers, "crashesWorkers", http.StatusInternalServerError, exitUnknown},
		{Internal, "internal", http.StatusInternalServerError, exitUnknown},
	}
)

// All returns every code in the order of the table.
func All() []Code {
	codes := make([]Code, 0, len(table))
	for _, e := range table {
		codes = append(codes, e.code)
	}
	return codes
}

func lookup(c Code) info {
	for _, e := range table {
		if e.code == c {
			return e
		}
	}
	return lookup(Internal)
}

// String returns the camel-case name of the code.
func (c Code) String() string {
	return lookup(c).name
}

// HTTPStatus returns the HTTP status for the code.
func (c Code) HTTPStatus() int {
	return lookup(c).status
}

// ExitStatus returns the exit status of the command-line tool for the code.
func (c Code) ExitStatus() int {
	return lookup(c).exit
}

// Error returns the number, the name and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
}

// New returns an error with the code and a formatted detail.
func New(c Code, format string, args ...any) error {
	return Class.Wrap(&Error{Code: c, Detail: fmt.Sprintf(format, args...)})
}

// Refuse returns an error with the code, the delay after which the caller should retry,
// and a formatted detail.
func Refuse(c Code, retryAfter time.Duration, format string, args ...any) error {
	return Class.Wrap(&Error{Code: c, Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter})
}

// RetryAfterOf returns the delay after which the caller should retry, or 0.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// Of returns the code and the detail of err. Errors without a code are Internal.
func Of(err error) (Code, string) {
	if err == nil {
		return OK, ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code, e.Detail
	}
	return Internal, err.Error()
}
