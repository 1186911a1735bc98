package front

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

// receive gives a request its id, its span and a place among those under way.
func (f *Front) receive(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case f.slots <- struct{}{}:
			defer func() { <-f.slots }()
		default:
			return f.fail(c, code.New(code.NotReady, "too many requests are under way"))
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
		f.metrics.Tagged(map[string]string{"route": c.Path()}).Timer("request").Record(time.Since(start))
		return err
	}
}

// decode reads a JSON body into out within the bounds.
func (f *Front) decode(c echo.Context, out any) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, f.opt.MaxBodyBytes+1))
	if err != nil {
		return code.New(code.BadRequest, "the body did not arrive whole: %v", err)
	}
	if int64(len(data)) > f.opt.MaxBodyBytes {
		return code.New(code.TooLarge, "the body is larger than %d bytes", f.opt.MaxBodyBytes)
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

// send writes an answer. Every answer carries the request's id.
func (f *Front) send(c echo.Context, a *api.Answer, body any) error {
	a.RequestID, _ = c.Get(requestIDKey).(string)
	f.metrics.Tagged(map[string]string{"code": a.Name}).Counter("answers").Inc(1)
	h := c.Response().Header()
	if a.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt((a.RetryAfterMs+milliPerSec-1)/milliPerSec, 10))
	}
	trace.SpanFromContext(c.Request().Context()).SetAttributes(attribute.Int("pollendock.code", int(a.Code)))
	_ = level.Debug(f.logger).Log("msg", "answered", "request", a.RequestID, "code", int(a.Code), "name", a.Name, "detail", a.Detail)
	return c.JSON(a.Code.HTTPStatus(), body)
}

// fail writes the answer that goes with an error.
func (f *Front) fail(c echo.Context, err error) error {
	number, detail := code.Of(err)
	a := api.NewAnswer(number, detail)
	if number == code.NotReady || number == code.Isolated {
		a.RetryAfterMs = milliPerSec
	}
	return f.send(c, &a, &a)
}

// unrouted answers what echo itself refuses.
func (f *Front) unrouted(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) && (he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed) {
		err = code.New(code.NotFound, "no route %s %s", c.Request().Method, c.Request().URL.Path)
	}
	_ = f.fail(c, err)
}
