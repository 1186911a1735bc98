package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// TestNoTaskRunsTwiceInMixedSeries checks with random series of late starts and holds, restarts 0 to 15 s after deaths, cut workers, leaders that
// die, pause or lose the stream, and slow appends, that no task runs twice. SERIES_SEEDS is the number of seeds, SERIES_FIRST the first one.
func TestNoTaskRunsTwiceInMixedSeries(t *testing.T) {
	playSeries(t, (*faultSeries).playMixed)
}

// pauseNow stops the process of a VM.
type pauseNow struct{ length time.Duration }

func (e pauseNow) handle(*Scheduler) { time.Sleep(e.length) }

func (s *faultSeries) playMixed() {
	const maxLease = 10 * time.Second
	s.setMaxLease(maxLease)
	s.fleet.KeepIDs()
	s.outcome = func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return 25 * time.Second, site.Done }
	if s.seed%2 == 0 {
		a := site.Advice{Base: 20 * time.Millisecond, PerUpstream: time.Millisecond, TicketLifetime: 1500 * time.Millisecond}
		s.advise(a, 1)
		s.advisor = fleet.NewAdvisorOf(s.fleet, func(string) fleet.AdviceTerms { return fleet.AdviceTerms{Advice: a, Good: 1} })
		s.fleet.CheckTickets()
	}
	for i := range seriesWorkers {
		s.fleet.Add(fmt.Sprintf("w%02d", i), "s", resource.Vector{MilliCPU: seriesCores * 1000, MemoryMB: 10_000})
	}
	for ; s.n < 4; s.n++ {
		s.alive = append(s.alive, s.cell.start(fmt.Sprintf("vm%d", s.n)))
		time.Sleep(time.Second)
	}
	time.Sleep(time.Duration(s.rnd.IntN(30)) * time.Second)
	for i := range 30 {
		s.mixedEvent(i)
		time.Sleep(time.Duration(s.rnd.IntN(1500)) * time.Millisecond)
	}
	s.store.SetSilent(false)
	s.store.SetAppendDelay(0)
	time.Sleep(2 * time.Minute)
	n, again := 0, 0
	for i := range 30 {
		for k := range 4 {
			c := s.fleet.Starts(site.TaskID{Job: fmt.Sprintf("j%02d", i), Index: k})
			n += min(c, 1)
			if c > 1 {
				again++
			}
		}
	}
	s.t.Logf("%d tasks started, %d of them again", n, again)
}

func (s *faultSeries) mixedEvent(i int) {
	wk := s.worker(s.rnd.IntN(seriesWorkers))
	switch s.rnd.IntN(10) {
	case 0, 1, 2:
		s.submit(fmt.Sprintf("j%02d", i), tasks(1+s.rnd.IntN(4), 2))
	case 3:
		wk.DelayStarts(1+s.rnd.IntN(3), s.lateness())
	case 4:
		wk.DelayHolds(1+s.rnd.IntN(3), s.lateness())
	case 5, 6:
		// It dies, with its leader or not, and is back later.
		wk.SetSilent(true)
		back := time.Duration(s.rnd.IntN(15000)) * time.Millisecond
		if s.rnd.IntN(2) == 0 {
			wk.Reboot()
		} else {
			time.AfterFunc(back, wk.Reboot)
		}
		time.AfterFunc(back+time.Duration(s.rnd.IntN(20000))*time.Millisecond, func() { wk.SetSilent(false) })
		if s.rnd.IntN(2) == 0 {
			s.replaceLeader()
		}
	case 7:
		s.replaceLeader()
	case 8:
		s.store.SetAppendDelay(time.Duration(s.rnd.IntN(1200)) * time.Millisecond)
		time.AfterFunc(3*time.Second, func() { s.store.SetAppendDelay(0) })
	case 9:
		for _, v := range s.alive {
			if leads(v) {
				v.scheduler.post(pauseNow{time.Duration(s.rnd.IntN(4000)) * time.Millisecond})
			}
		}
	}
}
