package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// TestJobOfRemovedQueueAsksAdvisor: starts of a job whose queue was removed carried no ticket and were refused for ever.
func TestJobOfRemovedQueueAsksAdvisor(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		inCell(t, 4, func(c *cell) {
			c.advise(site.Advice{Base: 20 * time.Millisecond, PerUpstream: time.Millisecond, TicketLifetime: 2 * time.Second}, 0.7)
			c.fleet.RequireTickets()
			leader := c.start("a")
			time.Sleep(2 * time.Second)
			next := c.start("b")
			time.Sleep(time.Second)
			c.recordQueue("q")
			c.submit("j", tasks(2, 2), after(tasks(2, 2), 0))
			time.Sleep(workTime / 2)
			expectPhase(c, leader, "j", time.Second, job.Running)
			c.removeQueues()
			if newLeader {
				leader.kill()
				leader = next
			}
			expectPhase(c, leader, "j", 3*workTime, job.Completed)
		})
	}
}

// TestRemovedQueueKeepsTimeLimit: under a new leader a job of a removed queue had only the time of its work, and counted as late at once.
func TestRemovedQueueKeepsTimeLimit(t *testing.T) {
	inCell(t, 0, func(c *cell) {
		a := c.start("a")
		time.Sleep(time.Second)
		c.recordQueue("q")
		c.removeQueues()
		c.submit("j", tasks(1, 1))
		time.Sleep(time.Second)
		q := a.replica.Queue("q")
		if q == nil {
			t.Fatal("the records have no queue")
		}
		want := time.Duration(q.Stretch*float64(workTime)) + q.Objective
		synctest.Wait()
		if got := a.scheduler.lead.jobs["j"].timeLimit; got != want {
			t.Errorf("the time limit is %v, want %v", got, want)
		}
	})
}

// recordQueue appends the settings of a queue, as an entry VM does with its first job.
func (c *cell) recordQueue(name string) {
	c.t.Helper()
	e, err := job.QueueEntry(name, job.NewQueueSettings(c.currentCatalog().Queue(name), c.currentCatalog().Version))
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.store.Append(c.ctx, []site.Entry{e}); err != nil {
		c.t.Fatal(err)
	}
}

// removeQueues publishes a version without queues.
func (c *cell) removeQueues() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.catalog
	next.Version++
	next.Queues = nil
	c.catalog = next.Index()
}
