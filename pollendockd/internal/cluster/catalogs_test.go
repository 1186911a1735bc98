package cluster

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/loopback"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/request"
)

// TestCatalogs: another VM says which catalog it holds and how old it is. The catalog arrives
// with its indexes, also if it is larger than a call may be, and only while that VM holds it.
func TestCatalogs(t *testing.T) {
	p := newPair(t)
	large, size := largeCatalog(t, 1)
	if size < 2*catalogPartBytes {
		t.Fatalf("a catalog of %d bytes", size)
	}
	large.Teams = []site.Team{{Name: "a", Keys: []string{"ka"}}}
	large.Services = map[string]site.Service{"s": {ChecksAdmission: true}}
	large.Evacuated = map[string]bool{"d": true}
	p.handler.catalog = large.Index()
	p.handler.catalogAge = 4 * time.Second
	var answers []*request.PeerCatalog
	p.peers.Catalogs(t.Context(), func(a *request.PeerCatalog) { answers = append(answers, a) })
	if len(answers) != 1 {
		t.Fatalf("%d answers", len(answers))
	}
	a := answers[0]
	if a.From != "b" || a.Version != 5 || a.Revision != 5 || time.Since(a.ReadAt) < 4*time.Second || time.Since(a.ReadAt) > 9*time.Second {
		t.Errorf("%+v", a)
	}
	c, err := p.peers.FetchCatalog(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(c, large) {
		t.Error("another catalog arrived")
	}
	if c.TeamOfKey("ka") == nil {
		t.Error("the key is not indexed")
	}
	a.Version++
	if c, err := p.peers.FetchCatalog(t.Context(), a); err == nil {
		t.Errorf("version %d arrived for %d", c.Version, a.Version)
	}
}

// TestOddCatalogParts: what another VM sends instead of a catalog is an error, not a catalog.
func TestOddCatalogParts(t *testing.T) {
	good, err := encodeCatalog(&site.Catalog{Version: 5})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		data []byte
	}{
		{"nothing", nil},
		{"not compressed", []byte("version 5")},
		{"cut off", good[:len(good)/2]},
		{"one byte changed", append(append([]byte{}, good[:len(good)/2]...), make([]byte, len(good)/2)...)},
	}
	for _, c := range cases {
		if got, err := decodeCatalog(c.data, &request.PeerCatalog{Version: 5}); err == nil {
			t.Errorf("%s: got %+v", c.name, got)
		}
	}
}

// TestCatalogsLeaveOutTheDead: a VM whose process has ended is not asked again for a while.
func TestCatalogsLeaveOutTheDead(t *testing.T) {
	p := newPair(t)
	p.server.Close()
	for range 2 {
		p.peers.Catalogs(t.Context(), func(*request.PeerCatalog) { t.Error("an answer") })
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

// TestCatalogGoesOnFromAnotherVM: what has arrived of a catalog is not sent again, also by
// another VM. A beginning that does not fit is dropped.
func TestCatalogGoesOnFromAnotherVM(t *testing.T) {
	catalog, _ := largeCatalog(t, 2)
	data, err := encodeCatalog(catalog)
	if err != nil {
		t.Fatal(err)
	}
	half := len(data) / 2
	cases := []struct {
		name    string
		version int64
		begins  []byte
		sent    int
		ok      bool
	}{
		{"the first half", 5, data[:half], len(data) - half, true},
		{"the first half of another version", 4, data[:half], len(data), true},
		{"all but the decoding", 5, data, 0, true},
		{"something else", 5, make([]byte, half), len(data) - half, false},
	}
	for _, c := range cases {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		link := loopback.NewLink(100 << 20)
		p := newPairAt(t, &fakeHandler{version: 5, catalog: catalog}, link.Listener(ln))
		p.peers.partialCatalog.begin(&request.PeerCatalog{Version: c.version, Revision: 5})
		p.peers.partialCatalog.data = append([]byte{}, c.begins...)
		a := &request.PeerCatalog{From: "b", Version: 5, Revision: 5}
		got, err := p.peers.FetchCatalog(t.Context(), a)
		if (err == nil) != c.ok || c.ok && !reflect.DeepEqual(got, catalog) {
			t.Errorf("%s: %v", c.name, err)
		}
		if sent := int(link.Sent()); sent < c.sent || sent > c.sent+len(data)/10+1000 {
			t.Errorf("%s: %d bytes were sent for %d", c.name, sent, c.sent)
		}
		if got, err := p.peers.FetchCatalog(t.Context(), a); err != nil || !reflect.DeepEqual(got, catalog) {
			t.Errorf("%s: afterwards %v", c.name, err)
		}
	}
}

// TestOddCatalogAge: an age below 0, from a VM whose clock was set back, makes no catalog
// appear to be read in the future, where it would count as current for ever.
func TestOddCatalogAge(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, math.MinInt64, math.MaxInt64} {
		p := newPair(t)
		p.handler.catalog = (&site.Catalog{Version: 5}).Index()
		p.handler.catalogAge = age
		p.peers.Catalogs(t.Context(), func(a *request.PeerCatalog) {
			if a.ReadAt.After(time.Now()) {
				t.Errorf("age %v: read %v from now", age, time.Until(a.ReadAt))
			}
		})
	}
}
