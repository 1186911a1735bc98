package cluster

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/request"
)

type (
	// CatalogRequest asks another VM which catalog it holds.
	CatalogRequest struct{}

	// CatalogReply describes the catalog of a VM.
	CatalogReply struct {
		// Version and Revision are 0 if the VM has none.
		Version  int64
		Revision int64
		// Age is the time since the catalog was last known to be the newest.
		Age time.Duration
	}

	// CatalogPartRequest asks for a part of an encoded catalog.
	CatalogPartRequest struct {
		Version  int64
		Revision int64
		Offset   int
	}

	// CatalogPartReply is a part of an encoded catalog.
	CatalogPartReply struct {
		Data []byte
		// Size is the size of the whole, 0 if the VM does not hold that catalog.
		Size int
	}

	// catalogEncoder encodes the catalog of a VM, once for all VMs that ask for it.
	catalogEncoder struct {
		mu      sync.Mutex
		catalog *site.Catalog
		data    []byte
	}

	// partialCatalog is the beginning of an encoded catalog. The rest may come from any VM
	// that holds it: the encoding depends on nothing else.
	partialCatalog struct {
		mu       sync.Mutex
		version  int64
		revision int64
		data     []byte
	}
)

const (
	// catalogPeers is how many VMs are asked for their catalogs at a time.
	catalogPeers = 3
	// A part of catalogPartBytes arrives within catalogPartTimeout also if a few hundred
	// VMs fetch the catalog over one link of 10 Mbit/s. What a call without an answer
	// wastes is no more than that.
	catalogPartBytes   = 8 << 10
	catalogPartTimeout = 2500 * time.Millisecond
	// maxEncodedCatalog and maxCatalogBytes bound a catalog, encoded and decoded.
	maxEncodedCatalog = 8 << 20
	maxCatalogBytes   = 32 << 20
)

// catalogEncoding sorts the keys of maps.
var catalogEncoding = mustEncMode(cbor.CoreDetEncOptions())

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Size returns the number of other VMs that are known.
func (p *Peers) Size() int {
	return len(p.candidates())
}

// Catalogs asks a few other VMs which catalogs they hold, and calls onAnswer for each answer.
// VMs that did not answer lately are left out.
func (p *Peers) Catalogs(ctx context.Context, onAnswer func(*request.PeerCatalog)) {
	var wg sync.WaitGroup
	for _, c := range catalogTargets(p.candidates(), time.Now()) {
		wg.Go(func() {
			if a := p.catalogOf(ctx, &c); a != nil {
				onAnswer(a)
			}
		})
	}
	wg.Wait()
}

// catalogTargets returns up to catalogPeers VMs at random. Every VM is asked by some, so a newer
// version that one of them reads reaches all within a few rounds.
func catalogTargets(candidates []candidate, now time.Time) []candidate {
	var usable []candidate
	for _, c := range candidates {
		if !c.silent(now) {
			usable = append(usable, c)
		}
	}
	rand.Shuffle(len(usable), func(a, b int) { usable[a], usable[b] = usable[b], usable[a] })
	return usable[:min(catalogPeers, len(usable))]
}

// catalogOf asks one VM which catalog it holds. It returns nil if there is no answer.
func (p *Peers) catalogOf(ctx context.Context, c *candidate) *request.PeerCatalog {
	began := time.Now()
	var reply CatalogReply
	err := p.client(&c.member, forCatalogs).Call(ctx, "Catalog", &CatalogRequest{}, &reply)
	p.counts.Count("catalog_queries", 1)
	if err != nil {
		p.counts.Count("catalog_queries_unanswered", 1)
		if peer.NotSent.Has(err) {
			p.recordContact(c.member.Incarnation, unreachableContact)
		}
		return nil
	}
	// The other VM computed the age after this call began.
	return &request.PeerCatalog{From: c.member.Name, Version: reply.Version, Revision: reply.Revision, ReadAt: began.Add(-max(0, reply.Age))}
}

