package cluster

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/pollendockd/internal/peer"
	"pollendock.example/pollendockd/internal/sleep"
)

type (
	// WatchRequest is a long poll: the receiver answers after watchDuration. If its
	// process ends earlier, the connection breaks.
	WatchRequest struct {
		// AtOnce asks for an answer without the wait.
		AtOnce bool
	}

	// WatchReply names the process that received the request.
	WatchReply struct {
		Incarnation string
	}
)

const (
	// watchDuration is the time after which a VM answers a WatchRequest.
	watchDuration = 5 * time.Second
	watchTimeout  = watchDuration + time.Second
	// watchRetryInterval is the interval between checks for a leader to watch, and
	// between attempts to connect to it.
	watchRetryInterval = 50 * time.Millisecond
)

// WatchLeader calls onEnded when the process of a leader has ended. The connection to a
// killed process is reset, which shows its end long before the leader's silence does. A
// VM that lost power sends nothing; in that case only the silence shows the end.
func (p *Peers) WatchLeader(ctx context.Context, onEnded func(incarnation string)) error {
	reported := ""
	for ctx.Err() == nil {
		leaderChanged := p.leaderChangeSignal()
		l, _ := p.view.Leader()
		m := p.memberByIncarnation(l.Incarnation)
		if m == nil || l.Incarnation == p.self || l.Incarnation == reported {
			sleep.For(ctx, watchRetryInterval)
			continue
		}
		ended, err := p.watch(ctx, leaderChanged, m)
		if ended {
			reported = l.Incarnation
			_ = level.Info(p.logger).Log("msg", "leader process has ended", "leader", l.Incarnation, "epoch", l.Epoch, "err", err)
			onEnded(reported)
		} else if peer.NotSent.Has(err) {
			sleep.For(ctx, watchRetryInterval)
		}
	}
	return ctx.Err()
}

// watch waits until the process of a member has ended, the leader changes, or the watch
// times out. A broken connection alone does not show that the process has ended; the
// next connection attempt does, if it is refused or answered by another incarnation.
func (p *Peers) watch(ctx context.Context, leaderChanged <-chan struct{}, m *job.Member) (bool, error) {
	ctx, cancel := untilLeaderChange(ctx, leaderChanged, watchTimeout)
	defer cancel()
	var reply WatchReply
	err := p.client(m, forWatches).Call(ctx, "Watch", &WatchRequest{}, &reply)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	return reply.Incarnation != m.Incarnation, nil
}

// Ended reports whether the process of an incarnation is known to have ended: a VM has one process at
// a time, and another one answers, or none listens at its address.
func (p *Peers) Ended(ctx context.Context, incarnation string) bool {
	name, _, _ := strings.Cut(incarnation, "/")
	m, isMember := p.view.Members()[name]
	if !isMember {
		return false
	}
	var reply WatchReply
	err := p.client(&m, forEnds).Call(ctx, "Watch", &WatchRequest{AtOnce: true}, &reply)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return reply.Incarnation != incarnation
}

// Watch answers a WatchRequest, after watchDuration unless it is to be answered at once.
func (s *Server) Watch(r *WatchRequest, reply *WatchReply) error {
	if r.AtOnce {
		reply.Incarnation = s.incarnation
		return s.ctx.Err()
	}
	sleep.For(s.ctx, watchDuration)
	reply.Incarnation = s.incarnation
	return s.ctx.Err()
}
