package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestSlowAppendsDelayNoStartForLong guards against tasks that never start while each append takes longer than start requests usually wait for it.
func TestSlowAppendsDelayNoStartForLong(t *testing.T) {
	for _, appendTime := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond, 1100 * time.Millisecond} {
		t.Run(appendTime.String(), func(t *testing.T) {
			inCell(t, 4, func(c *cell) {
				v := c.start("a")
				time.Sleep(2 * time.Second)
				c.store.SetAppendDelay(appendTime)
				for i := range 3 {
					id := fmt.Sprintf("j%d", i)
					c.submit(id, tasks(4, 2))
					// The append in progress, those of a dispatch that is given up and of its end, and that of the next one.
					time.Sleep(4*appendTime + time.Second)
					for index := range 4 {
						expectStarts(c, id, index, 1)
					}
				}
				c.store.SetAppendDelay(0)
				expectPhase(c, v, "j2", 20*time.Second, job.Completed)
			})
		})
	}
}

// TestGangOnSlowAppendsRunsOnce guards against a gang some of whose members start and others don't, as its dispatch is too old.
func TestGangOnSlowAppendsRunsOnce(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		v := c.start("a")
		time.Sleep(2 * time.Second)
		c.store.SetAppendDelay(900 * time.Millisecond)
		c.submit("j", gang(4, 6))
		time.Sleep(4 * time.Second)
		c.store.SetAppendDelay(0)
		expectPhase(c, v, "j", 20*time.Second, job.Completed)
		for index := range 4 {
			expectStarts(c, "j", index, 1)
		}
	})
}

// TestDispatchAgeAllowsStarts checks until when a start request may be sent.
func TestDispatchAgeAllowsStarts(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		age  dispatchAge
		want bool
	}{
		{"at the limit", dispatchAge{now.Add(-shortStartDelay), shortStartDelay}, true},
		{"past the limit", dispatchAge{now.Add(-shortStartDelay - 1), shortStartDelay}, false},
		{"never appended", dispatchAge{}, false},
	} {
		if got := c.age.allows(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAgeOfDispatchCountsFromFirstAppend guards against counting the age of a dispatch from the append after the one that holds it.
func TestAgeOfDispatchCountsFromFirstAppend(t *testing.T) {
	at := time.Now()
	f := &flushState{}
	for i, c := range []struct {
		complete bool
		// want is how long after the first batch the dispatches of this one's starts were sent.
		want time.Duration
	}{
		{false, 0},
		{false, 0},
		{true, 0},
		{true, 3 * time.Second},
		{false, 0},
		{true, 4 * time.Second},
	} {
		f.sentAt = at.Add(time.Duration(i) * time.Second)
		b := &batch{complete: c.complete}
		f.noteDispatches(b)
		if c.complete && !b.dispatchAge.appendedAt.Equal(at.Add(c.want)) {
			t.Errorf("batch %d: dispatched %v after the first batch, want %v", i, b.dispatchAge.appendedAt.Sub(at), c.want)
		}
	}
}

// TestLongStartDelayIsRecordedWhileItMatters guards against a later leader that counts with the usual delay although requests that were sent later may still be executed, or keeps the longer one for ever.
func TestLongStartDelayIsRecordedWhileItMatters(t *testing.T) {
	lateAt := time.Now()
	matters := longDelayPeriod + longStartDelay + maxRequestDelay + 6*time.Second
	for _, c := range []struct {
		name     string
		recorded bool
		late     bool
		now      time.Duration
		want     time.Duration
		entries  int
	}{
		{"never late", false, false, time.Second, shortStartDelay, 0},
		{"just late", false, true, 0, longStartDelay, 1},
		{"recorded", true, true, longDelayPeriod - 1, longStartDelay, 0},
		{"used no more, still recorded", true, true, longDelayPeriod, shortStartDelay, 0},
		{"a lease may last", true, true, matters, shortStartDelay, 0},
		{"all has expired", true, true, matters + time.Second, shortStartDelay, 1},
		{"inherited", true, false, matters, shortStartDelay, 0},
		{"inherited, all has expired", true, false, matters + time.Second, shortStartDelay, 1},
	} {
		l := leadershipOf("j", tasks(1, 1))
		l.s.opt.Bounds = site.Bounds{MaxLease: 6 * time.Second}
		l.startedAt = lateAt
		if c.recorded {
			l.startDelays.recorded = longStartDelay
		}
		if c.late {
			l.startDelays.lateAt = lateAt
		}
		b := &batch{}
		if err := l.addStartDelay(b, lateAt.Add(c.now)); err != nil {
			t.Fatal(err)
		}
		if b.dispatchAge.limit != c.want || len(b.entries) != c.entries {
			t.Errorf("%s: start requests within %v, %d entries, want %v and %d", c.name, b.dispatchAge.limit, len(b.entries), c.want, c.entries)
		}
	}
}
