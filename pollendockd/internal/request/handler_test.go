package request

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/code"
	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/replica"
	"pollendock.example/pollendockd/internal/sleep"
	"pollendock.example/standin/fleet"
)

type (
	// fixture is a Handler with its dependencies, in one synctest bubble.
	fixture struct {
		ctx     context.Context
		store   *fleet.Store
		replica *job.View
		source  *source
		catalog *CatalogWatcher
		sharer  *CatalogSharer
		handler *Handler
		leader  *leader
		peers   *peers
		// catalogs are the catalogs of other VMs.
		catalogs *catalogPeers
	}

	// source is a CatalogSource that returns the catalog set by the test.
	source struct {
		mu     sync.Mutex
		next   *site.Catalog
		silent bool
	}

	// leader is a fake Leader that returns err, or else appends to the store.
	leader struct {
		store *fleet.Store
		err   error
		calls int
	}

	// peers is a fake Peers that returns the configured version and error.
	peers struct {
		err        error
		version    int64
		calls      int
		minVersion int64
	}

	noCounts struct{}
)

func (noCounts) Count(string, int64)        {}
func (noCounts) Time(string, time.Duration) {}
func (noCounts) Gauge(string, int64)        {}

func (s *source) Next(ctx context.Context, wait time.Duration) (*site.Catalog, error) {
	s.mu.Lock()
	c, silent := s.next, s.silent
	s.next = nil
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if c == nil {
		sleep.For(ctx, wait)
	}
	return c, nil
}

// set configures the next catalog and whether the source stops answering.
func (s *source) set(next *site.Catalog, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next, s.silent = next, silent
}

func (l *leader) Accept(ctx context.Context, entries []site.Entry) error {
	l.calls++
	if l.err != nil {
		return l.err
	}
	_, err := l.store.Append(ctx, entries)
	return err
}

func (p *peers) answer(minVersion int64) (int64, error) {
	p.calls++
	p.minVersion = minVersion
	return p.version, p.err
}

func (p *peers) Submit(_ context.Context, _ site.Address, _ *job.Submission, minVersion int64) (int64, error) {
	return p.answer(minVersion)
}

func (p *peers) Status(_ context.Context, _ site.Address, minVersion int64) (*site.Status, int64, error) {
	v, err := p.answer(minVersion)
	return &site.Status{}, v, err
}

func (p *peers) Cancel(_ context.Context, _ site.Address, minVersion int64) (int64, error) {
	return p.answer(minVersion)
}

func catalogOf(version int64, keys ...string) *site.Catalog {
	return (&site.Catalog{
		Version: version,
		Queues: []site.Queue{
			{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s"},
			{Name: "open", Host: "h", PathPrefix: "/open/", Service: "s", Public: true},
		},
		Teams: []site.Team{{Name: "a", Keys: keys}, {Name: "b", Keys: []string{"kb"}}},
	}).Index()
}

func withFixture(t *testing.T, fn func(s *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		logger := log.NewNopLogger()
		s := &fixture{ctx: ctx, store: fleet.NewStore(), replica: job.NewView(), source: &source{next: catalogOf(1, "ka")}, peers: &peers{}, catalogs: &catalogPeers{}}
		s.leader = &leader{store: s.store}
		follower := replica.NewFollower(s.store, s.replica, logger, func([]string) {})
		s.catalog = NewCatalogWatcher(s.source, logger, noCounts{})
		s.sharer = NewCatalogSharer(s.catalog, s.catalogs, bounds, noCounts{})
		s.handler = New(Deps{
			Stream: s.store, Follower: follower, View: s.replica, Catalog: s.catalog, Sharer: s.sharer, Peers: s.peers, Leader: s.leader,
			Logger: logger, Counts: noCounts{},
		})
		go func() { _ = follower.Run(ctx) }()
		go func() { _ = s.catalog.Run(ctx) }()
		go func() { _ = s.sharer.Run(ctx) }()
		go func() { _ = s.handler.Run(ctx) }()
		time.Sleep(time.Second)
		fn(s)
	})
}

const (
	goodID  = "00000000000000aa"
	otherID = "00000000000000bb"
)

func address(path, key string) site.Address {
	return site.Address{Host: "h", Path: path, Key: key}
}

func draft() *job.Submission {
	return &job.Submission{Spec: "x", Steps: []job.Step{{Count: 1}}}
}

