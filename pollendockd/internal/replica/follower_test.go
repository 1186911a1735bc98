package replica

import (
	"bytes"
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

// withFollower runs fn in a synctest bubble, with a follower of a fake store.
func withFollower(t *testing.T, fn func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		store, view := fleet.NewStore(), job.NewView()
		f := NewFollower(store, view, log.NewNopLogger(), func([]string) {})
		fn(ctx, store, view, f)
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

// add appends jobs to the store and returns their entries with offsets.
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

func expectJobs(t *testing.T, view *job.View, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if view.Job(id) == nil {
			t.Errorf("job %s is not known", id)
		}
	}
}

// TestOfferWithGap: one offer may combine two appends between which another VM has
// appended. The follower used to skip the records in the gap.
func TestOfferWithGap(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
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
		expectJobs(t, view, "a", "between", "z")
	})
}

// TestOffers: offers in order need no read, repeated offers change nothing, and a gap
// is read without delay.
func TestOffers(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		one := add(ctx, t, store, "1")
		two := add(ctx, t, store, "2")
		f.Offer(one)
		expectJobs(t, view, "1")
		f.Offer(two)
		f.Offer(one)
		expectJobs(t, view, "2")
		if view.Next() != 2 {
			t.Errorf("read up to %d, want 2", view.Next())
		}
		go func() { _ = f.Run(ctx) }()
		add(ctx, t, store, "3")
		f.Offer(add(ctx, t, store, "4"))
		time.Sleep(50 * time.Millisecond)
		expectJobs(t, view, "3", "4")
	})
}

// TestCatchesUpWithOffers: a VM that missed one offer reads the missing records once
// and then applies the offers that arrived in the meantime. It used to drop these
// offers, and had to read for as long as the leader was busy.
func TestCatchesUpWithOffers(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		store.SetReadDelay(30 * time.Millisecond)
		add(ctx, t, store, "missed")
		before := store.Reads()
		for i := range 100 {
			f.Offer(add(ctx, t, store, fmt.Sprint(i)))
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		expectJobs(t, view, "missed", "0", "99")
		if n := store.Reads() - before; n > 10 {
			t.Errorf("%d reads for one missed offer", n)
		}
	})
}

// TestManyPages: a VM that was disconnected for a long time reads all missed pages
// without pausing. It used to pause after each page, and other VMs were chosen over it in
// the meantime.
func TestManyPages(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		store.SetUnavailable(true)
		time.Sleep(time.Second)
		store.SetUnavailable(false)
		store.SetPageSize(10)
		var ids []string
		for i := range 1000 {
			ids = append(ids, fmt.Sprint(i))
		}
		add(ctx, t, store, ids...)
		time.Sleep(time.Second)
		expectJobs(t, view, ids...)
	})
}

// TestReadLatency: the latency distinguishes a slow stream from an unavailable one.
func TestReadLatency(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		store.SetReadDelay(200 * time.Millisecond)
		if err := f.Sync(ctx); err != nil || f.ReadLatency() != 200*time.Millisecond {
			t.Errorf("slow: %v, %v", f.ReadLatency(), err)
		}
		store.SetReadDelay(7 * time.Millisecond)
		if err := f.Sync(ctx); err != nil || f.ReadLatency() != 7*time.Millisecond {
			t.Errorf("fast again: %v, %v", f.ReadLatency(), err)
		}
		store.SetSilent(true)
		if err := f.Sync(ctx); err == nil || f.ReadLatency() != 7*time.Millisecond {
			t.Errorf("unavailable: %v, %v", f.ReadLatency(), err)
		}
	})
}

// TestFollowerFaults: the local copy is complete again after each fault of the store.
func TestFollowerFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(store *fleet.Store, on bool)
	}{
		{"away", (*fleet.Store).SetUnavailable},
		{"silent", (*fleet.Store).SetSilent},
		{"trimmed", func(s *fleet.Store, on bool) {
			if on {
				s.Trim()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
				go func() { _ = f.Run(ctx) }()
				time.Sleep(time.Second)
				add(ctx, t, store, "1")
				c.fault(store, true)
				time.Sleep(3 * time.Second)
				c.fault(store, false)
				add(ctx, t, store, "2")
				time.Sleep(3 * time.Second)
				expectJobs(t, view, "1", "2")
			})
		})
	}
}

