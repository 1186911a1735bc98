// Package httpapi implements the HTTP API of an entry VM. Its files follow the handling of a
// request: middleware, authenticate, submit, admin.
package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
	"pollendock.example/pollendockd/internal/entry"
)

type (
	// Cell is the part of the entry VM's control state that the HTTP API uses.
	Cell interface {
		Identify(key string) (config.Identity, int64, bool)
		Ready() bool
		Serving() error
		Lookup(ctx context.Context, o *entry.AuthenticatedLookup) entry.LookupResult
		Accept(ctx context.Context, o *entry.AuthenticatedJob) api.Answer
		Status(ctx context.Context, team, job string, wait time.Duration) api.Answer
		Cancel(ctx context.Context, team, job string) api.Answer
		Publish(ctx context.Context, id config.Identity, patch config.Patch) api.PatchAnswer
		Unconfirmed() []string
		History(from int64) []config.Version
		Document() (*config.Document, int64)
		Cell() api.CellAnswer
	}

	// Options bounds the resources that callers can use.
	Options struct {
		MaxBodyBytes int64
		MaxRequests  int
	}

	// Server serves callers and operators.
	Server struct {
		cell    Cell
		opt     Options
		logger  log.Logger
		metrics tally.Scope
		slots   chan struct{}
	}
)

// New returns the HTTP API of the cell.
func New(cell Cell, opt Options, logger log.Logger, metrics tally.Scope) *Server {
	return &Server{
		cell: cell, opt: opt, logger: logger, metrics: metrics,
		slots: make(chan struct{}, opt.MaxRequests),
	}
}

// Handler returns a handler of all routes. It includes the metrics handler unless that is
// nil.
func (s *Server) Handler(metrics http.Handler) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleEchoError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.readyz)
	if metrics != nil {
		e.GET("/metrics", echo.WrapHandler(metrics))
	}
	v1 := e.Group("/v1", s.receive)
	v1.POST("/work", s.submit)
	v1.GET("/jobs/:job", s.getJob)
	v1.DELETE("/jobs/:job", s.cancelJob)
	v1.GET("/config", s.getConfig)
	v1.POST("/config", s.postConfig)
	v1.GET("/config/versions", s.getVersions)
	v1.GET("/cell", s.getCell)
	return e
}

func (s *Server) readyz(c echo.Context) error {
	if !s.cell.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
