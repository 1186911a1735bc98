// Package desk takes callers' requests on jobs of several steps: it makes them
// durable, and answers from the book.
package desk

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/code"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

type (
	// Follower keeps the book.
	Follower interface {
		Sync(ctx context.Context) error
		Loaded() bool
		Fresh(within time.Duration) bool
		// CallTime returns how long the stream takes to answer a read.
		CallTime() time.Duration
	}

	// Leader makes entries durable together with its own.
	Leader interface {
		Accept(ctx context.Context, entries []site.Entry) error
	}

	// Peers passes requests on to another entry VM. An error of class
	// site.ErrRefused means that none took the request.
	Peers interface {
		// They return the catalog version that the VM went by; it is at
		// least the given one.
		Submit(ctx context.Context, at site.Address, draft *job.Submission, least int64) (int64, error)
		Status(ctx context.Context, at site.Address, least int64) (*site.Status, int64, error)
		Cancel(ctx context.Context, at site.Address, least int64) (int64, error)
	}

	// Deps are what the desk works with.
	Deps struct {
		Stream   Stream
		Follower Follower
		View     *job.View
		Catalog  *CatalogWatch
		Peers    Peers
		Leader   Leader
		Logger   log.Logger
		Counts   Counts
	}

	// Counts takes counters and times.
	Counts interface {
		Count(name string, n int64)
		Time(name string, d time.Duration)
	}

	// Desk serves callers.
	Desk struct {
		deps     Deps
		acceptor *acceptor
		stopping atomic.Bool
		// shown is the highest catalog version that a caller has seen at work
		// here, by way of other VMs.
		shown atomic.Int64
	}
)

const (
	idLength = 16 // hexadecimal digits
	// currentLimit is how old the last reading of records and catalog may be
	// for this VM to answer by itself.
	currentLimit = 1300 * time.Millisecond
	catalogLimit = 1700 * time.Millisecond
	// directLimit is the same for an append of this VM's own.
	directLimit = 700 * time.Millisecond
	// slowCall is a call of a slow stream, which takes one append at a time: those
	// of all VMs would leave none to the leader.
	slowCall    = 100 * time.Millisecond
	syncTimeout = 700 * time.Millisecond
	// requestLimit bounds a request within this VM.
	requestLimit = 2500 * time.Millisecond

	retryWhenAway = 2 * time.Second
)

// New returns a desk.
func New(deps Deps) *Desk {
	return &Desk{deps: deps, acceptor: newAcceptor(deps.Stream)}
}

// Run makes requests durable until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	return d.acceptor.run(ctx)
}

// Stop has the balancer send no more callers here.
func (d *Desk) Stop() {
	d.stopping.Store(true)
}

// Stopping reports whether Stop was called.
func (d *Desk) Stopping() bool {
	return d.stopping.Load()
}

// Version returns that of the catalog in force here, or 0.
func (d *Desk) Version() int64 {
	if c := d.deps.Catalog.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Ready reports whether the balancer may send callers here.
func (d *Desk) Ready() bool {
	return !d.stopping.Load() && d.deps.Follower.Loaded() && d.deps.Catalog.Current() != nil
}

// current reports whether what this VM knows is new enough to decide on.
func (d *Desk) current() bool {
	return d.deps.Follower.Fresh(currentLimit) && d.deps.Catalog.Fresh(catalogLimit) &&
		d.deps.Catalog.Current().Version >= d.shown.Load()
}

// show notes the catalog version under which another VM served a request of
// this one. This VM decides on nothing by an older version from then on.
func (d *Desk) show(version int64) {
	for {
		old := d.shown.Load()
		if version <= old || d.shown.CompareAndSwap(old, version) {
			return
		}
	}
}

// RetryAfter returns when a caller that was refused should come back, or 0.
func (d *Desk) RetryAfter(err error) time.Duration {
	if number, _ := code.Of(err); number == code.LogDown || number == code.NotReady {
		return retryWhenAway
	}
	return 0
}

// Submit takes a job. A repeat of an accepted job is accepted.
func (d *Desk) Submit(ctx context.Context, at site.Address, draft *job.Submission) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	var err error
	if d.current() {
		err = d.SubmitHere(ctx, at, draft)
	} else {
		version, passed := d.deps.Peers.Submit(ctx, at, draft, d.least())
		err = d.passed(version, passed, code.AcceptUnknown)
	}
	d.note("submit", at, err, began)
	return err
}

// SubmitHere takes a job without passing it on.
func (d *Desk) SubmitHere(ctx context.Context, at site.Address, draft *job.Submission) error {
	q, team, id, err := d.locate(at)
	if err != nil {
		return err
	}
	if !validID(id) {
		return code.New(code.BadRequest, "job id %q is not %d hexadecimal digits", id, idLength)
	}
	if known := d.deps.View.Job(id); known != nil {
		if known.Submission.Team != team {
			return code.New(code.KeyReused, "job %s belongs to another team", id)
		}
		return nil
	}
	sub := *draft
	sub.ID = id
	sub.Team = team
	sub.Queue = q.Name
	sub.Service = q.Service
	sub.Priority = q.Priority
	sub.MaxAttempts = q.MaxAttempts
	sub.AcceptedAt = time.Now()
	if err := sub.Validate(); err != nil {
		return err
	}
	e, err := job.SubmissionEntry(&sub)
	if err != nil {
		return code.New(code.Internal, "%v", err)
	}
	return d.accept(ctx, e)
}