// TestRecovery: a stream that is available again is read within a third of a second.
// The follower used to wait for the timeout, 1.7 s, of a read that it had sent to the
// unresponsive stream.
func TestRecovery(t *testing.T) {
	for _, outage := range []struct {
		name  string
		fault func(store *fleet.Store, on bool)
	}{
		{"silent", (*fleet.Store).SetSilent},
		{"refuses", (*fleet.Store).SetUnavailable},
	} {
		for _, wasLoaded := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, loaded %v", outage.name, wasLoaded), func(t *testing.T) {
				withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
					outage.fault(store, !wasLoaded)
					go func() { _ = f.Run(ctx) }()
					time.Sleep(time.Second)
					for range 5 {
						outage.fault(store, true)
						time.Sleep(3500 * time.Millisecond)
						outage.fault(store, false)
						add(ctx, t, store, "back")
						time.Sleep(330 * time.Millisecond)
						if !f.Fresh(330 * time.Millisecond) {
							t.Error("the stream has not been read since it recovered")
						}
						expectJobs(t, view, "back")
						time.Sleep(1300 * time.Millisecond)
					}
				})
			})
		}
	}
}

// TestSlowPages: on a VM with a slow link, loading all pages takes longer than the
// timeout of a call. The follower used to start over after each timeout and never
// finished loading.
func TestSlowPages(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
		store.SetPageSize(2)
		for i := range 20 {
			add(ctx, t, store, fmt.Sprintf("early%02d", i))
		}
		store.SetReadDelay(time.Second)
		go func() { _ = f.Run(ctx) }()
		time.Sleep(4500 * time.Millisecond)
		store.SetUnavailable(true)
		time.Sleep(2 * time.Second)
		store.SetUnavailable(false)
		add(ctx, t, store, "aMeanwhile")
		time.Sleep(10 * time.Second)
		if !f.Loaded() {
			t.Fatal("the records are not loaded")
		}
		expectJobs(t, view, "early00", "early19", "aMeanwhile")
	})
}

// TestPagesTwice: applying pages repeatedly and in any order gives the same result.
func TestPagesTwice(t *testing.T) {
	view := job.NewView()
	var pages []*site.Page
	for i := range int64(5) {
		e := entryOf(t, fmt.Sprint(i))
		e.Offset = i
		pages = append(pages, &site.Page{Entries: []site.Entry{e}, Next: i + 1, End: i + 1})
	}
	for _, i := range []int{0, 1, 2, 1, 0, 3, 4, 2} {
		if _, err := view.Apply(pages[i]); err != nil {
			t.Fatal(err)
		}
	}
	if view.Waiting("q") != 5 || view.Next() != 5 {
		t.Errorf("waiting %d, next %d, want 5 and 5", view.Waiting("q"), view.Next())
	}
}

// TestReadLatencyOfWaits: reads that wait for records measure the latency as well, so
// that a VM that receives no offers notices when the stream becomes slow and when it
// recovers.
func TestReadLatencyOfWaits(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		go func() { _ = f.Run(ctx) }()
		for _, delay := range []time.Duration{7 * time.Millisecond, 300 * time.Millisecond, 7 * time.Millisecond} {
			store.SetReadDelay(delay)
			time.Sleep(3 * time.Second)
			if f.ReadLatency() != delay {
				t.Errorf("%v, want %v", f.ReadLatency(), delay)
			}
		}
	})
}

// TestOfferAnswers: the answer to an offer is the offset of the first missing record:
// StillLoading during the initial load, and the start of a gap until it is filled.
func TestOfferAnswers(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		expectNext := func(what string, entries []site.Entry, want int64, wantReads bool) {
			t.Helper()
			if got, reads := f.Offer(entries); got != want || reads != wantReads {
				t.Errorf("%s: next %d, reads %v; want %d, %v", what, got, reads, want, wantReads)
			}
		}
		expectNext("before loading", add(ctx, t, store, "0"), StillLoading, true)
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		expectNext("in order", add(ctx, t, store, "1"), 2, true)
		missed := add(ctx, t, store, "2")
		expectNext("with a gap", add(ctx, t, store, "3"), 2, true)
		time.Sleep(readMaxAge + time.Millisecond)
		expectNext("with a gap, and no answer of the stream", add(ctx, t, store, "4"), 2, false)
		expectNext("filled", missed, 5, true)
	})
}

// TestRecent: the newest records are cached up to a size, whether they were read from
// the stream or offered.
func TestRecent(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
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
			if got, cached := f.Recent(c.next, maxRecentBytes); !cached || len(got) != c.want || c.want > 0 && got[0].Offset != c.next {
				t.Errorf("from %d: %d records, cached %v; want %d", c.next, len(got), cached, c.want)
			}
		}
		if got, _ := f.Recent(0, 1); len(got) != 1 {
			t.Errorf("%d records for a limit of one byte", len(got))
		}
	})
	var r recentRecords
	large := make([]byte, maxRecentBytes/4)
	for i := range int64(10) {
		r.add([]site.Entry{{Key: "k", Value: large, Offset: i}})
	}
	if _, cached := r.from(2, 1); cached || r.bytes > maxRecentBytes {
		t.Errorf("%d bytes are cached", r.bytes)
	}
	r.add([]site.Entry{{Key: "k", Offset: 20}})
	if got, cached := r.from(9, maxRecentBytes); cached {
		t.Errorf("%d records across a gap", len(got))
	}
}

