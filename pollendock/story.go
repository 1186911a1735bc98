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
	// storyCmd prints the log lines of several entry VMs about one job.
	storyCmd struct {
		ID    string   `arg:"positional,required" help:"id of the job"`
		Files []string `arg:"positional" help:"logs of entry VMs; standard input if there are none"`
	}

	// logLine is a parsed log line.
	logLine struct {
		at    time.Time
		entry string
		text  string
	}
)

const (
	// linePrefix is the start of the first field of each line. Log collectors
	// may have added text before it.
	linePrefix   = "level="
	maxLineBytes = 1 << 20
)

func (c *storyCmd) run(_ context.Context, app *application) error {
	var lines []logLine
	if len(c.Files) == 0 {
		return c.printLines(app, c.collect(os.Stdin, &lines), lines)
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = c.collect(f, &lines)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return c.printLines(app, nil, lines)
}

// collect appends the lines of r that are about the job.
func (c *storyCmd) collect(r io.Reader, lines *[]logLine) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, rest, found := strings.Cut(scanner.Text(), linePrefix)
		if !found || !strings.Contains(rest, c.ID) {
			continue
		}
		line, matches := c.parse(linePrefix + rest)
		if matches {
			*lines = append(*lines, line)
		}
	}
	return scanner.Err()
}

// parse decodes a line and reports whether it is about the job.
func (c *storyCmd) parse(text string) (logLine, bool) {
	var line logLine
	var fields []string
	matches := false
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
				matches = matches || key == "job" && value == c.ID || key == "path" && strings.HasSuffix(value, "/"+c.ID)
				fields = append(fields, key+"="+value)
			}
		}
	}
	line.text = strings.TrimPrefix(strings.Join(fields, "  "), "msg=")
	return line, matches && d.Err() == nil
}

// printLines prints the lines in order of time. It returns err if it is set.
func (c *storyCmd) printLines(app *application, err error, lines []logLine) error {
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return code.New(code.NoSuchJob, "no line concerns job %s", c.ID)
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].at.Before(lines[b].at) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(app.out.w, "%s  %s  %s\n", l.at.Format(time.RFC3339Nano), l.entry, l.text); err != nil {
			return err
		}
	}
	return nil
}
