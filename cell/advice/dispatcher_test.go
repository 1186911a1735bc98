package advice

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/placement"
)

const (
	quickCall = 20 * time.Millisecond
	slowCall  = time.Second
)

// withRoutes returns a dispatcher with n idle routes.
func withRoutes(n int) *Dispatcher {
	d := NewDispatcher()
	d.Routes().Set(vms(n, "1"))
	return d
}

func vms(n int, incarnation string) []VM {
	var list []VM
	for i := range n {
		list = append(list, VM{Name: fmt.Sprintf("vm%02d", i), Incarnation: incarnation})
	}
	return list
}

func ranked(queue string, slow bool, r placement.Rank, order int64) Demand {
	return Demand{Queue: queue, Slow: slow, SortKey: placement.SortKey{Rank: r, Order: order}}
}

func expectNext(t *testing.T, name string, d *Dispatcher, now time.Time, demands []Demand, want int) {
	t.Helper()
	got, _, ok := d.Next(now, demands)
	if !ok {
		got = -1
	}
	if got != want {
		t.Errorf("%s: demand %d is next, want %d", name, got, want)
	}
}

// TestOrder checks the order of service with all routes but one busy with slow queries,
// or none. Overdue steps used to wait although VMs were idle: slow queries, which may
// not use all VMs, were always waiting.
func TestOrder(t *testing.T) {
	now := time.Now()
	quickOverdue, slowOverdue := ranked("quick", false, placement.Overdue, 1), ranked("slow", true, placement.Overdue, 2)
	quick, slow := ranked("quick", false, placement.Late, 3), ranked("slow", true, placement.Late, 4)
	reserved := ranked("slow", true, placement.Late, 5)
	reserved.Reserved = true
	mayStart := ranked("slow", true, placement.Late, 6)
	mayStart.MayStart = true
	idle := ranked("slow", true, placement.Late, 7)
	idle.Idle = true
	quickInTime := ranked("quick", false, placement.InTime, 8)
	for _, c := range []struct {
		name     string
		busySlow int
		demands  []Demand
		want     int
	}{
		{"nothing waits", 0, nil, -1},
		{"overdue, alone", 0, []Demand{quickOverdue}, 0},
		{"overdue, while slow ones wait for their share", 3, []Demand{slow, quickOverdue}, 1},
		{"overdue, behind quick ones", 3, []Demand{quickOverdue, slow, quick}, 2},
		{"overdue and slow, behind a slow one", 0, []Demand{slowOverdue, slow}, 1},
		{"overdue and slow, when quick ones have gone", 1, []Demand{slowOverdue}, 0},
		{"quick before slow", 1, []Demand{slow, quick}, 1},
		{"slow ones have a minimum share", 0, []Demand{quick, slow}, 1},
		{"reserved capacity first", 1, []Demand{slow, reserved}, 1},
		{"steps that may start before those that only learn", 1, []Demand{slow, mayStart}, 1},
		{"reserved capacity before steps that may start", 1, []Demand{mayStart, reserved}, 1},
		{"an idle job's slow one counts as in time, and has a larger share", 1, []Demand{quickInTime, idle}, 1},
		{"an idle job's slow one, beyond that share", 2, []Demand{idle, quickInTime}, 1},
		{"a route stays free of slow queries", 3, []Demand{slow}, -1},
	} {
		d := withRoutes(4)
		for range c.busySlow {
			_, through, _ := d.Next(now, []Demand{slow})
			d.Sent(&slow, through, slowCall)
		}
		d.quick.count(now, quickCall)
		expectNext(t, c.name, d, now, c.demands, c.want)
	}
}

// TestQueuesShareTime checks that a queue with calls that take ten times as long as
// those of another gets the same time, not the same number of calls.
func TestQueuesShareTime(t *testing.T) {
	now := time.Now()
	d := withRoutes(1)
	calls := map[string]int{}
	for range 110 {
		demands := []Demand{ranked("long", true, placement.InTime, 1), ranked("short", true, placement.InTime, 2)}
		i, through, _ := d.Next(now, demands)
		takes := map[string]time.Duration{"long": slowCall, "short": slowCall / 10}[demands[i].Queue]
		d.Sent(&demands[i], through, takes)
		d.Answered(now, through, slowCall)
		calls[demands[i].Queue]++
	}
	if calls["long"] != 10 || calls["short"] != 100 {
		t.Errorf("%v calls, want 10 long and 100 short ones", calls)
	}
}