// TestLoadMembersFirst: a VM that starts knows the leader and the members after the first
// page, so that they can serve its callers while it loads the rest.
func TestLoadMembersFirst(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
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
		store.SetPageSize(10)
		p, err := f.loadPage(ctx, f.loadProgress.after)
		if err != nil {
			t.Fatal(err)
		}
		f.applyLoadPage(p)
		if l, _ := view.Leader(); l.Epoch != 1 || len(view.Members()) != 1 {
			t.Errorf("leader %+v and %d members after a page", l, len(view.Members()))
		}
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		expectJobs(t, view, ids...)
		if view.Next() != 102 {
			t.Errorf("read up to %d, want 102", view.Next())
		}
	})
}

// TestAvailableSince checks since when the stream counts as available: a leader concludes from it
// that workers could write to the store.
func TestAvailableSince(t *testing.T) {
	withFollower(t, func(ctx context.Context, store *fleet.Store, _ *job.View, f *Follower) {
		store.SetSilent(true)
		go func() { _ = f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		if since := f.AvailableSince(); !since.Equal(time.Now()) {
			t.Errorf("available for %v before the first answer", time.Since(since))
		}
		for _, outage := range []time.Duration{0, 3 * time.Second} {
			store.SetSilent(true)
			time.Sleep(outage)
			store.SetSilent(false)
			back := time.Now()
			time.Sleep(5 * time.Second)
			late := f.AvailableSince().Sub(back)
			if late < 0 || late > time.Second {
				t.Errorf("available since %v after the end of an outage of %v", late, outage)
			}
			time.Sleep(5 * time.Second)
			if again := f.AvailableSince().Sub(back); again != late {
				t.Errorf("available since %v after the end of the outage, before %v", again, late)
			}
		}
	})
}

// oddEntries are records that no VM writes.
func oddEntries() []site.Entry {
	deep := bytes.Repeat([]byte{0x81}, 200_000)
	return []site.Entry{
		{}, // a record without a key
		{Key: "j", Value: []byte("0")},
		{Key: "j/odd", Value: deep},
		{Key: "s/a1", Value: deep},
		{Key: "m/odd", Value: []byte{0}},
		{Key: "leader", Value: []byte{0x83, 0x1b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x60, 0x60}},
		{Key: "speeds", Value: []byte{0xff}},
		{Key: "\xff\x00", Value: []byte("x")},
	}
}

// TestOddEntries checks that records that no VM writes cost themselves alone, for a VM that
// loads them at its start, one that reads them, and one that gets records from that one
// only.
func TestOddEntries(t *testing.T) {
	for _, odd := range oddEntries() {
		withFollower(t, func(ctx context.Context, store *fleet.Store, view *job.View, f *Follower) {
			if err := f.load(ctx); err != nil {
				t.Fatal(err)
			}
			relayedView := job.NewView()
			relayed := NewFollower(store, relayedView, log.NewNopLogger(), func([]string) {})
			if err := relayed.load(ctx); err != nil {
				t.Fatal(err)
			}
			for round := range 3 {
				add(ctx, t, store, fmt.Sprint("a", round))
				if _, err := store.Append(ctx, []site.Entry{odd}); err != nil {
					t.Fatal(err)
				}
				add(ctx, t, store, fmt.Sprint("b", round))
				if err := f.Sync(ctx); err != nil {
					t.Fatal(err)
				}
				entries, cached := f.Recent(relayedView.Next(), 1<<20)
				if !cached {
					t.Fatalf("key %q: the records after offset %d are not cached", odd.Key, relayedView.Next())
				}
				if next, _ := relayed.Offer(entries); next != int64(3*round+3) {
					t.Errorf("key %q: the other VM has records up to %d", odd.Key, next)
				}
			}
			started := job.NewView()
			if err := NewFollower(store, started, log.NewNopLogger(), func([]string) {}).load(ctx); err != nil {
				t.Errorf("key %q: %v", odd.Key, err)
			}
			for _, v := range []*job.View{view, relayedView, started} {
				expectJobs(t, v, "a0", "b0", "a1", "b1", "a2", "b2")
				if l, _ := v.Leader(); l.Epoch != 0 {
					t.Errorf("key %q: leader %+v", odd.Key, l)
				}
			}
		})
	}
}
