package book

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// inStream runs a test with a follower that reads a store.
func inStream(t *testing.T, fn func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		store, b := fleet.NewStore(), job.NewView()
		f := NewFollower(store, b, log.NewNopLogger(), func([]string) {})
		fn(ctx, store, b, f)
	})
}

func entryOf(t *testing.T, id string) site.Entry {
	t.Helper()
	e, err := job.SubmissionEntry(&job.Submission{ID: id, Queue: "q", Steps: []job.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// add appends jobs and returns their entries with offsets.
func add(ctx context.Context, t *testing.T, store *fleet.Store, ids ...string) []site.Entry {
	t.Helper()
	var entries []site.Entry
	for _, id := range ids {
		entries = append(entries, entryOf(t, id))
	}
	first, err := store.Append(ctx, entries)
	if err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		entries[i].Offset = first + int64(i)
	}
	return entries
}

func expectJobs(t *testing.T, b *job.View, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if b.Job(id) == nil {
			t.Errorf("job %s is not known", id)
		}
	}
}

// TestOfferWithHoles: two offers that went out together left the records of
// others between them out, and the book went on behind them.
func TestOfferWithHoles(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		first := add(ctx, t, store, "a")
		add(ctx, t, store, "between")
		last := add(ctx, t, store, "z")
		f.Offer(append(first, last...))
		if err := f.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		expectJobs(t, b, "a", "between", "z")
	})
}

// TestOffers: offers in order need no read, late ones change nothing, and a gap
// is read at once.
func TestOffers(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		one := add(ctx, t, store, "1")
		two := add(ctx, t, store, "2")
		f.Offer(one)
		expectJobs(t, b, "1")
		f.Offer(two)
		f.Offer(one)
		expectJobs(t, b, "2")
		if b.Next() != 2 {
			t.Errorf("read up to %d, want 2", b.Next())
		}
		go func() { _ = f.Run(ctx) }()
		add(ctx, t, store, "3")
		f.Offer(add(ctx, t, store, "4"))
		time.Sleep(50 * time.Millisecond)
		expectJobs(t, b, "3", "4")
	})
}

// TestCatchesUpWithOffers: a VM that has missed one offer reads what is missing
// once, and goes on with the offers that came meanwhile. It used to drop these,
// and read on for as long as the leader was busy.
func TestCatchesUpWithOffers(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		store.SetDelay(30 * time.Millisecond)
		add(ctx, t, store, "missed")
		before := store.Reads()
		for i := range 100 {
			f.Offer(add(ctx, t, store, fmt.Sprint(i)))
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		expectJobs(t, b, "missed", "0", "99")
		if n := store.Reads() - before; n > 10 {
			t.Errorf("%d reads for one missed offer", n)
		}
	})
}

// TestManyPages: a VM that was cut off for long reads all that it has missed at
// once. It used to pause after each page, and was passed over meanwhile.
func TestManyPages(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		store.SetAway(true)
		time.Sleep(time.Second)
		store.SetAway(false)
		store.SetPage(10)
		var ids []string
		for i := range 1000 {
			ids = append(ids, fmt.Sprint(i))
		}
		add(ctx, t, store, ids...)
		time.Sleep(time.Second)
		expectJobs(t, b, ids...)
	})
}

// TestCallTime: a slow stream is told from one that is away.
func TestCallTime(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		store.SetDelay(200 * time.Millisecond)
		if err := f.Sync(ctx); err != nil || f.CallTime() != 200*time.Millisecond {
			t.Errorf("slow: %v, %v", f.CallTime(), err)
		}
		store.SetDelay(7 * time.Millisecond)
		if err := f.Sync(ctx); err != nil || f.CallTime() != 7*time.Millisecond {
			t.Errorf("quick again: %v, %v", f.CallTime(), err)
		}
		store.SetSilent(true)
		if err := f.Sync(ctx); err == nil || f.CallTime() != 7*time.Millisecond {
			t.Errorf("away: %v, %v", f.CallTime(), err)
		}
	})
}

// TestFollowerFaults: the book is whole after each fault of the store.
func TestFollowerFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(store *fleet.Store, on bool)
	}{
		{"away", (*fleet.Store).SetAway},
		{"silent", (*fleet.Store).SetSilent},
		{"trimmed", func(s *fleet.Store, on bool) {
			if on {
				s.Trim()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
				go func() { _ = f.Run(ctx) }()
				time.Sleep(time.Second)
				add(ctx, t, store, "1")
				c.fault(store, true)
				time.Sleep(3 * time.Second)
				c.fault(store, false)
				add(ctx, t, store, "2")
				time.Sleep(3 * time.Second)
				expectJobs(t, b, "1", "2")
			})
		})
	}
}

// TestRegain: a stream that is back is read again within a third of a second. A
// read that had been sent to a silent stream used to be waited for until it ran
// out, for 1.7 s.
func TestRegain(t *testing.T) {
	for _, away := range []struct {
		name  string
		fault func(store *fleet.Store, on bool)
	}{
		{"silent", (*fleet.Store).SetSilent},
		{"refuses", (*fleet.Store).SetAway},
	} {
		for _, wasLoaded := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, loaded %v", away.name, wasLoaded), func(t *testing.T) {
				inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
					away.fault(store, !wasLoaded)
					go func() { _ = f.Run(ctx) }()
					time.Sleep(time.Second)
					for range 5 {
						away.fault(store, true)
						time.Sleep(3500 * time.Millisecond)
						away.fault(store, false)
						add(ctx, t, store, "back")
						time.Sleep(330 * time.Millisecond)
						if !f.Fresh(330 * time.Millisecond) {
							t.Error("the stream is not read again")
						}
						expectJobs(t, b, "back")
						time.Sleep(1300 * time.Millisecond)
					}
				})
			})
		}
	}
}

