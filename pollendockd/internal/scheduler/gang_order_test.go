package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// slowAdvice has the times of an advisor whose calls are slow.
var slowAdvice = site.Advice{Base: 390 * time.Millisecond, PerUpstream: 5 * time.Millisecond, TicketLifetime: 1500 * time.Millisecond}

// lostAfter is how long a step may wait beside free capacity with nothing of its job running.
const lostAfter = 3 * time.Second

// addUnadvisedQueue adds a queue whose steps need no advice.
func (c *cell) addUnadvisedQueue() {
	c.catalog.Queues = append(c.catalog.Queues, site.Queue{Name: "unadvised", Service: "s", MaxAttempts: 2, Stretch: 2, Objective: time.Second})
	c.catalog.Index()
}

// occupyTwoWorkers submits a job without advice that runs for so long. Others need advice.
func (c *cell) occupyTwoWorkers(long job.Step, takes time.Duration) {
	c.advise(slowAdvice, 1)
	c.addUnadvisedQueue()
	c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
		if t.Job == "long" {
			return takes, site.Done
		}
		return workTime, site.Done
	}
	c.submitTo("unadvised", "long", long)
}

// TestLateGangAsksBesideOverdueReservations guards against a late gang that never queries about
// idle workers, since an overdue gang, which comes after it, has them reserved.
func TestLateGangAsksBesideOverdueReservations(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		c.advise(slowAdvice, 1)
		c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			switch {
			case t.Job == "long":
				return 5 * time.Minute, site.Done
			case t.Job == "late" && t.Step == 0:
				return 4 * workTime, site.Done
			}
			return workTime, site.Done
		}
		late := gang(2, 6)
		late.Estimate = 5 * workTime
		c.submit("long", tasks(2, 10))
		c.submitAt(time.Now().Add(-20*time.Second), "late", tasks(1, 1), after(late, 0))
		c.submitAt(time.Now().Add(-5*time.Minute), "overdue", gang(6, 6))
		v := c.start("a")
		c.join("b")
		expectPhase(c, v, "late", 9*workTime, job.Completed)
	})
}

// TestGangUsesCapacityReservedForMuchLater guards against an overdue gang that never queries about
// idle workers once its first tickets have expired, since they are reserved for others that can
// start only long after it would end.
func TestGangUsesCapacityReservedForMuchLater(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		const longTime = 5 * time.Minute
		c.advise(slowAdvice, 1)
		c.outcome = func(t site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
			switch {
			case t.Job == "long":
				return longTime, site.Done
			case t.Job == "small" && t.Step == 2 && run == 1:
				return workTime, site.Failed
			}
			return workTime, site.Done
		}
		long := tasks(2, 10)
		long.Estimate = longTime
		c.submit("long", long)
		overdue := time.Now().Add(-time.Hour)
		for n := range minHeldGangs - 1 {
			c.submitAt(overdue, fmt.Sprintf("wide%d", n), tasks(1, 1), after(gang(6, 6), 0))
		}
		c.submitAt(overdue, "small", tasks(1, 1), after(tasks(1, 1), 0), after(gang(2, 6), 1))
		v := c.start("a")
		c.join("b")
		expectPhase(c, v, "small", 20*time.Second, job.Completed)
	})
}

// TestOverdueTurnsPassOn guards against an overdue gang that never starts beside idle workers,
// which gangs before it reserve in turn while they wait for runs beyond their estimates.
func TestOverdueTurnsPassOn(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		c.advise(slowAdvice, 1)
		c.outcome = func(t site.TaskID, _ int64, _ string) (time.Duration, site.EndKind) {
			if t.Job == "long" {
				return 5 * time.Minute, site.Done
			}
			return workTime, site.Done
		}
		long := time.Now().Add(-5 * time.Minute)
		c.submit("long", tasks(2, 10))
		for n := range 2 * minHeldGangs {
			c.submitAt(long, fmt.Sprintf("wide%d", n), tasks(1, 1), after(gang(6, 6), 0))
		}
		c.submitAt(long, "small", tasks(1, 1), after(tasks(1, 1), 0), after(gang(2, 6), 1))
		v := c.start("a")
		c.join("b")
		expectPhase(c, v, "small", 10*overdueTurnTime, job.Completed)
	})
}

