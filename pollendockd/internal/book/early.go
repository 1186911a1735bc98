package book

import (
	"sort"
	"sync"

	"pollendock.example/cell/site"
)

// early holds runs of records that came before those that precede them, until
// these have been read. A VM that dropped them never caught up with a busy
// leader: while it read what was missing, the next offer came too early again.
type early struct {
	mu      sync.Mutex
	runs    [][]site.Entry
	records int
}

// maxEarly bounds the records that are held; beyond it they are read.
const maxEarly = 4000

// add takes records without a hole between them.
func (e *early) add(run []site.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.records+len(run) > maxEarly {
		e.runs, e.records = nil, 0
	}
	e.runs = append(e.runs, run)
	e.records += len(run)
	sort.SliceStable(e.runs, func(a, b int) bool { return e.runs[a][0].Offset < e.runs[b][0].Offset })
}

// take returns and removes a run that continues at next, or nil. Runs that bring
// nothing new are dropped.
func (e *early) take(next int64) []site.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.runs) > 0 && e.runs[0][0].Offset <= next {
		run := e.runs[0]
		e.runs = e.runs[1:]
		e.records -= len(run)
		if run[len(run)-1].Offset >= next {
			return run
		}
	}
	return nil
}

func (e *early) empty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs) == 0
}
