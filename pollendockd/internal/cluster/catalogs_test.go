package cluster

import (
	"math"
	"testing"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/request"
)

// TestCatalogs: the catalog of another VM arrives with its indexes and its age. It is not
// sent to a VM that holds the version.
func TestCatalogs(t *testing.T) {
	p := newPair(t)
	p.handler.catalog = (&site.Catalog{
		Version:  5,
		Queues:   []site.Queue{{Name: "q", Host: "h", PathPrefix: "/q/"}},
		Teams:    []site.Team{{Name: "a", Keys: []string{"ka"}}},
		Services: map[string]site.Service{"s": {ChecksAdmission: true}},
	}).Index()
	p.handler.catalogAge = 4 * time.Second
	for _, held := range []int64{0, 5, 6} {
		answers := 0
		p.peers.Catalogs(t.Context(), &site.Catalog{Version: held}, func(a *request.PeerCatalog) {
			answers++
			if a.From != "b" || a.Version != 5 || time.Since(a.ReadAt) < 4*time.Second || time.Since(a.ReadAt) > 9*time.Second {
				t.Errorf("held %d: %+v", held, a)
			}
			if sent := a.Catalog != nil; sent != (held != 5) {
				t.Errorf("held %d: sent %v", held, sent)
			}
			if a.Catalog != nil && a.Catalog.TeamOfKey("ka") == nil {
				t.Errorf("held %d: the key is not indexed", held)
			}
		})
		if answers != 1 {
			t.Errorf("held %d: %d answers", held, answers)
		}
	}
}

// TestCatalogsLeaveOutTheDead: a VM whose process has ended is not asked again for a while.
func TestCatalogsLeaveOutTheDead(t *testing.T) {
	p := newPair(t)
	p.server.Close()
	for range 2 {
		p.peers.Catalogs(t.Context(), nil, func(*request.PeerCatalog) { t.Error("an answer") })
	}
	if list := catalogTargets(p.peers.candidates(), time.Now()); len(list) > 0 {
		t.Errorf("%d VMs would be asked", len(list))
	}
}

// TestOddCatalogAge: an age below 0, from a VM whose clock was set back, makes no catalog
// appear to be read in the future, where it would count as current for ever.
func TestOddCatalogAge(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, math.MinInt64, math.MaxInt64} {
		p := newPair(t)
		p.handler.catalog = (&site.Catalog{Version: 5}).Index()
		p.handler.catalogAge = age
		p.peers.Catalogs(t.Context(), nil, func(a *request.PeerCatalog) {
			if a.ReadAt.After(time.Now()) {
				t.Errorf("age %v: read %v from now", age, time.Until(a.ReadAt))
			}
		})
	}
}
