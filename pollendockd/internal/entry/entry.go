package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"

	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/pollendockd/internal/journal"
)

type (
	// Entry is one entry VM.
	Entry struct {
		opt  Options
		deps Deps

		inbox    chan message
		done     chan struct{}
		appender *journal.Appender
		follower *journal.Follower
		traffic  sync.WaitGroup
		c        *control

		// published is what request goroutines read without a message.
		published atomic.Pointer[published]
	}

	// published is a read-only view of the control state.
	published struct {
		number    int64
		document  *config.Document
		ready     bool
		serving   bool
		bootstrap bool
		caughtUp  bool
	}

	// message is a fact or a request for the control goroutine.
	message interface {
		handle(c *control)
	}
)

// New returns an entry VM that is idle until Run.
func New(opt Options, deps Deps) *Entry {
	e := &Entry{
		opt:   opt,
		deps:  deps,
		inbox: make(chan message, inboxSize),
		done:  make(chan struct{}),
	}
	e.appender = journal.NewAppender(deps.Log, opt.AppendGap, func(seqs []int64) {
		e.post(recordsDropped{seqs})
	})
	e.follower = journal.NewFollower(deps.Log, &sink{e})
	e.published.Store(&published{document: config.Empty()})
	e.c = newControl(e)
	return e
}

// Run works until ctx ends, then gives up at once. Stop first ends gracefully.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.traffic.Wait()
	defer cancel()
	e.c.ctx = ctx
	var g run.Group
	for _, step := range []func(context.Context) error{
		e.control, e.appender.Run, e.follower.Run, e.pollVMs,
	} {
		g.Add(func() error { return step(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// control is the goroutine that owns the control state.
func (e *Entry) control(ctx context.Context) error {
	defer close(e.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	e.c.start()
	for {
		select {
		case m := <-e.inbox:
			m.handle(e.c)
		case <-ticker.C:
			e.c.tick()
		case <-ctx.Done():
			e.c.abort()
			return ctx.Err()
		}
		if len(e.inbox) == 0 {
			e.c.placeAll()
		}
	}
}

// post hands m to the control goroutine, unless it has ended.
func (e *Entry) post(m message) {
	select {
	case e.inbox <- m:
	case <-e.done:
	}
}

// spawn runs fn as traffic.
func (e *Entry) spawn(fn func()) {
	e.traffic.Go(fn)
}

// pollVMs reads the list of VMs.
func (e *Entry) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		vms, err := e.deps.VMs.List(ctx)
		if err == nil {
			e.post(vmsListed{vms})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newIncarnation returns a name for a run of the process.
func newIncarnation(entryID string) string {
	return entryID + "~" + uuid.NewString()[:8]
}

// newRecord returns an empty record of this incarnation. A record without an
// incarnation in the log is not valid, so callers check joined first.
func (c *control) newRecord() *ledger.Record {
	c.seq++
	return &ledger.Record{ID: c.inc + "." + uuid.NewString()[:8], By: c.inc, Seq: c.seq, At: time.Now()}
}
