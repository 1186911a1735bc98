package request

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	// CatalogPeers asks other entry VMs for their catalogs.
	CatalogPeers interface {
		// Catalogs asks a few other VMs which catalogs they hold, and calls onAnswer for
		// each answer. It returns once all calls have ended.
		Catalogs(ctx context.Context, onAnswer func(a *PeerCatalog))
		// FetchCatalog returns the catalog that another VM has described.
		FetchCatalog(ctx context.Context, a *PeerCatalog) (*site.Catalog, error)
		// Size returns the number of other VMs that are known.
		Size() int
	}

	// PeerCatalog describes the catalog of another VM.
	PeerCatalog struct {
		// From is the name of the VM.
		From string
		// Version and Revision are those of its catalog, 0 if it has none.
		Version  int64
		Revision int64
		// ReadAt is when that catalog was last known to be the newest, on the clock of
		// the receiver.
		ReadAt time.Time
	}

	// CatalogSharer keeps the catalog of this VM current through other VMs while the
	// source does not answer it. It is idle while the source answers.
	CatalogSharer struct {
		catalog *CatalogWatcher
		peers   CatalogPeers
		bounds  site.Bounds
		counts  Counts

		mu sync.Mutex
		// answeredAt holds when each VM last answered.
		answeredAt map[string]time.Time
		// newestVersion and newestRevision are the highest that another VM had.
		newestVersion, newestRevision int64
	}

	// catalogEvidence is what is known of the catalogs of other VMs.
	catalogEvidence struct {
		// answers counts the other VMs that answered within answerAge, none of them
		// with a fresher catalog. peers counts those that are known.
		answers, peers int
	}
)

const (
	// shareInterval is the time between two rounds of queries.
	shareInterval = 300 * time.Millisecond
	shareTimeout  = 250 * time.Millisecond
	// minAnswers is how many other VMs must have answered within answerAge before
	// the source counts as unavailable to all VMs rather than to this one.
	minAnswers = 3
	answerAge  = time.Second
	// maxCatalogAge is the age up to which requests are served by a catalog, unless its
	// source answers no VM.
	maxCatalogAge = 1700 * time.Millisecond
	// catalogMargin is the part of the deployment's bounds that is reserved for the
	// transfer of a catalog between VMs.
	catalogMargin = 500 * time.Millisecond
)

// NewCatalogSharer returns a sharer for the watcher's catalog.
func NewCatalogSharer(catalog *CatalogWatcher, peers CatalogPeers, bounds site.Bounds, counts Counts) *CatalogSharer {
	return &CatalogSharer{catalog: catalog, peers: peers, bounds: bounds, counts: counts, answeredAt: map[string]time.Time{}}
}

// Run queries other VMs until ctx ends.
func (s *CatalogSharer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.catalog.Unavailable() {
			s.query(ctx)
		}
		sleep.For(ctx, shareInterval)
	}
	return ctx.Err()
}

// query asks a few VMs for their catalogs, and adopts what is news. Only the newest catalog
// is transferred, from the first VM that has it, because it may take long over a slow link.
func (s *CatalogSharer) query(ctx context.Context) {
	newest := s.ask(ctx)
	if newest == nil {
		return
	}
	c, err := s.peers.FetchCatalog(ctx, newest)
	if err != nil {
		_ = level.Warn(s.catalog.logger).Log("msg", "failed to fetch the catalog of another VM", "from", newest.From, "version", newest.Version, "err", err)
		return
	}
	s.adopt(c, newest.ReadAt)
}

// ask asks a few VMs which catalogs they hold. It returns the first description of the newest
// one if that is newer than the catalog of this VM, else nil.
func (s *CatalogSharer) ask(ctx context.Context) *PeerCatalog {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var mu sync.Mutex
	var newest *PeerCatalog
	s.peers.Catalogs(ctx, func(a *PeerCatalog) {
		s.take(a)
		mu.Lock()
		defer mu.Unlock()
		if a.newerThan(s.catalog.Current()) && (newest == nil || a.newerThan(newest.catalog())) {
			newest = a
		}
	})
	return newest
}

// newerThan reports whether the described catalog is newer than c, which may be nil.
func (a *PeerCatalog) newerThan(c *site.Catalog) bool {
	return a.Version > 0 && a.catalog().NewerThan(c)
}

// catalog returns the described catalog without its contents.
func (a *PeerCatalog) catalog() *site.Catalog {
	return &site.Catalog{Version: a.Version, Revision: a.Revision}
}

// take notes the catalog of another VM. A VM without a catalog may have just started, so its
// answer says nothing about the source.
func (s *CatalogSharer) take(a *PeerCatalog) {
	if a.Version == 0 {
		return
	}
	s.mu.Lock()
	s.answeredAt[a.From] = time.Now()
	s.newestVersion = max(s.newestVersion, a.Version)
	s.newestRevision = max(s.newestRevision, a.Revision)
	s.mu.Unlock()
	if c := s.catalog.Current(); c != nil && a.Version == c.Version && a.Revision == c.Revision {
		s.adopt(c, a.ReadAt)
	}
}

func (s *CatalogSharer) adopt(c *site.Catalog, readAt time.Time) {
	if s.catalog.Adopt(c, readAt) {
		s.counts.Count("catalog_adopted", 1)
	}
}

// behind reports whether another VM has a newer catalog than this one.
func (s *CatalogSharer) behind() bool {
	c := s.catalog.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return c == nil || c.Version < s.newestVersion || c.Revision < s.newestRevision
}

// evidence counts the VMs that answered recently, and forgets the others.
func (s *CatalogSharer) evidence() catalogEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.answeredAt {
		if time.Since(at) > answerAge {
			delete(s.answeredAt, name)
		}
	}
	return catalogEvidence{answers: len(s.answeredAt), peers: s.peers.Size()}
}

// Current reports whether requests may be served by this VM's catalog.
func (s *CatalogSharer) Current() bool {
	if s.catalog.Fresh(maxCatalogAge) {
		return true
	}
	if s.behind() || s.catalog.Receiving() {
		// There is a newer version, so this is no outage.
		return false
	}
	return s.catalog.Fresh(outageCatalogAge(&s.bounds)) && s.evidence().unavailableToAll()
}

// Outdated reports whether the catalog is older than it would be if its source answered
// some VM. Operators may have published another version since.
func (s *CatalogSharer) Outdated() bool {
	return !s.catalog.Fresh(maxCatalogAge)
}

// unavailableToAll reports whether the source seems to answer no VM. Callers would then
// find no VM that serves them by a newer catalog. A VM without answers may be the only one
// that the source does not answer, so it does not serve by an old catalog.
func (e catalogEvidence) unavailableToAll() bool {
	return e.answers > 0 && e.answers >= min(minAnswers, e.peers)
}

// outageCatalogAge is the age up to which a catalog is served by while its source answers
// no VM. It is 0 if the deployment allows none.
func outageCatalogAge(b *site.Bounds) time.Duration {
	if b.CatalogOutage <= 0 {
		return 0
	}
	return b.CatalogApply + b.CatalogOutage - catalogMargin
}
