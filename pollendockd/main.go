// Command pollendockd is the process on each entry VM of a pollendock cell.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"pollendock.example/cell/platform"
	"pollendock.example/pollendockd/internal/entry"
	"pollendock.example/pollendockd/internal/httpapi"
	"pollendock.example/pollendockd/internal/intake"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/settings"
	"pollendock.example/pollendockd/internal/telemetry"
)

type (
	options struct {
		Config   string `arg:"--config" help:"settings file"`
		Check    bool   `arg:"--check" help:"check the settings file and exit"`
		Platform bool   `arg:"--platform" help:"run on the users' platform, with its settings file"`
		Refuse   bool   `arg:"--refuse-overload" help:"with --platform: refuse jobs that could not be done within three times their allowed time"`
	}

	// process holds the components of a running entry VM.
	process struct {
		cfg     *settings.Settings
		logger  log.Logger
		metrics *telemetry.Metrics
		entry   *entry.Entry
		clients *clients
	}
)

const (
	platformConnections = 4
	flushTimeout        = 2 * time.Second
	bitsPerMB           = 20
)

var errSecondSignal = errors.New("received a second signal during the graceful stop; requests in flight are aborted")

func main() {
	var opt options
	p := arg.MustParse(&opt)
	if opt.Platform {
		if err := servePlatform(opt.Refuse, notifyPlatformSignals()); err != nil {
			fmt.Fprintln(os.Stderr, "pollendockd:", err)
			os.Exit(1)
		}
		return
	}
	if opt.Config == "" {
		p.Fail("--config or --platform is needed")
	}
	cfg, err := settings.Load(opt.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pollendockd:", err)
		os.Exit(1)
	}
	if opt.Check {
		return
	}
	logger := telemetry.NewLogger(os.Stderr, cfg.Telemetry.LogLevel, cfg.EntryID)
	if err := serve(cfg, logger); err != nil {
		_ = level.Error(logger).Log("msg", "ended", "err", err)
		os.Exit(1)
	}
}

func serve(cfg *settings.Settings, logger log.Logger) error {
	flush, err := telemetry.StartTraces(cfg.Telemetry.TraceFile, cfg.Telemetry.TraceRatio)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = flush(ctx)
	}()
	p := &process{cfg: cfg, logger: logger, metrics: telemetry.NewMetrics()}
	defer func() { _ = p.metrics.Close() }()
	machine := intake.Machine{MemoryBytes: cfg.Bounds.MemoryMB << bitsPerMB, Descriptors: cfg.Bounds.MaxDescriptors}
	p.clients = newClients(machine, logger, telemetry.Counts{Scope: p.metrics.Scope})
	p.entry = entry.New(p.entryOptions(), p.entryDeps())
	return p.run()
}

func (p *process) entryOptions() entry.Options {
	return entry.Options{
		Cell:          p.cfg.Platform.Log.String(),
		EntryID:       p.cfg.EntryID,
		DataCentre:    p.cfg.DataCentre,
		PeerAddr:      p.cfg.PeerListen,
		Seeds:         p.cfg.Peers,
		BootstrapHash: p.cfg.BootstrapHash,
		AppendGap:     p.cfg.Platform.AppendGap.Duration,
		SnapshotEvery: p.cfg.Platform.SnapshotEvery.Duration,
	}
}

func (p *process) entryDeps() entry.Deps {
	return entry.Deps{
		Log:     platform.LogClient{Client: platform.NewClient(p.cfg.Platform.Log, platformConnections)},
		VMs:     platform.VMListClient{Client: platform.NewClient(p.cfg.Platform.VMList, platformConnections)},
		Dialer:  dialer{connections: p.cfg.Bounds.WorkerConnections},
		Logger:  p.logger,
		Metrics: p.metrics.Scope,
	}
}

// run serves until it receives a signal, then stops gracefully.
func (p *process) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return p.entry.Run(ctx) }, func(error) { cancel() })
	if err := p.addPeers(ctx, &g); err != nil {
		return err
	}
	server, err := p.addHTTPAPI(&g)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	g.Add(func() error { return p.awaitSignals(server, stop) }, func(error) { close(stop) })
	err = g.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (p *process) addPeers(ctx context.Context, g *run.Group) error {
	ln, err := p.clients.ledger.ListenRPC("peers", p.cfg.PeerListen, p.clients.limits.Peers)
	if err != nil {
		return err
	}
	server, err := peer.NewServer(ctx, ln, p.entry.PeerHandler())
	if err != nil {
		return err
	}
	g.Add(server.Serve, func(error) { server.Close() })
	return nil
}

func (p *process) addHTTPAPI(g *run.Group) (*http.Server, error) {
	api := httpapi.New(p.entry, httpapi.Options{
		MaxBodyBytes: p.cfg.Bounds.MaxBodyBytes, MaxRequests: p.cfg.Bounds.MaxRequests,
	}, p.logger, p.metrics.Scope)
	return p.clients.addServer(g, &listenerOptions{
		name: "callers", addr: p.cfg.Listen, limit: p.clients.limits.Callers,
		maxBodyBytes: p.cfg.Bounds.MaxBodyBytes, bodyTimeout: p.cfg.Bounds.ReadTimeout.Duration,
		handler: api.Handler(p.metrics.Handler),
	})
}

// awaitSignals stops gracefully after the first signal and immediately after the
// second.
func (p *process) awaitSignals(server *http.Server, stop <-chan struct{}) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-stop:
		return nil
	}
	done := make(chan error, 1)
	go func() { done <- p.stopGracefully(server) }()
	select {
	case err := <-done:
		return err
	case <-signals:
		return errSecondSignal
	}
}

// stopGracefully stops the entry, which finishes or forwards its lookups and hands over its
// workers. Then it waits until the requests in flight have been answered.
func (p *process) stopGracefully(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Bounds.StopTimeout.Duration)
	defer cancel()
	if err := p.entry.Stop(ctx); err != nil {
		return fmt.Errorf("graceful stop did not complete in time: %w", err)
	}
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("some requests were aborted: %w", err)
	}
	_ = level.Info(p.logger).Log("msg", "stopped")
	return context.Canceled
}
