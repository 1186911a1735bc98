// Package helper carries calls between entry VMs: queries to the advisor, which
// serves the calls of each VM in turn, and callers' requests at a VM that has
// lost the records.
package helper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/code"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/scheduler"
)

type (
	// Advisor is the advisor as this VM reaches it.
	Advisor interface {
		Advise(ctx context.Context, jobID string, step int, workers []string) ([]site.Ticket, error)
	}

	// Desk serves requests without passing them on.
	Desk interface {
		SubmitHere(ctx context.Context, at site.Address, draft *job.Submission) error
		StatusHere(ctx context.Context, at site.Address) (*site.Status, error)
		CancelHere(ctx context.Context, at site.Address) error
		// Version is that of the catalog in force here.
		Version() int64
	}

	// Leader makes entries durable if this VM leads.
	Leader interface {
		Accept(ctx context.Context, entries []site.Entry) error
		// Yield tells that the leader of a term cannot append.
		Yield(epoch int64)
	}

	// Follower takes records that the leader has appended.
	Follower interface {
		// Offer returns the offset from which on this VM lacks records; it is
		// negative while the VM cannot take any. It also returns whether the VM
		// can read them from the stream.
		Offer(entries []site.Entry) (next int64, reads bool)
	}

	// Records holds the newest records.
	Records interface {
		// Recent returns records from an offset on, of about most bytes. It
		// reports false if they are not at hand any more.
		Recent(next int64, most int) ([]site.Entry, bool)
	}

	// Relay passes records on within the data centre.
	Relay interface {
		// Relay passes on those from an offset on.
		Relay(first int64)
	}

	// Server serves the calls of other entry VMs over net/rpc.
	Server struct {
		ctx         context.Context
		incarnation string

		advisor Advisor
		desk    Desk
		leader  Leader
		book    Follower
		relay   Relay
		logger  log.Logger
	}

	// Peers calls the other entry VMs.
	Peers struct {
		name       string
		dataCentre string
		book       *job.View
		records    Records
		advisor    Advisor

		self   string
		leader Leader

		logger log.Logger

		mu    sync.Mutex
		conns map[connKey]*conn
		// offers holds what is to be passed on to each peer.
		offers map[string]*offer
		// shun is until when a leader that did not answer is not asked.
		shun map[string]time.Time
		// changed is closed, and replaced, when the book names another leader than
		// lastLeader.
		changed    chan struct{}
		lastLeader string
	}

	// connKey parts the connections of one peer by use: a call without an
	// answer closes its connection.
	connKey struct {
		name string
		use  connUse
	}

	connUse int

	// offer is how far one peer has got with the records.
	offer struct {
		busy bool
		// failing is set while the peer does not answer, or lacks records that are
		// not at hand here.
		failing bool
		// relays is set if the peer is to pass the records on.
		relays bool
		// next is the offset of the next record that the peer needs, if known.
		next  int64
		known bool
		// resuming is set while it is not known what the peer has read meanwhile.
		resuming bool
		// restUntil is until when the peer is left to read the stream, and rest
		// how long that was the last time.
		restUntil time.Time
		rest      time.Duration
	}

	// receiver is a VM to which the leader offers records.
	receiver struct {
		member job.Member
		relays bool
	}

	conn struct {
		incarnation string
		client      *peer.Client
	}

	// AdviceReply answers a query.
	AdviceReply struct {
		Tickets []site.Ticket
	}

	// AcceptRequest asks the leader to make entries durable.
	AcceptRequest struct {
		Entries []site.Entry
	}

	// AcceptReply says what became of them; neither flag is set if that is not
	// known.
	AcceptReply struct {
		Done    bool
		Refused bool
		Detail  string
	}

	// OfferRequest carries records that are durable.
	OfferRequest struct {
		Entries []site.Entry
		// Relay asks for them to be passed on within the data centre.
		Relay bool
	}

	// OfferReply answers an offer.
	OfferReply struct {
		// Next is the offset from which on the VM lacks records, or negative.
		Next int64
		// Reads is set if the VM reads them from the stream.
		Reads bool
	}

	// YieldRequest names the term of a leader that cannot append.
	YieldRequest struct {
		Epoch int64
	}

	// YieldReply is empty.
	YieldReply struct{}

	// Request is a caller's request that is passed on.
	Request struct {
		At site.Address
		// Draft is set for Submit.
		Draft *job.Submission
		// Least is the oldest catalog version by which it may be served.
		Least int64
	}

	// Outcome is what became of it.
	Outcome struct {
		Code   code.Code
		Detail string
		Status site.Status
		// Version is that of the catalog that was gone by.
		Version int64
	}
)

