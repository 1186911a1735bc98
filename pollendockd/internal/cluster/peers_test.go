package cluster

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/code"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// fakeHandler is a RequestHandler that returns err.
	fakeHandler struct {
		err     error
		version int64
		calls   int
		catalog *site.Catalog
		// catalogAge is the age of the catalog.
		catalogAge time.Duration
	}

	noCounts struct{}

	// fakeLeader is a Leader that returns err and counts the entries.
	fakeLeader struct {
		err     error
		entries int
		yielded atomic.Int64
	}

	// fakeFollower counts the records that it is offered, and applies them unless
	// loading is set.
	fakeFollower struct {
		offered chan int
		loading atomic.Bool
		next    atomic.Int64
		reads   atomic.Bool
		delay   time.Duration
	}

	// fakeRecords holds the records from an offset on.
	fakeRecords struct {
		mu      sync.Mutex
		first   int64
		entries []site.Entry
	}
)

func (h *fakeHandler) SubmitLocal(context.Context, site.Address, *job.Submission) error {
	h.calls++
	return h.err
}

func (h *fakeHandler) StatusLocal(context.Context, site.Address) (*site.Status, error) {
	h.calls++
	return &site.Status{Phase: int(job.Running)}, h.err
}

func (h *fakeHandler) CancelLocal(context.Context, site.Address) error { return h.err }
func (h *fakeHandler) Version() int64                                  { return h.version }

func (h *fakeHandler) Catalog() (*site.Catalog, time.Duration) { return h.catalog, h.catalogAge }

func (noCounts) Count(string, int64)        {}
func (noCounts) Time(string, time.Duration) {}
func (noCounts) Gauge(string, int64)        {}

func (l *fakeLeader) Accept(_ context.Context, entries []site.Entry) error {
	l.entries += len(entries)
	return l.err
}

func (l *fakeLeader) Yield(epoch int64) { l.yielded.Store(epoch) }

func (f *fakeFollower) Offer(entries []site.Entry) (int64, bool) {
	f.offered <- len(entries)
	time.Sleep(f.delay)
	if f.loading.Load() {
		return -1, true
	}
	if entries[0].Offset <= f.next.Load() {
		f.next.Store(max(f.next.Load(), entries[len(entries)-1].Offset+1))
	}
	return f.next.Load(), f.reads.Load()
}

// add appends a record of the given size and returns its offset.
func (r *fakeRecords) add(size int) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	offset := r.first + int64(len(r.entries))
	r.entries = append(r.entries, site.Entry{Key: "k", Value: make([]byte, size-1), Offset: offset})
	return offset
}

func (r *fakeRecords) Recent(next int64, maxBytes int) ([]site.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next < r.first {
		return nil, false
	}
	var list []site.Entry
	for size := 0; next < r.first+int64(len(r.entries)) && size < maxBytes; next++ {
		e := r.entries[next-r.first]
		list = append(list, e)
		size += e.Size()
	}
	return list, true
}

// pair is the Peers of this VM and one other VM, which is the leader.
type pair struct {
	peers    *Peers
	server   *peer.Server
	handler  *fakeHandler
	leader   *fakeLeader
	follower *fakeFollower
	records  *fakeRecords
}

func newPair(t *testing.T) *pair {
	t.Helper()
	handler := &fakeHandler{version: 7}
	p := newPairOf(t, handler)
	p.handler = handler
	return p
}

// newPairOf returns a pair whose other VM has the given handler.
func newPairOf(t *testing.T, handler RequestHandler) *pair {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newPairAt(t, handler, ln)
}

// newPairAt returns a pair whose other VM has the given handler and listener.
func newPairAt(t *testing.T, handler RequestHandler, ln net.Listener) *pair {
	t.Helper()
	p := &pair{leader: &fakeLeader{}, follower: &fakeFollower{offered: make(chan int, 1000)}, records: &fakeRecords{}}
	server, err := peer.NewRPCServer(ln, NewServer(t.Context(), "b/1", nil, handler, p.leader, p.follower, nil, log.NewNopLogger()))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	p.server = server
	view := job.NewView()
	member, err := job.MemberEntry(&job.Member{Name: "b", Incarnation: "b/1", PeerAddr: netip.MustParseAddrPort(ln.Addr().String())})
	if err != nil {
		t.Fatal(err)
	}
	leader, err := job.LeaderEntry(&job.Leader{Epoch: 3, Incarnation: "b/1"})
	if err != nil {
		t.Fatal(err)
	}
	leader.Offset = 1
	if _, err := view.Apply(&site.Page{Entries: []site.Entry{member, leader}, Next: 2}); err != nil {
		t.Fatal(err)
	}
	p.peers = NewPeers(&job.Member{Name: "a", Incarnation: "a/1"}, view, p.records, nil, &fakeLeader{}, log.NewNopLogger(), noCounts{})
	return p
}

// TestForward: the answer of another VM is returned. The class of the error shows whether
// the outcome is unknown or no VM accepted the request.
func TestForward(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		minVersion int64
		check      func(error) bool
	}{
		{"served", nil, 7, func(err error) bool { return err == nil }},
		{"the catalog there is older", nil, 8, site.ErrRefused.Has},
		{"not ready there", code.New(code.NotReady, ""), 0, site.ErrRefused.Has},
		{"not known there", code.New(code.AcceptUnknown, ""), 0, site.ErrUnknown.Has},
		{"refused for good", code.New(code.Unauthenticated, ""), 0, func(err error) bool {
			c, _ := code.Of(err)
			return c == code.Unauthenticated
		}},
	}
	for _, c := range cases {
		p := newPair(t)
		p.handler.err = c.err
		_, err := p.peers.Submit(t.Context(), site.Address{}, &job.Submission{Spec: "x", Steps: []job.Step{{Count: 1}}}, c.minVersion)
		if !c.check(err) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	p := newPair(t)
	status, version, err := p.peers.Status(t.Context(), site.Address{}, 0)
	if err != nil || status.Phase != int(job.Running) || version != 7 {
		t.Errorf("status %+v by version %d: %v", status, version, err)
	}
}

// TestAcceptByLeader: the class of the error shows whether the entries can have become
// durable.
func TestAcceptByLeader(t *testing.T) {
	entries := []site.Entry{{Key: "k", Value: []byte("v")}}
	p := newPair(t)
	if err := p.peers.Accept(t.Context(), entries); err != nil || p.leader.entries != 1 {
		t.Errorf("%d entries, %v", p.leader.entries, err)
	}
	p.leader.err = site.ErrRefused.New("x")
	if err := p.peers.Accept(t.Context(), entries); !site.ErrRefused.Has(err) {
		t.Errorf("a refusal gives %v", err)
	}
	p.leader.err = site.ErrUnknown.New("x")
	if err := p.peers.Accept(t.Context(), entries); !site.ErrUnknown.Has(err) {
		t.Errorf("no outcome gives %v", err)
	}
}

func TestOffersAndYields(t *testing.T) {
	p := newPair(t)
	p.records.add(1)
	p.records.add(1)
	p.peers.Offer(0)
	select {
	case n := <-p.follower.offered:
		if n != 2 {
			t.Errorf("%d entries offered", n)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing offered")
	}
	p.peers.Yield(3)
	expectSoon(t, "the other VM is asked to lead", func() bool { return p.leader.yielded.Load() == 3 })
}

// expectSoon waits until a condition holds, and fails after 10 s.
func expectSoon(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
