// Package configcheck checks a proposed configuration before it is sent. It finds
// the errors for which an entry VM would refuse it, entries that can never match,
// limits that contradict each other, and the changes from the version in force. It
// does no I/O.
package configcheck

import (
	"encoding/json"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// Proposal is a configuration that is not in force yet.
	Proposal struct {
		// Base is the document in force.
		Base *config.Document
		// Content is a JSON merge patch of Base, or a whole document.
		Content json.RawMessage
		// Whole is set if Content is a whole document.
		Whole bool
		// Cell is the cell that the configuration is for, nil if it is unknown.
		Cell *Cell
	}

	// Cell is the size of a cell.
	Cell struct {
		// Capacity is the sum over the workers.
		Capacity resource.Vector
		Workers  int64
		EntryVMs int64
	}

	// Severity tells whether a finding prevents the publication.
	Severity string

	// Finding is one thing that an operator should look at.
	Finding struct {
		Severity Severity `json:"severity"`
		Code     int      `json:"code"`
		Name     string   `json:"name"`
		// Path is the field, or "document".
		Path   string `json:"path"`
		Detail string `json:"detail"`
	}

	// Report is the result of a check.
	Report struct {
		// Findings holds errors only, or warnings only: a document with errors
		// is not checked any further.
		Findings []Finding `json:"findings"`
		Changes  []Change  `json:"changes"`
	}
)

const (
	// Error is a finding for which the configuration is refused.
	Error Severity = "error"
	// Warning is a finding in a valid configuration.
	Warning Severity = "warning"

	documentPath = "document"
)

// Check returns the findings and the changes from the base.
func (p *Proposal) Check() (*Report, error) {
	r := &Report{Findings: []Finding{}, Changes: []Change{}}
	base, err := json.Marshal(p.Base)
	if err != nil {
		return nil, err
	}
	merged, err := p.merge(base)
	if err != nil {
		r.Findings = append(r.Findings, newError(code.BadPatch, documentPath, err.Error()))
		return r, nil
	}
	next, findings := p.validate(merged)
	r.Findings = append(r.Findings, findings...)
	if next == nil {
		return r, nil
	}
	if r.Changes, err = changes(p.Base, next); err != nil {
		return nil, err
	}
	if len(findings) == 0 {
		r.Findings = append(r.Findings, p.warnings(base, next, r.Changes)...)
	}
	return r, nil
}

// Count returns the number of findings of a severity.
func (r *Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

func newError(c code.Code, path, detail string) Finding {
	return Finding{Error, int(c), c.String(), path, detail}
}
