// Package scheduler decides which worker runs each task of the jobs in the
// book, sees to it that it runs there, and records what became of it.
//
// One entry VM at a time is the leader and decides. Its appends carry the epoch
// of its term, so the stream refuses those of a leader that was replaced
// without knowing it, and workers refuse its orders once the successor has
// reached them. No order is sent before the record that it rests on is durable.
package scheduler

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

type (
	// Stream takes the leader's records.
	Stream interface {
		AppendAs(ctx context.Context, t site.Term, entries []site.Entry) (int64, error)
	}

	// Follower keeps the book.
	Follower interface {
		Sync(ctx context.Context) error
		Loaded() bool
		Fresh(within time.Duration) bool
		LeaderSilence() time.Duration
		// CallTime returns how long the stream takes to answer a read.
		CallTime() time.Duration
		SetEager(eager bool)
		// Offer takes records that this VM has appended, and returns up to which
		// offset it has all of them, and whether the stream answers it.
		Offer(entries []site.Entry) (next int64, reads bool)
	}

	// Peers passes records on to the other entry VMs.
	Peers interface {
		// Offer passes on the records from an offset on.
		Offer(first int64)
		// Yield tells them that the leader of a term cannot append.
		Yield(epoch int64)
	}

	// Upstreams follows the list of workers.
	Upstreams interface {
		// Next returns the whole list, or nil if nothing has changed, and the
		// ids of entries that do not describe a worker.
		Next(ctx context.Context) ([]site.Upstream, []string, error)
	}

	// Worker takes orders. An error that is not a site.OrderError leaves open
	// whether the order was or will be carried out.
	Worker interface {
		Start(ctx context.Context, o *site.StartRequest) (time.Duration, error)
		Stop(ctx context.Context, o *site.StopRequest) (time.Duration, error)
		Hold(ctx context.Context, o *site.HoldRequest) (*site.HoldReply, error)
	}

	// Advisor tells which workers may run a step, by way of an entry VM.
	Advisor interface {
		// Advise asks through the VM of that name.
		Advise(ctx context.Context, through string, q *AdviceQuery) ([]site.Ticket, error)
	}

	// AdviceQuery asks about one step.
	AdviceQuery struct {
		Job     string
		Step    int
		Workers []string
	}

	// Deps are what the scheduler works with.
	Deps struct {
		Stream    Stream
		Follower  Follower
		View      *job.View
		Peers     Peers
		Upstreams Upstreams
		// Dial returns the worker at an address.
		Dial func(id string, addr netip.AddrPort) Worker
		// Advisor is nil where there is none.
		Advisor Advisor
		// Catalog returns the newest catalog, or nil before the first.
		Catalog func() *site.Catalog
		Logger  log.Logger
		Counts  Counts
	}

	// Counts takes counters and times.
	Counts interface {
		Count(name string, n int64)
		Time(name string, d time.Duration)
	}

	// Options say who this VM is.
	Options struct {
		Name        string
		Incarnation string
		// CPUCores is the processor time of this VM, in cores.
		CPUCores float64
		Bounds   site.Bounds
	}

	// Scheduler runs on every entry VM and decides on the one that leads.
	Scheduler struct {
		opt    Options
		deps   Deps
		events chan event
		ctx    context.Context
		// ended is closed with Run.
		ended chan struct{}

		// lead is nil while another VM decides.
		lead        *leadership
		campaigning bool
		stoodAt     time.Time
		// over is the epoch of the last term that this VM has ended; it never
		// leads in it again.
		over int64
		// yielded is the newest term whose leader has asked others to stand.
		yielded int64
		// endedLeader is the last leader whose process is known to have ended.
		endedLeader string
		stopping    bool

		// learned is what past work has shown, by queue; it outlasts terms.
		learned map[string]*learned
		// paces is how workers compare, by worker.
		paces map[string]*pace

		// upstreams is the newest list of workers, current at listedAt.
		upstreams []site.Upstream
		listedAt  time.Time
		pollAt    time.Time
		// polls counts the readings of the list that are under way.
		polls int
		// listLost is set while readings of the list fail.
		listLost bool
	}

	// event is handled by the goroutine that owns the state.
	event interface {
		handle(s *Scheduler)
	}

	jobsChanged struct {
		ids []string
	}

	stopAsked struct {
		done chan struct{}
	}

	leaderYields struct {
		epoch int64
	}

	leaderEnded struct {
		incarnation string
	}

	// acceptAsked asks the leader to make entries durable with its own.
	acceptAsked struct {
		entries []site.Entry
		reply   chan error
	}
)

