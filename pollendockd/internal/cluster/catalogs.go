package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/request"
)

type (
	// CatalogRequest asks for the catalog of another VM.
	CatalogRequest struct {
		// Version and Revision are those of the catalog that the caller holds, 0 if it
		// has none.
		Version  int64
		Revision int64
	}

	// CatalogReply describes the catalog of a VM.
	CatalogReply struct {
		// Version and Revision are 0 if the VM has none.
		Version  int64
		Revision int64
		// Age is the time since the catalog was last known to be the newest.
		Age time.Duration
		// Catalog is nil if the caller holds it.
		Catalog *site.Catalog
	}
)

// catalogPeers is how many VMs are asked for their catalogs at a time.
const catalogPeers = 3

// Size returns the number of other VMs that are known.
func (p *Peers) Size() int {
	return len(p.candidates())
}

// Catalogs asks a few other VMs for their catalogs, and calls onAnswer for each answer. VMs
// that did not answer lately are left out.
func (p *Peers) Catalogs(ctx context.Context, held *site.Catalog, onAnswer func(*request.PeerCatalog)) {
	var wg sync.WaitGroup
	for _, c := range catalogTargets(p.candidates(), time.Now()) {
		wg.Go(func() {
			if a := p.catalogOf(ctx, &c, held); a != nil {
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

// catalogOf asks one VM for its catalog. It returns nil if there is no answer.
func (p *Peers) catalogOf(ctx context.Context, c *candidate, held *site.Catalog) *request.PeerCatalog {
	began := time.Now()
	var req CatalogRequest
	if held != nil {
		req = CatalogRequest{Version: held.Version, Revision: held.Revision}
	}
	var reply CatalogReply
	err := p.client(&c.member, forCatalogs).Call(ctx, "Catalog", &req, &reply)
	if err != nil {
		if peer.NotSent.Has(err) {
			p.recordContact(c.member.Incarnation, unreachableContact)
		}
		return nil
	}
	if reply.Catalog != nil {
		reply.Catalog.Index()
	}
	// The other VM computed the age after this call began.
	return &request.PeerCatalog{From: c.member.Name, Version: reply.Version, Revision: reply.Revision, ReadAt: began.Add(-max(0, reply.Age)), Catalog: reply.Catalog}
}

// Catalog returns the catalog of this VM.
func (s *Server) Catalog(r *CatalogRequest, reply *CatalogReply) (err error) {
	defer s.recoverPanic("Catalog", &err)
	c, age := s.handler.Catalog()
	if c == nil {
		return nil
	}
	reply.Version, reply.Revision, reply.Age = c.Version, c.Revision, age
	if c.Version != r.Version || c.Revision != r.Revision {
		reply.Catalog = c
	}
	return nil
}
