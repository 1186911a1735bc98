package scheduler

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/pause"
)

type (
	campaignDone struct {
		epoch int64
		won   bool
		err   error
	}
)

const (
	// silenceLimit is how long a leader may append nothing before others stand.
	silenceLimit = 450 * time.Millisecond
	// resignedLimit is the same after the leader has stepped down and its
	// successor has not begun.
	resignedLimit = 300 * time.Millisecond
	// standGap parts the VMs that stand, so that one wins, up to standSlots.
	standGap   = 100 * time.Millisecond
	standSlots = 12
	// standAgain parts the campaigns of one VM.
	standAgain = 200 * time.Millisecond
	// freshLimit is how new the last answer of the stream must be to judge a
	// leader's silence.
	freshLimit = 900 * time.Millisecond
	// slowTimes is how many calls of the stream a leader may need to be heard.
	slowTimes = 12
	// slowCall is a call of a slow stream; each VM then waits turnTimes calls
	// for every VM before it.
	slowCall        = 60 * time.Millisecond
	turnTimes       = 10
	campaignTimeout = 6 * time.Second
	// standTimeout bounds the append of a campaign, whose answer may be lost, on
	// a stream that is not slow.
	standTimeout = time.Second
)

// considerCampaign stands for leadership if no leader is heard of.
func (s *Scheduler) considerCampaign() {
	if s.campaigning || s.stopping || !s.deps.Follower.Loaded() || !s.deps.Follower.Fresh(freshLimit) {
		return
	}
	l, _ := s.deps.View.Leader()
	if l.Incarnation == s.opt.Incarnation && l.Epoch > s.over {
		// The record of a campaign without an answer has taken effect, perhaps
		// after this VM has stood again.
		s.beginLeadership(l.Epoch)
		return
	}
	silence := s.deps.Follower.LeaderSilence()
	gone := l.Incarnation == "" || l.Incarnation == s.endedLeader || s.restarted(l.Incarnation) || l.Epoch > 0 && l.Epoch == s.yielded
	slot := time.Duration(s.succession(&l)) * standGap
	limit := silenceLimit + slot
	if l.Incarnation == "" {
		limit = resignedLimit + slot
		if l.Epoch == 0 {
			limit = slot
		}
		if l.Successor == s.opt.Incarnation {
			limit = 0
		}
	} else if gone {
		limit = slot
	}
	if call := s.deps.Follower.CallTime(); call > slowCall && !gone {
		// Its records take that long as well. A campaign would find that out with
		// a read more, of each VM.
		limit += slowTimes * call
	}
	if silence < limit || time.Since(s.stoodAt) < standAgain {
		return
	}
	s.stand(l, silence, limit, gone)
}

// succession returns where this VM stands in the order of those that may follow a
// leader: one of them in each term is first, and the others wait for it. Strong
// VMs come before weak ones, since the leader has the most to do, and a successor
// that the leader has named before all.
func (s *Scheduler) succession(l *job.Leader) int {
	if l.Successor == s.opt.Incarnation {
		return 0
	}
	rank := func(incarnation string) uint64 {
		return xxhash.Sum64String(fmt.Sprint(incarnation, l.Epoch))
	}
	mine := rank(s.opt.Incarnation)
	place := 0
	for _, m := range s.deps.View.Members() {
		if m.Incarnation == l.Incarnation || m.Incarnation == s.opt.Incarnation {
			continue
		}
		if m.Incarnation == l.Successor || m.CPUCores > s.opt.CPUCores || m.CPUCores == s.opt.CPUCores && rank(m.Incarnation) < mine {
			place++
		}
	}
	return min(place, standSlots)
}

// restarted reports whether the VM of an incarnation has listed itself under
// another one since: its process was killed.
func (s *Scheduler) restarted(incarnation string) bool {
	name, _, _ := strings.Cut(incarnation, "/")
	m, listed := s.deps.View.Members()[name]
	return listed && m.Incarnation != incarnation
}

// stand appends the record of a new term. All VMs that stand after the same leader
// choose the same epoch, of which the stream takes only one first append: the
// second VM, 0.1 s later, would else end the term that has just begun. Who has won
// is known once the book shows it.
func (s *Scheduler) stand(l job.Leader, silence, limit time.Duration, gone bool) {
	epoch := l.Epoch + 1
	s.campaigning = true
	s.stoodAt = time.Now()
	_ = level.Info(s.deps.Logger).Log("msg", "standing for leadership", "epoch", epoch,
		"lastEpoch", l.Epoch, "lastLeader", l.Incarnation, "silenceMs", silence.Milliseconds())
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, campaignTimeout)
		defer cancel()
		won, err := s.runCampaign(ctx, l, epoch, limit, gone)
		s.post(campaignDone{epoch, won, err})
	}()
}

func (s *Scheduler) runCampaign(ctx context.Context, last job.Leader, epoch int64, limit time.Duration, gone bool) (bool, error) {
	call, slow, err := s.leaderMayLive(ctx, last, limit, gone)
	if err != nil || slow {
		return false, err
	}
	e, err := job.LeaderEntry(&job.Leader{Epoch: epoch, Incarnation: s.opt.Incarnation})
	if err != nil {
		return false, err
	}
	if err := s.appendCampaign(ctx, epoch, e, max(standTimeout, slowTimes*call)); err != nil && !site.ErrUnknown.Has(err) {
		return false, err
	}
	// Without an answer the record tells whether it was added.
	if err := s.deps.Follower.Sync(ctx); err != nil {
		return false, err
	}
	l, _ := s.deps.View.Leader()
	return l.Epoch == epoch && l.Incarnation == s.opt.Incarnation, nil
}

func (s *Scheduler) appendCampaign(ctx context.Context, epoch int64, e site.Entry, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := s.deps.Stream.AppendAs(ctx, site.Term{Epoch: epoch}, []site.Entry{e})
	return err
}

// leaderMayLive reads on. It returns the time of a call, and whether a sign of a
// leader has come, or may still come since the stream is slow: its records take
// long as well. With a slow stream VMs wait longer for those before them, too,
// since a campaign that follows another ends the term that has just begun.
func (s *Scheduler) leaderMayLive(ctx context.Context, last job.Leader, limit time.Duration, gone bool) (time.Duration, bool, error) {
	began := time.Now()
	if err := s.deps.Follower.Sync(ctx); err != nil {
		return 0, false, err
	}
	call := time.Since(began)
	if call > slowCall {
		limit += slowTimes * call
	}
	if !gone && s.deps.Follower.LeaderSilence() < limit {
		return call, true, nil
	}
	if call > slowCall {
		pause.For(ctx, time.Duration(s.succession(&last))*turnTimes*call)
		if err := s.deps.Follower.Sync(ctx); err != nil {
			return call, false, err
		}
	}
	now, _ := s.deps.View.Leader()
	return call, now != last, nil
}

func (e campaignDone) handle(s *Scheduler) {
	s.campaigning = false
	_ = level.Info(s.deps.Logger).Log("msg", "campaign ended", "epoch", e.epoch, "won", e.won, "err", e.err)
	if e.won && s.lead == nil && !s.stopping && e.epoch > s.over {
		s.beginLeadership(e.epoch)
	}
}
