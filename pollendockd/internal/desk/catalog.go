package desk

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/probe"
)

type (
	// CatalogSource follows the configuration that operators publish.
	CatalogSource interface {
		// Next waits up to wait and returns the newest catalog, or nil if
		// nothing has changed.
		Next(ctx context.Context, wait time.Duration) (*site.Catalog, error)
	}

	// CatalogWatch keeps the newest catalog. It never goes back to an older
	// one.
	CatalogWatch struct {
		source CatalogSource
		logger log.Logger
		start  time.Time
		mu     sync.Mutex
		// current is nil before the first catalog.
		current atomic.Pointer[site.Catalog]
		readAt  atomic.Int64
	}
)

const (
	catalogWait    = time.Second
	catalogTimeout = 600 * time.Millisecond
)

// NewCatalogWatch returns a watch without a catalog yet.
func NewCatalogWatch(source CatalogSource, logger log.Logger) *CatalogWatch {
	return &CatalogWatch{source: source, logger: logger, start: time.Now()}
}

// Run follows the source until ctx ends.
func (w *CatalogWatch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.await(ctx); err != nil && ctx.Err() == nil {
			w.regain(ctx, err)
		}
	}
	return ctx.Err()
}

// await waits for a change, for a while.
func (w *CatalogWatch) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catalogWait+catalogTimeout)
	defer cancel()
	return w.next(ctx, catalogWait)
}

// regain waits until the source answers again.
func (w *CatalogWatch) regain(ctx context.Context, lost error) {
	began := time.Now()
	_ = level.Warn(w.logger).Log("msg", "catalog source lost", "err", lost)
	if err := probe.Until(ctx, func(ctx context.Context) error { return w.next(ctx, 0) }); err != nil {
		return
	}
	_ = level.Info(w.logger).Log("msg", "catalog source regained", "awayMs", time.Since(began).Milliseconds())
}

// next reads the source once. Several calls may run at the same time.
func (w *CatalogWatch) next(ctx context.Context, wait time.Duration) error {
	c, err := w.source.Next(ctx, wait)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAt.Store(int64(time.Since(w.start)))
	old := w.current.Load()
	if c == nil || old != nil && c.Version <= old.Version {
		return nil
	}
	w.current.Store(c)
	_ = level.Info(w.logger).Log("msg", "catalog in force", "version", c.Version, "queues", len(c.Queues), "teams", len(c.Teams))
	return nil
}

// Current returns the newest catalog, or nil before the first.
func (w *CatalogWatch) Current() *site.Catalog {
	return w.current.Load()
}

// Fresh reports whether the source answered within the given time.
func (w *CatalogWatch) Fresh(within time.Duration) bool {
	return w.current.Load() != nil && time.Since(w.start)-time.Duration(w.readAt.Load()) <= within
}