const (
	serveTimeout = 2 * time.Second
	passTimeout  = 1200 * time.Millisecond
	// passTries bounds the VMs that are tried for a request.
	passTries = 3
)

const (
	forAdvice connUse = iota
	forRequests
	forAccepts
	forOffers
	forWatches
)

// NewPeers returns the peers of an entry VM, as the book lists them. Leader is
// the VM itself, for the time in which it leads.
func NewPeers(self *job.Member, book *job.View, records Records, advisor Advisor, leader Leader, logger log.Logger) *Peers {
	return &Peers{
		name: self.Name, dataCentre: self.DataCentre, self: self.Incarnation, book: book, records: records, advisor: advisor, leader: leader, logger: logger,
		conns: map[connKey]*conn{}, offers: map[string]*offer{}, shun: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// client returns a client for a member.
func (p *Peers) client(m *job.Member, use connUse) *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := connKey{m.Name, use}
	c := p.conns[key]
	if c != nil && c.incarnation == m.Incarnation {
		return c.client
	}
	if c != nil {
		c.client.Close()
	}
	c = &conn{m.Incarnation, peer.NewClient(m.PeerAddr)}
	p.conns[key] = c
	return c.client
}

// memberOf returns the member of that incarnation, or nil.
func (p *Peers) memberOf(incarnation string) *job.Member {
	for _, m := range p.book.Members() {
		if m.Incarnation == incarnation {
			return &m
		}
	}
	return nil
}

// Advise asks the advisor by way of the VM of that name.
func (p *Peers) Advise(ctx context.Context, through string, q *scheduler.AdviceQuery) ([]site.Ticket, error) {
	if through == p.name {
		return p.advisor.Advise(ctx, q.Job, q.Step, q.Workers)
	}
	m, listed := p.book.Members()[through]
	if !listed {
		return nil, peer.NotSent.New("%s is not listed any more", through)
	}
	var reply AdviceReply
	if err := p.client(&m, forAdvice).Call(ctx, "Advise", q, &reply); err != nil {
		return nil, err
	}
	return reply.Tickets, nil
}

// Submit passes a job on.
func (p *Peers) Submit(ctx context.Context, at site.Address, draft *job.Submission, least int64) (int64, error) {
	out, err := p.pass(ctx, "Submit", &Request{At: at, Draft: draft, Least: least})
	return out.Version, err
}

// Status passes a question on.
func (p *Peers) Status(ctx context.Context, at site.Address, least int64) (*site.Status, int64, error) {
	out, err := p.pass(ctx, "Status", &Request{At: at, Least: least})
	return &out.Status, out.Version, err
}

// Cancel passes a cancel on.
func (p *Peers) Cancel(ctx context.Context, at site.Address, least int64) (int64, error) {
	out, err := p.pass(ctx, "Cancel", &Request{At: at, Least: least})
	return out.Version, err
}

// pass tries other VMs until one has served the request. Requests on jobs are
// idempotent, so one may be passed on again after a call without an answer.
func (p *Peers) pass(ctx context.Context, method string, r *Request) (*Outcome, error) {
	failure := site.ErrRefused.New("no other VM is known")
	for _, m := range p.others() {
		var out Outcome
		err := p.call(ctx, &m, method, r, &out)
		switch {
		case err == nil && out.Code == code.OK:
			return &out, nil
		case err == nil && out.Code != code.LogDown && out.Code != code.NotReady && out.Code != code.AcceptUnknown:
			return &out, code.New(out.Code, "%s", out.Detail)
		case err == nil && out.Code == code.AcceptUnknown, err != nil && !peer.NotSent.Has(err):
			failure = site.ErrUnknown.New("%s: %v %s", m.Name, err, out.Detail)
		case !site.ErrUnknown.Has(failure):
			failure = site.ErrRefused.New("%s: %v %s", m.Name, err, out.Detail)
		}
	}
	return &Outcome{}, failure
}

func (p *Peers) call(ctx context.Context, m *job.Member, method string, r *Request, out *Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	return p.client(m, forRequests).Call(ctx, method, r, out)
}

// others returns some other VMs: the leader, which holds all records, then others
// in no order.
func (p *Peers) others() []job.Member {
	l, _ := p.book.Leader()
	var list []job.Member
	for name, m := range p.book.Members() {
		if name != p.name {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for i := range list {
		if list[i].Incarnation == l.Incarnation {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list[:min(passTries, len(list))]
}
