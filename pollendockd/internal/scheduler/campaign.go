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
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	campaignDone struct {
		epoch int64
		// sentAt is when this VM first campaigned for the epoch.
		sentAt time.Time
		won    bool
		err    error
	}
)

const (
	// leaderTimeout is how long a leader may append nothing before other VMs campaign.
	leaderTimeout = 450 * time.Millisecond
	// resignedTimeout is the same after the leader has resigned and its successor has
	// not begun a term.
	resignedTimeout = 300 * time.Millisecond
	// VMs campaign one after the other, so that the record of the first is visible before
	// the next one begins, which takes about staggerReads reads of the stream. Many of
	// those ahead may have ended with the leader, so the delay is no longer than needed,
	// and at most maxStaggerSlots VMs are waited for.
	minStagger      = 20 * time.Millisecond
	maxStagger      = 100 * time.Millisecond
	staggerReads    = 3
	maxStaggerSlots = 12
	// campaignInterval is the minimum time between two campaigns of one VM.
	campaignInterval = 200 * time.Millisecond
	// maxReadAge is the maximum age of the stream's last answer at which the silence of
	// a leader is conclusive.
	maxReadAge = 900 * time.Millisecond
	// readTimeFactor is how many stream calls may pass before a live leader is heard.
	readTimeFactor = 12
	// A call that takes longer than slowCallTime indicates a slow stream. Each VM then
	// waits staggerCalls calls for every VM ahead of it.
	slowCallTime    = 60 * time.Millisecond
	staggerCalls    = 10
	campaignTimeout = 6 * time.Second
	// yieldDuration is how long other VMs campaign after the leader has asked them to.
	yieldDuration = 1500 * time.Millisecond
	// campaignAppendTimeout limits the append of a campaign, whose answer may be lost,
	// on a stream that is not slow.
	campaignAppendTimeout = time.Second
)

// maybeCampaign campaigns for leadership if there is no sign of a leader.
func (s *Scheduler) maybeCampaign() {
	f := s.deps.Follower
	if s.campaigning || s.stopping || !f.Loaded() || !f.Available() || !f.Fresh(maxReadAge) {
		return
	}
	l, _ := s.deps.View.Leader()
	if l.Incarnation == s.opt.Incarnation && l.Epoch > s.endedEpoch {
		// The record of a campaign that got no answer has taken effect, possibly after
		// this VM has campaigned again.
		s.beginLeadership(l.Epoch, s.firstCampaignAt)
		return
	}
	silence := f.LeaderSilence()
	if s.hasYielded(&l) {
		// Otherwise all VMs would begin at once if the leader has been silent for a while.
		silence = min(silence, time.Since(s.yieldedAt))
	}
	gone := l.Incarnation == "" || l.Incarnation == s.endedLeader || s.restarted(l.Incarnation) || s.hasYielded(&l)
	slot := time.Duration(s.campaignOrder(&l)) * campaignStagger(f.ReadLatency())
	limit := leaderTimeout + slot
	if l.Incarnation == "" {
		limit = resignedTimeout + slot
		if l.Epoch == 0 {
			limit = slot
		}
		if l.Successor == s.opt.Incarnation {
			limit = 0
		}
	} else if gone {
		limit = slot
	}
	if call := f.ReadLatency(); call > slowCallTime && !gone {
		// The leader's records take that long as well. To find that out in a campaign
		// would cost each VM another read.
		limit += readTimeFactor * call
	}
	if silence < limit || time.Since(s.campaignedAt) < campaignInterval {
		return
	}
	s.campaign(l, silence, limit, gone)
}

// campaignStagger is the delay between two VMs that campaign on a stream that takes
// readLatency to answer a read.
func campaignStagger(readLatency time.Duration) time.Duration {
	return min(max(minStagger, staggerReads*readLatency), maxStagger)
}

// hasYielded reports whether the leader asked others to campaign a short time ago. If none
// has won since, the stream is unavailable to all VMs, and the leader continues after the
// outage.
func (s *Scheduler) hasYielded(l *job.Leader) bool {
	return l.Epoch > 0 && l.Epoch == s.yieldedEpoch && time.Since(s.yieldedAt) < yieldDuration
}

