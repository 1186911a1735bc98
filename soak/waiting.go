package main

import (
	"fmt"
	"sync"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

type (
	// waitJudge finds jobs that have nothing running although a task of theirs could run, as
	// the workers and callers see it.
	waitJudge struct {
		c *cell
		// since is the end of the last fault, or the begin of the soak with atAnyTime.
		since time.Time
		// atAnyTime is set if the judge counts the waits of all calm times, however much of the
		// service is in use.
		atAnyTime bool
		// longWaits is the number of waits of maxIdleWait and more.
		longWaits int
		// waits holds the jobs that wait now by their ids, and so the tasks that last.
		waits map[string]*idleWait
		// lastingRuns holds the tasks that last which ran at the last look, lastRun until when others
		// may have run.
		lastingRuns map[site.TaskID]bool
		lastRun     map[site.TaskID]time.Time
		// longest is the longest wait so far.
		longest time.Duration
		// lookedAt is when the judge looked last, longestGap the longest time between two looks.
		// A long one shows that the soak itself did not run.
		lookedAt   time.Time
		longestGap time.Duration
		// statusAt is when the next line on the use of the service is due.
		statusAt time.Time
	}

	// idleWait is a span in which a job has nothing running although it could.
	idleWait struct {
		began, seen time.Time
		longestGap  time.Duration
		// first is what was seen as the span began.
		first room
	}

	// longWaits are the waits of maxIdleWait and more, by the ids of the jobs. Two judges may see the
	// same one.
	longWaits struct {
		mu    sync.Mutex
		waits map[string][]longWait
	}

	// longWait is a long wait and what its judge says of it.
	longWait struct {
		began, seen time.Time
		text        string
	}

	// room is the capacity for a step at one moment.
	room struct {
		queue string
		step  int
		// tasks is the number of tasks that still have to run, needed the places for twice what
		// may start.
		tasks, needed int
		// places is how many of the step's tasks fit on the workers that the advisor admits,
		// usable the number of these that have a place.
		places, usable, admitted int
		teamUse, serviceUse      resource.Vector
	}

	// occupancy is the use of the service at one moment.
	occupancy struct {
		*fleet.Usage
		running map[string]bool
		teams   map[string]resource.Vector
		used    resource.Vector
		whole   resource.Vector
	}
)

const (
	// maxIdleWait is the longest time for which a job that could run may have nothing running.
	maxIdleWait = 3 * time.Second
	// calmBefore is the time without faults before a wait counts.
	calmBefore    = 4 * time.Second
	judgeInterval = 100 * time.Millisecond
	// statusInterval is the time between two lines that say how busy the service is.
	statusInterval = 2 * time.Second
	// spareFactor is the multiple of the places that a step must find.
	spareFactor = 2
)

// judgeWaiting starts the judge of the waits after the last fault. The returned function ends it.
func (c *cell) judgeWaiting(since time.Time) (end func()) {
	return c.newWaitJudge(since, false).start(calmBefore)
}

// judgeCalmTimes starts the judge of the waits in the calm between the faults of a site, too. The
// returned function ends it.
func (c *cell) judgeCalmTimes() (end func()) {
	if c.site == nil {
		return func() {}
	}
	return c.newWaitJudge(time.Now(), true).start(0)
}

func (c *cell) newWaitJudge(since time.Time, atAnyTime bool) *waitJudge {
	return &waitJudge{c: c, since: since, atAnyTime: atAnyTime, waits: map[string]*idleWait{}, lastRun: map[site.TaskID]time.Time{}}
}

// start starts the judge after a delay.
func (w *waitJudge) start(delay time.Duration) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.run(stop, delay)
	}()
	return func() {
		close(stop)
		<-done
		w.finish()
	}
}

func (w *waitJudge) run(stop <-chan struct{}, delay time.Duration) {
	time.Sleep(time.Until(w.since.Add(delay)))
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			w.check(now)
		}
	}
}

