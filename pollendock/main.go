// Command pollendock is the command-line client for operators and submitters.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
)

type (
	// command is a subcommand.
	command interface {
		run(ctx context.Context, app *application) error
	}

	// application holds what all subcommands use.
	application struct {
		client *api.Client
		json   bool
		out    *printer
	}

	options struct {
		Server   string       `arg:"--server,env:POLLENDOCK_SERVER" default:"http://127.0.0.1:8001" help:"base URL of an entry VM or balancer"`
		Key      string       `arg:"--key,env:POLLENDOCK_KEY" help:"key to show"`
		JSON     bool         `arg:"--json" help:"print answers as JSON"`
		Config   *configCmd   `arg:"subcommand:config" help:"show, list, compare and patch the configuration"`
		Team     *teamCmd     `arg:"subcommand:team" help:"list the teams"`
		KeyCmd   *keyCmd      `arg:"subcommand:key" help:"grant and withdraw keys"`
		Evacuate *evacuateCmd `arg:"subcommand:evacuate" help:"give the workers of a data centre no new work"`
		Restore  *restoreCmd  `arg:"subcommand:restore" help:"give the workers of an evacuated data centre new work again"`
		Submit   *submitCmd   `arg:"subcommand:submit" help:"ask for work"`
		Status   *statusCmd   `arg:"subcommand:status" help:"show durable work"`
		Cancel   *cancelCmd   `arg:"subcommand:cancel" help:"end durable work"`
		Cell     *cellCmd     `arg:"subcommand:cell" help:"show workers, teams and entry VMs"`
		Check    *checkCmd    `arg:"subcommand:check" help:"check a patch against a document, offline"`
		Story    *storyCmd    `arg:"subcommand:story" help:"gather what entry VMs logged of one job, offline"`
	}
)

const (
	callTimeout    = 90 * time.Second
	exitNoResponse = 1
	exitUsage      = 2
	// exitWarnings follows the exit statuses of the result codes.
	exitWarnings = 8
)

func main() {
	os.Exit(runMain())
}

func runMain() int {
	var opt options
	p := arg.MustParse(&opt)
	cmd := opt.selected()
	if cmd == nil {
		p.WriteHelp(os.Stderr)
		return exitUsage
	}
	app := &application{
		client: api.NewClient(opt.Server, opt.Key, &http.Client{Timeout: callTimeout}),
		json:   opt.JSON,
		out:    &printer{w: os.Stdout},
	}
	err := cmd.run(context.Background(), app)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "pollendock:", err)
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Code.ExitStatus()
	}
	if errors.Is(err, errWarnings) {
		return exitWarnings
	}
	return exitNoResponse
}

// selected returns the subcommand given on the command line, or nil.
func (o *options) selected() command {
	switch {
	case o.Config != nil:
		return o.Config.selected()
	case o.Team != nil:
		return o.Team
	case o.KeyCmd != nil:
		return o.KeyCmd.selected()
	case o.Evacuate != nil:
		return o.Evacuate
	case o.Restore != nil:
		return o.Restore
	case o.Submit != nil:
		return o.Submit
	case o.Status != nil:
		return o.Status
	case o.Cancel != nil:
		return o.Cancel
	case o.Cell != nil:
		return o.Cell
	case o.Check != nil:
		return o.Check
	case o.Story != nil:
		return o.Story
	}
	return nil
}