const (
	tickEvery   = 50 * time.Millisecond
	eventBuffer = 1024
	// eventsPerStep bounds the events that are handled before the next
	// decision.
	eventsPerStep = 256
)

// New returns a scheduler that does nothing until Run.
func New(opt Options, deps Deps) *Scheduler {
	return &Scheduler{opt: opt, deps: deps, events: make(chan event, eventBuffer), ended: make(chan struct{}), learned: map[string]*learned{}, paces: map[string]*pace{}}
}

// Run decides whenever this VM leads, until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	s.ctx = ctx
	defer close(s.ended)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.endLeadership("the process ends")
			return ctx.Err()
		case e := <-s.events:
			e.handle(s)
			s.drain()
		case <-ticker.C:
			s.tick(time.Now())
		}
		if s.lead != nil {
			s.lead.step(time.Now())
		}
	}
}

func (s *Scheduler) drain() {
	for range eventsPerStep {
		select {
		case e := <-s.events:
			e.handle(s)
		default:
			return
		}
	}
}

// post hands an event to the goroutine that owns the state.
func (s *Scheduler) post(e event) {
	select {
	case s.events <- e:
	case <-s.ended:
	}
}

// JobsChanged tells that the book has new records of jobs.
func (s *Scheduler) JobsChanged(ids []string) {
	s.post(jobsChanged{ids})
}

func (e jobsChanged) handle(s *Scheduler) {
	if s.lead == nil {
		return
	}
	for _, id := range e.ids {
		s.lead.readJob(id)
	}
}

// Accept makes entries durable, together with the leader's own. It refuses at
// once if this VM does not lead or its appends fail; an error of class
// site.ErrRefused means that the entries are not durable and never will be.
func (s *Scheduler) Accept(ctx context.Context, entries []site.Entry) error {
	m := acceptAsked{entries, make(chan error, 1)}
	s.post(m)
	select {
	case err := <-m.reply:
		return err
	case <-ctx.Done():
		return site.ErrUnknown.Wrap(ctx.Err())
	case <-s.ended:
		return site.ErrUnknown.New("the process ends")
	}
}

func (e acceptAsked) handle(s *Scheduler) {
	if s.lead == nil || s.lead.flush.last {
		e.reply <- site.ErrRefused.New("this VM does not lead")
		return
	}
	if s.lead.streamAway(time.Now()) {
		e.reply <- site.ErrRefused.New("the stream does not answer the leader")
		return
	}
	if wait := s.lead.flush.expectedWait(time.Now()); wait > acceptLimit {
		e.reply <- site.ErrRefused.New("the stream is so slow that an append takes %v", wait)
		return
	}
	s.lead.flush.accepts = append(s.lead.flush.accepts, e)
	s.lead.admit(e.entries)
}

// Yield tells that the leader of a term cannot append, and asks this VM to stand.
func (s *Scheduler) Yield(epoch int64) {
	s.post(leaderYields{epoch})
}

func (e leaderYields) handle(s *Scheduler) {
	s.yielded = max(s.yielded, e.epoch)
	if s.lead == nil {
		s.considerCampaign()
	}
}

// LeaderEnded tells that the process of a leader has ended.
func (s *Scheduler) LeaderEnded(incarnation string) {
	s.post(leaderEnded{incarnation})
}

func (e leaderEnded) handle(s *Scheduler) {
	s.endedLeader = e.incarnation
	if s.lead == nil {
		s.considerCampaign()
	}
}

// Stop hands the leadership over, if this VM has it.
func (s *Scheduler) Stop(ctx context.Context) {
	m := stopAsked{make(chan struct{})}
	s.post(m)
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

func (e stopAsked) handle(s *Scheduler) {
	s.stopping = true
	if s.lead == nil {
		close(e.done)
		return
	}
	s.lead.handOver(e.done)
}

func (s *Scheduler) tick(now time.Time) {
	if s.lead == nil {
		s.considerCampaign()
		return
	}
	s.lead.tick(now)
}