// campaignOrder returns the position of this VM among the candidates to follow a
// leader. In each term one VM is first and the others wait for it. The successor named
// by the leader comes first, then VMs in descending order of CPU cores, since the
// leader has the highest load.
func (s *Scheduler) campaignOrder(l *job.Leader) int {
	if l.Successor == s.opt.Incarnation {
		return 0
	}
	rank := func(incarnation string) uint64 {
		return xxhash.Sum64String(fmt.Sprint(incarnation, l.Epoch))
	}
	mine := rank(s.opt.Incarnation)
	position := 0
	for _, m := range s.deps.View.Members() {
		if m.Incarnation == l.Incarnation || m.Incarnation == s.opt.Incarnation {
			continue
		}
		if m.Incarnation == l.Successor || m.CPUCores > s.opt.CPUCores || m.CPUCores == s.opt.CPUCores && rank(m.Incarnation) < mine {
			position++
		}
	}
	return min(position, maxStaggerSlots)
}

// restarted reports whether the VM of an incarnation has since registered under another
// one, which means that its process was killed.
func (s *Scheduler) restarted(incarnation string) bool {
	name, _, _ := strings.Cut(incarnation, "/")
	m, listed := s.deps.View.Members()[name]
	return listed && m.Incarnation != incarnation
}

// campaign appends the record of a new term. All VMs that campaign after the same
// leader choose the same epoch, for which the stream accepts only one first append.
// Otherwise a second VM, 0.1 s later, would end the term that has just begun. The
// winner is known once the record is in the view.
func (s *Scheduler) campaign(l job.Leader, silence, limit time.Duration, gone bool) {
	epoch := l.Epoch + 1
	s.campaigning = true
	s.campaignedAt = time.Now()
	if epoch != s.campaignEpoch {
		s.campaignEpoch, s.firstCampaignAt = epoch, s.campaignedAt
	}
	_ = level.Info(s.deps.Logger).Log("msg", "campaigning for leadership", "epoch", epoch,
		"lastEpoch", l.Epoch, "lastLeader", l.Incarnation, "silenceMs", silence.Milliseconds())
	began := s.firstCampaignAt
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, campaignTimeout)
		defer cancel()
		won, err := s.runCampaign(ctx, l, epoch, limit, gone)
		s.post(campaignDone{epoch, began, won, err})
	}()
}

func (s *Scheduler) runCampaign(ctx context.Context, last job.Leader, epoch int64, limit time.Duration, gone bool) (bool, error) {
	call, mayBeAlive, err := s.leaderMayBeAlive(ctx, last, limit, gone)
	if err != nil || mayBeAlive {
		return false, err
	}
	entries, err := s.campaignEntries(epoch)
	if err != nil {
		return false, err
	}
	if err := s.appendCampaign(ctx, epoch, entries, max(campaignAppendTimeout, readTimeFactor*call)); err != nil && !site.ErrUnknown.Has(err) {
		return false, err
	}
	// If the append got no answer, the record tells whether it was added.
	if err := s.deps.Follower.Sync(ctx); err != nil {
		return false, err
	}
	l, _ := s.deps.View.Leader()
	return l.Epoch == epoch && l.Incarnation == s.opt.Incarnation, nil
}

// campaignEntries returns the records with which a term begins.
func (s *Scheduler) campaignEntries(epoch int64) ([]site.Entry, error) {
	leader, err := job.LeaderEntry(&job.Leader{Epoch: epoch, Incarnation: s.opt.Incarnation})
	if err != nil {
		return nil, err
	}
	renewals, err := s.renewalsEntry(epoch)
	if err != nil {
		return nil, err
	}
	entries := []site.Entry{leader, renewals}
	renewers, err := s.renewersEntry(epoch, time.Now())
	if renewers != nil {
		entries = append(entries, *renewers)
	}
	return entries, err
}

func (s *Scheduler) appendCampaign(ctx context.Context, epoch int64, entries []site.Entry, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := s.deps.Stream.AppendAs(ctx, site.Term{Epoch: epoch}, entries)
	return err
}

// leaderMayBeAlive reads the stream to its end. It returns the time of a call, and
// whether there is a sign of a leader or one may still arrive because the stream is
// slow and delays its records too. On a slow stream VMs also wait longer for the VMs
// ahead of them, since a campaign that follows another ends the term that has just
// begun.
func (s *Scheduler) leaderMayBeAlive(ctx context.Context, last job.Leader, limit time.Duration, gone bool) (time.Duration, bool, error) {
	began := time.Now()
	if err := s.deps.Follower.Sync(ctx); err != nil {
		return 0, false, err
	}
	call := time.Since(began)
	if call > slowCallTime {
		limit += readTimeFactor * call
	}
	if !gone && s.deps.Follower.LeaderSilence() < limit {
		return call, true, nil
	}
	if call > slowCallTime {
		sleep.For(ctx, time.Duration(s.campaignOrder(&last))*staggerCalls*call)
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
	if e.won && s.lead == nil && !s.stopping && e.epoch > s.endedEpoch {
		s.beginLeadership(e.epoch, e.sentAt)
	}
}
