package main

import (
	"context"
	"encoding/json"

	"pollendock.example/cell/config"
)

type (
	evacuateCmd struct {
		evacuationChange
	}

	restoreCmd struct {
		evacuationChange
	}

	evacuationChange struct {
		DataCentre string `arg:"positional,required"`
		Author     string `arg:"--author,required"`
		Reason     string `arg:"--reason,required"`
	}
)

func (c *evacuateCmd) run(ctx context.Context, app *application) error {
	return c.change(ctx, app, &config.Evacuation{})
}

func (c *restoreCmd) run(ctx context.Context, app *application) error {
	return c.change(ctx, app, nil)
}

// change publishes a patch of the state of a data centre against the current version. A
// nil evacuation restores it. Nothing is published if the state is the wanted one.
func (c *evacuationChange) change(ctx context.Context, app *application, want *config.Evacuation) error {
	current, err := app.client.Config(ctx)
	if err != nil {
		return err
	}
	if current.Error() != nil {
		return current.Error()
	}
	if evacuated := current.Document.IsEvacuated(c.DataCentre); evacuated == (want != nil) {
		state := "not evacuated"
		if evacuated {
			state = "evacuated"
		}
		app.out.line("nothing to change: data centre %s is %s in version %d", c.DataCentre, state, current.Number)
		return nil
	}
	merge, err := json.Marshal(evacuationPatch(c.DataCentre, want))
	if err != nil {
		return err
	}
	return app.publish(ctx, config.Patch{Base: current.Number, Author: c.Author, Reason: c.Reason, Merge: merge})
}

// evacuationPatch returns a JSON merge patch that sets the state of one data centre.
func evacuationPatch(dataCentre string, want *config.Evacuation) any {
	type patch struct {
		Evacuated map[string]*config.Evacuation `json:"evacuated"`
	}
	return patch{map[string]*config.Evacuation{dataCentre: want}}
}
