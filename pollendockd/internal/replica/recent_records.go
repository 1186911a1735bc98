package replica

import (
	"sync"

	"pollendock.example/cell/site"
)

// recentRecords caches the newest records, with consecutive offsets. Other VMs get
// missing records from here, because a VM that the stream refuses could not read
// them.
type recentRecords struct {
	mu      sync.Mutex
	entries []site.Entry
	bytes   int
}

// maxRecentBytes bounds the size of the cached records.
const maxRecentBytes = 2 << 20

// add appends a run of records with consecutive offsets. If there is a gap between
// the cached records and the run, the run replaces the cached records.
func (r *recentRecords) add(run []site.Entry) {
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

// end returns the offset after the last cached record.
func (r *recentRecords) end() int64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].Offset + 1
}

// from returns cached records that start at the offset next. It stops with the
// record that reaches maxBytes. It reports false if the record at next is no longer
// cached.
func (r *recentRecords) from(next int64, maxBytes int) ([]site.Entry, bool) {
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
	for n < len(rest) && size < maxBytes {
		size += rest[n].Size()
		n++
	}
	return rest[:n:n], true
}
