package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// cutTime is how long VMs are cut off from workers.
const cutTime = 30 * time.Second

// TestRequestsOfRestartedVMsRunNoTaskTwice checks with random series that no task runs twice: workers die with the leader that has just
// started runs there, come back under their ids and execute requests late, leaders are cut off and live on, and all VMs restart.
// SERIES_SEEDS is the number of seeds, SERIES_FIRST the first one.
func TestRequestsOfRestartedVMsRunNoTaskTwice(t *testing.T) {
	playSeries(t, (*faultSeries).playRestarts)
}

func (s *faultSeries) playRestarts() {
	s.fleet.KeepIDs()
	s.fleet.SilenceCrashes()
	for i := range seriesWorkers {
		s.fleet.Add(fmt.Sprintf("w%02d", i), "s", resource.Vector{MilliCPU: seriesCores * 1000, MemoryMB: 10_000})
	}
	s.useTickets()
	s.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 25 * time.Second, site.Done }
	s.peersAnswer.Store(s.rnd.IntN(4) > 0)
	for ; s.n < 4; s.n++ {
		s.alive = append(s.alive, s.start(fmt.Sprintf("vm%d", s.n)))
		time.Sleep(3 * time.Second)
	}
	// Some series have young workers, others workers that hold no long leases any more.
	time.Sleep(time.Duration(s.rnd.IntN(3)) * 15 * time.Second)
	for i := range 4 {
		s.submit(fmt.Sprintf("k%d", i), tasks(1+s.rnd.IntN(4), 1))
	}
	time.Sleep(time.Duration(s.rnd.IntN(3000)) * time.Millisecond)
	for range 1 + s.rnd.IntN(3) {
		s.playDeaths()
	}
	time.Sleep(4 * time.Minute)
	for _, id := range s.open {
		// A job that is not there has ended long ago.
		if j := s.alive[0].replica.Job(id); j != nil && !j.Phase().Final() {
			s.t.Errorf("seed %d: job %s has not ended: %+v", s.seed, id, j.State)
		}
	}
}

// playDeaths starts runs whose requests some workers execute late, and lets these workers die at about
// the time at which the leader does.
func (s *faultSeries) playDeaths() {
	for i := range seriesWorkers {
		s.worker(i).DelayStarts(s.rnd.IntN(4), s.lateness())
		s.worker(i).DelayHolds(s.rnd.IntN(3), s.lateness())
	}
	for range 1 + s.rnd.IntN(4) {
		id := fmt.Sprintf("r%03d", s.n)
		s.n++
		step := tasks(1+s.rnd.IntN(4), 2)
		step.Gang = s.rnd.IntN(2) == 0
		s.submit(id, step)
		s.open = append(s.open, id)
	}
	time.Sleep(time.Duration(s.rnd.IntN(400)) * time.Millisecond)
	for i := range seriesWorkers {
		if s.rnd.IntN(3) == 0 {
			s.loseWorker(s.worker(i))
		}
	}
	s.endLeaderSomehow()
	for i := range seriesWorkers {
		s.worker(i).DelayStarts(0, 0)
		s.worker(i).DelayHolds(0, 0)
	}
	if s.rnd.IntN(3) == 0 {
		time.Sleep(time.Duration(s.rnd.IntN(3000)) * time.Millisecond)
		s.restartVMs()
	}
	time.Sleep(time.Duration(s.rnd.IntN(9000)) * time.Millisecond)
}

// loseWorker ends a worker that comes back within 15 s, or cuts it off from all VMs. Some don't answer
// for a while once they are back.
func (s *faultSeries) loseWorker(wk *fleet.Worker) {
	silent := time.Duration(s.rnd.IntN(35_000)) * time.Millisecond
	restart := time.Duration(s.rnd.IntN(15_000)) * time.Millisecond
	wk.SetSilent(true)
	switch s.rnd.IntN(4) {
	case 0:
		wk.Crash()
	case 1, 2:
		time.AfterFunc(restart, wk.Reboot)
		if s.rnd.IntN(2) == 0 {
			silent = restart
		}
	}
	time.AfterFunc(silent, func() { wk.SetSilent(false) })
}

// endLeaderSomehow kills the leader, or cuts it off from the store and from some workers.
func (s *faultSeries) endLeaderSomehow() {
	if s.rnd.IntN(3) > 0 {
		s.replaceLeader()
		return
	}
	for i, v := range s.alive {
		if !leads(v) {
			continue
		}
		old := s.alive[i]
		s.alive[i] = s.start(fmt.Sprintf("vm%d", s.n))
		s.n++
		for w := range seriesWorkers {
			id := fmt.Sprintf("w%02d", w)
			if s.rnd.IntN(4) > 0 {
				old.stream.cutWorkers.Store(id, true)
				continue
			}
			// None of the others reaches what it reaches.
			for _, other := range s.alive {
				other.stream.cutWorkers.Store(id, true)
			}
		}
		old.stream.cutOff(true)
		time.AfterFunc(time.Duration(s.rnd.IntN(25_000))*time.Millisecond, func() { old.stream.cutOff(false) })
		for _, v := range append(s.alive[:len(s.alive):len(s.alive)], old) {
			time.AfterFunc(cutTime, v.stream.cutWorkers.Clear)
		}
		return
	}
}

// restartVMs restarts all VMs under their names. Those that were cut off before live on.
func (s *faultSeries) restartVMs() {
	after := time.Duration(s.rnd.IntN(2000)) * time.Millisecond
	for _, v := range s.alive {
		v.kill()
	}
	time.Sleep(after)
	for i, v := range s.alive {
		next := s.cell.start(v.scheduler.opt.Name)
		v.stream.cutWorkers.Range(func(id, _ any) bool {
			next.stream.cutWorkers.Store(id, true)
			return true
		})
		time.AfterFunc(cutTime, next.stream.cutWorkers.Clear)
		s.alive[i] = next
	}
}