func expectCode(t *testing.T, what string, err error, want code.Code) {
	t.Helper()
	if got, detail := code.Of(err); got != want {
		t.Errorf("%s: %v (%s), want %v", what, got, detail, want)
	}
}

func TestRequests(t *testing.T) {
	withFixture(t, func(s *fixture) {
		submit := func(path, key string) error { return s.handler.Submit(s.ctx, address(path, key), draft()) }
		expectCode(t, "unknown queue", submit("/nowhere/"+goodID, "ka"), code.NotFound)
		expectCode(t, "unknown key", submit("/q/"+goodID, "kx"), code.Unauthenticated)
		expectCode(t, "no key", submit("/q/"+goodID, ""), code.Unauthenticated)
		expectCode(t, "bad id", submit("/q/xyz", "ka"), code.BadRequest)
		expectCode(t, "no steps", s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), &job.Submission{}), code.BadRequest)
		expectCode(t, "good", submit("/q/"+goodID, "ka"), code.OK)
		expectCode(t, "public", submit("/open/"+otherID, ""), code.OK)
		time.Sleep(time.Second)
		expectCode(t, "again", submit("/q/"+goodID, "ka"), code.OK)
		expectCode(t, "of another team", submit("/q/"+goodID, "kb"), code.KeyReused)
		if n := len(s.store.Entries()); n != 2 {
			t.Errorf("%d records, want 2", n)
		}
		status, err := s.handler.Status(s.ctx, address("/q/"+goodID, "ka"))
		expectCode(t, "status", err, code.OK)
		if status.Phase != int(job.Queued) {
			t.Errorf("phase %d", status.Phase)
		}
		_, err = s.handler.Status(s.ctx, address("/q/"+goodID, "kb"))
		expectCode(t, "status for another team", err, code.NoSuchJob)
		waiting, err := s.handler.Status(s.ctx, address("/q/", "ka"))
		expectCode(t, "queue", err, code.OK)
		if !waiting.OfQueue || waiting.Waiting != 1 {
			t.Errorf("queue status %+v", waiting)
		}
		expectCode(t, "cancel", s.handler.Cancel(s.ctx, address("/q/"+goodID, "ka")), code.OK)
		time.Sleep(time.Second)
		status, err = s.handler.Status(s.ctx, address("/q/"+goodID, "ka"))
		expectCode(t, "status", err, code.OK)
		if status.Phase != int(job.Canceled) {
			t.Errorf("phase %d after the cancel", status.Phase)
		}
		expectCode(t, "cancel of none", s.handler.Cancel(s.ctx, address("/q/00000000000000cc", "ka")), code.NoSuchJob)
	})
}

// TestSettingsOfRemovedQueueAreKept: the records had no settings of a queue, so that its jobs lost their advice with its removal.
func TestSettingsOfRemovedQueueAreKept(t *testing.T) {
	withFixture(t, func(s *fixture) {
		publish := func(version int64, a *site.Advice) {
			c := catalogOf(version, "ka")
			c.Queues[0].Advice = a
			s.source.set(c, false)
			for s.handler.Version() != version {
				time.Sleep(100 * time.Millisecond)
			}
		}
		for i, step := range []struct {
			version int64
			advice  *site.Advice
			records int
		}{
			{2, &site.Advice{Base: time.Second}, 2},
			{3, &site.Advice{Base: time.Second}, 3},
			{4, &site.Advice{Base: 2 * time.Second}, 5},
			{5, nil, 7},
			{6, nil, 8},
		} {
			publish(step.version, step.advice)
			id := fmt.Sprintf("%016x", i+1)
			expectCode(t, "submit", s.handler.Submit(s.ctx, address("/q/"+id, "ka"), draft()), code.OK)
			time.Sleep(time.Second)
			if n := len(s.store.Entries()); n != step.records {
				t.Errorf("version %d: %d records, want %d", step.version, n, step.records)
			}
			q := s.replica.Queue("q")
			if q == nil || (q.Advice == nil) != (step.advice == nil) || q.Advice != nil && *q.Advice != *step.advice {
				t.Errorf("version %d: the records have %+v, want advice %+v", step.version, q, step.advice)
			}
		}
	})
}

