package ledger

import (
	"encoding/json"
	"fmt"
)

type (
	// SnapshotAssembler reassembles snapshots from their parts while a new entry
	// VM reads the log from its oldest record.
	SnapshotAssembler struct {
		through int64
		by      string
		parts   [][]byte
	}
)

const (
	// PartBytes is the maximum number of data bytes in a snapshot part.
	PartBytes = 128 << 10
)

// Marshal serializes the state.
func (s *State) Marshal() ([]byte, error) {
	return json.Marshal(s)
}

// Unmarshal restores a state from the output of Marshal.
func Unmarshal(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.index()
	return s, nil
}

// SplitSnapshot splits a serialized state into the parts that are appended to the
// log.
func SplitSnapshot(data []byte, through int64) []*SnapshotPart {
	count := (len(data) + PartBytes - 1) / PartBytes
	parts := make([]*SnapshotPart, 0, count)
	for i := range count {
		end := min((i+1)*PartBytes, len(data))
		parts = append(parts, &SnapshotPart{
			Through: through, Part: i, Parts: count, Data: data[i*PartBytes : end],
		})
	}
	return parts
}

// Add processes a record. It returns the state when the record completes a
// snapshot, else nil.
func (a *SnapshotAssembler) Add(r *Record) (*State, error) {
	p := r.Snapshot
	if p == nil {
		return nil, nil
	}
	if p.Part == 0 {
		a.through, a.by, a.parts = p.Through, r.By, nil
	}
	if p.Through != a.through || r.By != a.by || p.Part != len(a.parts) {
		return nil, nil
	}
	a.parts = append(a.parts, p.Data)
	if len(a.parts) < p.Parts {
		return nil, nil
	}
	var data []byte
	for _, part := range a.parts {
		data = append(data, part...)
	}
	a.parts = nil
	return Unmarshal(data)
}
