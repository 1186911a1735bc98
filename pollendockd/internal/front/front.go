// Package front is the HTTP side of an entry VM. The files follow a request:
// receive, authenticate, submit, admin.
package front

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
	// Cell is what the front needs of the entry VM's control state.
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

	// Options bounds what callers can take.
	Options struct {
		MaxBodyBytes int64
		MaxRequests  int
	}

	// Front serves callers and operators.
	Front struct {
		cell    Cell
		opt     Options
		logger  log.Logger
		metrics tally.Scope
		slots   chan struct{}
	}
)

// New returns a front for the cell.
func New(cell Cell, opt Options, logger log.Logger, metrics tally.Scope) *Front {
	return &Front{
		cell: cell, opt: opt, logger: logger, metrics: metrics,
		slots: make(chan struct{}, opt.MaxRequests),
	}
}

// Handler returns the routes. The metrics handler is served beside them.
func (f *Front) Handler(metrics http.Handler) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = f.unrouted
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", f.readyz)
	if metrics != nil {
		e.GET("/metrics", echo.WrapHandler(metrics))
	}
	v1 := e.Group("/v1", f.receive)
	v1.POST("/work", f.submit)
	v1.GET("/jobs/:job", f.status)
	v1.DELETE("/jobs/:job", f.cancel)
	v1.GET("/config", f.getConfig)
	v1.POST("/config", f.patch)
	v1.GET("/config/versions", f.versions)
	v1.GET("/cell", f.getCell)
	return e
}

func (f *Front) readyz(c echo.Context) error {
	if !f.cell.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
