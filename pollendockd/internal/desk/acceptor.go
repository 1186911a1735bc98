package desk

import (
	"context"
	"time"

	"pollendock.example/cell/site"
)

type (
	// Stream takes the records of accepted work.
	Stream interface {
		Append(ctx context.Context, entries []site.Entry) (int64, error)
	}

	// acceptor appends the records of several callers together, one append at a
	// time.
	acceptor struct {
		stream  Stream
		waiting chan acceptance
	}

	acceptance struct {
		entries []site.Entry
		reply   chan error
	}
)

const (
	acceptTimeout  = 1500 * time.Millisecond
	acceptBuffer   = 256
	maxAcceptances = 64
)

func newAcceptor(stream Stream) *acceptor {
	return &acceptor{stream: stream, waiting: make(chan acceptance, acceptBuffer)}
}

// run appends until ctx ends.
func (a *acceptor) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-a.waiting:
			a.appendAll(ctx, a.gather(first))
		}
	}
}

func (a *acceptor) gather(first acceptance) []acceptance {
	group := []acceptance{first}
	for len(group) < maxAcceptances {
		select {
		case next := <-a.waiting:
			group = append(group, next)
		default:
			return group
		}
	}
	return group
}

func (a *acceptor) appendAll(ctx context.Context, group []acceptance) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var entries []site.Entry
	for _, it := range group {
		entries = append(entries, it.entries...)
	}
	_, err := a.stream.Append(ctx, entries)
	for _, it := range group {
		it.reply <- err
	}
}

// accept makes entries durable. An error of class site.ErrRefused means that
// they are not and never will be.
func (a *acceptor) accept(ctx context.Context, entries []site.Entry) error {
	it := acceptance{entries, make(chan error, 1)}
	select {
	case a.waiting <- it:
	default:
		return site.ErrRefused.New("too many requests wait for the stream")
	}
	select {
	case err := <-it.reply:
		return err
	case <-ctx.Done():
		return site.ErrUnknown.Wrap(ctx.Err())
	}
}
