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
		// Offer reports whether this VM keeps up with the records.
		Offer(entries []site.Entry) bool
	}

	// Relay passes records on within the data centre.
	Relay interface {
		Relay(entries []site.Entry)
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
	}

	// Peers calls the other entry VMs.
	Peers struct {
		name       string
		dataCentre string
		book       *job.Book
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
	}

	// connKey parts the connections of one peer by use: a call without an
	// answer closes its connection.
	connKey struct {
		name string
		use  connUse
	}

	connUse int

	// offer is what waits for one peer while a call to it is under way.
	offer struct {
		busy bool
		// failing is set while the peer does not answer, or lags behind.
		failing bool
		// relays is set if the peer is to pass the records on.
		relays  bool
		waiting []site.Entry
		// bytes is the size of what waits.
		bytes int
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
		// Behind is set if the VM lacks records before those offered.
		Behind bool
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
	// A leader says after acceptServe that it does not know the outcome yet. One
	// that has not answered after acceptTimeout is silent: that ends the
	// connection, and with it the calls of other callers.
	acceptServe   = 2250 * time.Millisecond
	acceptTimeout = 2400 * time.Millisecond
	shunTime      = time.Second
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
func NewPeers(self *job.Member, book *job.Book, advisor Advisor, leader Leader, logger log.Logger) *Peers {
	return &Peers{
		name: self.Name, dataCentre: self.DataCentre, self: self.Incarnation, book: book, advisor: advisor, leader: leader, logger: logger,
		conns: map[connKey]*conn{}, offers: map[string]*offer{}, shun: map[string]time.Time{},
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

// Accept asks the leader to make entries durable with its own, so that the
// stream takes few appends. An error of class site.ErrRefused means that they
// are not and never will be by this call.
func (p *Peers) Accept(ctx context.Context, entries []site.Entry) error {
	l, _ := p.book.Leader()
	if l.Incarnation == p.self {
		return p.leader.Accept(ctx, entries)
	}
	m := p.memberOf(l.Incarnation)
	if m == nil || p.shunned(l.Incarnation) {
		return site.ErrRefused.New("no leader is known to answer")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var reply AcceptReply
	err := p.client(m, forAccepts).Call(ctx, "Accept", &AcceptRequest{Entries: entries}, &reply)
	switch {
	case err == nil && reply.Done:
		return nil
	case err == nil && reply.Refused:
		return site.ErrRefused.New("%s", reply.Detail)
	case err == nil:
		return site.ErrUnknown.New("%s", reply.Detail)
	}
	p.shunLeader(l.Incarnation)
	if peer.NotSent.Has(err) {
		return site.ErrRefused.Wrap(err)
	}
	return site.ErrUnknown.Wrap(err)
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

func (p *Peers) shunned(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.shun[incarnation])
}

func (p *Peers) shunLeader(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shun = map[string]time.Time{incarnation: time.Now().Add(shunTime)}
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
