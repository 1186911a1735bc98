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
	held    *heldRecords
}

// newCrowd brings up n VMs in each of two data centres, named x0 and y0 on. The
// first ones are the strongest.
func newCrowd(t *testing.T, n int) *crowd {
	t.Helper()
	c := &crowd{t: t, peers: map[string]*Peers{}, books: map[string]*otherBook{}, servers: map[string]*peer.Server{}, held: &heldRecords{}}
	b := job.NewView()
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
				Name: name, Incarnation: name + "/1", DataCentre: centre, CPUCores: float64(n - i),
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
		peers := NewPeers(m, b, c.held, nil, &otherLeader{}, log.NewNopLogger())
		c.peers[m.Name] = peers
		c.books[m.Name] = &otherBook{offered: make(chan int, 64)}
		server, err := peer.NewServerOf(listeners[i], NewServer(t.Context(), "b/1", nil, &otherDesk{}, &otherLeader{}, c.books[m.Name], peers, log.NewNopLogger()))
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
	c.peers["x0"].Offer(c.held.add(1))
	for _, name := range []string{"x1", "x2", "x3", "x4", "y0", "y1", "y2", "y3", "y4"} {
		expectOffered(c, name)
	}
}

// TestRelayIsReplaced: records reach a data centre though the VM that passed
// them on is gone, and the VM itself is tried again.
func TestRelayIsReplaced(t *testing.T) {
	c := newCrowd(t, 5)
	c.servers["y0"].Close()
	c.peers["x0"].Offer(c.held.add(1))
	expectSoon(t, "the offer to y0 fails", func() bool { return c.peers["x0"].isFailing("y0") })
	var names []string
	for _, r := range c.peers["x0"].receivers() {
		if r.relays {
			names = append(names, r.member.Name)
		}
	}
	if len(names) != 1 || names[0] != "y1" {
		t.Errorf("records are passed on by %v", names)
	}
	c.peers["x0"].Offer(c.held.add(1))
	for _, name := range []string{"y1", "y2", "y3", "y4"} {
		expectOffered(c, name)
	}
}

// offerFor adds and offers records of a size again and again for a time, and returns
// how many bytes were added and how many reached the other VM.
func offerFor(p *pair, d time.Duration, size int) (added, arrived int) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(5 * time.Millisecond) {
		p.peers.Offer(p.held.add(size))
		added += size
	}
	for {
		select {
		case n := <-p.book.offered:
			arrived += n * size
		case <-time.After(4 * offerGap):
			return added, arrived
		}
	}
}

// TestOffersLeaveLaggingVMsAlone: a restarted VM with a slow link was sent all that
// the leader appended while it read the records, again and again after offers that
// it could not take in time, so that it had no link left to catch up with.
func TestOffersLeaveLaggingVMsAlone(t *testing.T) {
	const size, least = 1000, 3 // of the bytes added, one in least at most
	for _, c := range []struct {
		name    string
		loading bool
		takes   time.Duration
	}{
		{"reads all records", true, 0},
		{"does not answer in time", false, 2 * offerTimeout},
	} {
		p := newPair(t)
		p.book.loading.Store(c.loading)
		p.book.takes = c.takes
		added, arrived := offerFor(p, time.Second, size)
		if arrived == 0 || arrived > added/least {
			t.Errorf("%s: %d of %d bytes reached it", c.name, arrived, added)
		}
	}
}

// TestOffersFillHoles: a VM that lacks records which the stream does not give it
// gets them from the VM that offers, in calls of a bounded size.
func TestOffersFillHoles(t *testing.T) {
	const size, records = 1024, 200
	p := newPair(t)
	last := int64(0)
	for range records {
		last = p.held.add(size)
	}
	p.peers.Offer(last)
	expectSoon(t, "it has all records", func() bool { return p.book.next.Load() > last })
	for len(p.book.offered) > 0 {
		if n := <-p.book.offered; n*size > maxCallBytes {
			t.Errorf("%d bytes in a call", n*size)
		}
	}
}

// TestReadersAreNotSentTwice: a VM that reads what it lacks is not sent it as well; it
// is asked what it lacks, and gets the rest.
func TestReadersAreNotSentTwice(t *testing.T) {
	const size, records = 1024, 200
	p := newPair(t)
	p.book.reads.Store(true)
	last := int64(0)
	for range records {
		last = p.held.add(size)
	}
	p.peers.Offer(last)
	arrived := <-p.book.offered
	// By the time it is asked again it has read all but the last record.
	p.book.next.Store(last)
	expectSoon(t, "it has all records", func() bool {
		p.peers.Offer(last)
		return p.book.next.Load() > last
	})
	for len(p.book.offered) > 0 {
		arrived += <-p.book.offered
	}
	if arrived > 4 {
		t.Errorf("%d records were sent to a VM that reads them", arrived)
	}
}

// TestOffersFromTheStream: what is not at hand any more is left to be read.
func TestOffersFromTheStream(t *testing.T) {
	p := newPair(t)
	p.held.first = 5
	p.peers.Offer(p.held.add(1))
	expectSoon(t, "it is said to lag behind", func() bool { return p.peers.isFailing("b") })
	p.book.next.Store(6)
	time.Sleep(behindRest)
	p.peers.Offer(p.held.add(1))
	expectSoon(t, "it is offered records once it has caught up", func() bool { return p.book.next.Load() == 7 })
}
