package job

import (
	"maps"
	"time"

	"pollendock.example/cell/site"
)

// GivenUpRuns records that runs on an incarnation of a worker were given up before their ends
// were read. An end that cannot be read may be that of one of them, so that no leader
// acknowledges it.
type GivenUpRuns struct {
	_    struct{} `cbor:",toarray"`
	Boot int64
	// RecordedAt is by the clock of the VM that recorded it.
	RecordedAt time.Time
}

// givenUpRunsKey is a prefix that is followed by the id of the worker.
const givenUpRunsKey = "givenUpRuns/"

// GivenUpRunsEntry returns the entry that stores the record of a worker.
func GivenUpRunsEntry(worker string, g *GivenUpRuns) (site.Entry, error) {
	return encode(givenUpRunsKey+worker, g)
}

// GivenUpRunsRemovalEntry returns the entry that removes the record of a worker.
func GivenUpRunsRemovalEntry(worker string) site.Entry {
	return site.Entry{Key: givenUpRunsKey + worker}
}

func (g *GivenUpRuns) validateRecord() error {
	if g.Boot <= 0 {
		return Class.New("runs given up on incarnation %d", g.Boot)
	}
	return nil
}

func (v *View) applyGivenUpRuns(worker string, e *site.Entry) error {
	if len(e.Value) == 0 {
		delete(v.givenUpRuns, worker)
		return nil
	}
	var g GivenUpRuns
	if err := decode(e, &g); err != nil {
		return err
	}
	v.givenUpRuns[worker] = g
	return nil
}

// GivenUpRuns returns the records of all workers, by their ids.
func (v *View) GivenUpRuns() map[string]GivenUpRuns {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.givenUpRuns)
}
