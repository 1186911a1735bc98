package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

type (
	configCmd struct {
		Show  *configShow  `arg:"subcommand:show" help:"print the configuration in force"`
		Log   *configLog   `arg:"subcommand:log" help:"list versions with author and reason"`
		Diff  *configDiff  `arg:"subcommand:diff" help:"show what a patch would change"`
		Check *configCheck `arg:"subcommand:check" help:"check a patch or document before it is sent, also offline"`
		Patch *configPatch `arg:"subcommand:patch" help:"publish a patch"`
	}

	configShow struct{}

	configLog struct {
		From int64 `arg:"--from" help:"first version number"`
	}

	configDiff struct {
		File string `arg:"positional,required" help:"JSON merge patch"`
		Base int64  `arg:"--base,required" help:"version that the patch was written against"`
	}

	configPatch struct {
		File   string `arg:"positional,required" help:"JSON merge patch"`
		Base   int64  `arg:"--base,required" help:"version that the patch was written against"`
		Author string `arg:"--author,required"`
		Reason string `arg:"--reason,required"`
	}

	teamCmd struct{}

	keyCmd struct {
		Grant    *keyGrant    `arg:"subcommand:grant" help:"grant a key to a team; its value is read from the environment"`
		Withdraw *keyWithdraw `arg:"subcommand:withdraw" help:"withdraw a key from a team"`
	}

	keyChange struct {
		Team   string `arg:"positional,required"`
		Name   string `arg:"positional,required"`
		Author string `arg:"--author,required"`
		Reason string `arg:"--reason,required"`
	}

	keyGrant struct {
		keyChange
		Value string `arg:"env:POLLENDOCK_NEW_KEY,--value" help:"the key"`
	}

	keyWithdraw struct {
		keyChange
	}

	checkCmd struct {
		File string `arg:"positional,required" help:"JSON merge patch"`
		On   string `arg:"--on" help:"document that the patch is applied to; empty for version 0"`
	}
)

const (
	minKeyBytes     = 16
	checkAuthor     = "check"
	confirmInterval = 200 * time.Millisecond
	maxConfirmPolls = 25
)

func (c *configCmd) selected() command {
	switch {
	case c.Show != nil:
		return c.Show
	case c.Log != nil:
		return c.Log
	case c.Diff != nil:
		return c.Diff
	case c.Check != nil:
		return c.Check
	case c.Patch != nil:
		return c.Patch
	}
	return nil
}

func (c *keyCmd) selected() command {
	switch {
	case c.Grant != nil:
		return c.Grant
	case c.Withdraw != nil:
		return c.Withdraw
	}
	return nil
}

func (c *configShow) run(ctx context.Context, app *application) error {
	a, err := app.client.Config(ctx)
	if err != nil {
		return err
	}
	if a.Error() != nil {
		return a.Error()
	}
	if app.json {
		return app.out.printJSON(a)
	}
	app.out.line("version %d", a.Number)
	for _, inc := range a.Unconfirmed {
		app.out.line("not confirmed by %s", inc)
	}
	return app.out.printJSON(a.Document)
}

func (c *configLog) run(ctx context.Context, app *application) error {
	a := &api.HistoryAnswer{}
	if err := app.client.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/config/versions?from=%d", c.From), nil, a); err != nil {
		return err
	}
	if a.Error() != nil {
		return a.Error()
	}
	if app.json {
		return app.out.printJSON(a)
	}
	rows := [][]any{{"VERSION", "TIME", "AUTHOR", "KEY", "REASON"}}
	for _, v := range a.Versions {
		rows = append(rows, []any{v.Number, v.At.UTC().Format(time.RFC3339), v.Author, v.KeyName, v.Reason})
	}
	app.out.table(rows)
	return nil
}

