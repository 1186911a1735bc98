package main

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestTaskThatLastsIsBackAtWork checks how long a task that lasts may be away while it could run.
func TestTaskThatLastsIsBackAtWork(t *testing.T) {
	const ran = time.Second
	for _, c := range []struct {
		name string
		// started is the number of the two tasks that are started; ends is set if the first of them
		// ends after it has run.
		started int
		ends    bool
		// others is the number of runs of another job of the team: 4 are more than half of its limit.
		others int
		wait   time.Duration
		want   int
	}{
		{"both run", 2, false, 0, time.Minute, 0},
		{"one is away beside the other", 2, true, 0, backAtWork + maxIdleWait, 1},
		{"one is away for less", 2, true, 0, backAtWork + maxIdleWait - judgeInterval, 0},
		{"one has never run", 1, false, 0, maxIdleWait, 1},
		{"none has run", 0, false, 0, maxIdleWait, 2},
		{"none has run for less", 0, false, 0, maxIdleWait - judgeInterval, 0},
		{"team over half of its limit", 2, true, 4, time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newJudgedCell(t, []stepBody{{Count: 2, CPU: 1000, MemMB: 1, LongRunning: true}}, c.others)
				cell.jobs["other"].state = completed
				cell.jobs[testJob].lasting = true
				cell.jobs[testJob].runTime = lastingRun
				for i := range c.started {
					cell.start(t, testJob, i, workerName(4+i))
				}
				length := c.wait
				if c.ends {
					length += ran
				}
				judge(cell, length, func(at time.Duration) {
					if c.ends && at == ran {
						cell.fleet.Worker(workerName(4)).Reboot()
					}
				}, cell.newWaitJudge(time.Now(), true))
				if got := len(cell.violations.violations); got != c.want {
					t.Errorf("got %d violations, want %d: %v", got, c.want, cell.violations.violations)
				}
			})
		})
	}
}
