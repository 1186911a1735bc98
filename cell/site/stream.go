package site

import (
	"time"

	"github.com/zeebo/errs"
)

type (
	// Entry is a durable record with a key. The stream is compacted: it keeps the
	// newest entry of each key, and an entry without a value removes its key.
	Entry struct {
		Key    string
		Value  []byte
		Offset int64
	}

	// Term identifies an append of one leader. The stream refuses appends of a
	// lower epoch once it has seen a higher one.
	Term struct {
		Epoch int64
		// Sequence numbers the appends of the epoch from 0. A repeated append
		// is not added again.
		Sequence int64
	}

	// Page is a sequence of entries that were read at once.
	Page struct {
		Entries []Entry
		// Next is the offset at which the next read continues.
		Next int64
		// End is the offset that the next appended entry will get.
		End int64
		// After is the key after which a scan by key continues; empty on the last
		// page of the scan.
		After string
		// BeganAt is when the page began to arrive, which may take seconds; zero if unknown.
		// It holds what the stream had then.
		BeganAt time.Time
		// Skipped is the number of entries that a scan by key left out, because they could
		// not be read.
		Skipped int
		// CaughtUpAt is a time, by the reader's own clock, at which the reader
		// had read all entries before these; zero if unknown.
		CaughtUpAt time.Time
	}

	// Change is a change of the deployment's catalog or list of upstreams.
	Change struct {
		// Catalog is set if there is a newer version.
		Catalog *Catalog
		// Upstreams is the complete list; nil if it has not changed.
		Upstreams []Upstream
	}
)

var (
	// ErrRefused wraps refusals by the stream. The call had no effect.
	ErrRefused = errs.Class("the stream refused the call")
	// ErrFenced wraps refusals of an append because of a later term.
	ErrFenced = errs.Class("a later term has begun")
	// ErrTrimmed wraps reads from an offset that is no longer retained.
	ErrTrimmed = errs.Class("the records asked for are no longer kept")
	// ErrUnknown wraps calls without an answer. They may have taken effect or may
	// still do so.
	ErrUnknown = errs.Class("no answer")
)

// Size returns the length of the entry's key and value in bytes.
func (e *Entry) Size() int {
	return len(e.Key) + len(e.Value)
}
