package helper

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/pollendockd/internal/pause"
	"pollendock.example/pollendockd/internal/peer"
)

type (
	// WatchRequest is held by a VM as long as its process lives, for a while.
	WatchRequest struct{}

	// WatchReply names the process that held the request.
	WatchReply struct {
		Incarnation string
	}
)

const (
	// watchTime is how long a VM holds a watch.
	watchTime    = 5 * time.Second
	watchTimeout = watchTime + time.Second
	// watchGap parts the looks for a leader to watch, and the tries to reach it.
	watchGap = 50 * time.Millisecond
)

// WatchLeader tells gone once the process of a leader has ended. The connection to
// a killed process is reset, long before the leader's silence would tell. Of a VM
// without power nothing comes back; there the silence has to do.
func (p *Peers) WatchLeader(ctx context.Context, gone func(incarnation string)) error {
	told := ""
	for ctx.Err() == nil {
		changed := p.leaderChange()
		l, _ := p.book.Leader()
		m := p.memberOf(l.Incarnation)
		if m == nil || l.Incarnation == p.self || l.Incarnation == told {
			pause.For(ctx, watchGap)
			continue
		}
		ended, err := p.watch(ctx, changed, m)
		if ended {
			told = l.Incarnation
			_ = level.Info(p.logger).Log("msg", "the leader's process has ended", "leader", l.Incarnation, "epoch", l.Epoch, "err", err)
			gone(told)
		} else if peer.NotSent.Has(err) {
			pause.For(ctx, watchGap)
		}
	}
	return ctx.Err()
}

// watch waits until the process of a member has ended, for a while, or until another
// VM leads. Whether a connection that broke means its end is known with the next one.
func (p *Peers) watch(ctx context.Context, changed <-chan struct{}, m *job.Member) (bool, error) {
	ctx, cancel := untilChange(ctx, changed, watchTimeout)
	defer cancel()
	var reply WatchReply
	err := p.client(m, forWatches).Call(ctx, "Watch", &WatchRequest{}, &reply)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	return reply.Incarnation != m.Incarnation, nil
}

// Watch serves the call of that name.
func (s *Server) Watch(_ *WatchRequest, reply *WatchReply) error {
	pause.For(s.ctx, watchTime)
	reply.Incarnation = s.incarnation
	return s.ctx.Err()
}
