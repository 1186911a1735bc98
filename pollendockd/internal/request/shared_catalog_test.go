package request

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/code"
	"pollendock.example/cell/site"
)

// catalogPeers is a fake CatalogPeers. The test sets what its VMs hold.
type catalogPeers struct {
	mu sync.Mutex
	// names are the VMs that answer. They hold the catalog, which was the newest at
	// readAt; if follow is set, it still is.
	names   []string
	catalog *site.Catalog
	readAt  time.Time
	follow  bool
	calls   int
	fetches int
}

// bounds are the limits on the age of a catalog in these tests.
var bounds = site.Bounds{CatalogApply: 2 * time.Second, CatalogOutage: 5 * time.Second}

func (p *catalogPeers) Size() int { return 10 }

func (p *catalogPeers) Catalogs(_ context.Context, onAnswer func(*PeerCatalog)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	for _, name := range p.names {
		a := &PeerCatalog{From: name}
		if c := p.catalog; c != nil {
			a.Version, a.Revision, a.ReadAt = c.Version, c.Revision, p.readAt
			if p.follow {
				a.ReadAt = time.Now()
			}
		}
		onAnswer(a)
	}
}

func (p *catalogPeers) FetchCatalog(_ context.Context, a *PeerCatalog) (*site.Catalog, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetches++
	if c := p.catalog; c != nil && c.Version == a.Version && c.Revision == a.Revision {
		return c, nil
	}
	return nil, site.ErrRefused.New("not held")
}

// set configures the VMs that answer and what they hold, which was the newest age ago.
func (p *catalogPeers) set(c *site.Catalog, age time.Duration, follow bool, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.names, p.catalog, p.readAt, p.follow = names, c, time.Now().Add(-age), follow
}

func (p *catalogPeers) queries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *catalogPeers) fetched() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fetches
}

func submit(s *fixture, id, key string) error {
	return s.handler.Submit(s.ctx, address("/q/"+id, key), draft())
}

// TestCatalogFromPeers: a VM whose catalog source is refused to it alone serves its callers
// by the catalog of other VMs, and takes new versions from them. It used to forward every
// request.
func TestCatalogFromPeers(t *testing.T) {
	withFixture(t, func(s *fixture) {
		s.catalogs.set(catalogOf(1, "ka"), 0, true, "b")
		s.source.set(nil, true)
		time.Sleep(20 * time.Second)
		expectCode(t, "submit", submit(s, goodID, "ka"), code.OK)
		if n := s.catalogs.fetched(); n != 0 {
			t.Errorf("the catalog that this VM holds was fetched %d times", n)
		}
		s.catalogs.set(catalogOf(2, "knew"), 0, true, "b")
		time.Sleep(time.Second)
		if n := s.catalogs.fetched(); n != 1 {
			t.Errorf("a new catalog was fetched %d times", n)
		}
		expectCode(t, "a revoked key", submit(s, otherID, "ka"), code.Unauthenticated)
		expectCode(t, "a granted key", submit(s, otherID, "knew"), code.OK)
		s.catalogs.set(catalogOf(1, "ka"), 0, true, "c")
		time.Sleep(time.Second)
		if v := s.handler.Version(); v != 2 {
			t.Errorf("version %d replaced version 2", v)
		}
		if s.peers.calls > 0 {
			t.Errorf("%d requests were forwarded", s.peers.calls)
		}
	})
}

// TestCatalogSourceUnavailableToAll: callers are served while no VM can read the catalog, for
// as long as the deployment allows, and only what the catalog allows: a version that cannot
// be read may have added what is not in it. All of them used to be refused.
func TestCatalogSourceUnavailableToAll(t *testing.T) {
	withFixture(t, func(s *fixture) {
		refused := site.ErrRefused.New("none")
		s.peers.err = refused
		s.catalogs.set(catalogOf(1, "ka"), 0, false, "b", "c", "d")
		s.source.set(nil, true)
		time.Sleep(5 * time.Second)
		expectCode(t, "submit", submit(s, goodID, "ka"), code.OK)
		expectCode(t, "an unknown key", submit(s, otherID, "kx"), code.NotReady)
		expectCode(t, "an unknown queue", s.handler.Submit(s.ctx, address("/x/"+otherID, "ka"), draft()), code.NotReady)
		s.catalogs.set(nil, 0, false, "b")
		time.Sleep(1200 * time.Millisecond)
		expectCode(t, "submit at a VM that reaches one other", submit(s, otherID, "ka"), code.NotReady)
		s.catalogs.set(nil, 0, false, "b", "c", "d")
		time.Sleep(2500 * time.Millisecond)
		err := submit(s, otherID, "ka")
		expectCode(t, "beyond the bounds", err, code.NotReady)
		if d := s.handler.RetryAfter(err); d != retryAfterUnavailable {
			t.Errorf("retry after %v", d)
		}
		s.source.set(catalogOf(2, "ka"), false)
		time.Sleep(time.Second)
		expectCode(t, "afterwards", submit(s, otherID, "ka"), code.OK)
		expectCode(t, "an unknown key afterwards", submit(s, otherID, "kx"), code.Unauthenticated)
	})
}