// TestIdleQueueGetsNoCredit checks that a queue that had nothing to ask for a while does
// not keep the others waiting when it returns.
func TestIdleQueueGetsNoCredit(t *testing.T) {
	now := time.Now()
	d := withRoutes(1)
	first, second := ranked("first", true, placement.InTime, 1), ranked("second", true, placement.InTime, 2)
	for range 100 {
		_, through, _ := d.Next(now, []Demand{first})
		d.Sent(&first, through, slowCall)
		d.Answered(now, through, slowCall)
	}
	d.Sent(&second, "vm00", slowCall)
	d.Answered(now, "vm00", slowCall)
	expectNext(t, "after a call of each", d, now, []Demand{first, second}, 0)
}

// TestFailedRoutes checks that a route rests after a failure, for longer if it fails
// again, and is used at once when its VM has restarted.
func TestFailedRoutes(t *testing.T) {
	now := time.Now()
	d := withRoutes(1)
	quick := []Demand{ranked("quick", false, placement.InTime, 1)}
	fail := func(at time.Time) {
		_, through, ok := d.Next(at, quick)
		if !ok {
			t.Fatalf("no route after %v", at.Sub(now))
		}
		d.Sent(&quick[0], through, quickCall)
		d.Routes().Failed(through, "1", at)
	}
	fail(now)
	expectNext(t, "at once", d, now, quick, -1)
	fail(now.Add(minBackoff))
	expectNext(t, "after two failures", d, now.Add(2*minBackoff), quick, -1)
	expectNext(t, "after the second backoff", d, now.Add(3*minBackoff), quick, 0)
	fail(now.Add(3 * minBackoff))
	d.Routes().Set(vms(1, "2"))
	expectNext(t, "after a restart", d, now.Add(3*minBackoff), quick, 0)
}

// TestLateFailure checks that a failure of a query to an earlier incarnation of a VM
// does not count against the present one.
func TestLateFailure(t *testing.T) {
	now := time.Now()
	d := withRoutes(1)
	quick := []Demand{ranked("quick", false, placement.InTime, 1)}
	d.Sent(&quick[0], "vm00", quickCall)
	d.Routes().Set(vms(1, "2"))
	d.Routes().Failed("vm00", "1", now)
	expectNext(t, "after the late failure", d, now, quick, 0)
}

// TestLateQueriesKeepNoRoutes checks that routes are kept free for quick queries of work
// in time only. Those of overdue work used to count too, and slow ones of work in time
// waited for ten seconds while routes were idle.
func TestLateQueriesKeepNoRoutes(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		rank placement.Rank
		want int
	}{
		{"quick queries in time", placement.InTime, -1},
		{"overdue quick queries", placement.Overdue, 0},
	} {
		d := withRoutes(4)
		quick, slow := ranked("quick", false, c.rank, 1), ranked("slow", true, placement.InTime, 2)
		for range 100 {
			d.Sent(&quick, "vm00", quickCall)
			d.Answered(now, "vm00", quickCall)
		}
		d.Sent(&slow, "vm01", slowCall)
		expectNext(t, c.name, d, now, []Demand{slow}, c.want)
	}
}

// TestNoRouteIsKeptAfterTheLastQuickQuery guards against a route that stands idle for seconds for
// quick queries that no longer come, while slow ones wait.
func TestNoRouteIsKeptAfterTheLastQuickQuery(t *testing.T) {
	now := time.Now()
	d := withRoutes(3)
	quick, slow := ranked("quick", false, placement.InTime, 1), ranked("slow", true, placement.Late, 2)
	for range 20 {
		d.Sent(&quick, "vm00", quickCall)
		d.Answered(now, "vm00", quickCall)
	}
	d.Sent(&slow, "vm00", slowCall)
	d.Sent(&slow, "vm01", slowCall)
	expectNext(t, "just after", d, now, []Demand{slow}, -1)
	expectNext(t, "a second later", d, now.Add(arrivalWindow), []Demand{slow}, 0)
}

// TestIdleJobCountsAsInTimeWithinItsQueue guards against an idle late gang that waits for the advisor until no gang of its queue in time may start.
func TestIdleJobCountsAsInTimeWithinItsQueue(t *testing.T) {
	now := time.Now()
	idle := ranked("slow", true, placement.Late, 1)
	idle.MayStart, idle.Idle = true, true
	idle.SortKey.LatestStart = now.Add(-time.Second)
	inTime := ranked("slow", true, placement.InTime, 2)
	inTime.MayStart = true
	inTime.SortKey.LatestStart = now.Add(time.Second)
	expectNext(t, "idle and late, before one in time with a later start", withRoutes(4), now, []Demand{inTime, idle}, 1)
}
