package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"pollendock.example/cell/platform"
	"pollendock.example/standin/httpapi"
	"pollendock.example/standin/memplatform"
)

type (
	// ctl is the subcommand that controls a running stand-in.
	ctl struct {
		Server      string        `arg:"--stage" default:"http://127.0.0.1:7100"`
		Leaving     string        `arg:"--leaving" help:"list this worker as leaving"`
		Gone        string        `arg:"--gone" help:"take this VM off the list"`
		Worker      string        `arg:"--worker" help:"worker for --action and --fail"`
		Action      string        `arg:"--action" help:"reboot, pause or resume"`
		FailStarts  bool          `arg:"--fail-starts"`
		FailTasks   bool          `arg:"--fail-tasks"`
		Log         string        `arg:"--log" help:"up or down"`
		LogDelay    time.Duration `arg:"--log-delay"`
		LoseAnswers int           `arg:"--lose-answers"`
		Report      bool          `arg:"--report" help:"print the report"`
	}
)

const ctlTimeout = 10 * time.Second

func (c *ctl) run() error {
	ctx, cancel := context.WithTimeout(context.Background(), ctlTimeout)
	defer cancel()
	if c.Leaving != "" {
		return c.markLeaving(ctx)
	}
	if c.Gone != "" {
		return c.send(ctx, "/control/vm", httpapi.VMRequest{VM: platform.VM{ID: c.Gone}, Gone: true})
	}
	if c.Worker != "" {
		faults := memplatform.WorkerFaults{FailStarts: c.FailStarts, FailTasks: c.FailTasks}
		return c.send(ctx, "/control/worker", httpapi.WorkerFaultRequest{Worker: c.Worker, Faults: faults, Action: c.Action})
	}
	if c.Log != "" {
		faults := memplatform.LogFaults{Down: c.Log == "down", Delay: c.LogDelay, LoseAnswers: c.LoseAnswers}
		return c.send(ctx, "/control/log", faults)
	}
	if c.Report {
		return c.call(ctx, http.MethodGet, "/control/report", nil, os.Stdout)
	}
	return fmt.Errorf("no action was given")
}

// markLeaving marks a listed VM as leaving.
func (c *ctl) markLeaving(ctx context.Context) error {
	var list bytes.Buffer
	if err := c.call(ctx, http.MethodPost, "/vms/list", platform.Empty{}, &list); err != nil {
		return err
	}
	var vms []platform.VM
	if err := json.Unmarshal(list.Bytes(), &vms); err != nil {
		return err
	}
	for _, vm := range vms {
		if vm.ID == c.Leaving {
			vm.Leaving = true
			return c.send(ctx, "/control/vm", httpapi.VMRequest{VM: vm})
		}
	}
	return fmt.Errorf("no VM %q", c.Leaving)
}

func (c *ctl) send(ctx context.Context, path string, body any) error {
	return c.call(ctx, http.MethodPost, path, body, io.Discard)
}

func (c *ctl) call(ctx context.Context, method, path string, body any, out io.Writer) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Server+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	_, err = io.Copy(out, resp.Body)
	return err
}
