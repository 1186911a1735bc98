package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"pollendock.example/cell/code"
)

type (
	// storyCmd gathers what several entry VMs logged of one job.
	storyCmd struct {
		ID    string   `arg:"positional,required" help:"id of the job"`
		Files []string `arg:"positional" help:"logs of entry VMs; standard input if there are none"`
	}

	// logLine is a line of a log.
	logLine struct {
		at    time.Time
		entry string
		text  string
	}
)

const (
	// lineStart is the first field of each line; what stands before it was
	// added on the way.
	lineStart    = "level="
	maxLineBytes = 1 << 20
)

func (c *storyCmd) run(_ context.Context, s *shell) error {
	var lines []logLine
	if len(c.Files) == 0 {
		return c.tell(s, c.gather(os.Stdin, &lines), lines)
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = c.gather(f, &lines)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return c.tell(s, nil, lines)
}

// gather adds the lines of r that concern the job.
func (c *storyCmd) gather(r io.Reader, lines *[]logLine) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, rest, found := strings.Cut(scanner.Text(), lineStart)
		if !found || !strings.Contains(rest, c.ID) {
			continue
		}
		line, concerns := c.read(lineStart + rest)
		if concerns {
			*lines = append(*lines, line)
		}
	}
	return scanner.Err()
}

// read decodes a line and reports whether it concerns the job.
func (c *storyCmd) read(text string) (logLine, bool) {
	var line logLine
	var fields []string
	concerns := false
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "ts":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return line, false
				}
				line.at = at
			case "entry":
				line.entry = value
			case "level":
			default:
				concerns = concerns || key == "job" && value == c.ID || key == "path" && strings.HasSuffix(value, "/"+c.ID)
				fields = append(fields, key+"="+value)
			}
		}
	}
	line.text = strings.TrimPrefix(strings.Join(fields, "  "), "msg=")
	return line, concerns && d.Err() == nil
}

// tell prints the lines in order of time.
func (c *storyCmd) tell(s *shell, err error, lines []logLine) error {
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return code.New(code.NoSuchJob, "no line concerns job %s", c.ID)
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].at.Before(lines[b].at) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(s.out.w, "%s  %s  %s\n", l.at.Format(time.RFC3339Nano), l.entry, l.text); err != nil {
			return err
		}
	}
	return nil
}
