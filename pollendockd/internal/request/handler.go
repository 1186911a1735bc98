// Package request handles callers' requests for multi-step jobs. It makes submissions and
// cancellations durable, and answers status requests from the local copy of the
// records.
package request

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
	// Follower keeps the local copy of the records up to date.
	Follower interface {
		Sync(ctx context.Context) error
		Loaded() bool
		Fresh(within time.Duration) bool
		// Available reports whether the stream answers this VM.
		Available() bool
		// ReadLatency returns the latency of the last read that the stream answered.
		ReadLatency() time.Duration
	}

	// Leader is the leading entry VM, which makes entries durable together with its
	// own.
	Leader interface {
		Accept(ctx context.Context, entries []site.Entry) error
	}

	// Peers forwards requests to another entry VM. An error of class
	// site.ErrRefused means that no VM accepted the request.
	Peers interface {
		// The methods return the catalog version that the other VM used, which is
		// at least minVersion.
		Submit(ctx context.Context, addr site.Address, draft *job.Submission, minVersion int64) (int64, error)
		Status(ctx context.Context, addr site.Address, minVersion int64) (*site.Status, int64, error)
		Cancel(ctx context.Context, addr site.Address, minVersion int64) (int64, error)
	}

	// Deps holds the dependencies of a Handler.
	Deps struct {
		Stream   Stream
		Follower Follower
		View     *job.View
		Catalog  *CatalogWatcher
		Sharer   *CatalogSharer
		Peers    Peers
		Leader   Leader
		Logger   log.Logger
		Counts   Counts
	}

	// Counts records counters and durations.
	Counts interface {
		Count(name string, n int64)
		Time(name string, d time.Duration)
	}

	// Handler serves callers' requests.
	Handler struct {
		deps          Deps
		batchAppender *batchAppender
		stopping      atomic.Bool
		// seenVersion is the highest catalog version by which another VM served a
		// request that was forwarded from here.
		seenVersion atomic.Int64
	}
)

const (
	idLength = 16 // hexadecimal digits
	// maxRecordsAge is the age of the records up to which a VM serves requests itself.
	maxRecordsAge = 1300 * time.Millisecond
	// maxDirectAppendAge is the maximum age of the records for this VM to append to
	// the stream itself.
	maxDirectAppendAge = 700 * time.Millisecond
	// slowReadLatency is the read latency above which only the leader appends. A slow
	// stream takes one append at a time, so the appends of all VMs would leave no
	// capacity to the leader.
	slowReadLatency = 100 * time.Millisecond
	syncTimeout     = 700 * time.Millisecond
	// probeTimeout limits the read before a VM appends to the stream itself.
	probeTimeout = 2 * slowReadLatency
	// requestTimeout bounds the handling of a request by this VM.
	requestTimeout = 2500 * time.Millisecond

	// retryAfterUnavailable is the retry delay while the stream or the catalog is
	// unavailable, retryAfterChange the one while a leader is elected or this VM loads
	// its records, which takes less than a second.
	retryAfterUnavailable = 2 * time.Second
	retryAfterChange      = time.Second
)

// New returns a Handler.
func New(deps Deps) *Handler {
	return &Handler{deps: deps, batchAppender: newBatchAppender(deps.Stream)}
}

// Run appends the records of accepted requests until ctx ends.
func (h *Handler) Run(ctx context.Context) error {
	return h.batchAppender.run(ctx)
}

// Stop makes Ready report false, so that the balancer sends no more callers here.
func (h *Handler) Stop() {
	h.stopping.Store(true)
}

// Stopping reports whether Stop was called.
func (h *Handler) Stopping() bool {
	return h.stopping.Load()
}

