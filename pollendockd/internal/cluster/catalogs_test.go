package cluster

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/loopback"
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

// failingSource is a source of catalogs that never answers this VM.
type failingSource struct{}

func (failingSource) Next(ctx context.Context, _ time.Duration) (*site.Catalog, error) {
	return nil, site.ErrRefused.New("503")
}

// largeCatalog returns a catalog that compresses badly, and its size as it is encoded.
func largeCatalog(t *testing.T, seed uint64) (*site.Catalog, int64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 0))
	c := &site.Catalog{Version: 5, Revision: 5}
	for range 4000 {
		c.Queues = append(c.Queues, site.Queue{Name: fmt.Sprintf("%016x", rng.Uint64()), Host: fmt.Sprintf("%016x.example", rng.Uint64()), PathPrefix: "/q/"})
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(c); err != nil {
		t.Fatal(err)
	}
	return c.Index(), int64(b.Len())
}

// TestLargeCatalogArrivesFromPeerOverSlowLink: a VM that cannot read the source got the
// beginning of another VM's catalog again and again, which kept the link of that VM full.
func TestLargeCatalogArrivesFromPeerOverSlowLink(t *testing.T) {
	const (
		seed     = 33
		slowLink = 100 << 10 // bytes a second
	)
	t.Logf("seed %d", seed)
	catalog, size := largeCatalog(t, seed)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	link := loopback.NewLink(slowLink)
	p := newPairAt(t, &fakeHandler{version: 5, catalog: catalog}, link.Listener(ln))
	watcher := request.NewCatalogWatcher(failingSource{}, log.NewNopLogger(), noCounts{})
	sharer := request.NewCatalogSharer(watcher, p.peers, site.Bounds{}, noCounts{})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() { _ = watcher.Run(ctx) }()
	go func() { _ = sharer.Run(ctx) }()
	for watcher.Current() == nil {
		if ctx.Err() != nil {
			t.Fatalf("the catalog of %d bytes did not arrive; %d bytes were sent", size, link.Sent())
		}
		time.Sleep(20 * time.Millisecond)
	}
	if sent := link.Sent(); sent > 2*size {
		t.Errorf("%d bytes were sent for a catalog of %d", sent, size)
	}
}
