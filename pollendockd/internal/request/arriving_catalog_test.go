package request

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/site"
	"pollendock.example/cell/transfer"
	"pollendock.example/pollendockd/internal/sleep"
)

// slowSource is a CatalogSource that sends version 1 at once and version 2 in parts.
type slowSource struct {
	publishedAt time.Time
	// takes is the time that version 2 takes to arrive.
	takes time.Duration
	sent  bool
}

func (s *slowSource) Next(ctx context.Context, wait time.Duration) (*site.Catalog, error) {
	const partInterval = 50 * time.Millisecond
	if !s.sent {
		s.sent = true
		return catalogOf(1, "ka"), nil
	}
	if until := time.Until(s.publishedAt); until > 0 {
		sleep.For(ctx, min(wait, until))
		if wait < until {
			return nil, ctx.Err()
		}
	}
	for began := time.Now(); time.Since(began) < s.takes; {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		transfer.Received(ctx)
		sleep.For(ctx, partInterval)
	}
	return catalogOf(2, "kb"), nil
}

// TestArrivingCatalogIsNoOutage: a version that is arriving over a slow link has been
// published, so the version before it is not excused by an outage of the source, although no
// other VM has the new one yet.
func TestArrivingCatalogIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		source := &slowSource{publishedAt: time.Now().Add(5 * time.Second), takes: 6 * time.Second}
		peers := &catalogPeers{}
		watcher := NewCatalogWatcher(source, log.NewNopLogger(), noCounts{})
		sharer := NewCatalogSharer(watcher, peers, bounds, noCounts{})
		peers.set(catalogOf(1, "ka"), -5*time.Second, false, "b", "c", "d")
		go func() { _ = watcher.Run(ctx) }()
		go func() { _ = sharer.Run(ctx) }()
		time.Sleep(time.Until(source.publishedAt))
		for time.Since(source.publishedAt) < source.takes-time.Second {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(source.publishedAt); age > bounds.CatalogApply && sharer.Current() {
				t.Fatalf("version %d is served by %v after version 2 was published", watcher.Current().Version, age)
			}
		}
	})
}
