package job

import (
	"maps"
	"time"

	"pollendock.example/cell/site"
)

type (
	// BoundedWorker is the record of an incarnation of a worker that executes no request any more that
	// was sent to an earlier one. So the leases that it grants from then on are those that leaders mean, and
	// each longer one ends with the longest lease after the record.
	BoundedWorker struct {
		_    struct{} `cbor:",toarray"`
		Boot int64
	}

	// BoundedIncarnation is such a record as this VM knows it.
	BoundedIncarnation struct {
		Boot int64
		// Since is when this VM read it.
		Since time.Time
	}
)

// boundedKey is a prefix that is followed by the id of a worker.
const boundedKey = "bounded/"

// BoundedWorkerEntry returns the entry that stores that an incarnation of a worker is bounded.
func BoundedWorkerEntry(worker string, boot int64) (site.Entry, error) {
	return encode(boundedKey+worker, &BoundedWorker{Boot: boot})
}

// BoundedWorkerRemovalEntry returns the entry that removes such a record.
func BoundedWorkerRemovalEntry(worker string) site.Entry {
	return site.Entry{Key: boundedKey + worker}
}

func (b *BoundedWorker) validateRecord() error {
	if b.Boot == 0 {
		return Class.New("no incarnation of a worker")
	}
	return nil
}

func (v *View) applyBoundedWorker(worker string, e *site.Entry) error {
	if len(e.Value) == 0 {
		delete(v.bounded, worker)
		return nil
	}
	var b BoundedWorker
	if err := decode(e, &b); err != nil {
		return err
	}
	v.bounded[worker] = BoundedIncarnation{b.Boot, time.Now()}
	return nil
}

// BoundedWorkers returns the newest bounded incarnation of each worker that has a record, by its id.
func (v *View) BoundedWorkers() map[string]BoundedIncarnation {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.bounded)
}