// Version returns the version of the current catalog, or 0 if there is none.
func (h *Handler) Version() int64 {
	if c := h.deps.Catalog.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Catalog returns the current catalog, or nil, and the time since it was last known to be
// the newest.
func (h *Handler) Catalog() (*site.Catalog, time.Duration) {
	return h.deps.Catalog.CurrentAndAge()
}

// Ready reports whether the balancer may send callers here.
func (h *Handler) Ready() bool {
	return !h.stopping.Load() && h.deps.Follower.Loaded() && h.deps.Catalog.Current() != nil
}

// upToDate reports whether the records and the catalog of this VM are recent enough to
// serve requests.
func (h *Handler) upToDate() bool {
	return h.deps.Follower.Fresh(maxRecordsAge) && h.deps.Sharer.Current() &&
		h.deps.Catalog.Current().Version >= h.seenVersion.Load()
}

// observeVersion records the catalog version by which another VM served a forwarded
// request. From then on, this VM serves no request by an older version.
func (h *Handler) observeVersion(version int64) {
	for {
		old := h.seenVersion.Load()
		if version <= old || h.seenVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// RetryAfter returns the delay after which a refused caller should retry, or 0.
func (h *Handler) RetryAfter(err error) time.Duration {
	if after := code.RetryAfterOf(err); after > 0 {
		return after
	}
	if number, _ := code.Of(err); number != code.LogDown && number != code.NotReady {
		return 0
	}
	if h.outage() {
		return retryAfterUnavailable
	}
	return retryAfterChange
}

// outage reports whether the stream does not answer this VM or is slow, or the catalog is
// too old to serve by. While the VM loads its records, only the stream counts.
func (h *Handler) outage() bool {
	f := h.deps.Follower
	if !f.Loaded() {
		return !f.Available()
	}
	return !h.streamAnswers() || h.streamSlow() || !h.deps.Sharer.Current()
}

// Submit accepts a job. Submitting an accepted job again succeeds.
func (h *Handler) Submit(ctx context.Context, addr site.Address, draft *job.Submission) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var err error
	if h.upToDate() {
		err = h.SubmitLocal(ctx, addr, draft)
	} else {
		version, forwardErr := h.deps.Peers.Submit(ctx, addr, draft, h.minVersion())
		err = h.forwardErr(version, forwardErr, code.AcceptUnknown)
	}
	h.recordOutcome("submit", addr, err, began)
	return err
}

// SubmitLocal accepts a job without forwarding the request.
func (h *Handler) SubmitLocal(ctx context.Context, addr site.Address, draft *job.Submission) error {
	version := h.Version()
	q, team, id, err := h.resolve(addr)
	if err != nil {
		return err
	}
	if !validID(id) {
		return code.New(code.BadRequest, "job id %q is not %d hexadecimal digits", id, idLength)
	}
	if known := h.deps.View.Job(id); known != nil {
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
	entries, err := h.submissionEntries(&sub, q, version)
	if err != nil {
		return err
	}
	return h.makeDurable(ctx, entries...)
}

// submissionEntries returns the entries that store a job and, if the records lack them, the
// settings of its queue, which is from a catalog of that version.
func (h *Handler) submissionEntries(sub *job.Submission, q *site.Queue, version int64) ([]site.Entry, error) {
	e, err := job.SubmissionEntry(sub)
	if err != nil {
		return nil, code.New(code.Internal, "%v", err)
	}
	if e.Size() > job.MaxRecordBytes {
		return nil, code.New(code.TooLarge, "the job takes %d bytes of a record, at most %d are taken", e.Size(), job.MaxRecordBytes)
	}
	settings := job.NewQueueSettings(q, version)
	if !h.deps.View.LacksQueue(q.Name, settings) {
		return []site.Entry{e}, nil
	}
	queue, err := job.QueueEntry(q.Name, settings)
	if err != nil {
		return nil, code.New(code.Internal, "%v", err)
	}
	return []site.Entry{queue, e}, nil
}

// makeDurable makes entries durable; its errors carry the result code. If the leader
// does not accept them, this VM appends them itself, which is safe because entries of
// requests may be appended twice.
func (h *Handler) makeDurable(ctx context.Context, entries ...site.Entry) error {
	leaderErr := h.deps.Leader.Accept(ctx, entries)
	if leaderErr == nil {
		return nil
	}
	if refusal := site.AdmissionErrorOf(leaderErr); refusal != nil {
		return admissionError(refusal)
	}
	if h.streamSlow() {
		return code.New(codeOfAppendError(leaderErr), "the stream is slow; by the leader: %v", leaderErr)
	}
	if site.ErrRefused.Has(leaderErr) {
		// An append that got no answer would leave the outcome unknown to the caller.
		if err := h.probeStream(ctx); err != nil {
			return code.New(code.LogDown, "%v; by the leader: %v", err, leaderErr)
		}
	}
	err := h.batchAppender.makeDurable(ctx, entries)
	switch {
	case err == nil:
		return nil
	case site.ErrRefused.Has(err) && site.ErrRefused.Has(leaderErr):
		return code.New(code.LogDown, "%v; by the leader: %v", err, leaderErr)
	}
	return code.New(code.AcceptUnknown, "%v; by the leader: %v", err, leaderErr)
}

// probeStream returns an error unless the stream answers a read now.
func (h *Handler) probeStream(ctx context.Context) error {
	if !h.streamAnswers() {
		return site.ErrRefused.New("the stream does not answer this VM")
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return h.deps.Follower.Sync(ctx)
}

// streamAnswers reports whether the stream answers this VM, as far as is known.
func (h *Handler) streamAnswers() bool {
	return h.deps.Follower.Available() && h.deps.Follower.Fresh(maxDirectAppendAge)
}

// streamSlow reports whether the stream is so slow that only the leader appends.
func (h *Handler) streamSlow() bool {
	return h.deps.Follower.ReadLatency() > slowReadLatency
}

// admissionError returns the error with its result code for a job that the leader has
// not admitted.
func admissionError(refusal *site.AdmissionError) error {
	if refusal.Never {
		return code.New(code.NeverFits, "%s", refusal.Detail)
	}
	return code.Refuse(code.Overloaded, refusal.RetryAfter, "%s", refusal.Detail)
}

// codeOfAppendError returns the result code of an append that was refused or got no
// answer.
func codeOfAppendError(err error) code.Code {
	if site.ErrRefused.Has(err) {
		return code.LogDown
	}
	return code.AcceptUnknown
}

// minVersion returns the lowest catalog version by which requests of this VM's callers
// may be served.
func (h *Handler) minVersion() int64 {
	return max(h.Version(), h.seenVersion.Load())
}

// forwardErr returns the error of a forwarded request with its result code. The code
// unknown is used if the outcome is not known.
func (h *Handler) forwardErr(version int64, err error, unknown code.Code) error {
	h.observeVersion(version)
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

// Status returns the status of a job or of a queue.
func (h *Handler) Status(ctx context.Context, addr site.Address) (*site.Status, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var s *site.Status
	var err error
	if h.upToDate() {
		s, err = h.StatusLocal(ctx, addr)
	} else {
		var version int64
		s, version, err = h.deps.Peers.Status(ctx, addr, h.minVersion())
		err = h.forwardErr(version, err, code.NotReady)
	}
	if err != nil {
		// Successful status requests are frequent and change nothing, so they are
		// neither logged nor counted.
		h.recordOutcome("status", addr, err, began)
	}
	return s, err
}

// StatusLocal is Status without forwarding the request.
func (h *Handler) StatusLocal(ctx context.Context, addr site.Address) (*site.Status, error) {
	q, team, id, err := h.resolve(addr)
	if err != nil {
		return nil, err
	}
	if id == "" {
		return &site.Status{OfQueue: true, Waiting: h.deps.View.Waiting(q.Name)}, nil
	}
	j, err := h.findJob(ctx, id, team)
	if err != nil {
		return nil, err
	}
	return &site.Status{Phase: int(j.Phase())}, nil
}

// Cancel cancels a job.
func (h *Handler) Cancel(ctx context.Context, addr site.Address) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var err error
	if h.upToDate() {
		err = h.CancelLocal(ctx, addr)
	} else {
		version, forwardErr := h.deps.Peers.Cancel(ctx, addr, h.minVersion())
		err = h.forwardErr(version, forwardErr, code.AcceptUnknown)
	}
	h.recordOutcome("cancel", addr, err, began)
	return err
}

// CancelLocal is Cancel without forwarding the request.
func (h *Handler) CancelLocal(ctx context.Context, addr site.Address) error {
	_, team, id, err := h.resolve(addr)
	if err != nil {
		return err
	}
	j, err := h.findJob(ctx, id, team)
	if err != nil {
		return err
	}
	if j.Phase().Final() {
		return nil
	}
	return h.makeDurable(ctx, job.CancelEntry(id))
}

// resolve returns the queue, the team and the job ID of an address. The ID is empty if
// the address is that of the queue.
func (h *Handler) resolve(addr site.Address) (*site.Queue, string, string, error) {
	c := h.deps.Catalog.Current()
	if c == nil || !h.upToDate() {
		return nil, "", "", code.New(code.NotReady, "this VM has no current records or configuration")
	}
	q, id := c.QueueFor(addr.Host, addr.Path)
	team := c.TeamOfKey(addr.Key)
	if h.deps.Sharer.Outdated() && (q == nil || team == nil && !q.Public) {
		// A version that this VM cannot read may have added the queue or the key.
		return nil, "", "", code.New(code.NotReady, "not known in version %d, and no newer one can be read", c.Version)
	}
	if q == nil {
		return nil, "", "", code.New(code.NotFound, "no queue at %s%s in version %d", addr.Host, addr.Path, c.Version)
	}
	if team == nil {
		if !q.Public {
			return nil, "", "", code.New(code.Unauthenticated, "the key is not granted in version %d", c.Version)
		}
		return q, "", id, nil
	}
	return q, team.Name, id, nil
}

// findJob returns a job of the team. If the job is not known, it first reads the stream
// to its end, so that NoSuchJob is never answered for an accepted job.
func (h *Handler) findJob(ctx context.Context, id, team string) (*job.Job, error) {
	j := h.deps.View.Job(id)
	if j == nil {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		if err := h.deps.Follower.Sync(ctx); err != nil {
			return nil, code.New(code.LogDown, "%v", err)
		}
		j = h.deps.View.Job(id)
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

// recordOutcome logs and counts the outcome of a request.
func (h *Handler) recordOutcome(verb string, addr site.Address, err error, began time.Time) {
	number, detail := code.Of(err)
	h.deps.Counts.Count(verb+"_"+number.String(), 1)
	h.deps.Counts.Time(verb, time.Since(began))
	_ = level.Info(h.deps.Logger).Log("msg", verb, "path", addr.Path, "code", int(number), "outcome", number, "detail", detail,
		"version", h.Version(), "catalogAgeMs", h.deps.Catalog.Age().Milliseconds(), "tookMs", time.Since(began).Milliseconds())
}
