package site

import (
	"time"

	"github.com/zeebo/errs"
)

type (
	// Entry is a durable record with a key. The newest entry of each key is
	// kept; an entry without a value removes its key.
	Entry struct {
		Key    string
		Value  []byte
		Offset int64
	}

	// Term is a position in the appends of one scheduler. The stream refuses
	// the appends of a lower epoch once it has seen a higher one.
	Term struct {
		Epoch int64
		// Sequence counts the appends of the epoch from 0. A repeated append
		// is not added again.
		Sequence int64
	}

	// Page is a run of entries.
	Page struct {
		Entries []Entry
		// Next is the offset to read from next.
		Next int64
		// End is the offset that the next entry of the stream will have.
		End int64
		// After is the key from which the newest entries of further keys follow;
		// empty on the last page of them.
		After string
		// Since is a time at which the reader knew all entries before these, by its
		// own clock; zero if there is none.
		Since time.Time
	}

	// Change is what has changed in the lists that the deployment keeps of
	// queues and upstreams.
	Change struct {
		// Catalog is set if there is a newer version.
		Catalog *Catalog
		// Upstreams is the whole list; nil if it has not changed.
		Upstreams []Upstream
	}
)

var (
	// ErrRefused wraps refusals of the stream: nothing was done.
	ErrRefused = errs.Class("the stream refused the call")
	// ErrFenced wraps refusals of an append whose term is over.
	ErrFenced = errs.Class("a later term has begun")
	// ErrTrimmed wraps reads from an offset that is no longer kept.
	ErrTrimmed = errs.Class("the records asked for are no longer kept")
	// ErrUnknown wraps calls without an answer: they may have been done, or
	// may still be done.
	ErrUnknown = errs.Class("no answer")
)

// Size returns the bytes of the entry's key and value.
func (e *Entry) Size() int {
	return len(e.Key) + len(e.Value)
}
