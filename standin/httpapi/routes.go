// Package httpapi serves the simulated services over HTTP.
package httpapi

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"pollendock.example/cell/platform"
	"pollendock.example/standin/memplatform"
)

const (
	statusRefused = http.StatusConflict
	statusUnknown = http.StatusInternalServerError
)

// NewEcho returns an Echo server that prints nothing at startup.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// LogRoutes adds the routes of the log.
func LogRoutes(e *echo.Echo, l *memplatform.Log) {
	e.POST("/log/append", func(c echo.Context) error {
		var r platform.AppendRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		first, err := l.Append(c.Request().Context(), r.Records)
		return reply(c, platform.AppendReply{First: first}, err)
	})
	e.POST("/log/read", func(c echo.Context) error {
		var r platform.ReadRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		page, err := l.Read(c.Request().Context(), r.From, r.Wait)
		return reply(c, page, err)
	})
}

// VMRoutes adds the route of the list of VMs.
func VMRoutes(e *echo.Echo, v *memplatform.VMs) {
	e.POST("/vms/list", func(c echo.Context) error {
		vms, err := v.List(c.Request().Context())
		return reply(c, vms, err)
	})
}

// WorkerRoutes adds the routes of one worker.
func WorkerRoutes(e *echo.Echo, w *memplatform.Worker) {
	e.POST("/worker/claim", func(c echo.Context) error {
		var r platform.ClaimRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		claim, err := w.Claim(c.Request().Context(), &r)
		return reply(c, claim, err)
	})
	e.POST("/worker/release", func(c echo.Context) error {
		var r platform.ReleaseRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		return reply(c, platform.Empty{}, w.Release(c.Request().Context(), &r))
	})
	e.POST("/worker/start", func(c echo.Context) error {
		var r platform.StartRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		status, err := w.Start(c.Request().Context(), &r)
		return reply(c, status, err)
	})
	e.POST("/worker/stop", func(c echo.Context) error {
		var r platform.StopRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		status, err := w.Stop(c.Request().Context(), &r)
		return reply(c, status, err)
	})
	e.POST("/worker/watch", func(c echo.Context) error {
		var r platform.WatchRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		ended, err := w.Watch(c.Request().Context(), &r)
		return reply(c, ended, err)
	})
	e.POST("/worker/forget", func(c echo.Context) error {
		var r platform.ForgetRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		return reply(c, platform.Empty{}, w.Forget(c.Request().Context(), &r))
	})
}

func badRequest(err error) error {
	return platform.Refuse(platform.BadRequest, "%v", err)
}

// reply writes the body or the refusal. Any other error gets a status that does
// not tell whether the request took effect, like a lost response.
func reply(c echo.Context, body any, err error) error {
	var refusal *platform.Refusal
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, body)
	case errors.As(err, &refusal):
		return c.JSON(statusRefused, refusal)
	default:
		return c.NoContent(statusUnknown)
	}
}
