package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// pagedStream calls onPage with each page of the newest records before the follower gets it, and
// onRead before each read.
type pagedStream struct {
	*fleet.Store
	pages  int
	onPage func(n int, p *site.Page) error
	onRead func()
}

func (s *pagedStream) Read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error) {
	if s.onRead != nil {
		s.onRead()
	}
	return s.Store.Read(ctx, from, wait)
}

func (s *pagedStream) Newest(ctx context.Context, after string) (*site.Page, error) {
	p, err := s.Store.Newest(ctx, after)
	if err != nil || s.onPage == nil {
		return p, err
	}
	s.pages++
	if err := s.onPage(s.pages, p); err != nil {
		return nil, err
	}
	return p, nil
}

// remove removes jobs from the store.
func remove(ctx context.Context, t *testing.T, store *fleet.Store, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if _, err := store.Append(ctx, job.RemovalEntries(id, true)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestReloadDropsWhatWasRemoved guards against records that a VM keeps, or loses, when it loads all keys after a gap while others append.
func TestReloadDropsWhatWasRemoved(t *testing.T) {
	state := func(t *testing.T, id string) site.Entry {
		t.Helper()
		e, err := job.StateEntry(id, &job.State{Phase: job.Running, Started: true, Steps: [][]job.Task{{{Status: job.Dispatched, Run: 1, Worker: "w"}}}})
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	withoutKey := func(p *site.Page, key string) {
		for i := range p.Entries {
			if p.Entries[i].Key == key {
				p.Entries = append(p.Entries[:i], p.Entries[i+1:]...)
				return
			}
		}
	}
	for _, c := range []struct {
		name string
		// missed is what happens while the VM is cut off, onPage while it loads.
		missed func(ctx context.Context, t *testing.T, s *pagedStream)
		onPage func(ctx context.Context, t *testing.T, s *pagedStream, f *Follower, n int, p *site.Page) error
		want   []string
		gone   []string
	}{
		{name: "removed in the gap", want: []string{"b", "c", "d"}, gone: []string{"a"}, missed: func(ctx context.Context, t *testing.T, s *pagedStream) {
			remove(ctx, t, s.Store, "a")
		}},
		{name: "removed while pages are loaded", want: []string{"b", "c"}, gone: []string{"a", "d"},
			onPage: func(ctx context.Context, t *testing.T, s *pagedStream, _ *Follower, n int, _ *site.Page) error {
				if n == 2 {
					remove(ctx, t, s.Store, "a", "d")
				}
				return nil
			}},
		{name: "written again while pages are loaded, and on none", want: []string{"a", "b", "c", "d"},
			onPage: func(ctx context.Context, t *testing.T, s *pagedStream, _ *Follower, n int, p *site.Page) error {
				if n == 1 {
					add(ctx, t, s.Store, "b")
				}
				withoutKey(p, "j/b")
				return nil
			}},
		{name: "a page fails", want: []string{"b", "c", "d"}, gone: []string{"a"}, missed: func(ctx context.Context, t *testing.T, s *pagedStream) {
			remove(ctx, t, s.Store, "a")
		}, onPage: func(_ context.Context, _ *testing.T, _ *pagedStream, _ *Follower, n int, _ *site.Page) error {
			if n == 2 {
				return site.ErrUnknown.New("no answer")
			}
			return nil
		}},
		{name: "trimmed again while pages are loaded", want: []string{"b", "d"}, gone: []string{"a", "c"}, missed: func(ctx context.Context, t *testing.T, s *pagedStream) {
			remove(ctx, t, s.Store, "a")
		}, onPage: func(ctx context.Context, t *testing.T, s *pagedStream, _ *Follower, n int, p *site.Page) error {
			if n == 2 {
				remove(ctx, t, s.Store, "c")
				s.Trim()
			}
			return nil
		}},
		{name: "offered while pages are loaded", want: []string{"b", "c", "d", "e"}, gone: []string{"a"}, missed: func(ctx context.Context, t *testing.T, s *pagedStream) {
			remove(ctx, t, s.Store, "a")
		}, onPage: func(ctx context.Context, t *testing.T, s *pagedStream, f *Follower, n int, _ *site.Page) error {
			if n == 2 {
				f.Offer(add(ctx, t, s.Store, "e"))
			}
			return nil
		}},
		{name: "another VM still has all records", want: []string{"b", "c", "d"}, gone: []string{"a"}, missed: func(ctx context.Context, t *testing.T, s *pagedStream) {
			remove(ctx, t, s.Store, "a")
		}, onPage: func(_ context.Context, _ *testing.T, s *pagedStream, f *Follower, n int, _ *site.Page) error {
			if n == 2 {
				f.Offer(s.Entries()[f.view.Next():])
			}
			return nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				s, view := &pagedStream{Store: fleet.NewStore()}, job.NewView()
				s.SetPageSize(2)
				f := NewFollower(s, view, log.NewNopLogger(), func([]string) {})
				add(ctx, t, s.Store, "a", "b", "c", "d")
				if _, err := s.Append(ctx, []site.Entry{state(t, "a"), state(t, "b")}); err != nil {
					t.Fatal(err)
				}
				if err := f.readOnce(ctx); err != nil {
					t.Fatal(err)
				}
				began := view.Job("c").AcceptedAt
				time.Sleep(time.Minute)
				if c.missed != nil {
					c.missed(ctx, t, s)
				}
				add(ctx, t, s.Store, "d")
				s.Trim()
				if c.onPage != nil {
					s.onPage = func(n int, p *site.Page) error { return c.onPage(ctx, t, s, f, n, p) }
				}
				s.onRead = func() {
					for _, id := range c.want {
						if id != "e" {
							expectJobs(t, view, id)
						}
					}
				}
				go func() { _ = f.Run(ctx) }()
				time.Sleep(10 * time.Second)
				expectJobs(t, view, c.want...)
				for _, id := range c.gone {
					if view.Job(id) != nil {
						t.Errorf("job %s is still known", id)
					}
				}
				if n := len(view.IDs()); n != len(c.want) {
					t.Errorf("%d jobs, want %d", n, len(c.want))
				}
				if j := view.Job("b"); j.State.Phase != job.Running {
					t.Errorf("b is %v", j.State.Phase)
				}
				if j := view.Job("c"); j != nil && !j.AcceptedAt.Equal(began) {
					t.Errorf("c was accepted at %v, want %v", j.AcceptedAt, began)
				}
				if view.Next() != int64(len(s.Entries())) {
					t.Errorf("read up to %d of %d", view.Next(), len(s.Entries()))
				}
			})
		})
	}
}

// TestReloadOfAJobSubmittedAgain guards against the submission and the state of a job that has ended under the id of a new one.
func TestReloadOfAJobSubmittedAgain(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
		add(ctx, t, store, "a")
		if _, err := store.Append(ctx, []site.Entry{job.CancelEntry("a")}); err != nil {
			t.Fatal(err)
		}
		if err := f.readOnce(ctx); err != nil {
			t.Fatal(err)
		}
		remove(ctx, t, store, "a")
		e, err := job.SubmissionEntry(&job.Submission{ID: "a", Queue: "r", Steps: []job.Step{{Count: 3}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Append(ctx, []site.Entry{e}); err != nil {
			t.Fatal(err)
		}
		store.Trim()
		if err := f.readOnce(ctx); err != nil {
			t.Fatal(err)
		}
		j := view.Job("a")
		if j == nil || j.Canceled || j.Submission.Queue != "r" || len(j.State.Steps[0]) != 3 {
			t.Errorf("job %+v", j)
		}
		if view.Waiting("q") != 0 || view.Waiting("r") != 1 {
			t.Errorf("%d jobs wait in q and %d in r", view.Waiting("q"), view.Waiting("r"))
		}
	})
}
