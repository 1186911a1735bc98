package job

import (
	"time"

	"pollendock.example/cell/site"
)

type (
	// EpochRange is a record that leaders append, each in its term and after one another
	// without a gap.
	EpochRange struct {
		_ struct{} `cbor:",toarray"`
		// Epoch is that of the last of these leaders, FirstEpoch that of the first one. A
		// leader of a later epoch may not have known the record.
		Epoch      int64
		FirstEpoch int64
	}

	// EpochHistory is such a record as this VM knows it. It is zero if there is none.
	EpochHistory struct {
		EpochRange
		// Since is when this VM read the first record with that FirstEpoch.
		Since time.Time
	}
)

func (r *EpochRange) validateRecord() error {
	if r.FirstEpoch < 0 || r.Epoch < r.FirstEpoch || r.Epoch > maxNumber {
		return Class.New("a record of leaders from epoch %d to %d", r.FirstEpoch, r.Epoch)
	}
	return nil
}

// ReachesTo reports whether the leader of an epoch was the last one to append the record.
func (h *EpochHistory) ReachesTo(epoch int64) bool {
	return !h.Since.IsZero() && h.Epoch == epoch
}

// next returns the history after an entry that stores the record.
func (h EpochHistory) next(e *site.Entry) (EpochHistory, error) {
	n := EpochHistory{Since: time.Now()}
	if err := decode(e, &n.EpochRange); err != nil {
		return h, err
	}
	if !h.Since.IsZero() && h.FirstEpoch == n.FirstEpoch {
		n.Since = h.Since
	}
	return n, nil
}