// TestStatusRightAfterAccept: a job that another VM has just accepted is searched for
// in the stream before NoSuchJob is answered.
func TestStatusRightAfterAccept(t *testing.T) {
	withFixture(t, func(s *fixture) {
		e, err := job.SubmissionEntry(&job.Submission{ID: goodID, Team: "a", Queue: "q", Steps: []job.Step{{Count: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.store.Append(s.ctx, []site.Entry{e}); err != nil {
			t.Fatal(err)
		}
		_, err = s.handler.Status(s.ctx, address("/q/"+goodID, "ka"))
		expectCode(t, "status", err, code.OK)
	})
}

// TestOutcomes: a refusal promises that the job never runs, so it is answered only if
// the record cannot have become durable.
func TestOutcomes(t *testing.T) {
	refused, unknown := site.ErrRefused.New("x"), site.ErrUnknown.New("x")
	cases := []struct {
		name   string
		leader error
		store  func(*fleet.Store)
		want   code.Code
	}{
		{"by the leader", nil, func(*fleet.Store) {}, code.OK},
		{"without a leader", refused, func(*fleet.Store) {}, code.OK},
		{"leader silent", unknown, func(*fleet.Store) {}, code.OK},
		{"both refuse", refused, func(s *fleet.Store) { s.SetUnavailable(true) }, code.LogDown},
		{"leader silent, store refuses", unknown, func(s *fleet.Store) { s.SetUnavailable(true) }, code.AcceptUnknown},
		{"no leader, answer lost", refused, func(s *fleet.Store) { s.DropResponses(1) }, code.AcceptUnknown},
	}
	for _, c := range cases {
		withFixture(t, func(s *fixture) {
			s.leader.err = c.leader
			c.store(s.store)
			expectCode(t, c.name, s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft()), c.want)
		})
	}
}

// TestNoAppendDuringOutage: while neither the leader nor this VM reaches the stream, a caller
// is refused. This VM used to append, which got no answer, so that the outcome was
// unknown to the caller.
func TestNoAppendDuringOutage(t *testing.T) {
	withFixture(t, func(s *fixture) {
		s.leader.err = site.ErrRefused.New("x")
		s.store.SetSilent(true)
		began := time.Now()
		expectCode(t, "submit", s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft()), code.LogDown)
		if took := time.Since(began); took > 300*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	})
}

// TestNotAdmitted: a job that the leader refuses because of the load is not appended by
// this VM, and its caller is told when to come back.
func TestNotAdmitted(t *testing.T) {
	for _, c := range []struct {
		refusal *site.AdmissionError
		want    code.Code
	}{
		{&site.AdmissionError{Detail: "x", RetryAfter: 3 * time.Second}, code.Overloaded},
		{&site.AdmissionError{Detail: "x", Never: true}, code.NeverFits},
	} {
		withFixture(t, func(s *fixture) {
			s.leader.err = site.ErrRefused.Wrap(c.refusal)
			err := s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft())
			expectCode(t, "submit", err, c.want)
			if after := s.handler.RetryAfter(err); after != c.refusal.RetryAfter {
				t.Errorf("%v: retry after %v", c.want, after)
			}
			if n := len(s.store.Entries()); n != 0 {
				t.Errorf("%v: %d records", c.want, n)
			}
			s.leader.err = site.ErrUnknown.Wrap(c.refusal)
			expectCode(t, "outcome unknown", s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft()), code.OK)
		})
	}
}

// TestSlowStreamOnlyLeaderAppends: appends of all VMs used to keep a slow stream so busy
// that the leader's own appends timed out.
func TestSlowStreamOnlyLeaderAppends(t *testing.T) {
	withFixture(t, func(s *fixture) {
		s.store.SetReadDelay(200 * time.Millisecond)
		time.Sleep(3 * time.Second)
		s.leader.err = site.ErrRefused.New("x")
		before := len(s.store.Entries())
		began := time.Now()
		expectCode(t, "submit", s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft()), code.LogDown)
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
		if after := len(s.store.Entries()); after != before {
			t.Errorf("%d entries were appended", after-before)
		}
		s.store.SetReadDelay(5 * time.Millisecond)
		time.Sleep(2 * time.Second)
		expectCode(t, "submit", s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft()), code.OK)
	})
}

// TestStreamUnresponsive: while the stream does not respond, requests are forwarded, and refused
// immediately if no other VM accepts them.
func TestStreamUnresponsive(t *testing.T) {
	withFixture(t, func(s *fixture) {
		s.store.SetSilent(true)
		s.leader.err = site.ErrRefused.New("x")
		time.Sleep(3 * time.Second)
		s.peers.err = site.ErrRefused.New("none")
		began := time.Now()
		err := s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft())
		expectCode(t, "submit", err, code.NotReady)
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
		if s.handler.RetryAfter(err) <= 0 {
			t.Error("the refusal has no retry delay")
		}
		if s.leader.calls > 0 || s.peers.calls != 1 {
			t.Errorf("%d calls of the leader, %d of peers", s.leader.calls, s.peers.calls)
		}
		s.peers.err = site.ErrUnknown.New("lost")
		expectCode(t, "submit", s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft()), code.AcceptUnknown)
		_, err = s.handler.Status(s.ctx, address("/q/"+goodID, "ka"))
		expectCode(t, "status", err, code.NotReady)
	})
}

