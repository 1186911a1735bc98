// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
)

type (
	// Metrics is a tally scope with the handler that serves its values.
	Metrics struct {
		Scope   tally.Scope
		Handler http.Handler
		closer  io.Closer
	}
)

const (
	reportEvery   = time.Second
	traceFileMode = 0o600
)

// NewLogger returns a logger that writes logfmt lines of the named level and above to w.
func NewLogger(w io.Writer, name, entryID string) log.Logger {
	allowed := map[string]level.Option{
		"debug": level.AllowDebug(), "info": level.AllowInfo(), "warn": level.AllowWarn(), "error": level.AllowError(),
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, allowed[name])
	return log.With(logger, "ts", log.DefaultTimestampUTC, "entry", entryID)
}

// NewMetrics returns a scope whose values are served to Prometheus.
func NewMetrics() *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pollendock", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportEvery)
	return &Metrics{Scope: scope, Handler: &page{next: reporter.HTTPHandler()}, closer: closer}
}

// Close flushes the metrics.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// StartTraces writes a sample of the traces to a file and returns the function that flushes
// it. Trace contexts are propagated even without a file.
func StartTraces(path string, ratio float64) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if path == "" {
		return func(context.Context) error { return nil }, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, traceFileMode)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, err
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(ratio))),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		_ = f.Close()
		return err
	}, nil
}
