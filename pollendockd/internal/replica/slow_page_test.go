package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/cell/transfer"
	"pollendock.example/pollendockd/internal/sleep"
	"pollendock.example/standin/fleet"
)

// slowStream is a Stream whose pages take a while to arrive.
type slowStream struct {
	*fleet.Store
	takes time.Duration
}

func (s *slowStream) Read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error) {
	const partInterval = 50 * time.Millisecond
	p, err := s.Store.Read(ctx, from, wait)
	for began := time.Now(); err == nil && time.Since(began) < s.takes; err = ctx.Err() {
		transfer.Received(ctx)
		sleep.For(ctx, partInterval)
	}
	return p, err
}

// TestSlowPageIsAsOldAsItsBeginning: the records of a page that took five seconds to arrive are
// those of five seconds ago, so requests are not served by them as by current ones.
func TestSlowPageIsAsOldAsItsBeginning(t *testing.T) {
	const maxAge = 1300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		stream, view := &slowStream{Store: fleet.NewStore()}, job.NewView()
		f := NewFollower(stream, view, log.NewNopLogger(), func([]string) {})
		if err := f.load(ctx); err != nil {
			t.Fatal(err)
		}
		add(ctx, t, stream.Store, "a")
		stream.takes = 5 * time.Second
		go func() {
			time.Sleep(time.Second)
			add(ctx, t, stream.Store, "b")
		}()
		page, err := f.readPage(ctx, f.view.Next(), 0)
		if err != nil {
			t.Fatal(err)
		}
		f.applyRead(page)
		if view.Job("b") == nil && f.Fresh(maxAge) {
			t.Error("records without one that was appended 4 s ago count as current")
		}
	})
}
