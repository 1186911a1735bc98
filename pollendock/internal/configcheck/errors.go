package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

type (
	// part is one entry of a document, in a document of its own.
	part struct {
		path    string
		content json.RawMessage
	}
)

const (
	// patchAuthor stands for the author and the reason of a proposed patch.
	patchAuthor = "check"
	// placeholderKey is the operator key of the parts, which have none.
	placeholderKey = "placeholder"

	mergePrefix        = "merge: "
	jsonPrefix         = "json: "
	unknownFieldPrefix = `unknown field "`
)

// entryMaps are the fields of the document whose entries are parts of their own.
var entryMaps = []string{"teams", "operators", "policies"}

// merge returns the proposed document as JSON.
func (p *Proposal) merge(base []byte) (json.RawMessage, error) {
	if p.Whole {
		return p.Content, nil
	}
	return jsonpatch.MergePatch(base, p.Content)
}

// validate returns the proposed document, nil if it cannot be decoded, and its
// errors. The rules are those of package config, which reports only the first
// error: each part is checked by itself to find the others.
func (p *Proposal) validate(merged json.RawMessage) (*config.Document, []Finding) {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(merged, &top); err != nil || top == nil {
		return nil, []Finding{newError(code.BadPatch, documentPath, "not a JSON object")}
	}
	var findings []Finding
	for _, pt := range splitParts(top) {
		if f := pt.check(); f != nil {
			findings = append(findings, *f)
		}
	}
	next, err := decode(merged)
	if err == nil {
		findings = addNew(findings, duplicateKeys(next))
		err = p.accept(next)
	} else {
		next = nil
	}
	if err != nil && len(findings) == 0 {
		findings = append(findings, findingOf(documentPath, err))
	}
	return next, findings
}

// accept applies the rules for the whole configuration.
func (p *Proposal) accept(next *config.Document) error {
	patch := config.Patch{Author: patchAuthor, Reason: patchAuthor, Merge: p.Content}
	if !p.Whole {
		_, err := patch.Apply(p.Base)
		return err
	}
	if err := next.Validate(); err != nil {
		return err
	}
	merge, err := config.Diff(p.Base, next)
	if err != nil {
		return err
	}
	patch.Merge = merge
	return patch.Validate()
}

// splitParts returns the entries of a document in the order of their paths.
func splitParts(top map[string]json.RawMessage) []part {
	var parts []part
	for _, field := range slices.Sorted(maps.Keys(top)) {
		var entries map[string]json.RawMessage
		if !slices.Contains(entryMaps, field) || json.Unmarshal(top[field], &entries) != nil {
			parts = append(parts, part{field, wrap(field, top[field])})
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(entries)) {
			parts = append(parts, part{field + "." + name, wrap(field, wrap(name, entries[name]))})
		}
	}
	return parts
}

// wrap returns a JSON object with one field.
func wrap(field string, value json.RawMessage) json.RawMessage {
	data, err := json.Marshal(map[string]json.RawMessage{field: value})
	if err != nil {
		panic("configcheck: failed to encode a decoded value: " + err.Error())
	}
	return data
}

// check returns the first error of the part, or nil.
func (pt *part) check() *Finding {
	d, err := decode(pt.content)
	if err == nil {
		if len(d.Operators) == 0 {
			d.Operators = map[string]config.Key{placeholderKey: {Hash: config.HashKey(placeholderKey)}}
		}
		err = d.Validate()
	}
	if err == nil {
		return nil
	}
	f := findingOf(pt.path, err)
	return &f
}

// decode decodes a document by the rules for patches.
func decode(data json.RawMessage) (*config.Document, error) {
	d := config.Empty()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return d, dec.Decode(d)
}

// findingOf returns the finding for an error of package config or of the decoder.
// Errors of Validate begin with the path of the field.
func findingOf(path string, err error) Finding {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		fields := strings.Split(typed.Field, ".")
		return newError(code.BadPatch, join(path, fields[len(fields)-1]), "takes no "+typed.Value)
	}
	text := strings.TrimPrefix(strings.TrimPrefix(err.Error(), mergePrefix), jsonPrefix)
	if field, found := strings.CutPrefix(text, unknownFieldPrefix); found {
		return newError(code.UnknownField, join(path, strings.TrimSuffix(field, `"`)), "the field is not defined")
	}
	if field, detail, found := strings.Cut(text, ": "); found {
		return newError(code.BadPatch, field, detail)
	}
	return newError(code.BadPatch, path, text)
}

// join appends a field to a path, unless the path ends with it.
func join(path, field string) string {
	if path == field || strings.HasSuffix(path, "."+field) {
		return path
	}
	return path + "." + field
}

// duplicateKeys returns an error for each key that is granted more than once.
func duplicateKeys(d *config.Document) []Finding {
	var findings []Finding
	seen := map[string]string{}
	scan := func(path string, keys map[string]config.Key) {
		for _, name := range slices.Sorted(maps.Keys(keys)) {
			keyPath := path + "." + name
			if other, ok := seen[keys[name].Hash]; ok {
				findings = append(findings, newError(code.BadPatch, keyPath+".hash", fmt.Sprintf("the same key is granted as %s", other)))
				continue
			}
			seen[keys[name].Hash] = keyPath
		}
	}
	scan("operators", d.Operators)
	for _, name := range d.TeamNames() {
		scan("teams."+name+".keys", d.Teams[name].Keys)
	}
	return findings
}

// addNew appends the findings whose path has none yet.
func addNew(findings, more []Finding) []Finding {
	for _, f := range more {
		if !slices.ContainsFunc(findings, func(other Finding) bool { return other.Path == f.Path }) {
			findings = append(findings, f)
		}
	}
	return findings
}