// check looks at all jobs once.
func (w *waitJudge) check(now time.Time) {
	w.measureGap(now)
	jobs := w.c.unfinishedJobs()
	o := w.c.occupancy()
	lasting := w.c.lastingJobs()
	w.noteLastingRuns(o, lasting, now)
	could := map[string]bool{}
	if w.applies(o) {
		for _, j := range jobs {
			if r, found := w.c.roomFor(o, j); found {
				could[j.id] = true
				w.note(j.id, r, now)
			}
		}
		for _, j := range lasting {
			w.checkLasting(o, j, now, could)
		}
	}
	for id := range w.waits {
		if !could[id] {
			w.end(id)
		}
	}
	w.status(o, len(jobs), now)
}

// measureGap notes how long ago the judge looked last.
func (w *waitJudge) measureGap(now time.Time) {
	if !w.lookedAt.IsZero() {
		gap := now.Sub(w.lookedAt)
		w.longestGap = max(w.longestGap, gap)
		for _, wait := range w.waits {
			wait.longestGap = max(wait.longestGap, gap)
		}
	}
	w.lookedAt = now
}

// applies reports whether jobs that could run count as waiting now.
func (w *waitJudge) applies(o *occupancy) bool {
	if w.atAnyTime {
		return w.c.disruptions.calmFor(calmBefore)
	}
	return o.underHalf(o.used, o.whole)
}

// status prints how many jobs are open and how many wait, each statusInterval.
func (w *waitJudge) status(o *occupancy, open int, now time.Time) {
	if w.atAnyTime || now.Before(w.statusAt) {
		return
	}
	w.statusAt = now.Add(statusInterval)
	fmt.Printf("%s %.1f s after the last fault: %d jobs open, %d with a run, %d could run, service uses %v of %v\n",
		now.UTC().Format(time.RFC3339Nano), now.Sub(w.since).Seconds(), open, len(o.running), len(w.waits), o.used, o.whole)
}

// note records that a job, or a task that lasts, could run and has nothing running.
func (w *waitJudge) note(id string, r room, now time.Time) {
	wait := w.waits[id]
	if wait == nil {
		wait = &idleWait{began: now, first: r}
		w.waits[id] = wait
	}
	tooLong := wait.tooLong()
	wait.seen = now
	if wait.tooLong() && !tooLong && w.atAnyTime {
		fmt.Printf("%s job %s step %d has had nothing running for %v: %v\n", now.UTC().Format(time.RFC3339Nano), id, r.step, maxIdleWait, r)
	}
}

func (s *idleWait) tooLong() bool {
	return s.seen.Sub(s.began) >= maxIdleWait
}

// end ends the span of a job and reports it if it was too long.
func (w *waitJudge) end(id string) {
	wait := w.waits[id]
	delete(w.waits, id)
	w.longest = max(w.longest, wait.seen.Sub(wait.began))
	if !wait.tooLong() {
		return
	}
	w.longWaits++
	w.c.longWaits.add(id, longWait{wait.began, wait.seen, fmt.Sprintf(
		"LOST: job %s step %d had nothing running for %v from %s (%.1f s after %s) though it could run: %v, longest gap between looks %v",
		id, wait.first.step, wait.seen.Sub(wait.began).Round(judgeInterval), wait.began.UTC().Format(time.RFC3339Nano),
		wait.began.Sub(w.since).Seconds(), w.origin(), wait.first, wait.longestGap)})
}

// origin says from when the judge counts the time.
func (w *waitJudge) origin() string {
	if w.atAnyTime {
		return "the begin"
	}
	return "the last fault"
}

// add adds a wait. Of several with a moment in common the longest is left.
func (l *longWaits) add(id string, w longWait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waits == nil {
		l.waits = map[string][]longWait{}
	}
	var apart []longWait
	for _, other := range l.waits[id] {
		switch {
		case w.began.After(other.seen) || other.began.After(w.seen):
			apart = append(apart, other)
		case other.length() > w.length():
			w = other
		}
	}
	l.waits[id] = append(apart, w)
}

func (w *longWait) length() time.Duration {
	return w.seen.Sub(w.began)
}