// accept makes an entry durable and names the outcome. Without the leader this
// VM appends it itself: entries of requests may be appended twice.
func (d *Desk) accept(ctx context.Context, e site.Entry) error {
	entries := []site.Entry{e}
	byLeader := d.deps.Leader.Accept(ctx, entries)
	if byLeader == nil {
		return nil
	}
	if d.deps.Follower.CallTime() > slowCall {
		return code.New(outcomeOf(byLeader), "the stream is slow; by the leader: %v", byLeader)
	}
	if site.ErrRefused.Has(byLeader) && !d.deps.Follower.Fresh(directLimit) {
		// An append would likely get no answer, and then nobody could tell the
		// caller whether the job runs.
		return code.New(code.LogDown, "%v", byLeader)
	}
	err := d.acceptor.accept(ctx, entries)
	switch {
	case err == nil:
		return nil
	case site.ErrRefused.Has(err) && site.ErrRefused.Has(byLeader):
		return code.New(code.LogDown, "%v; by the leader: %v", err, byLeader)
	}
	return code.New(code.AcceptUnknown, "%v; by the leader: %v", err, byLeader)
}

// outcomeOf names the outcome of an append that was refused or got no answer.
func outcomeOf(err error) code.Code {
	if site.ErrRefused.Has(err) {
		return code.LogDown
	}
	return code.AcceptUnknown
}

// least is the oldest catalog version by which callers of this VM may be
// served.
func (d *Desk) least() int64 {
	return max(d.Version(), d.shown.Load())
}

// passed names the outcome of a request that another VM was to take.
func (d *Desk) passed(version int64, err error, unknown code.Code) error {
	d.show(version)
	if err == nil {
		return nil
	}
	if site.ErrRefused.Has(err) {
		return code.New(code.NotReady, "the records are away, and no other VM took the request: %v", err)
	}
	if site.ErrUnknown.Has(err) {
		return code.New(unknown, "%v", err)
	}
	return err
}

// Status returns the state of a job, or of a queue.
func (d *Desk) Status(ctx context.Context, at site.Address) (*site.Status, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	var s *site.Status
	var err error
	if d.current() {
		s, err = d.StatusHere(ctx, at)
	} else {
		var version int64
		s, version, err = d.deps.Peers.Status(ctx, at, d.least())
		err = d.passed(version, err, code.NotReady)
	}
	if err != nil {
		// States that are found are many, and decide nothing.
		d.note("status", at, err, began)
	}
	return s, err
}

// StatusHere answers without passing the request on.
func (d *Desk) StatusHere(ctx context.Context, at site.Address) (*site.Status, error) {
	q, team, id, err := d.locate(at)
	if err != nil {
		return nil, err
	}
	if id == "" {
		return &site.Status{OfQueue: true, Waiting: d.deps.View.Waiting(q.Name)}, nil
	}
	j, err := d.find(ctx, id, team)
	if err != nil {
		return nil, err
	}
	return &site.Status{Phase: int(j.Phase())}, nil
}

// Cancel ends a job.
func (d *Desk) Cancel(ctx context.Context, at site.Address) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	var err error
	if d.current() {
		err = d.CancelHere(ctx, at)
	} else {
		version, passed := d.deps.Peers.Cancel(ctx, at, d.least())
		err = d.passed(version, passed, code.AcceptUnknown)
	}
	d.note("cancel", at, err, began)
	return err
}

// CancelHere ends a job without passing the request on.
func (d *Desk) CancelHere(ctx context.Context, at site.Address) error {
	_, team, id, err := d.locate(at)
	if err != nil {
		return err
	}
	j, err := d.find(ctx, id, team)
	if err != nil {
		return err
	}
	if j.Phase().Final() {
		return nil
	}
	return d.accept(ctx, job.CancelEntry(id))
}

// locate returns the queue, the team and the job's id, empty for the queue
// itself.
func (d *Desk) locate(at site.Address) (*site.Queue, string, string, error) {
	c := d.deps.Catalog.Current()
	if c == nil || !d.current() {
		return nil, "", "", code.New(code.NotReady, "this VM has no current records or configuration")
	}
	q, id := c.QueueFor(at.Host, at.Path)
	if q == nil {
		return nil, "", "", code.New(code.NotFound, "no queue at %s%s in version %d", at.Host, at.Path, c.Version)
	}
	team := c.TeamOfKey(at.Key)
	if team == nil {
		if !q.Public {
			return nil, "", "", code.New(code.Unauthenticated, "the key is not granted in version %d", c.Version)
		}
		return q, "", id, nil
	}
	return q, team.Name, id, nil
}

// find returns a job of the team. One that the book lacks is looked for up to
// the end of the records, so that an answer that there is none is true.
func (d *Desk) find(ctx context.Context, id, team string) (*job.Job, error) {
	j := d.deps.View.Job(id)
	if j == nil {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		if err := d.deps.Follower.Sync(ctx); err != nil {
			return nil, code.New(code.LogDown, "%v", err)
		}
		j = d.deps.View.Job(id)
	}
	if j == nil || j.Submission.Team != team {
		return nil, code.New(code.NoSuchJob, "no job %q", id)
	}
	return j, nil
}

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// note logs and counts what became of a request.
func (d *Desk) note(verb string, at site.Address, err error, began time.Time) {
	number, detail := code.Of(err)
	d.deps.Counts.Count(verb+"_"+number.String(), 1)
	d.deps.Counts.Time(verb, time.Since(began))
	_ = level.Info(d.deps.Logger).Log("msg", verb, "path", at.Path, "code", int(number), "outcome", number, "detail", detail,
		"version", d.Version(), "tookMs", time.Since(began).Milliseconds())
}
