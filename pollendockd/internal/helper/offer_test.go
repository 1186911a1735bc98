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
		c.books[m.Name] = &otherBook{make(chan int, 64)}
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
