package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"pollendock.example/cell/api"
)

type (
	// printer writes output as text or JSON.
	printer struct {
		w io.Writer
	}
)

const columnGap = 2

// printJSON prints v as indented JSON.
func (p *printer) printJSON(v any) error {
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes rows as aligned columns.
func (p *printer) table(rows [][]any) {
	tw := tabwriter.NewWriter(p.w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			_, _ = fmt.Fprintf(tw, "%v\t", cell)
		}
		_, _ = fmt.Fprintln(tw)
	}
	_ = tw.Flush()
}

func (p *printer) line(format string, args ...any) {
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

// printAnswer prints the response to a request about work and returns its error.
func (app *application) printAnswer(a *api.Answer) error {
	if app.json {
		if err := app.out.printJSON(a); err != nil {
			return err
		}
		return a.Error()
	}
	app.out.line("%d %s, %s", int(a.Code), a.Name, a.Truth)
	if a.Job != "" {
		app.out.line("job %s", a.Job)
	}
	if a.RetryAfterMs > 0 {
		app.out.line("come back in %d ms", a.RetryAfterMs)
	}
	if a.Data != "" {
		app.out.line("%s", a.Data)
	}
	if len(a.Tasks) > 1 {
		app.out.table(taskRows(a.Tasks))
	}
	return a.Error()
}

func taskRows(tasks []api.TaskAnswer) [][]any {
	rows := [][]any{{"TASK", "PHASE", "TRUTH", "ATTEMPT", "BYTES"}}
	for i, t := range tasks {
		rows = append(rows, []any{i, t.Phase, t.Truth, t.Attempt, t.Length})
	}
	return rows
}
