package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestGangWithRoomAsksBeforeThoseWithout guards against a gang that waits for the advisor beside idle workers, while gangs that can't start yet learn where they may run.
func TestGangWithRoomAsksBeforeThoseWithout(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
	}{
		{"in time", 0},
		{"late", 100 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) { playGangBehindQueries(t, tc.age) })
	}
}

// playGangBehindQueries submits a gang that was accepted so long ago, behind as many others as may
// ask ahead, with one VM to query through.
func playGangBehindQueries(t *testing.T, age time.Duration) {
	inCell(t, 0, func(c *cell) {
		const gangs = 2 * minHeldGangs
		c.advise(siteAdvice, 1)
		c.addUnadvisedQueue()
		c.addLargeWorkers()
		c.outcome = longRuns
		long := tasks(36, 60)
		long.Estimate = time.Hour
		c.submitTo("unadvised", "long", long)
		c.start("a")
		time.Sleep(time.Second)
		// The idle workers hold 12 of these tasks.
		large := gang(20, 60)
		large.Estimate = time.Minute
		for n := range gangs {
			c.submit(fmt.Sprintf("large%d", n), large)
		}
		time.Sleep(100 * time.Millisecond)
		small := gang(6, 19)
		small.Estimate = time.Minute
		c.submitAt(time.Now().Add(-age), "small", small)
		expectStartWithin(c, "small", time.Now(), lostAfter)
	})
}
