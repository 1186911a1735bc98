package site

import (
	"errors"
	"time"
)

// AdmissionError is the refusal of a job by the leader, which is never run. It is
// wrapped in ErrRefused.
type AdmissionError struct {
	// Never is set if the job could never run.
	Never  bool
	Detail string
	// RetryAfter is the delay after which the caller should retry; 0 if that is of no
	// use.
	RetryAfter time.Duration
}

// Error returns the detail.
func (e *AdmissionError) Error() string {
	return e.Detail
}

// AdmissionErrorOf returns the AdmissionError that err wraps, or nil. It returns nil for
// an error that is not of class ErrRefused, which does not promise that the job never
// runs.
func AdmissionErrorOf(err error) *AdmissionError {
	var refusal *AdmissionError
	if !ErrRefused.Has(err) || !errors.As(err, &refusal) {
		return nil
	}
	return refusal
}