// TestVersionNeverGoesBack: a VM that forwarded a request to a VM with a newer catalog
// used to serve the next request by its own, older catalog.
func TestVersionNeverGoesBack(t *testing.T) {
	withFixture(t, func(s *fixture) {
		s.source.set(nil, true)
		time.Sleep(3 * time.Second)
		s.peers.version = 5
		expectCode(t, "forwarded request", s.handler.Submit(s.ctx, address("/q/"+goodID, "ka"), draft()), code.OK)
		s.source.set(catalogOf(3, "ka"), false)
		time.Sleep(3 * time.Second)
		expectCode(t, "an older catalog", s.handler.Submit(s.ctx, address("/q/"+otherID, "ka"), draft()), code.OK)
		if s.peers.calls != 2 || s.peers.minVersion != 5 {
			t.Errorf("%d requests forwarded, the last for version %d or newer", s.peers.calls, s.peers.minVersion)
		}
		s.source.set(catalogOf(5, "knew"), false)
		time.Sleep(3 * time.Second)
		expectCode(t, "the key is revoked", s.handler.Submit(s.ctx, address("/q/"+otherID, "ka"), draft()), code.Unauthenticated)
		s.source.set(catalogOf(4, "ka"), false)
		time.Sleep(3 * time.Second)
		expectCode(t, "an older catalog after a newer one", s.handler.Submit(s.ctx, address("/q/"+otherID, "ka"), draft()), code.Unauthenticated)
	})
}

// TestRevisions checks that the watcher takes changes that keep the version, and neither
// a lower version nor a lower revision.
func TestRevisions(t *testing.T) {
	withFixture(t, func(s *fixture) {
		for _, c := range []struct {
			name              string
			version, revision int64
			evacuated         string
			want              string
		}{
			{"first evacuation", 1, 4, "a", "a"},
			{"the same revision", 1, 4, "b", "a"},
			{"a lower revision", 1, 3, "b", "a"},
			{"a lower revision of a later version", 2, 3, "b", "a"},
			{"a later revision of a lower version", 0, 9, "b", "a"},
			{"a later revision", 1, 5, "b", "b"},
			{"a later version", 2, 6, "c", "c"},
		} {
			next := catalogOf(c.version, "ka")
			next.Revision = c.revision
			next.Evacuated = map[string]bool{c.evacuated: true}
			s.source.set(next, false)
			time.Sleep(2 * time.Second)
			if got := s.catalog.Current(); len(got.Evacuated) != 1 || !got.Evacuated[c.want] {
				t.Errorf("%s: evacuated are %v, want %s", c.name, got.Evacuated, c.want)
			}
		}
	})
}

// TestJobLargerThanRecordIsRefused: a job whose record the store never takes was handed to the leader, whose appends then failed.
func TestJobLargerThanRecordIsRefused(t *testing.T) {
	withFixture(t, func(s *fixture) {
		for _, c := range []struct {
			id    string
			label int
			want  code.Code
		}{{goodID, 100 << 10, code.OK}, {otherID, job.MaxRecordBytes, code.TooLarge}} {
			d := draft()
			d.Steps[0].Label = strings.Repeat("x", c.label)
			expectCode(t, "submit", s.handler.Submit(s.ctx, address("/q/"+c.id, "ka"), d), c.want)
		}
	})
}

// TestDirectAppendsFitCall: 64 large requests were put into one append, which the store never takes.
func TestDirectAppendsFitCall(t *testing.T) {
	const most = 1 << 20
	a := newBatchAppender(fleet.NewStore())
	large := appendRequest{entries: []site.Entry{{Key: "j/a", Value: make([]byte, 250<<10)}}}
	for range maxBatchRequests {
		a.queue <- large
	}
	size := 0
	for _, r := range a.collectBatch(large) {
		size += r.entries[0].Size()
	}
	if size > most {
		t.Errorf("an append of %d bytes, want at most %d", size, most)
	}
}
