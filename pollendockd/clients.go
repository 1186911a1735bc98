package main

import (
	"errors"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"pollendock.example/pollendockd/internal/intake"
	"pollendock.example/pollendockd/internal/telemetry"
)

type (
	// clients bounds what the clients of this process hold.
	clients struct {
		limits intake.Limits
		ledger *intake.Ledger
	}

	// listenerOptions describe a listener for HTTP requests.
	listenerOptions struct {
		name  string
		addr  netip.AddrPort
		limit int
		// maxBodyBytes is the size of the largest body, and bodyTimeout how long nothing may arrive
		// of one.
		maxBodyBytes int64
		bodyTimeout  time.Duration
		handler      http.Handler
	}
)

const (
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// newClients derives the limits from those of the machine, that of the garbage collector included.
func newClients(machine intake.Machine, logger log.Logger, counts telemetry.Counts) *clients {
	limits := machine.Limits()
	debug.SetMemoryLimit(limits.HeapBytes)
	return &clients{limits: limits, ledger: intake.NewLedger(limits, logger, counts)}
}

// addServer adds a server to the group.
func (c *clients) addServer(g *run.Group, opt *listenerOptions) (*http.Server, error) {
	ln, err := c.ledger.Listen(opt.name, opt.addr, opt.limit)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: opt.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if opt.maxBodyBytes > 0 {
		// Probes have few header lines.
		allowHeaderLines(server)
	}
	bodies := intake.Bodies{MaxBytes: opt.maxBodyBytes, Timeout: opt.bodyTimeout}
	if bodies.Timeout == 0 {
		bodies.Timeout = bodyTimeout
	}
	ended := make(chan struct{})
	g.Add(func() error {
		// Serve returns as soon as a shutdown begins. The caller of Shutdown waits for its end.
		if err := ln.Serve(server, bodies); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = server.Close()
	})
	return server, nil
}
