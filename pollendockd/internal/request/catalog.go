package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
	"pollendock.example/cell/transfer"
	"pollendock.example/pollendockd/internal/retry"
)

type (
	// CatalogSource returns the configuration that operators publish.
	CatalogSource interface {
		// Next waits for a change for up to wait. It returns the newest catalog,
		// or nil if nothing has changed. There may be a catalog beside an error,
		// if a part of the change could not be read.
		Next(ctx context.Context, wait time.Duration) (*site.Catalog, error)
	}

	// Gauges records current values.
	Gauges interface {
		Gauge(name string, n int64)
	}

	// CatalogWatcher keeps the newest catalog. It never replaces a catalog by an
	// older version or revision.
	CatalogWatcher struct {
		source CatalogSource
		logger log.Logger
		gauges Gauges
		start  time.Time
		mu     sync.Mutex
		// current is nil before the first catalog.
		current atomic.Pointer[site.Catalog]
		// lastReadAt is the time since start at which the source last answered this
		// VM, or the VM from which the current catalog was adopted.
		lastReadAt atomic.Int64
		// sourceFailing is set while the source does not answer this VM.
		sourceFailing atomic.Bool
		// polls holds the contexts of the reads of the source that have not ended.
		polls map[context.Context]bool
	}
)

const (
	catalogWait    = time.Second
	catalogTimeout = 600 * time.Millisecond
	// catalogOverdue is the time without an answer after which the source is likely to
	// be unavailable.
	catalogOverdue = catalogWait + 400*time.Millisecond
)

// NewCatalogWatcher returns a watcher that has no catalog yet.
func NewCatalogWatcher(source CatalogSource, logger log.Logger, gauges Gauges) *CatalogWatcher {
	return &CatalogWatcher{source: source, logger: logger, gauges: gauges, start: time.Now(), polls: map[context.Context]bool{}}
}

// Run follows the source until ctx ends.
func (w *CatalogWatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.waitForChange(ctx); err != nil && ctx.Err() == nil {
			w.waitForSource(ctx, err)
		}
	}
	return ctx.Err()
}

// waitForChange waits for a new catalog, for up to catalogWait.
func (w *CatalogWatcher) waitForChange(ctx context.Context) error {
	wait := catalogWait
	if w.Age() > catalogWait {
		// The last catalog took so long to arrive that a newer one may be there.
		wait = 0
	}
	ctx, cancel := transfer.WithTimeout(ctx, wait+catalogTimeout)
	defer cancel()
	return w.poll(ctx, wait)
}

// waitForSource waits until the source answers again.
func (w *CatalogWatcher) waitForSource(ctx context.Context, cause error) {
	began := time.Now()
	w.sourceFailing.Store(true)
	defer w.sourceFailing.Store(false)
	_ = level.Warn(w.logger).Log("msg", "catalog source is unavailable", "err", cause)
	if err := retry.Until(ctx, func(ctx context.Context) error { return w.poll(ctx, 0) }); err != nil {
		return
	}
	_ = level.Info(w.logger).Log("msg", "catalog source is available again", "awayMs", time.Since(began).Milliseconds())
}

// poll reads the source once. Several calls may run concurrently.
func (w *CatalogWatcher) poll(ctx context.Context, wait time.Duration) error {
	w.notePoll(ctx, true)
	c, err := w.source.Next(ctx, wait)
	w.notePoll(ctx, false)
	if err != nil && c == nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Since(w.start)
	if began := transfer.BeganAt(ctx); !began.IsZero() {
		// The catalog was the newest when the source began to send it.
		at = began.Sub(w.start)
	}
	w.lastReadAt.Store(max(int64(at), w.lastReadAt.Load()))
	old := w.current.Load()
	if c == nil || !c.NewerThan(old) {
		return err
	}
	w.current.Store(c)
	w.reportChanges(old, c)
	return err
}

func (w *CatalogWatcher) notePoll(ctx context.Context, runs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if runs {
		w.polls[ctx] = true
	} else {
		delete(w.polls, ctx)
	}
}

// Receiving reports whether the source is sending a change to this VM.
func (w *CatalogWatcher) Receiving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ctx := range w.polls {
		if transfer.Receiving(ctx) {
			return true
		}
	}
	return false
}

// reportChanges logs what a new catalog changes. The old one may be nil.
func (w *CatalogWatcher) reportChanges(old, c *site.Catalog) {
	if old == nil {
		old = &site.Catalog{}
	}
	if c.Version != old.Version {
		_ = level.Info(w.logger).Log("msg", "new catalog version applied", "version", c.Version, "queues", len(c.Queues), "teams", len(c.Teams))
	}
	for name := range c.Evacuated {
		if !old.Evacuated[name] {
			_ = level.Info(w.logger).Log("msg", "data centre evacuated", "dataCentre", name, "revision", c.Revision)
		}
	}
	for name := range old.Evacuated {
		if !c.Evacuated[name] {
			_ = level.Info(w.logger).Log("msg", "data centre restored", "dataCentre", name, "revision", c.Revision)
		}
	}
	w.gauges.Gauge("evacuated_data_centres", int64(len(c.Evacuated)))
}

// Current returns the newest catalog, or nil if there is none yet.
func (w *CatalogWatcher) Current() *site.Catalog {
	return w.current.Load()
}

// Fresh reports whether there is a catalog that was current within the given time.
func (w *CatalogWatcher) Fresh(within time.Duration) bool {
	return w.current.Load() != nil && w.Age() <= within
}

// Age returns the time since the current catalog was last known to be the newest. It has no
// meaning before the first catalog.
func (w *CatalogWatcher) Age() time.Duration {
	return time.Since(w.start) - time.Duration(w.lastReadAt.Load())
}

// CurrentAndAge returns the current catalog, or nil, and its age. A replaced catalog is never
// returned with the age of its successor.
func (w *CatalogWatcher) CurrentAndAge() (*site.Catalog, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current.Load(), w.Age()
}

// Unavailable reports whether the source does not answer this VM, or has not for so long
// that an answer is overdue.
func (w *CatalogWatcher) Unavailable() bool {
	return w.sourceFailing.Load() || w.Age() > catalogOverdue
}

// Adopt takes the catalog that another VM holds, which was the newest at readAt. It
// reports whether that is news: a newer version or revision, or a later time for the
// current one.
func (w *CatalogWatcher) Adopt(c *site.Catalog, readAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := int64(readAt.Sub(w.start))
	old := w.current.Load()
	switch {
	case old == nil:
		// A read before the start of this process leaves lastReadAt negative.
		w.lastReadAt.Store(at)
	case c.Version < old.Version || c.Revision < old.Revision:
		return false
	case at <= w.lastReadAt.Load() && !c.NewerThan(old):
		return false
	default:
		w.lastReadAt.Store(max(at, w.lastReadAt.Load()))
	}
	if !c.NewerThan(old) {
		return true
	}
	w.current.Store(c)
	_ = level.Info(w.logger).Log("msg", "adopted the catalog of another VM", "version", c.Version, "revision", c.Revision, "ageMs", w.Age().Milliseconds())
	w.reportChanges(old, c)
	return true
}
