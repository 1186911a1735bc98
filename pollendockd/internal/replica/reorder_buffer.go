package replica

import (
	"sort"
	"sync"

	"pollendock.example/cell/site"
)

// reorderBuffer holds runs of offered records that arrived before the records
// that precede them, until the missing records have been read. A VM that dropped
// such runs never caught up with a busy leader: while it read the missing records,
// the next offer arrived out of order again.
type reorderBuffer struct {
	mu      sync.Mutex
	runs    [][]site.Entry
	records int
}

// maxBufferedRecords bounds the buffer. If a run does not fit, the buffered runs are
// dropped and read from the stream instead.
const maxBufferedRecords = 4000

// add buffers a run of records with consecutive offsets.
func (r *reorderBuffer) add(run []site.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records+len(run) > maxBufferedRecords {
		r.runs, r.records = nil, 0
	}
	r.runs = append(r.runs, run)
	r.records += len(run)
	sort.SliceStable(r.runs, func(a, b int) bool { return r.runs[a][0].Offset < r.runs[b][0].Offset })
}

// take removes and returns a run that contains the offset next, or returns nil if
// there is none. It drops runs that end before next.
func (r *reorderBuffer) take(next int64) []site.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.runs) > 0 && r.runs[0][0].Offset <= next {
		run := r.runs[0]
		r.runs = r.runs[1:]
		r.records -= len(run)
		if run[len(run)-1].Offset >= next {
			return run
		}
	}
	return nil
}

func (r *reorderBuffer) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs) == 0
}
