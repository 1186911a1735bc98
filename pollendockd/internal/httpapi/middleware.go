package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
)

const (
	requestIDKey = "requestId"
	tracerName   = "pollendockd/front"
	milliPerSec  = 1000
)

// receive is the middleware that assigns a request its ID and trace span, and limits the
// number of concurrent requests.
func (s *Server) receive(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			return s.sendError(c, code.New(code.NotReady, "too many requests are under way"))
		}
		r := c.Request()
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := otel.Tracer(tracerName).Start(ctx, r.Method+" "+c.Path(), trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		id := uuid.NewString()
		span.SetAttributes(attribute.String("pollendock.request", id))
		c.Set(requestIDKey, id)
		c.SetRequest(r.WithContext(ctx))
		start := time.Now()
		err := next(c)
		s.metrics.Tagged(map[string]string{"route": c.Path()}).Timer("request").Record(time.Since(start))
		return err
	}
}

// decode reads a JSON body of bounded size into out.
func (s *Server) decode(c echo.Context, out any) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, s.opt.MaxBodyBytes+1))
	if code.Class.Has(err) {
		return err
	}
	if err != nil {
		return code.New(code.BadRequest, "the body did not arrive whole: %v", err)
	}
	if int64(len(data)) > s.opt.MaxBodyBytes {
		return code.New(code.TooLarge, "the body is larger than %d bytes", s.opt.MaxBodyBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return decodeError(err)
	}
	if dec.More() {
		return code.New(code.BadRequest, "there is more than one JSON value")
	}
	return nil
}

func decodeError(err error) error {
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typed):
		return code.New(code.BadRequest, "field %q takes no %s", typed.Field, typed.Value)
	case strings.Contains(err.Error(), "unknown field"):
		return code.New(code.UnknownField, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
	return code.New(code.BadRequest, "the body is not valid JSON: %v", err)
}

// send writes an answer, with the ID of the request.
func (s *Server) send(c echo.Context, a *api.Answer, body any) error {
	a.RequestID, _ = c.Get(requestIDKey).(string)
	s.metrics.Tagged(map[string]string{"code": a.Name}).Counter("answers").Inc(1)
	h := c.Response().Header()
	if a.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt((a.RetryAfterMs+milliPerSec-1)/milliPerSec, 10))
	}
	trace.SpanFromContext(c.Request().Context()).SetAttributes(attribute.Int("pollendock.code", int(a.Code)))
	_ = level.Debug(s.logger).Log("msg", "answered", "request", a.RequestID, "code", int(a.Code), "name", a.Name, "detail", a.Detail)
	return c.JSON(a.Code.HTTPStatus(), body)
}

// sendError writes the answer for an error.
func (s *Server) sendError(c echo.Context, err error) error {
	number, detail := code.Of(err)
	a := api.NewAnswer(number, detail)
	if number == code.NotReady || number == code.Isolated {
		a.RetryAfterMs = milliPerSec
	}
	return s.send(c, &a, &a)
}

// handleEchoError writes the answer for requests that echo itself rejects.
func (s *Server) handleEchoError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) && (he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed) {
		err = code.New(code.NotFound, "no route %s %s", c.Request().Method, c.Request().URL.Path)
	}
	_ = s.sendError(c, err)
}
