// Command loadgen sends a named workload mix to a cell in an open loop, checks
// every guarantee that callers have against the answers, and prints performance
// figures.
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
	"pollendock.example/loadgen/internal/client"
	"pollendock.example/loadgen/internal/report"
	"pollendock.example/loadgen/internal/workload"
	"pollendock.example/standin/httpapi"
)

type (
	options struct {
		Entries         []string      `arg:"--entries" help:"base URLs of the entry VMs"`
		StandinURL      string        `arg:"--stage" default:"http://127.0.0.1:7100" help:"base URL of the stand-in's controls"`
		Mix             string        `arg:"--mix" default:"rehearsal" help:"rehearsal, lookups, deep, full or urgent"`
		Length          time.Duration `arg:"--length" default:"30s"`
		WarmUp          time.Duration `arg:"--settle" help:"time at the start that the measures leave out"`
		Grace           time.Duration `arg:"--grace" default:"30s" help:"time for durable work to end after the last request"`
		Rate            float64       `arg:"--rate" default:"1" help:"factor on the number of requests"`
		Seed            uint64        `arg:"--seed" default:"1"`
		ResultsFile     string        `arg:"--json" help:"also write the results to this file"`
		OperatorKey     string        `arg:"--print-config" help:"print the patch that publishes the mix's teams, with this operator key, and exit"`
		AllowUnfinished bool          `arg:"--unended-ok" help:"work that has not ended is no breach, for mixes that overfill the cell"`
	}

	// configPatch is the first configuration of a cell under test.
	configPatch struct {
		Operators map[string]config.Key  `json:"operators"`
		Teams     map[string]config.Team `json:"teams"`
	}
)

const (
	reportTimeout = 30 * time.Second
	maxLength     = 10 * time.Minute
	exitViolation = 1
	exitError     = 2
)

func main() {
	var opt options
	p := arg.MustParse(&opt)
	if opt.Length > maxLength || opt.Rate <= 0 {
		p.Fail("--length must be at most 10m and --rate above 0")
	}
	mix, err := workload.New(opt.Mix, workload.Options{Seed: opt.Seed, Length: opt.Length, Rate: opt.Rate})
	if err != nil {
		p.Fail(err.Error())
	}
	if opt.OperatorKey != "" {
		printConfig(mix, opt.OperatorKey)
		return
	}
	results, err := runMix(&opt, mix)
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitError)
	}
	results.Print(os.Stdout)
	if len(results.Violations) > 0 {
		os.Exit(exitViolation)
	}
}

func printConfig(mix *workload.Mix, key string) {
	patch := configPatch{
		Operators: map[string]config.Key{"board": {Hash: config.HashKey(key)}},
		Teams:     mix.Teams,
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(patch)
}

// runMix sends the mix to the cell, checks the answers and returns the results.
func runMix(opt *options, mix *workload.Mix) (*report.Results, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	costs := newCostMeter(opt.Entries)
	before, err := fetchReport(ctx, opt.StandinURL, false)
	if err != nil {
		return nil, err
	}
	costs.begin(ctx)
	start := time.Now()
	calls := client.NewGenerator(opt.Entries).Run(ctx, mix, opt.Grace)
	end := time.Now()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted")
	}
	after, err := fetchReport(ctx, opt.StandinURL, true)
	if err != nil {
		return nil, err
	}
	r := &report.Results{Mix: mix.Name, Seed: opt.Seed, Seconds: end.Sub(start).Seconds()}
	r.Measure(mix, calls, after, start.Add(opt.WarmUp), start.Add(opt.Length))
	r.Costs = costs.end(ctx)
	r.Appends = float64(after.Appends-before.Appends) / r.Seconds
	r.Violations = report.Check(mix, calls, after)
	if opt.AllowUnfinished {
		r.Violations = withoutUnfinished(r.Violations)
	}
	return r, writeJSON(opt.ResultsFile, r)
}

// withoutUnfinished leaves out the violations of work that has not ended and of
// calls that got no answer.
func withoutUnfinished(list []report.Violation) []report.Violation {
	var kept []report.Violation
	for _, v := range list {
		if v.Guarantee != "accepted work is not lost" && v.Guarantee != "answered" {
			kept = append(kept, v)
		}
	}
	return kept
}

func writeJSON(path string, r *report.Results) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// fetchReport asks the stand-in what really happened: the number of appends to
// the log, the capacities of the workers and, if withRuns is set, all runs.
func fetchReport(ctx context.Context, standinURL string, withRuns bool) (*httpapi.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	url := standinURL + "/control/report"
	if withRuns {
		url += "?runs=all"
	}
	resp, err := httpGet(ctx, url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := &httpapi.Report{}
	return r, json.NewDecoder(resp.Body).Decode(r)
}

func httpGet(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}
