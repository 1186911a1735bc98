// Package scheduler assigns the tasks of the jobs in a job.View to workers, supervises
// their execution and records the outcome.
//
// One entry VM at a time is the leader and makes all decisions. Its appends carry the
// epoch of its term, so the stream refuses those of a leader that was replaced without
// knowing it, and workers refuse its requests once its successor has contacted them. No
// request is sent before the record that it depends on is durable.
package scheduler

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/advice"
	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// Stream stores the leader's records.
	Stream interface {
		AppendAs(ctx context.Context, t site.Term, entries []site.Entry) (int64, error)
	}

	// Follower keeps the view up to date.
	Follower interface {
		Sync(ctx context.Context) error
		Loaded() bool
		Fresh(within time.Duration) bool
		// Available reports whether the stream answers this VM.
		Available() bool
		LeaderSilence() time.Duration
		// AvailableSince returns since when the stream has answered without an outage.
		AvailableSince() time.Time
		// ReadLatency returns how long the stream takes to answer a read.
		ReadLatency() time.Duration
		SetLeading(leading bool)
		// Offer adds records that this VM has appended. It returns the offset up to
		// which the VM has all records, and whether the stream answers its reads.
		Offer(entries []site.Entry) (next int64, reads bool)
	}

	// Peers forwards records to the other entry VMs.
	Peers interface {
		// Offer forwards the records from an offset on.
		Offer(first int64)
		// Yield notifies them that the leader of a term cannot append.
		Yield(epoch int64)
		// Ended reports whether the process of an incarnation is known to have ended: its VM
		// answers as another one, or no process listens there.
		Ended(ctx context.Context, incarnation string) bool
	}

	// Upstreams watches the list of workers.
	Upstreams interface {
		// Next returns the complete list, or nil if nothing has changed.
		Next(ctx context.Context) (*site.UpstreamList, error)
	}

	// Worker executes requests. After an error that is not a site.RefusalError it is
	// unknown whether the request was or will be executed.
	Worker interface {
		Start(ctx context.Context, req *site.StartRequest) (time.Duration, error)
		Stop(ctx context.Context, req *site.StopRequest) (time.Duration, error)
		Hold(ctx context.Context, req *site.HoldRequest) (*site.HoldReply, error)
	}

	// Advisor tells which workers may run a step. It is queried through an entry VM.
	Advisor interface {
		// Advise sends the query through the VM of that name.
		Advise(ctx context.Context, through string, q *AdviceQuery) ([]site.Ticket, error)
		// Answers returns what the VM of that name keeps of the answers to earlier queries.
		Answers(ctx context.Context, through string) ([]advice.StepAnswers, error)
	}

	// AdviceQuery asks about one step.
	AdviceQuery struct {
		Job     string
		Step    int
		Workers []string
	}

	// Deps are the dependencies of the scheduler.
	Deps struct {
		Stream    Stream
		Follower  Follower
		View      *job.View
		Peers     Peers
		Upstreams Upstreams
		// Dial returns a client for the worker at an address.
		Dial func(id string, addr netip.AddrPort) Worker
		// Advisor is nil if there is none.
		Advisor Advisor
		// Catalog returns the newest catalog, or nil before the first.
		Catalog func() *site.Catalog
		// CatalogFresh reports whether the operators' changes up to that time ago are
		// in the catalog.
		CatalogFresh func(within time.Duration) bool
		Logger       log.Logger
		Counts       Counts
	}

	// Counts records counters, gauges and durations.
	Counts interface {
		Count(name string, n int64)
		Gauge(name string, n int64)
		Time(name string, d time.Duration)
	}

	// Options identify this VM.
	Options struct {
		Name        string
		Incarnation string
		// CPUCores is the processor capacity of this VM, in cores.
		CPUCores float64
		Bounds   site.Bounds
		// RefuseOverload lets the leader refuse jobs that could not be done in a time
		// that is of use to their callers, or never.
		RefuseOverload bool
	}

	// Scheduler runs on every entry VM and is active on the one that leads.
	Scheduler struct {
		opt    Options
		deps   Deps
		events chan event
		ctx    context.Context
		// done is closed when Run returns.
		done chan struct{}

		// lead is nil while another VM leads.
		lead         *leadership
		campaigning  bool
		campaignedAt time.Time
		// campaignEpoch is the epoch of the last campaign, firstCampaignAt the time of the
		// first one for it: until then no later term had begun.
		campaignEpoch   int64
		firstCampaignAt time.Time
		// endedEpoch is the epoch of the last term that this VM has ended. It never
		// leads in that term again.
		endedEpoch int64
		// yieldedEpoch is the newest term whose leader has asked others to campaign, at
		// yieldedAt.
		yieldedEpoch int64
		yieldedAt    time.Time
		// endedLeader is the last leader whose process is known to have exited.
		endedLeader string
		// leaderEnds holds when it became known that the processes of leaders have ended, by
		// incarnation.
		leaderEnds map[string]time.Time
		stopping   bool

		// queueStats holds statistics of past work by queue. It is kept across terms.
		queueStats map[string]*queueStats
		// speeds compares the workers.
		speeds *speedTable
		// largestWorker holds the largest capacity that a worker of each service has
		// had, by component.
		largestWorker map[string]resource.Vector

		// upstreams is the newest list of workers, current as of listedAt.
		upstreams []site.Upstream
		listedAt  time.Time
		// listRevision is the revision of that list.
		listRevision int64
		polledAt     time.Time
		// listSince is since when reads of the list have been answered without a gap in which
		// a worker may have missed heartbeats, listBackAt without an outage.
		listSince, listBackAt time.Time
		// entriesRewritten is set once a worker has been seen to rewrite its entry with each
		// heartbeat.
		entriesRewritten bool
		// polls counts the reads of the list that are in progress.
		polls int
		// listFailing is set while reads of the list fail.
		listFailing bool
		invalid     invalidEntries
	}

	// event is handled by the goroutine that owns the scheduler's state.
	event interface {
		handle(s *Scheduler)
	}

	jobsChanged struct {
		ids []string
	}

	stopRequest struct {
		done chan struct{}
	}

	leaderYielded struct {
		epoch int64
	}

	leaderEnded struct {
		incarnation string
	}

	// acceptRequest asks the leader to make entries durable together with its own.
	acceptRequest struct {
		entries []site.Entry
		reply   chan error
	}
)

