// Package cluster implements the calls between entry VMs: replication of records from
// the leader, appends by the leader, queries to the advisor, which serves the calls of
// each VM one at a time, and requests that a VM without current records forwards.
package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/advice"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/scheduler"
)

type (
	// Advisor calls the advisor from this VM.
	Advisor interface {
		Advise(ctx context.Context, jobID string, step int, workers []string) ([]site.Ticket, error)
	}

	// AdvisorWithAnswers also keeps what the advisor has answered.
	AdvisorWithAnswers interface {
		Advisor
		Answers() []advice.StepAnswers
	}

	// RequestHandler serves requests without forwarding them.
	RequestHandler interface {
		SubmitLocal(ctx context.Context, addr site.Address, draft *job.Submission) error
		StatusLocal(ctx context.Context, addr site.Address) (*site.Status, error)
		CancelLocal(ctx context.Context, addr site.Address) error
		// Version returns the version of this VM's catalog.
		Version() int64
		// Catalog returns the catalog of this VM, or nil, and the time since it was
		// last known to be the newest.
		Catalog() (*site.Catalog, time.Duration)
	}

	// Leader makes entries durable if this VM is the leader.
	Leader interface {
		Accept(ctx context.Context, entries []site.Entry) error
		// Yield reports that the leader of the given epoch cannot append.
		Yield(epoch int64)
	}

	// Follower applies records that the leader has appended.
	Follower interface {
		// Offer returns the offset of the first record that this VM lacks, or a
		// negative number while it cannot apply any. It also returns whether the VM
		// can read missing records from the stream.
		Offer(entries []site.Entry) (next int64, reads bool)
	}

	// Records caches the newest records.
	Records interface {
		// Recent returns records that start at the offset next, of about maxBytes.
		// It reports false if the record at next is no longer cached.
		Recent(next int64, maxBytes int) ([]site.Entry, bool)
	}

	// Relay forwards records within the data centre.
	Relay interface {
		// Relay forwards the records from the offset first on.
		Relay(first int64)
	}

	// Counts records counters.
	Counts interface {
		Count(name string, n int64)
	}

	// Server serves the calls of other entry VMs over net/rpc.
	Server struct {
		ctx         context.Context
		incarnation string

		advisor  AdvisorWithAnswers
		handler  RequestHandler
		leader   Leader
		follower Follower
		relay    Relay
		logger   log.Logger
		encoder  catalogEncoder
	}

	// Peers calls the other entry VMs.
	Peers struct {
		name       string
		dataCentre string
		view       *job.View
		records    Records
		advisor    AdvisorWithAnswers

		self   string
		leader Leader

		logger log.Logger
		counts Counts

		mu    sync.Mutex
		conns map[connKey]*conn
		// contacts holds the last contact with each incarnation of a VM.
		contacts map[string]contact
		// progress holds the replication progress of each peer by name.
		progress map[string]*peerProgress
		// unavailableUntil maps the incarnation of a leader that did not answer to the
		// time at which it is asked again.
		unavailableUntil map[string]time.Time
		// leaderChanged is closed and replaced when the records name another leader
		// than lastLeader.
		leaderChanged chan struct{}
		lastLeader    string

		// partialCatalog is what has arrived of another VM's catalog.
		partialCatalog partialCatalog
	}

	// connKey identifies a connection by peer and use. Uses have separate
	// connections, because a call without an answer closes its connection.
	connKey struct {
		name string
		use  connUse
	}

	connUse int

	// peerProgress is the replication progress of one peer.
	peerProgress struct {
		// sending is set while a goroutine sends offers to the peer.
		sending bool
		// failing is set while the peer does not answer, or lacks records that are
		// not cached here or that it reads from the stream.
		failing bool
		// isRelay is set if the peer is to forward the records in its data centre.
		isRelay bool
		// next is the offset of the next record that the peer needs. It is valid if
		// nextKnown is set.
		next      int64
		nextKnown bool
		// probing is set if the peer was left to read from the stream. The next offer
		// then carries one record, to learn what the peer still lacks.
		probing bool
		// pausedUntil is the end of the current pause in the offers, and backoff the
		// length of the last pause after a failed call.
		pausedUntil time.Time
		backoff     time.Duration
	}

	// receiver is a VM to which the leader offers records directly.
	receiver struct {
		member  job.Member
		isRelay bool
	}

	conn struct {
		incarnation string
		client      *peer.Client
	}

	// AdviceReply is the reply to an advice query.
	AdviceReply struct {
		Tickets []site.Ticket
	}

	// AcceptRequest asks the leader to make entries durable.
	AcceptRequest struct {
		Entries []site.Entry
	}

	// AcceptReply is the outcome of an AcceptRequest. Neither flag is set if the
	// outcome is unknown.
	AcceptReply struct {
		Done    bool
		Refused bool
		Detail  string
		// Admission is set if a job was refused because of the load.
		Admission *site.AdmissionError
	}

	// OfferRequest carries durable records.
	OfferRequest struct {
		Entries []site.Entry
		// Relay asks the receiver to forward them within its data centre.
		Relay bool
	}

	// OfferReply is the reply to an OfferRequest.
	OfferReply struct {
		// Next is the offset of the first record that the VM lacks. It is negative
		// while the VM cannot apply any.
		Next int64
		// Reads is set if the VM can read missing records from the stream.
		Reads bool
	}

	// YieldRequest reports that the leader of an epoch cannot append.
	YieldRequest struct {
		Epoch int64
	}

	// YieldReply is empty.
	YieldReply struct{}
)

const serveTimeout = 2 * time.Second

const (
	forAdvice connUse = iota
	forAnswers
	forRequests
	forAccepts
	forOffers
	forWatches
	forEnds
	forCatalogs
)

// NewPeers returns the peers of an entry VM, as listed in the records. Leader makes
// entries durable while the VM itself is the leader.
func NewPeers(self *job.Member, view *job.View, records Records, advisor AdvisorWithAnswers, leader Leader, logger log.Logger, counts Counts) *Peers {
	return &Peers{
		name: self.Name, dataCentre: self.DataCentre, self: self.Incarnation, view: view, records: records, advisor: advisor, leader: leader, logger: logger, counts: counts,
		conns: map[connKey]*conn{}, contacts: map[string]contact{}, progress: map[string]*peerProgress{}, unavailableUntil: map[string]time.Time{}, leaderChanged: make(chan struct{}),
	}
}

// client returns a client for a member, with a connection of its own for each use.
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

// memberByIncarnation returns the member with the given incarnation, or nil.
func (p *Peers) memberByIncarnation(incarnation string) *job.Member {
	for _, m := range p.view.Members() {
		if m.Incarnation == incarnation {
			return &m
		}
	}
	return nil
}

// Advise queries the advisor through the VM named through.
func (p *Peers) Advise(ctx context.Context, through string, q *scheduler.AdviceQuery) ([]site.Ticket, error) {
	if through == p.name {
		return p.advisor.Advise(ctx, q.Job, q.Step, q.Workers)
	}
	m, isMember := p.view.Members()[through]
	if !isMember {
		return nil, peer.NotSent.New("%s is no longer a member", through)
	}
	var reply AdviceReply
	if err := p.client(&m, forAdvice).Call(ctx, "Advise", q, &reply); err != nil {
		return nil, err
	}
	return reply.Tickets, nil
}
