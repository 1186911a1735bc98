// Command loadgen sends a named mix of work to a cell, in open loop, checks
// every caller-side promise on what it saw, and prints the measures.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/alexflint/go-arg"

	"pollendock.example/cell/config"
	"pollendock.example/loadgen/internal/caller"
	"pollendock.example/loadgen/internal/rehearsal"
	"pollendock.example/loadgen/internal/verdict"
	"pollendock.example/standin/web"
)

type (
	options struct {
		Entries     []string      `arg:"--entries" help:"base URLs of the entry VMs"`
		Stage       string        `arg:"--stage" default:"http://127.0.0.1:7100" help:"base URL of the stand-in's controls"`
		Mix         string        `arg:"--mix" default:"rehearsal" help:"rehearsal, lookups, deep, full or urgent"`
		Length      time.Duration `arg:"--length" default:"30s"`
		Settle      time.Duration `arg:"--settle" help:"time at the start that the measures leave out"`
		Grace       time.Duration `arg:"--grace" default:"30s" help:"time for durable work to end after the last request"`
		Rate        float64       `arg:"--rate" default:"1" help:"factor on the number of requests"`
		Seed        uint64        `arg:"--seed" default:"1"`
		JSON        string        `arg:"--json" help:"also write the results to this file"`
		PrintConfig string        `arg:"--print-config" help:"print the patch that publishes the mix's teams, with this operator key, and exit"`
		Unended     bool          `arg:"--unended-ok" help:"work that has not ended is no breach, for mixes that overfill the cell"`
	}

	// configPatch is the first patch of a rehearsal.
	configPatch struct {
		Operators map[string]config.Key  `json:"operators"`
		Teams     map[string]config.Team `json:"teams"`
	}
)

const (
	reportTimeout = 30 * time.Second
	maxLength     = 10 * time.Minute
	exitBreach    = 1
	exitUsage     = 2
)

func main() {
	var opt options
	p := arg.MustParse(&opt)
	if opt.Length > maxLength || opt.Rate <= 0 {
		p.Fail("length is at most 10m and rate above 0")
	}
	mix, err := rehearsal.New(opt.Mix, rehearsal.Options{Seed: opt.Seed, Length: opt.Length, Rate: opt.Rate})
	if err != nil {
		p.Fail(err.Error())
	}
	if opt.PrintConfig != "" {
		printConfig(mix, opt.PrintConfig)
		return
	}
	results, err := measure(&opt, mix)
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitUsage)
	}
	results.Print(os.Stdout)
	if len(results.Violations) > 0 {
		os.Exit(exitBreach)
	}
}

func printConfig(mix *rehearsal.Mix, key string) {
	patch := configPatch{
		Operators: map[string]config.Key{"board": {Hash: config.HashKey(key)}},
		Teams:     mix.Teams,
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(patch)
}

// measure runs the mix and judges it.
func measure(opt *options, mix *rehearsal.Mix) (*verdict.Results, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	costs := newCosts(opt.Entries)
	before, err := report(ctx, opt.Stage, false)
	if err != nil {
		return nil, err
	}
	costs.begin(ctx)
	start := time.Now()
	stories := caller.NewGenerator(opt.Entries).Run(ctx, mix, opt.Grace)
	end := time.Now()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted")
	}
	after, err := report(ctx, opt.Stage, true)
	if err != nil {
		return nil, err
	}
	r := &verdict.Results{Mix: mix.Name, Seed: opt.Seed, Seconds: end.Sub(start).Seconds()}
	r.Measure(mix, stories, after, start.Add(opt.Settle), start.Add(opt.Length))
	r.Costs = costs.end(ctx)
	r.Appends = float64(after.Appends-before.Appends) / r.Seconds
	r.Violations = verdict.Check(mix, stories, after)
	if opt.Unended {
		r.Violations = withoutUnended(r.Violations)
	}
	return r, writeJSON(opt.JSON, r)
}

func withoutUnended(list []verdict.Violation) []verdict.Violation {
	var kept []verdict.Violation
	for _, b := range list {
		if b.Guarantee != "accepted work is not lost" && b.Guarantee != "answered" {
			kept = append(kept, b)
		}
	}
	return kept
}

func writeJSON(path string, r *verdict.Results) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// report reads the truth about the cell from the stand-in.
func report(ctx context.Context, stage string, withRuns bool) (*web.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	url := stage + "/control/report"
	if withRuns {
		url += "?runs=all"
	}
	resp, err := get(ctx, url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := &web.Report{}
	return r, json.NewDecoder(resp.Body).Decode(r)
}

func get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}
