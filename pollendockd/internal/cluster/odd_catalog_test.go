package cluster

import (
	"bytes"
	"compress/gzip"
	"math"
	"strings"
	"testing"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/request"
)

// compressed returns data as it stands in the parts of a catalog.
func compressed(t testing.TB, data string) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write([]byte(data)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func encodedCatalog(t testing.TB, c *site.Catalog) []byte {
	t.Helper()
	data, err := encodeCatalog(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestOddPeerCatalogs checks that data of another VM that is not the catalog which it has
// described is no catalog.
func TestOddPeerCatalogs(t *testing.T) {
	a := &request.PeerCatalog{From: "b", Version: 5, Revision: 7}
	good := site.Catalog{Version: 5, Revision: 7, Teams: []site.Team{{Name: "t", Keys: []string{"k"}, Weight: 2}}}
	if c, err := decodeCatalog(encodedCatalog(t, &good), a); err != nil || c.TeamOfKey("k") == nil {
		t.Errorf("got %+v, error %v", c, err)
	}
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"nothing", nil},
		{"not compressed", []byte("catalog")},
		{"cut off", encodedCatalog(t, &good)[:20]},
		{"no record", compressed(t, "\xff")},
		{"very deep", compressed(t, strings.Repeat("\x81", 1<<20)+"\x00")},
		{"longer than any", compressed(t, strings.Repeat("\x00", maxCatalogBytes+1))},
		{"another version", encodedCatalog(t, &site.Catalog{Version: math.MaxInt64, Revision: 7})},
		{"another revision", encodedCatalog(t, &site.Catalog{Version: 5, Revision: math.MaxInt64})},
		{"weight that is no number", encodedCatalog(t, &site.Catalog{Version: 5, Revision: 7, Teams: []site.Team{{Weight: math.NaN()}}})},
		{"endless weight", encodedCatalog(t, &site.Catalog{Version: 5, Revision: 7, Teams: []site.Team{{Weight: math.Inf(1)}}})},
		{"limit whose sum overflows", encodedCatalog(t, &site.Catalog{Version: 5, Revision: 7, Teams: []site.Team{{Limit: resource.Vector{MilliCPU: math.MaxInt64}}}})},
		{"stretch that is no number", encodedCatalog(t, &site.Catalog{Version: 5, Revision: 7, Queues: []site.Queue{{Stretch: math.NaN()}}})},
		{"negative stretch", encodedCatalog(t, &site.Catalog{Version: 5, Revision: 7, Queues: []site.Queue{{Stretch: -1}}})},
	} {
		if got, err := decodeCatalog(c.data, a); err == nil {
			t.Errorf("%s: decoded as %+v", c.name, got)
		}
	}
}

// FuzzPeerCatalog checks that no catalog of another VM costs the process.
func FuzzPeerCatalog(f *testing.F) {
	f.Add("\xa1gVersion\x05")
	f.Add("\xa2gVersion\x05fQueues\x81\xa1gStretch\xfb\x7f\xf8\x00\x00\x00\x00\x00\x00")
	f.Add("\xa2gVersion\x05eTeams\x81\xf6")
	f.Fuzz(func(t *testing.T, plain string) {
		c, err := decodeCatalog(compressed(t, plain), &request.PeerCatalog{Version: 5})
		if err != nil {
			return
		}
		if c.Version != 5 || c.Revision != 0 {
			t.Errorf("%q: version %d, revision %d", plain, c.Version, c.Revision)
		}
		c.QueueFor("h", "/q/")
		c.ShortestObjective()
	})
}