func (c *configDiff) run(ctx context.Context, app *application) error {
	merge, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	a, err := app.client.Patch(ctx, &api.PatchRequest{
		Patch:  config.Patch{Base: c.Base, Author: checkAuthor, Reason: checkAuthor, Merge: merge},
		DryRun: true,
	})
	if err != nil {
		return err
	}
	if a.Error() != nil {
		return a.Error()
	}
	if app.json {
		return app.out.printJSON(a)
	}
	return app.out.printJSON(a.Difference)
}

func (c *configPatch) run(ctx context.Context, app *application) error {
	merge, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return app.publish(ctx, config.Patch{Base: c.Base, Author: c.Author, Reason: c.Reason, Merge: merge})
}

// publish sends a patch and waits until every entry VM has confirmed the
// version, for at most maxConfirmPolls polls.
func (app *application) publish(ctx context.Context, patch config.Patch) error {
	a, err := app.client.Patch(ctx, &api.PatchRequest{Patch: patch})
	if err != nil {
		return err
	}
	for polls := 0; a.Code == code.Pending && polls < maxConfirmPolls; polls++ {
		time.Sleep(confirmInterval)
		current, err := app.client.Config(ctx)
		if err == nil && current.Number >= a.Number && len(current.Unconfirmed) == 0 {
			a.Answer = api.NewAnswer(code.OK, "")
			a.Unconfirmed = nil
		}
	}
	if app.json {
		if err := app.out.printJSON(a); err != nil {
			return err
		}
		return a.Error()
	}
	switch a.Code {
	case code.OK:
		app.out.line("version %d is in force everywhere", a.Number)
	case code.Pending:
		app.out.line("version %d is published, but not yet confirmed by %v", a.Number, a.Unconfirmed)
	}
	return a.Error()
}

func (c *teamCmd) run(ctx context.Context, app *application) error {
	a, err := app.cell(ctx)
	if err != nil {
		return err
	}
	if app.json {
		return app.out.printJSON(a.Teams)
	}
	app.out.table(teamRows(a.Teams))
	return nil
}

func (c *keyGrant) run(ctx context.Context, app *application) error {
	if len(c.Value) < minKeyBytes {
		return code.New(code.BadPatch, "the key has fewer than %d bytes", minKeyBytes)
	}
	return c.change(ctx, app, &config.Key{Hash: config.HashKey(c.Value)})
}

func (c *keyWithdraw) run(ctx context.Context, app *application) error {
	return c.change(ctx, app, nil)
}

// change publishes a patch of one key of a team against the current version. A
// nil key removes it.
func (c *keyChange) change(ctx context.Context, app *application, key *config.Key) error {
	current, err := app.client.Config(ctx)
	if err != nil {
		return err
	}
	if current.Error() != nil {
		return current.Error()
	}
	if _, known := current.Document.Teams[c.Team]; !known {
		return code.New(code.BadPatch, "no team %q", c.Team)
	}
	merge, err := json.Marshal(keyPatch(c.Team, c.Name, key))
	if err != nil {
		return err
	}
	return app.publish(ctx, config.Patch{Base: current.Number, Author: c.Author, Reason: c.Reason, Merge: merge})
}

// keyPatch returns a JSON merge patch that sets one key of a team.
func keyPatch(team, name string, key *config.Key) any {
	type keys struct {
		Keys map[string]*config.Key `json:"keys"`
	}
	type teams struct {
		Teams map[string]keys `json:"teams"`
	}
	return teams{Teams: map[string]keys{team: {Keys: map[string]*config.Key{name: key}}}}
}

func (c *checkCmd) run(_ context.Context, app *application) error {
	merge, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	document := config.Empty()
	if c.On != "" {
		if document, err = readDocument(c.On); err != nil {
			return err
		}
	}
	patch := config.Patch{Author: checkAuthor, Reason: checkAuthor, Merge: merge}
	next, err := patch.Apply(document)
	if err != nil {
		return code.New(code.BadPatch, "%v", err)
	}
	difference, err := config.Diff(document, next)
	if err != nil {
		return err
	}
	return app.out.printJSON(json.RawMessage(difference))
}