// TestSlowPages: a VM with a slow link needs longer for all pages than a call may
// take. It used to begin anew after each time-out, and never knew the records.
func TestSlowPages(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
		store.SetPage(2)
		for i := range 20 {
			add(ctx, t, store, fmt.Sprintf("early%02d", i))
		}
		store.SetDelay(time.Second)
		go func() { _ = f.Run(ctx) }()
		time.Sleep(4500 * time.Millisecond)
		store.SetAway(true)
		time.Sleep(2 * time.Second)
		store.SetAway(false)
		add(ctx, t, store, "aMeanwhile")
		time.Sleep(10 * time.Second)
		if !f.Loaded() {
			t.Fatal("the records are not read")
		}
		expectJobs(t, b, "early00", "early19", "aMeanwhile")
	})
}

// TestPagesTwice: pages that are read again, in any order, leave the same book.
func TestPagesTwice(t *testing.T) {
	b := job.NewView()
	var pages []*site.Page
	for i := range int64(5) {
		e := entryOf(t, fmt.Sprint(i))
		e.Offset = i
		pages = append(pages, &site.Page{Entries: []site.Entry{e}, Next: i + 1, End: i + 1})
	}
	for _, i := range []int{0, 1, 2, 1, 0, 3, 4, 2} {
		if _, err := b.Apply(pages[i]); err != nil {
			t.Fatal(err)
		}
	}
	if b.Waiting("q") != 5 || b.Next() != 5 {
		t.Errorf("waiting %d, next %d, want 5 and 5", b.Waiting("q"), b.Next())
	}
}

// TestCallTimeOfWaits: reads that wait for records tell how long a call takes, too,
// so that a VM without offers knows that the stream is slow, and when no longer.
func TestCallTimeOfWaits(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		go func() { _ = f.Run(ctx) }()
		for _, delay := range []time.Duration{7 * time.Millisecond, 300 * time.Millisecond, 7 * time.Millisecond} {
			store.SetDelay(delay)
			time.Sleep(3 * time.Second)
			if f.CallTime() != delay {
				t.Errorf("%v, want %v", f.CallTime(), delay)
			}
		}
	})
}

// TestOfferAnswers: a VM says in its answer which record it lacks: none in particular
// while it reads all records, the first one of a hole until that is filled.
func TestOfferAnswers(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		expectNext := func(what string, entries []site.Entry, want int64, wantReads bool) {
			t.Helper()
			if got, reads := f.Offer(entries); got != want || reads != wantReads {
				t.Errorf("%s: lacks the records from %d on, reads %v; want %d, %v", what, got, reads, want, wantReads)
			}
		}
		expectNext("before all are read", add(ctx, t, store, "0"), StillLoading, true)
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		expectNext("in step", add(ctx, t, store, "1"), 2, true)
		missed := add(ctx, t, store, "2")
		expectNext("with a hole", add(ctx, t, store, "3"), 2, true)
		time.Sleep(readsLimit + time.Millisecond)
		expectNext("with a hole, and no answer of the stream", add(ctx, t, store, "4"), 2, false)
		expectNext("filled", missed, 5, true)
	})
}

// TestRecent: a VM holds the newest records, however it came to have them, up to a
// size.
func TestRecent(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		add(ctx, t, store, "0", "1")
		if err := f.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		f.Offer(add(ctx, t, store, "2"))
		add(ctx, t, store, "3")
		if err := f.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		for _, c := range []struct {
			next int64
			want int
		}{{0, 4}, {2, 2}, {4, 0}, {9, 0}} {
			if got, held := f.Recent(c.next, maxRecentBytes); !held || len(got) != c.want || c.want > 0 && got[0].Offset != c.next {
				t.Errorf("from %d: %d records, held %v; want %d", c.next, len(got), held, c.want)
			}
		}
		if got, _ := f.Recent(0, 1); len(got) != 1 {
			t.Errorf("%d records in one byte", len(got))
		}
	})
	var r recent
	large := make([]byte, maxRecentBytes/4)
	for i := range int64(10) {
		r.add([]site.Entry{{Key: "k", Value: large, Offset: i}})
	}
	if _, held := r.from(2, 1); held || r.bytes > maxRecentBytes {
		t.Errorf("%d bytes are held", r.bytes)
	}
	r.add([]site.Entry{{Key: "k", Offset: 20}})
	if got, held := r.from(9, maxRecentBytes); held {
		t.Errorf("records across a hole: %d", len(got))
	}
}

// TestMembersFirst: a VM that starts knows the leader and the other VMs after the
// first page, so that they can serve its callers while it reads the rest.
func TestMembersFirst(t *testing.T) {
	inStream(t, func(ctx context.Context, store *fleet.Store, b *job.View, f *Follower) {
		var ids []string
		for i := range 100 {
			ids = append(ids, fmt.Sprint(i))
		}
		add(ctx, t, store, ids...)
		member, err := job.MemberEntry(&job.Member{Name: "a", Incarnation: "a/1"})
		if err != nil {
			t.Fatal(err)
		}
		leader, err := job.LeaderEntry(&job.Leader{Epoch: 1, Incarnation: "a/1"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Append(ctx, []site.Entry{member, leader}); err != nil {
			t.Fatal(err)
		}
		store.SetPage(10)
		p, err := f.loadPage(ctx, f.reading.after)
		if err != nil {
			t.Fatal(err)
		}
		f.noteLoaded(p)
		if l, _ := b.Leader(); l.Epoch != 1 || len(b.Members()) != 1 {
			t.Errorf("leader %+v and %d members after a page", l, len(b.Members()))
		}
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		expectJobs(t, b, ids...)
		if b.Next() != 102 {
			t.Errorf("read up to %d, want 102", b.Next())
		}
	})
}
