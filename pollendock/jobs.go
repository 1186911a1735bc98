package main

import (
	"context"
	"net/http"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
)

type (
	submitCmd struct {
		Kind           string        `arg:"--kind,required" help:"lookup, batch, gang or service"`
		MilliCPU       int64         `arg:"--milli-cpu" default:"1000"`
		MemoryMB       int64         `arg:"--memory-mb" default:"1024"`
		Accelerators   int64         `arg:"--accelerators" default:"0"`
		Count          int           `arg:"--count" default:"1"`
		ExpectedRun    time.Duration `arg:"--expected-run" default:"1s"`
		Deadline       time.Duration `arg:"--deadline" help:"0 for the default"`
		NonIdempotent  bool          `arg:"--non-idempotent"`
		IdempotencyKey string        `arg:"--idempotency-key"`
		IssuedAt       time.Time     `arg:"--issued-at" help:"when the idempotency key was made; now if absent"`
		Urgent         bool          `arg:"--urgent"`
		Wait           time.Duration `arg:"--wait" help:"how long to wait for the end of durable work"`
		Payload        string        `arg:"positional"`
	}

	statusCmd struct {
		Job  string        `arg:"positional,required"`
		Wait time.Duration `arg:"--wait" help:"how long to wait for the end"`
	}

	cancelCmd struct {
		Job string `arg:"positional,required"`
	}

	cellCmd struct{}
)

func (c *submitCmd) run(ctx context.Context, app *application) error {
	issued := c.IssuedAt
	if issued.IsZero() && c.IdempotencyKey != "" {
		issued = time.Now()
	}
	a, err := app.client.Submit(ctx, &api.SubmitRequest{
		Kind: config.Kind(c.Kind), Size: api.Size{MilliCPU: c.MilliCPU, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		Count: c.Count, ExpectedRunMs: c.ExpectedRun.Milliseconds(), DeadlineMs: c.Deadline.Milliseconds(),
		NonIdempotent: c.NonIdempotent, IdempotencyKey: c.IdempotencyKey, IssuedAt: issued,
		Urgent: c.Urgent, Payload: c.Payload, WaitMs: c.Wait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	return app.printAnswer(a)
}

func (c *statusCmd) run(ctx context.Context, app *application) error {
	a, err := app.client.Status(ctx, c.Job, c.Wait)
	if err != nil {
		return err
	}
	return app.printAnswer(a)
}

func (c *cancelCmd) run(ctx context.Context, app *application) error {
	a, err := app.client.Cancel(ctx, c.Job)
	if err != nil {
		return err
	}
	return app.printAnswer(a)
}

func (c *cellCmd) run(ctx context.Context, app *application) error {
	a, err := app.cell(ctx)
	if err != nil {
		return err
	}
	if app.json {
		return app.out.printJSON(a)
	}
	app.out.line("state at entry VM %s: offset %d, configuration version %d", a.Entry, a.Applied, a.Version)
	app.out.table(workerRows(a.Workers))
	app.out.line("")
	app.out.table(teamRows(a.Teams))
	app.out.line("")
	rows := [][]any{{"ENTRY", "INCARNATION", "DATA CENTRE", "HEARD"}}
	for _, m := range a.Members {
		rows = append(rows, []any{m.EntryID, m.Incarnation, m.DataCentre, m.Heard})
	}
	app.out.table(rows)
	return nil
}

// cell returns the state of the cell as known to the entry VM.
func (app *application) cell(ctx context.Context) (*api.CellAnswer, error) {
	a := &api.CellAnswer{}
	if err := app.client.Do(ctx, http.MethodGet, "/v1/cell", nil, a); err != nil {
		return nil, err
	}
	return a, a.Error()
}

func workerRows(workers []api.WorkerAnswer) [][]any {
	rows := [][]any{{"WORKER", "HOME", "DATA CENTRE", "CAPACITY", "DURABLE", "LOOKUPS", "FREE"}}
	for _, w := range workers {
		free := w.Capacity.Sub(w.Durable).Sub(w.Lookups)
		rows = append(rows, []any{w.ID, w.Home, locationOf(&w), w.Capacity, w.Durable, w.Lookups, free})
	}
	return rows
}

// locationOf returns the worker's data centre, and whether it is evacuated.
func locationOf(w *api.WorkerAnswer) string {
	if w.Evacuated {
		return w.DataCentre + " (evacuated)"
	}
	return w.DataCentre
}

func teamRows(teams []api.TeamAnswer) [][]any {
	rows := [][]any{{"TEAM", "SHARE", "LIMIT", "USE", "WAITING"}}
	for _, t := range teams {
		rows = append(rows, []any{t.Name, t.Share, t.Limit, t.Usage, t.Waiting})
	}
	return rows
}
