package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/pollendock/internal/configcheck"
)

type (
	// configCheck checks a configuration against the version in force.
	configCheck struct {
		File  string `arg:"positional,required" help:"JSON merge patch; exit status 0 if clean, 8 if there are warnings only, 2 if there are errors"`
		Whole bool   `arg:"--whole" help:"FILE is a whole document"`
		Base  string `arg:"--base" help:"file with the version in force, as written by config show --json; asks no entry VM"`
	}

	// checkAnswer is the report as printed in JSON.
	checkAnswer struct {
		// Base is the number of the version in force, 0 if that is a file.
		Base int64 `json:"base"`
		*configcheck.Report
	}

	// baseFile is a file with a version: the document itself, or an answer of
	// config show --json.
	baseFile struct {
		Document *config.Document `json:"document"`
	}
)

// errWarnings is returned for a valid configuration with warnings.
var errWarnings = errors.New("the configuration is valid, but has warnings")

func (c *configCheck) run(ctx context.Context, app *application) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	p := &configcheck.Proposal{Content: content, Whole: c.Whole}
	number := int64(0)
	if c.Base != "" {
		p.Base, err = readDocument(c.Base)
	} else {
		number, err = app.fetchBase(ctx, p)
	}
	if err != nil {
		return err
	}
	report, err := p.Check()
	if err != nil {
		return err
	}
	if err := app.printReport(&checkAnswer{number, report}); err != nil {
		return err
	}
	if n := report.Count(configcheck.Error); n > 0 {
		return code.New(code.BadPatch, "%d errors", n)
	}
	if report.Count(configcheck.Warning) > 0 {
		return errWarnings
	}
	return nil
}

// fetchBase asks the entry VM for the version in force and the size of the cell.
// It returns the number of the version.
func (app *application) fetchBase(ctx context.Context, p *configcheck.Proposal) (int64, error) {
	current, err := app.client.Config(ctx)
	if err != nil {
		return 0, err
	}
	if current.Error() != nil {
		return 0, current.Error()
	}
	cell, err := app.cell(ctx)
	if err != nil {
		return 0, err
	}
	p.Base = current.Document
	p.Cell = cellSize(cell)
	return current.Number, nil
}

func cellSize(a *api.CellAnswer) *configcheck.Cell {
	size := &configcheck.Cell{Workers: int64(len(a.Workers)), EntryVMs: int64(len(a.Members))}
	for _, w := range a.Workers {
		size.Capacity = size.Capacity.Add(w.Capacity)
	}
	return size
}

// readDocument reads a document from a file.
func readDocument(name string) (*config.Document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	answer := &baseFile{}
	if json.Unmarshal(data, answer) == nil && answer.Document != nil {
		return answer.Document, nil
	}
	document := config.Empty()
	if err := json.Unmarshal(data, document); err != nil {
		return nil, code.New(code.BadPatch, "%s: %v", name, err)
	}
	return document, nil
}

func (app *application) printReport(r *checkAnswer) error {
	if app.json {
		return app.out.printJSON(r)
	}
	if r.Base > 0 {
		app.out.line("compared with version %d", r.Base)
	}
	if len(r.Findings) > 0 {
		rows := [][]any{{"SEVERITY", "CODE", "NAME", "PATH", "DETAIL"}}
		for _, f := range r.Findings {
			rows = append(rows, []any{f.Severity, f.Code, f.Name, f.Path, f.Detail})
		}
		app.out.table(rows)
	}
	if len(r.Findings) > 0 && len(r.Changes) > 0 {
		app.out.line("")
	}
	if len(r.Changes) > 0 {
		rows := [][]any{{"CHANGE", "PATH", "BEFORE", "AFTER"}}
		for _, c := range r.Changes {
			rows = append(rows, []any{c.Kind, c.Path, c.Before, c.After})
		}
		app.out.table(rows)
	}
	return nil
}
