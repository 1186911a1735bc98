package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestSinkNeverBlocks: while the output is blocked, callers continue and memory stays
// bounded. The dropped lines are counted once the output continues.
func TestSinkNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		s := NewSink(out)
		const lines = 3 * maxQueuedLines
		// The first line makes the sink's goroutine block in the output.
		_, _ = s.Write([]byte("line\n"))
		synctest.Wait()
		began := time.Now()
		for range lines {
			if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
				t.Fatal(n, err)
			}
		}
		if time.Since(began) != 0 {
			t.Error("a write has blocked")
		}
		close(out.release)
		time.Sleep(2 * dropReportInterval)
		_, _ = s.Write([]byte("last\n"))
		s.Close(time.Second)
		text := out.got.String()
		written := strings.Count(text, "line\n")
		if written != 1+maxQueuedLines {
			t.Errorf("%d lines written, want %d", written, 1+maxQueuedLines)
		}
		if !strings.Contains(text, "log lines dropped") || !strings.Contains(text, "last\n") {
			t.Errorf("the end of the log is %q", text[max(0, len(text)-200):])
		}
	})
}