// reportLongWaits reports the long waits once all judges have ended.
func (c *cell) reportLongWaits() {
	c.longWaits.mu.Lock()
	defer c.longWaits.mu.Unlock()
	for _, list := range c.longWaits.waits {
		for _, w := range list {
			c.violations.add(violation(w.text))
		}
	}
}

// finish ends all spans.
func (w *waitJudge) finish() {
	for id := range w.waits {
		w.end(id)
	}
	fmt.Printf("from %s on: %d waits of %v or more of jobs that could run, the longest %v, longest gap between looks %v\n",
		w.origin(), w.longWaits, maxIdleWait, w.longest, w.longestGap)
}

func (r room) String() string {
	return fmt.Sprintf("queue %s, %d tasks to run, %d places needed, %d places on %d of %d admitted workers, team uses %v, service uses %v",
		r.queue, r.tasks, r.needed, r.places, r.usable, r.admitted, r.teamUse, r.serviceUse)
}

// occupancy returns the use of the service and of its teams.
func (c *cell) occupancy() *occupancy {
	o := &occupancy{Usage: c.fleet.Usage(), running: map[string]bool{}, teams: map[string]resource.Vector{}}
	for _, t := range o.Running {
		o.running[t.Job] = true
		size, _ := c.taskSize(t)
		if j := c.clientOf(t.Job); j != nil {
			o.teams[j.key] = o.teams[j.key].Add(size)
		}
	}
	for i := range o.Workers {
		if c.hasEnded(o.Workers[i].ID) {
			continue
		}
		o.used = o.used.Add(o.Workers[i].Used)
		o.whole = o.whole.Add(o.Workers[i].Capacity)
	}
	return o
}

// underHalf reports whether less than half of a limit is in use. A limit of 0 means none.
func (o *occupancy) underHalf(used, limit resource.Vector) bool {
	return (limit.MilliCPU == 0 || 2*used.MilliCPU < limit.MilliCPU) && (limit.MemoryMB == 0 || 2*used.MemoryMB < limit.MemoryMB)
}

// roomFor returns the room for the first step of a job that could run, if the job has nothing
// running and its team is under half of its limit. Tasks that last are judged one by one, and those
// that crash workers are held back.
func (c *cell) roomFor(o *occupancy, j *jobClient) (room, bool) {
	if j.lasting || j.poison || o.running[j.id] || !o.underHalf(o.teams[j.key], c.teamLimitOf(j.key)) {
		return room{}, false
	}
	for step := range j.steps {
		tasks := o.remaining(j, step)
		if tasks == 0 || !o.isReady(j, step) {
			continue
		}
		r := c.roomForStep(o, j, step)
		r.tasks = tasks
		if r.places >= r.needed {
			return r, true
		}
	}
	return room{}, false
}

// isReady reports whether all tasks of the steps before a step are done.
func (o *occupancy) isReady(j *jobClient, step int) bool {
	for _, before := range j.steps[step].After {
		if o.remaining(j, before) > 0 {
			return false
		}
	}
	return true
}

// remaining returns the number of tasks of a step that are not done.
func (o *occupancy) remaining(j *jobClient, step int) int {
	n := 0
	for i := range j.steps[step].Count {
		if !o.Done(site.TaskID{Job: j.id, Step: step, Index: i}) {
			n++
		}
	}
	return n
}

// roomForStep counts the places for a step on the workers that the advisor admits.
func (c *cell) roomForStep(o *occupancy, j *jobClient, step int) room {
	b := &j.steps[step]
	r := room{queue: j.queueName(), step: step, needed: spareFactor, teamUse: o.teams[j.key], serviceUse: o.used}
	if b.Gang {
		r.needed = spareFactor * b.Count
	}
	for i := range o.Workers {
		w := &o.Workers[i]
		if !w.Up || !c.admits(j.id, step, w.ID) {
			continue
		}
		r.admitted++
		if n := int(b.size().Count(w.Capacity.Sub(w.Used), int64(r.needed))); n > 0 {
			r.places += n
			r.usable++
		}
	}
	return r
}