// FetchCatalog returns the catalog that another VM has described. It arrives in parts, so
// that its size does not matter to the time of a call. After a failure the next call goes
// on with the part that is missing, also from another VM.
func (p *Peers) FetchCatalog(ctx context.Context, a *request.PeerCatalog) (*site.Catalog, error) {
	m, isMember := p.view.Members()[a.From]
	if !isMember {
		return nil, peer.NotSent.New("%s is no longer a member", a.From)
	}
	client := p.client(&m, forCatalogs)
	partial := &p.partialCatalog
	partial.mu.Lock()
	defer partial.mu.Unlock()
	partial.begin(a)
	for size := len(partial.data) + 1; len(partial.data) < size; {
		var part CatalogPartReply
		if err := callCatalogPart(ctx, client, &CatalogPartRequest{a.Version, a.Revision, len(partial.data)}, &part); err != nil {
			return nil, err
		}
		if part.Size > maxEncodedCatalog || len(partial.data)+len(part.Data) > part.Size || len(part.Data) == 0 && len(partial.data) < part.Size {
			return nil, peer.Class.New("%s sent %d bytes after %d of a catalog of %d", a.From, len(part.Data), len(partial.data), part.Size)
		}
		size = part.Size
		partial.data = append(partial.data, part.Data...)
	}
	data := partial.data
	partial.data = nil
	p.counts.Count("catalog_bytes_received", int64(len(data)))
	return decodeCatalog(data, a)
}

// begin drops what has arrived of another catalog.
func (c *partialCatalog) begin(a *request.PeerCatalog) {
	if c.version != a.Version || c.revision != a.Revision {
		c.version, c.revision, c.data = a.Version, a.Revision, nil
	}
}

func callCatalogPart(ctx context.Context, client *peer.Client, r *CatalogPartRequest, part *CatalogPartReply) error {
	ctx, cancel := context.WithTimeout(ctx, catalogPartTimeout)
	defer cancel()
	return client.Call(ctx, "CatalogPart", r, part)
}

// Catalog describes the catalog of this VM.
func (s *Server) Catalog(_ *CatalogRequest, reply *CatalogReply) (err error) {
	defer s.recoverPanic("Catalog", &err)
	c, age := s.handler.Catalog()
	if c == nil {
		return nil
	}
	reply.Version, reply.Revision, reply.Age = c.Version, c.Revision, age
	return nil
}

// CatalogPart returns a part of the catalog of this VM.
func (s *Server) CatalogPart(r *CatalogPartRequest, reply *CatalogPartReply) (err error) {
	defer s.recoverPanic("CatalogPart", &err)
	c, _ := s.handler.Catalog()
	if c == nil || c.Version != r.Version || c.Revision != r.Revision {
		return nil
	}
	data, err := s.encoder.encode(c)
	if err != nil {
		return err
	}
	if r.Offset < 0 || r.Offset > len(data) {
		return fmt.Errorf("offset %d of a catalog of %d bytes", r.Offset, len(data))
	}
	reply.Size = len(data)
	reply.Data = data[r.Offset:min(len(data), r.Offset+catalogPartBytes)]
	return nil
}

// encode returns the encoded catalog.
func (e *catalogEncoder) encode(c *site.Catalog) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.catalog == c {
		return e.data, nil
	}
	data, err := encodeCatalog(c)
	if err != nil {
		return nil, err
	}
	e.catalog, e.data = c, data
	return data, nil
}

// encodeCatalog returns the compressed encoding of a catalog. It is the same at all VMs that
// hold the catalog.
func encodeCatalog(c *site.Catalog) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := catalogEncoding.NewEncoder(w).Encode(c); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decodeCatalog is the inverse of encodeCatalog. The catalog is indexed. It is an error if
// it is not the one that the other VM has described, or has numbers that no VM reads.
func decodeCatalog(data []byte, described *request.PeerCatalog) (*site.Catalog, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, peer.Class.Wrap(err)
	}
	var c site.Catalog
	plain, err := io.ReadAll(io.LimitReader(r, maxCatalogBytes))
	if err != nil {
		return nil, peer.Class.Wrap(err)
	}
	if err := cbor.Unmarshal(plain, &c); err != nil {
		return nil, peer.Class.Wrap(err)
	}
	if c.Version != described.Version || c.Revision != described.Revision {
		return nil, peer.Class.New("revision %d of version %d in place of %d of %d", c.Revision, c.Version, described.Revision, described.Version)
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c.Index(), nil
}
