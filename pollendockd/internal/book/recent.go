package book

import (
	"sync"

	"pollendock.example/cell/site"
)

// recent holds the newest records without a hole, so that VMs that lack some get
// them from here: one that the stream turns away could not read them.
type recent struct {
	mu      sync.Mutex
	entries []site.Entry
	bytes   int
}

// maxRecentBytes bounds the records that are held.
const maxRecentBytes = 2 << 20

// add takes records without a hole between them. Those that do not follow the ones
// that are held replace them.
func (r *recent) add(run []site.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end := r.end(); len(r.entries) > 0 {
		for len(run) > 0 && run[0].Offset < end {
			run = run[1:]
		}
		if len(run) > 0 && run[0].Offset > end {
			r.entries, r.bytes = nil, 0
		}
	}
	r.entries = append(r.entries, run...)
	for i := range run {
		r.bytes += run[i].Size()
	}
	for r.bytes > maxRecentBytes {
		r.bytes -= r.entries[0].Size()
		r.entries = r.entries[1:]
	}
}

// end is the offset after the last record.
func (r *recent) end() int64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].Offset + 1
}

// from returns records from an offset on, of up to most bytes and one more. It
// reports false if the record at the offset is not held any more.
func (r *recent) from(next int64, most int) ([]site.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next >= r.end() {
		return nil, true
	}
	first := r.entries[0].Offset
	if next < first {
		return nil, false
	}
	rest := r.entries[next-first:]
	n, size := 0, 0
	for n < len(rest) && size < most {
		size += rest[n].Size()
		n++
	}
	return rest[:n:n], true
}
