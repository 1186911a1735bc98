package job

import (
	"maps"

	"pollendock.example/cell/site"
)

// settledKey is a prefix that is followed by the id of a worker.
const settledKey = "settled/"

// SettledWorker is the record of an incarnation of a worker that holds no leases but those that
// leaders grant to it, and will hold none: it can no longer execute a request that was sent to an earlier
// one.
type SettledWorker struct {
	_    struct{} `cbor:",toarray"`
	Boot int64
}

// SettledWorkerEntry returns the entry that stores that an incarnation of a worker is settled.
func SettledWorkerEntry(worker string, boot int64) (site.Entry, error) {
	return encode(settledKey+worker, &SettledWorker{Boot: boot})
}

// SettledWorkerRemovalEntry returns the entry that removes such a record.
func SettledWorkerRemovalEntry(worker string) site.Entry {
	return site.Entry{Key: settledKey + worker}
}

func (s *SettledWorker) validateRecord() error {
	if s.Boot == 0 {
		return Class.New("no incarnation of a worker")
	}
	return nil
}

func (v *View) applySettledWorker(worker string, e *site.Entry) error {
	if len(e.Value) == 0 {
		delete(v.settled, worker)
		return nil
	}
	var s SettledWorker
	if err := decode(e, &s); err != nil {
		return err
	}
	v.settled[worker] = s.Boot
	return nil
}

// SettledWorkers returns the newest settled incarnation of each worker, by its id.
func (v *View) SettledWorkers() map[string]int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.settled)
}
