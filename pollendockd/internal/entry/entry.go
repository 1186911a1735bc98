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
	"pollendock.example/pollendockd/internal/recordlog"
)

type (
	// Entry is a scheduler instance on an entry VM.
	Entry struct {
		opt  Options
		deps Deps

		inbox      chan message
		done       chan struct{}
		appender   *recordlog.Appender
		follower   *recordlog.Follower
		background sync.WaitGroup
		c          *control

		// sharedState is read by request goroutines without a message to the
		// control goroutine.
		sharedState atomic.Pointer[sharedState]
	}

	// sharedState is an immutable copy of a part of the control state.
	sharedState struct {
		number    int64
		document  *config.Document
		ready     bool
		serving   bool
		bootstrap bool
		caughtUp  bool
	}

	// message is an event or a request for the control goroutine.
	message interface {
		handle(c *control)
	}
)

// New returns an Entry. It does nothing until Run is called.
func New(opt Options, deps Deps) *Entry {
	e := &Entry{
		opt:   opt,
		deps:  deps,
		inbox: make(chan message, inboxSize),
		done:  make(chan struct{}),
	}
	e.appender = recordlog.NewAppender(deps.Log, opt.AppendGap, func(seqs []int64) {
		e.post(recordsDropped{seqs})
	})
	e.follower = recordlog.NewFollower(deps.Log, &followerSink{e})
	e.sharedState.Store(&sharedState{document: config.Empty()})
	e.c = newControl(e)
	return e
}

// Run serves until ctx is done, then aborts pending work. Call Stop first for a
// graceful shutdown.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.background.Wait()
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

// control is the main loop of the goroutine that owns the control state.
func (e *Entry) control(ctx context.Context) error {
	defer close(e.done)
	ticker := time.NewTicker(tickInterval)
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

// post sends m to the control goroutine, unless that has exited.
func (e *Entry) post(m message) {
	select {
	case e.inbox <- m:
	case <-e.done:
	}
}

// spawn runs fn in a goroutine that Run waits for.
func (e *Entry) spawn(fn func()) {
	e.background.Go(fn)
}

// pollVMs reads the VM list at a fixed interval.
func (e *Entry) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(vmListInterval)
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

// newIncarnation returns a unique name for one membership of the entry VM.
func newIncarnation(entryID string) string {
	return entryID + "~" + uuid.NewString()[:8]
}

// newRecord returns an empty record of this incarnation. Records are only valid
// once the incarnation's join is in the log, so callers of all other records
// check joined first.
func (c *control) newRecord() *ledger.Record {
	c.seq++
	return &ledger.Record{ID: c.incarnation + "." + uuid.NewString()[:8], By: c.incarnation, Seq: c.seq, At: time.Now()}
}
