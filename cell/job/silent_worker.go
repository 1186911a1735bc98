package job

import (
	"maps"

	"pollendock.example/cell/site"
)

// silentKey is a prefix that is followed by the id of a worker that has runs and does not answer
// the leader. From its record on leaders that have appended it renew the leases of the worker
// only for as long as one that does not know it, until they have removed the record.
const silentKey = "silent/"

// SilentWorkerEntry returns the entry that stores that a worker does not answer.
func SilentWorkerEntry(worker string, r *EpochRange) (site.Entry, error) {
	return encode(silentKey+worker, r)
}

// SilentWorkerRemovalEntry returns the entry that removes such a record.
func SilentWorkerRemovalEntry(worker string) site.Entry {
	return site.Entry{Key: silentKey + worker}
}

func (v *View) applySilentWorker(worker string, e *site.Entry) error {
	if len(e.Value) == 0 {
		delete(v.silent, worker)
		return nil
	}
	h, err := v.silent[worker].next(e)
	if err != nil {
		return err
	}
	v.silent[worker] = h
	return nil
}

// SilentWorkers returns the records of the workers that do not answer, by id.
func (v *View) SilentWorkers() map[string]EpochHistory {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.silent)
}