// TestOverdueGangWithRoomGoesFirst guards against an overdue gang that does not start beside idle
// workers until many gangs before it, which wait for others to end, have had their turns.
func TestOverdueGangWithRoomGoesFirst(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		c.occupyTwoWorkers(tasks(2, 10), time.Hour)
		overdue := time.Now().Add(-time.Hour)
		for n := range 5 * minHeldGangs {
			c.submitAt(overdue, fmt.Sprintf("wide%d", n), gang(6, 6))
		}
		c.submitAt(overdue, "small", gang(2, 6))
		v := c.start("a")
		c.join("b")
		expectPhase(c, v, "small", 15*time.Second, job.Completed)
	})
}

// TestTasksAskBesideCapacityReservedForMuchLater guards against tasks that never query about idle
// workers, since all of these are reserved for a gang that can start only long after they end.
func TestTasksAskBesideCapacityReservedForMuchLater(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		const longTime = 5 * time.Minute
		long := tasks(2, 10)
		long.Estimate = longTime
		c.occupyTwoWorkers(long, longTime)
		overdue := time.Now().Add(-time.Hour)
		c.submitAt(overdue, "wide", gang(6, 10))
		c.submitAt(overdue, "small", tasks(1, 1), after(tasks(1, 1), 0))
		v := c.start("a")
		c.join("b")
		expectPhase(c, v, "small", 2*workTime+lostAfter, job.Completed)
	})
}

// TestShortTaskUsesReservedCapacityBehindLongOne guards against a short task that does not start on idle workers, which are reserved for a gang that starts long after it would end, since a long task before it may not.
func TestShortTaskUsesReservedCapacityBehindLongOne(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		const longTime = 5 * time.Minute
		long, wide, later := tasks(2, 10), gang(6, 10), tasks(1, 1)
		long.Estimate, wide.Estimate, later.Estimate = longTime, longTime, 2*longTime
		c.occupyTwoWorkers(long, longTime)
		c.submitTo("unadvised", "wide", wide)
		c.submitToAt(time.Now().Add(-5*longTime), "unadvised", "later", later)
		c.submitToAt(time.Now().Add(-2*workTime), "unadvised", "small", tasks(1, 1))
		c.start("a")
		time.Sleep(2*time.Second + lostAfter)
		if c.fleet.Starts(site.TaskID{Job: "small"}) == 0 {
			t.Error("the short task has not started")
		}
		if c.fleet.Starts(site.TaskID{Job: "later"}) != 0 {
			t.Error("the long task has started")
		}
	})
}

// TestGangWithRoomPrecedesThoseInTurn guards against an overdue gang that waits beside idle
// workers for the end of the turn of another, which waits for runs beyond their estimates.
func TestGangWithRoomPrecedesThoseInTurn(t *testing.T) {
	inCell(t, 6, func(c *cell) {
		c.occupyTwoWorkers(tasks(2, 10), time.Hour)
		overdue := time.Now().Add(-time.Hour)
		c.submitAt(overdue, "wide", gang(6, 6))
		c.submitAt(overdue, "small", tasks(1, 1), after(gang(2, 6), 0))
		v := c.start("a")
		c.join("b")
		expectPhase(c, v, "small", 2*workTime+lostAfter, job.Completed)
	})
}

// TestTurnsOfNoUseEnd checks which overdue gangs keep their turn after a pass.
func TestTurnsOfNoUseEnd(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		why    waitReason
		r      *reservation
		asking bool
		keeps  bool
	}{
		{"capacity is reserved", reserved, &reservation{}, false, true},
		{"there is room, reserved for others", unreserved, &reservation{hasRoom: true}, false, true},
		{"it has to ask about more workers", unreserved, &reservation{askMore: true}, false, true},
		{"it waits for an answer", unreserved, nil, true, true},
		{"too few workers are allowed", unreserved, &reservation{}, false, false},
		{"the team is at its limit", teamLimit, &reservation{hasRoom: true}, false, false},
	} {
		l := &leadership{overdueTurns: 1}
		tj := &trackedJob{advice: []*stepAdvice{{asking: c.asking}}, reservation: c.r, turn: overdueTurn{until: now.Add(time.Second)}}
		ws := &waitingStep{tj: tj, why: c.why}
		l.yieldTurn(&pass{now: now}, ws)
		if ws.hasTurn(now) != c.keeps || (l.overdueTurns == 1) != c.keeps {
			t.Errorf("%s: has its turn: %v, %d turns, want %v", c.name, ws.hasTurn(now), l.overdueTurns, c.keeps)
		}
	}
}
