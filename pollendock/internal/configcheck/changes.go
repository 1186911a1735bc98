package configcheck

import (
	"encoding/json"
	"maps"
	"slices"

	"pollendock.example/cell/config"
)

type (
	// ChangeKind tells how a field differs from the version in force.
	ChangeKind string

	// Change is a field that differs from the version in force. Before and After
	// are JSON values, empty where the field is absent.
	Change struct {
		Kind   ChangeKind `json:"kind"`
		Path   string     `json:"path"`
		Before string     `json:"before"`
		After  string     `json:"after"`
	}
)

const (
	// Added is a field that the version in force does not have.
	Added ChangeKind = "added"
	// Removed is a field that only the version in force has.
	Removed ChangeKind = "removed"
	// Changed is a field with another value.
	Changed ChangeKind = "changed"
)

// changes returns the fields in which two documents differ, by path.
func changes(before, after *config.Document) ([]Change, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	next, err := flatten(after)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(old)
	maps.Copy(paths, next)
	list := []Change{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		a, inOld := old[path]
		b, inNext := next[path]
		switch {
		case !inOld:
			list = append(list, Change{Added, path, "", b})
		case !inNext:
			list = append(list, Change{Removed, path, a, ""})
		case a != b:
			list = append(list, Change{Changed, path, a, b})
		}
	}
	return list, nil
}

// flatten maps the paths of a document to their values as JSON.
func flatten(d *config.Document) (map[string]string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	values := map[string]string{}
	return values, flattenInto(values, "", data)
}

// flattenInto adds the value at path, or those of its fields. An empty object has
// no fields and adds nothing.
func flattenInto(values map[string]string, path string, data json.RawMessage) error {
	if data[0] != '{' {
		values[path] = string(data)
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, value := range fields {
		if path != "" {
			name = path + "." + name
		}
		if err := flattenInto(values, name, value); err != nil {
			return err
		}
	}
	return nil
}