const (
	tickInterval    = 50 * time.Millisecond
	eventBufferSize = 1024
	// maxEventsPerStep limits the events that are handled before the next scheduling
	// step.
	maxEventsPerStep = 256
)

// New returns a scheduler that is inactive until Run.
func New(opt Options, deps Deps) *Scheduler {
	return &Scheduler{opt: opt, deps: deps, events: make(chan event, eventBufferSize), done: make(chan struct{}), queueStats: map[string]*queueStats{}, leaderEnds: map[string]time.Time{}, speeds: newSpeedTable(), largestWorker: map[string]resource.Vector{}}
}

// Run schedules whenever this VM leads, until ctx is done.
func (s *Scheduler) Run(ctx context.Context) error {
	s.ctx = ctx
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.endLeadership("the process is exiting")
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
	for range maxEventsPerStep {
		select {
		case e := <-s.events:
			e.handle(s)
		default:
			return
		}
	}
}

// post sends an event to the goroutine that owns the state.
func (s *Scheduler) post(e event) {
	select {
	case s.events <- e:
	case <-s.done:
	}
}

// JobsChanged notifies the scheduler that the view has new records of jobs.
func (s *Scheduler) JobsChanged(ids []string) {
	s.post(jobsChanged{ids})
}

func (e jobsChanged) handle(s *Scheduler) {
	if s.lead == nil {
		return
	}
	for _, id := range e.ids {
		s.lead.loadJob(id)
	}
}

// Accept makes entries durable, together with the leader's own. It returns an error at
// once if this VM does not lead, its appends fail, or a job is not admitted. An error of class site.ErrRefused
// means that the entries are not durable and never will be.
func (s *Scheduler) Accept(ctx context.Context, entries []site.Entry) error {
	m := acceptRequest{entries, make(chan error, 1)}
	s.post(m)
	select {
	case err := <-m.reply:
		return err
	case <-ctx.Done():
		return site.ErrUnknown.Wrap(ctx.Err())
	case <-s.done:
		return site.ErrUnknown.New("the process ends")
	}
}

func (e acceptRequest) handle(s *Scheduler) {
	if s.lead == nil || s.lead.flush.finalSent {
		e.reply <- site.ErrRefused.New("this VM does not lead")
		return
	}
	if s.lead.streamUnavailable(time.Now()) {
		e.reply <- site.ErrRefused.New("the stream does not answer the leader")
		return
	}
	if wait := s.lead.flush.expectedWait(time.Now()); wait > acceptLimit {
		e.reply <- site.ErrRefused.New("the stream is so slow that an append takes %v", wait)
		return
	}
	subs := s.lead.newSubmissions(e.entries)
	if err := s.lead.refuse(subs, time.Now()); err != nil {
		e.reply <- err
		return
	}
	s.lead.flush.accepts = append(s.lead.flush.accepts, e)
	s.lead.admitPending(subs)
}

// Yield notifies this VM that the leader of a term cannot append, and asks it to
// campaign.
func (s *Scheduler) Yield(epoch int64) {
	s.post(leaderYielded{epoch})
}

func (e leaderYielded) handle(s *Scheduler) {
	if e.epoch >= s.yieldedEpoch {
		s.yieldedEpoch = e.epoch
		s.yieldedAt = time.Now()
	}
	if s.lead == nil {
		s.maybeCampaign()
	}
}

// LeaderEnded notifies the scheduler that the process of a leader has exited.
func (s *Scheduler) LeaderEnded(incarnation string) {
	s.post(leaderEnded{incarnation})
}

func (e leaderEnded) handle(s *Scheduler) {
	s.endedLeader = e.incarnation
	s.noteLeaderEnd(e.incarnation, time.Now())
	if s.lead == nil {
		s.maybeCampaign()
		return
	}
	s.lead.noteOthersRenewals()
	s.lead.awaitEnds()
}

// Stop hands over the leadership if this VM has it.
func (s *Scheduler) Stop(ctx context.Context) {
	m := stopRequest{make(chan struct{})}
	s.post(m)
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

func (e stopRequest) handle(s *Scheduler) {
	s.stopping = true
	if s.lead == nil {
		close(e.done)
		return
	}
	s.lead.handOver(e.done)
}

func (s *Scheduler) tick(now time.Time) {
	if s.lead == nil {
		s.maybeCampaign()
		return
	}
	s.lead.tick(now)
}
