package helper

import (
	"context"
	"time"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/pollendockd/internal/peer"
)

const (
	// A leader says after acceptServe that it does not know the outcome yet. One
	// that has not answered after acceptTimeout is silent: that ends the
	// connection, and with it the calls of other callers.
	acceptServe   = 2250 * time.Millisecond
	acceptTimeout = 2400 * time.Millisecond
	shunTime      = time.Second
	// leaderGap parts the looks for a new leader.
	leaderGap = 40 * time.Millisecond
)

// Accept asks the leader to make entries durable with its own, so that the
// stream takes few appends. If another VM leads before there is an answer, that one
// is asked: a leader without power never answers, and its callers would wait for
// longer than they can. An error of class site.ErrRefused means that the entries are
// not durable and never will be by this call.
func (p *Peers) Accept(ctx context.Context, entries []site.Entry) error {
	unknown := false
	for {
		changed := p.leaderChange()
		err := p.acceptByLeader(ctx, changed, entries)
		if err == nil {
			return nil
		}
		if unknown && site.ErrRefused.Has(err) {
			err = site.ErrUnknown.New("an earlier leader did not answer; then: %v", err)
		}
		unknown = site.ErrUnknown.Has(err)
		if ctx.Err() != nil || !isClosed(changed) {
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

// acceptByLeader asks the leader of now, until the next one leads.
func (p *Peers) acceptByLeader(ctx context.Context, changed <-chan struct{}, entries []site.Entry) error {
	l, _ := p.book.Leader()
	if l.Incarnation == p.self {
		return p.leader.Accept(ctx, entries)
	}
	m := p.memberOf(l.Incarnation)
	if m == nil || p.shunned(l.Incarnation) {
		return site.ErrRefused.New("no leader is known to answer")
	}
	ctx, cancel := untilChange(ctx, changed, acceptTimeout)
	defer cancel()
	var reply AcceptReply
	err := p.client(m, forAccepts).Call(ctx, "Accept", &AcceptRequest{Entries: entries}, &reply)
	switch {
	case err == nil && reply.Done:
		return nil
	case err == nil && reply.Refused:
		return site.ErrRefused.New("%s", reply.Detail)
	case err == nil:
		return site.ErrUnknown.New("%s", reply.Detail)
	}
	p.shunLeader(l.Incarnation)
	if peer.NotSent.Has(err) {
		return site.ErrRefused.Wrap(err)
	}
	return site.ErrUnknown.Wrap(err)
}

// untilChange returns a context that ends after a time or once another VM leads.
func untilChange(ctx context.Context, changed <-chan struct{}, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, d)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// FollowLeader notices when the book names another leader, until ctx ends.
func (p *Peers) FollowLeader(ctx context.Context) error {
	ticker := time.NewTicker(leaderGap)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l, _ := p.book.Leader()
			p.noteLeader(&l)
		}
	}
}

// noteLeader ends the calls to the leader before.
func (p *Peers) noteLeader(l *job.Leader) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Incarnation == p.lastLeader || l.Incarnation == "" {
		return
	}
	p.lastLeader = l.Incarnation
	close(p.changed)
	p.changed = make(chan struct{})
}

// leaderChange returns a channel that is closed once another VM leads.
func (p *Peers) leaderChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *Peers) shunned(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.shun[incarnation])
}

func (p *Peers) shunLeader(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shun = map[string]time.Time{incarnation: time.Now().Add(shunTime)}
}