// TestCatalogOfRestartedVM: a VM that starts while no VM can read the catalog takes it from
// another one, with its age. A version read long before the start is not served by.
func TestCatalogOfRestartedVM(t *testing.T) {
	cases := []struct {
		name string
		age  time.Duration
		want bool
	}{
		{"read before the start", 3 * time.Second, true},
		{"too old", 6 * time.Second, false},
	}
	for _, tc := range cases {
		withFixture(t, func(s *fixture) {
			s.source.set(nil, true)
			s.catalogs.set(catalogOf(1, "ka"), tc.age, false, "b", "c", "d")
			watcher := NewCatalogWatcher(s.source, log.NewNopLogger(), noCounts{})
			sharer := NewCatalogSharer(watcher, s.catalogs, bounds, noCounts{})
			go func() { _ = watcher.Run(s.ctx) }()
			go func() { _ = sharer.Run(s.ctx) }()
			time.Sleep(2 * time.Second)
			if watcher.Current() == nil {
				t.Fatalf("%s: no catalog", tc.name)
			}
			if got := sharer.Current(); got != tc.want {
				t.Errorf("%s: served by it: %v", tc.name, got)
			}
		})
	}
}

// TestCatalogSharingIsIdle: no VM is asked while the source answers.
func TestCatalogSharingIsIdle(t *testing.T) {
	withFixture(t, func(s *fixture) {
		time.Sleep(30 * time.Second)
		if n := s.catalogs.queries(); n > 0 {
			t.Errorf("%d queries", n)
		}
	})
}

func TestOutageCatalogAge(t *testing.T) {
	cases := []struct {
		name   string
		bounds site.Bounds
		want   time.Duration
	}{
		{"allowed", site.Bounds{CatalogApply: 2 * time.Second, CatalogOutage: 5 * time.Second}, 6500 * time.Millisecond},
		{"not allowed", site.Bounds{CatalogApply: 2 * time.Second}, 0},
		{"no bounds", site.Bounds{}, 0},
	}
	for _, c := range cases {
		if got := outageCatalogAge(&c.bounds); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestUnavailableToAll(t *testing.T) {
	cases := []struct {
		answers, peers int
		want           bool
	}{
		{0, 0, false}, {0, 10, false}, {2, 10, false}, {3, 10, true}, {1, 1, true}, {1, 2, false}, {2, 2, true},
	}
	for _, c := range cases {
		if got := (catalogEvidence{c.answers, c.peers}).unavailableToAll(); got != c.want {
			t.Errorf("%d answers of %d VMs: %v", c.answers, c.peers, got)
		}
	}
}

// TestRetryAfter: a refusal says when to come back. A change of leader takes less than a
// second, an outage longer.
func TestRetryAfter(t *testing.T) {
	withFixture(t, func(s *fixture) {
		noLeader := code.New(code.LogDown, "no leader is known to answer")
		if d := s.handler.RetryAfter(noLeader); d != retryAfterChange {
			t.Errorf("during a change of leader: %v", d)
		}
		if d := s.handler.RetryAfter(code.New(code.BadRequest, "")); d != 0 {
			t.Errorf("of a bad request: %v", d)
		}
		s.store.SetUnavailable(true)
		time.Sleep(600 * time.Millisecond)
		if d := s.handler.RetryAfter(noLeader); d != retryAfterUnavailable {
			t.Errorf("during an outage of the stream: %v", d)
		}
	})
}

// TestEvacuationFromPeers checks that a VM that cannot read the catalog learns from another
// VM that a data centre was evacuated, although the version has not changed, and that an
// answer from before does not take it back.
func TestEvacuationFromPeers(t *testing.T) {
	withFixture(t, func(s *fixture) {
		s.source.set(nil, true)
		newer := catalogOf(1, "ka")
		newer.Revision, newer.Evacuated = 7, map[string]bool{"dc1": true}
		s.catalogs.set(newer, 0, true, "b")
		time.Sleep(3 * time.Second)
		if !s.catalog.Current().Evacuated["dc1"] {
			t.Error("the evacuation is not known")
		}
		s.catalogs.set(catalogOf(1, "ka"), 0, true, "b")
		time.Sleep(3 * time.Second)
		if !s.catalog.Current().Evacuated["dc1"] {
			t.Error("an older answer took the data centre back")
		}
	})
}
