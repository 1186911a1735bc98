package cluster

import (
	"context"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
)

const (
	// acceptServeTimeout is the time after which a leader answers that the outcome is
	// still unknown. It is shorter than acceptTimeout, the timeout of the call: a
	// call that times out closes the connection and fails the calls of other callers
	// on it.
	acceptServeTimeout = 2250 * time.Millisecond
	acceptTimeout      = 2400 * time.Millisecond
	leaderRetryDelay   = time.Second
	// leaderPollInterval is the interval at which the records are checked for a new
	// leader.
	leaderPollInterval = 40 * time.Millisecond
)

// Accept asks the leader to make entries durable together with its own, which keeps
// the number of appends to the stream low. If the leader changes before it answers,
// Accept asks the new leader: a leader that lost power never answers, and callers
// cannot wait for the timeout. An error of class site.ErrRefused means that the entries
// are not durable and that this call will never make them so.
func (p *Peers) Accept(ctx context.Context, entries []site.Entry) error {
	unknown := false
	for {
		leaderChanged := p.leaderChangeSignal()
		err := p.acceptByLeader(ctx, leaderChanged, entries)
		if err == nil {
			return nil
		}
		if unknown && site.ErrRefused.Has(err) {
			err = site.ErrUnknown.New("an earlier leader did not answer; then: %v", err)
		}
		unknown = site.ErrUnknown.Has(err)
		if ctx.Err() != nil || !isClosed(leaderChanged) {
			return err
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// acceptByLeader asks the current leader, and gives up when the leader changes.
func (p *Peers) acceptByLeader(ctx context.Context, leaderChanged <-chan struct{}, entries []site.Entry) error {
	l, _ := p.view.Leader()
	if l.Incarnation == p.self {
		return p.leader.Accept(ctx, entries)
	}
	m := p.memberByIncarnation(l.Incarnation)
	if m == nil || p.isUnavailable(l.Incarnation) {
		return site.ErrRefused.New("no leader is known to answer")
	}
	callCtx, cancel := untilLeaderChange(ctx, leaderChanged, acceptTimeout)
	defer cancel()
	var reply AcceptReply
	err := p.client(m, forAccepts).Call(callCtx, "Accept", &AcceptRequest{Entries: entries}, &reply)
	switch {
	case err == nil && reply.Done:
		return nil
	case err == nil && reply.Refused && reply.Admission != nil:
		return site.ErrRefused.Wrap(reply.Admission)
	case err == nil && reply.Refused:
		return site.ErrRefused.New("%s", reply.Detail)
	case err == nil:
		return site.ErrUnknown.New("%s", reply.Detail)
	}
	if ctx.Err() == nil && !isClosed(leaderChanged) {
		// A caller that has gone says nothing about the leader, and a call that ended
		// with the change may have been one to the new leader.
		p.markUnavailable(l.Incarnation)
	}
	if peer.NotSent.Has(err) {
		return site.ErrRefused.Wrap(err)
	}
	return site.ErrUnknown.Wrap(err)
}

// untilLeaderChange returns a context that ends after d or when the leader changes.
func untilLeaderChange(ctx context.Context, leaderChanged <-chan struct{}, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, d)
	go func() {
		select {
		case <-leaderChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// FollowLeader polls the records for a change of the leader until ctx ends.
func (p *Peers) FollowLeader(ctx context.Context) error {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l, _ := p.view.Leader()
			p.setLeader(&l)
		}
	}
}

// setLeader records a new leader and cancels the calls to the previous one.
func (p *Peers) setLeader(l *job.Leader) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Incarnation == p.lastLeader || l.Incarnation == "" {
		return
	}
	p.lastLeader = l.Incarnation
	close(p.leaderChanged)
	p.leaderChanged = make(chan struct{})
}

// leaderChangeSignal returns a channel that is closed when the leader changes.
func (p *Peers) leaderChangeSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaderChanged
}

func (p *Peers) isUnavailable(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.unavailableUntil[incarnation])
}

func (p *Peers) markUnavailable(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailableUntil = map[string]time.Time{incarnation: time.Now().Add(leaderRetryDelay)}
}
