package helper

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
)

// crowd is several VMs in two data centres.
type crowd struct {
	t       *testing.T
	peers   map[string]*Peers
	books   map[string]*otherBook
	servers map[string]*peer.Server
}

// newCrowd brings up n VMs in each of two data centres, named x0 and y0 on. The
// first ones are the strongest.
func newCrowd(t *testing.T, n int) *crowd {
	t.Helper()
	c := &crowd{t: t, peers: map[string]*Peers{}, books: map[string]*otherBook{}, servers: map[string]*peer.Server{}}
	b := job.NewBook()
	var members []*job.Member
	var listeners []net.Listener
	for _, centre := range []string{"x", "y"} {
		for i := range n {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listeners = append(listeners, ln)
			name := fmt.Sprint(centre, i)
			m := &job.Member{
				Name: name, Incarnation: name + "/1", DataCentre: centre, Power: float64(n - i),
				PeerAddr: netip.MustParseAddrPort(ln.Addr().String()),
			}
			members = append(members, m)
			e, err := job.MemberEntry(m)
			if err != nil {
				t.Fatal(err)
			}
			e.Offset = int64(len(members) - 1)
			if _, err := b.Apply(&site.Page{Entries: []site.Entry{e}, Next: int64(len(members))}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i, m := range members {
		peers := NewPeers(m, b, nil, &otherLeader{}, log.NewNopLogger())
		c.peers[m.Name] = peers
		c.books[m.Name] = &otherBook{offered: make(chan int, 64)}
		server, err := peer.NewServerOf(listeners[i], NewServer(t.Context(), "b/1", nil, &otherDesk{}, &otherLeader{}, c.books[m.Name], peers))
		if err != nil {
			t.Fatal(err)
		}
		c.servers[m.Name] = server
		go func() { _ = server.Serve() }()
		t.Cleanup(server.Close)
	}
	return c
}

// expectOffered waits until a VM has been offered records.
func expectOffered(c *crowd, name string) {
	c.t.Helper()
	select {
	case <-c.books[name].offered:
	case <-time.After(10 * time.Second):
		c.t.Fatalf("%s was offered nothing", name)
	}
}

// TestOffersAreRelayed: the leader calls one VM of another data centre, which
// passes the records on. With dozens of VMs the calls took the leader's time.
func TestOffersAreRelayed(t *testing.T) {
	c := newCrowd(t, 5)
	receivers := c.peers["x0"].receivers()
	var far []string
	for _, r := range receivers {
		if r.member.DataCentre == "y" {
			far = append(far, r.member.Name)
			if !r.relays {
				t.Errorf("%s does not pass records on", r.member.Name)
			}
		}
	}
	if len(receivers) != 5 || len(far) != 1 || far[0] != "y0" {
		t.Errorf("%d receivers, in the other data centre %v", len(receivers), far)
	}
	c.peers["x0"].Offer([]site.Entry{{Key: "k", Offset: 1}})
	for _, name := range []string{"x1", "x2", "x3", "x4", "y0", "y1", "y2", "y3", "y4"} {
		expectOffered(c, name)
	}
}

// TestRelayIsReplaced: records reach a data centre though the VM that passed
// them on is gone, and the VM itself is tried again.
func TestRelayIsReplaced(t *testing.T) {
	c := newCrowd(t, 5)
	c.servers["y0"].Close()
	c.peers["x0"].Offer([]site.Entry{{Key: "k", Offset: 1}})
	deadline := time.Now().Add(10 * time.Second)
	for !c.peers["x0"].isFailing("y0") {
		if time.Now().After(deadline) {
			t.Fatal("the offer to y0 does not fail")
		}
		time.Sleep(time.Millisecond)
	}
	var names []string
	for _, r := range c.peers["x0"].receivers() {
		if r.relays {
			names = append(names, r.member.Name)
		}
	}
	if len(names) != 1 || names[0] != "y1" {
		t.Errorf("records are passed on by %v", names)
	}
	c.peers["x0"].Offer([]site.Entry{{Key: "k", Offset: 2}})
	for _, name := range []string{"y1", "y2", "y3", "y4"} {
		expectOffered(c, name)
	}
}

// offerFor offers records of a size again and again for a time, and returns how
// many bytes were offered and how many reached the other VM.
func offerFor(p *pair, d time.Duration, size int) (offered, arrived int) {
	value := make([]byte, size)
	for began := time.Now(); time.Since(began) < d; time.Sleep(5 * time.Millisecond) {
		p.peers.Offer([]site.Entry{{Key: "k", Value: value, Offset: int64(offered)}})
		offered += size
	}
	for {
		select {
		case n := <-p.book.offered:
			arrived += n * size
		case <-time.After(2 * offerGap):
			return offered, arrived
		}
	}
}

// TestOffersLeaveLaggingVMsAlone: a restarted VM with a slow link was sent all that
// the leader appended while it read the records, again and again after offers that
// it could not take in time, so that it had no link left to catch up with.
func TestOffersLeaveLaggingVMsAlone(t *testing.T) {
	const size, least = 1000, 3 // of the bytes offered, one in least at most
	for _, c := range []struct {
		name   string
		behind bool
		takes  time.Duration
	}{
		{"lags behind", true, 0},
		{"does not answer in time", false, 2 * offerTimeout},
	} {
		p := newPair(t)
		p.book.behind.Store(c.behind)
		p.book.takes = c.takes
		offered, arrived := offerFor(p, time.Second, size)
		if arrived == 0 || arrived > offered/least {
			t.Errorf("%s: %d of %d bytes reached it", c.name, arrived, offered)
		}
		p.book.behind.Store(false)
		p.book.takes = 0
		time.Sleep(mostRest)
		for len(p.book.offered) > 0 {
			<-p.book.offered
		}
		if offered, arrived := offerFor(p, 200*time.Millisecond, size); arrived < offered/2 {
			t.Errorf("%s: once it keeps up, %d of %d bytes reached it", c.name, arrived, offered)
		}
	}
}

// TestOffersAreBounded: one call carries what a slow link takes in time, and a VM
// for which too much waits reads the stream.
func TestOffersAreBounded(t *testing.T) {
	var o offer
	entry := site.Entry{Key: "k", Value: make([]byte, 1023)}
	for range 100 {
		o.add([]site.Entry{entry})
	}
	if n := len(o.take()); n != maxCallBytes>>10 {
		t.Errorf("%d KB in a call", n)
	}
	if want := 100<<10 - maxCallBytes; o.bytes != want || len(o.waiting) != want>>10 {
		t.Errorf("%d bytes wait in %d records, want %d", o.bytes, len(o.waiting), want)
	}
	p := newPair(t)
	p.book.takes = offerTimeout / 2
	p.peers.Offer([]site.Entry{entry})
	for range 2 * maxWaitingBytes >> 10 {
		p.peers.Offer([]site.Entry{entry})
	}
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if bytes := p.peers.offers["b"].bytes; bytes > maxWaitingBytes {
		t.Errorf("%d bytes wait", bytes)
	}
}
