package helper

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
	// otherDesk answers as it is told.
	otherDesk struct {
		err     error
		version int64
		calls   int
	}

	// otherLeader answers as it is told.
	otherLeader struct {
		err     error
		entries int
		yielded atomic.Int64
	}

	// otherBook counts what it is offered, and takes it unless it is told that it
	// still reads all records.
	otherBook struct {
		offered chan int
		loading atomic.Bool
		next    atomic.Int64
		reads   atomic.Bool
		takes   time.Duration
	}

	// heldRecords are the newest records, from an offset on.
	heldRecords struct {
		mu      sync.Mutex
		first   int64
		entries []site.Entry
	}
)

func (d *otherDesk) SubmitHere(context.Context, site.Address, *job.Submission) error {
	d.calls++
	return d.err
}

func (d *otherDesk) StatusHere(context.Context, site.Address) (*site.Status, error) {
	d.calls++
	return &site.Status{Phase: int(job.Running)}, d.err
}

func (d *otherDesk) CancelHere(context.Context, site.Address) error { return d.err }
func (d *otherDesk) Version() int64                                 { return d.version }

func (l *otherLeader) Accept(_ context.Context, entries []site.Entry) error {
	l.entries += len(entries)
	return l.err
}

func (l *otherLeader) Yield(epoch int64) { l.yielded.Store(epoch) }

func (b *otherBook) Offer(entries []site.Entry) (int64, bool) {
	b.offered <- len(entries)
	time.Sleep(b.takes)
	if b.loading.Load() {
		return -1, true
	}
	if entries[0].Offset <= b.next.Load() {
		b.next.Store(max(b.next.Load(), entries[len(entries)-1].Offset+1))
	}
	return b.next.Load(), b.reads.Load()
}

// add appends a record with a value of a size, and returns its offset.
func (h *heldRecords) add(size int) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	offset := h.first + int64(len(h.entries))
	h.entries = append(h.entries, site.Entry{Key: "k", Value: make([]byte, size-1), Offset: offset})
	return offset
}

func (h *heldRecords) Recent(next int64, most int) ([]site.Entry, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next < h.first {
		return nil, false
	}
	var list []site.Entry
	for size := 0; next < h.first+int64(len(h.entries)) && size < most; next++ {
		e := h.entries[next-h.first]
		list = append(list, e)
		size += e.Size()
	}
	return list, true
}

// pair is this VM's peers and one other VM, which leads.
type pair struct {
	peers  *Peers
	server *peer.Server
	desk   *otherDesk
	leader *otherLeader
	book   *otherBook
	held   *heldRecords
}

func newPair(t *testing.T) *pair {
	t.Helper()
	desk := &otherDesk{version: 7}
	p := newPairOf(t, desk)
	p.desk = desk
	return p
}

// newPairOf is a pair whose other VM has that desk.
func newPairOf(t *testing.T, desk Desk) *pair {
	t.Helper()
	p := &pair{leader: &otherLeader{}, book: &otherBook{offered: make(chan int, 1000)}, held: &heldRecords{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := peer.NewServerOf(ln, NewServer(t.Context(), "b/1", nil, desk, p.leader, p.book, nil, log.NewNopLogger()))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	p.server = server
	b := job.NewView()
	member, err := job.MemberEntry(&job.Member{Name: "b", Incarnation: "b/1", PeerAddr: netip.MustParseAddrPort(ln.Addr().String())})
	if err != nil {
		t.Fatal(err)
	}
	leader, err := job.LeaderEntry(&job.Leader{Epoch: 3, Incarnation: "b/1"})
	if err != nil {
		t.Fatal(err)
	}
	leader.Offset = 1
	if _, err := b.Apply(&site.Page{Entries: []site.Entry{member, leader}, Next: 2}); err != nil {
		t.Fatal(err)
	}
	p.peers = NewPeers(&job.Member{Name: "a", Incarnation: "a/1"}, b, p.held, nil, &otherLeader{}, log.NewNopLogger())
	return p
}

// TestPass: what another VM says is passed back; where it could not tell, or did
// not take the request, the class of the error says so.
func TestPass(t *testing.T) {
	cases := []struct {
		name  string
		err   error
		least int64
		check func(error) bool
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
		p.desk.err = c.err
		_, err := p.peers.Submit(t.Context(), site.Address{}, &job.Submission{Spec: "x", Steps: []job.Step{{Count: 1}}}, c.least)
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

// TestAcceptByLeader: the class of the error tells whether the entries can have
// become durable.
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
	p.held.add(1)
	p.held.add(1)
	p.peers.Offer(0)
	select {
	case n := <-p.book.offered:
		if n != 2 {
			t.Errorf("%d entries offered", n)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing offered")
	}
	p.peers.Yield(3)
	expectSoon(t, "the other VM is asked to lead", func() bool { return p.leader.yielded.Load() == 3 })
}

// expectSoon waits until a condition holds, and fails if it does not come to.
func expectSoon(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not so in time: %s", what)
		}
	}
}
