package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

type (
	// Patch is a proposed change of the configuration.
	Patch struct {
		// Base is the number of the version that the patch applies to.
		Base int64 `json:"base"`
		// Author is the operator's name, for the version history.
		Author string `json:"author"`
		// Reason is the reason for the change, for the version history.
		Reason string `json:"reason"`
		// Merge is a JSON merge patch (RFC 7396) of the document.
		Merge json.RawMessage `json:"merge"`
	}

	// Version is an accepted patch.
	Version struct {
		// Number numbers the versions from 1.
		Number int64 `json:"number"`
		// KeyName is the name of the operator key that authorized the patch.
		KeyName string `json:"keyName"`
		// At is the time by the clock of the entry VM that published the patch.
		At time.Time `json:"at"`
		// RecordID is the id of the log record.
		RecordID string `json:"recordId"`
		Patch
	}
)

const (
	// MaxPatchBytes is the maximum length of the merge patch.
	MaxPatchBytes = 128 << 10
	maxTextBytes  = 500
)

// Validate checks what can be checked without the base document.
func (p *Patch) Validate() error {
	if p.Base < 0 {
		return fmt.Errorf("base: %d is negative", p.Base)
	}
	if p.Author == "" || len(p.Author) > maxTextBytes {
		return fmt.Errorf("author: 1 to %d bytes are needed", maxTextBytes)
	}
	if p.Reason == "" || len(p.Reason) > maxTextBytes {
		return fmt.Errorf("reason: 1 to %d bytes are needed", maxTextBytes)
	}
	if len(p.Merge) == 0 || len(p.Merge) > MaxPatchBytes {
		return fmt.Errorf("merge: 1 to %d bytes are needed", MaxPatchBytes)
	}
	return nil
}

// Apply returns the patched document. It is a pure function of its arguments, so
// every entry VM gets the same result from the same records.
func (p *Patch) Apply(d *Document) (*Document, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	before, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	after, err := jsonpatch.MergePatch(before, p.Merge)
	if err != nil {
		return nil, fmt.Errorf("merge: %w", err)
	}
	next := Empty()
	dec := json.NewDecoder(bytes.NewReader(after))
	dec.DisallowUnknownFields()
	if err := dec.Decode(next); err != nil {
		return nil, fmt.Errorf("merge: %w", err)
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return next, nil
}

// Diff returns the merge patch from a to b, for display.
func Diff(a, b *Document) (json.RawMessage, error) {
	before, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	after, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	return jsonpatch.CreateMergePatch(before, after)
}
