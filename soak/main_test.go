package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestKeptLogsHaveDirectory checks that --keep makes the directory for the logs.
func TestKeptLogsHaveDirectory(t *testing.T) {
	parent := t.TempDir()
	file := filepath.Join(parent, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, keep string
		// err is a part of the error, empty for none.
		err string
	}{
		{"existing directory", parent, ""},
		{"missing directory", filepath.Join(parent, "logs"), ""},
		{"missing parent", filepath.Join(parent, "today", "logs"), ""},
		{"file in its place", file, "the directory of --keep can't be made"},
	} {
		opt := &options{Keep: c.keep}
		dir, remove, err := opt.logDirectory()
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%s: got error %v, want %q", c.name, err, c.err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		remove()
		if info, err := os.Stat(dir); err != nil || !info.IsDir() || dir != c.keep {
			t.Errorf("%s: got directory %q, error %v", c.name, dir, err)
		}
	}
}
