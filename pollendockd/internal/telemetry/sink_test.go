package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestSinkNeverBlocks: with a reader that stops reading, writers go on, memory
// stays bounded, and what was dropped is counted once the reader goes on.
func TestSinkNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		s := NewSink(out)
		const lines = 3 * sinkLines
		// The first line brings the writer to its reader, which does not read.
		_, _ = s.Write([]byte("line\n"))
		synctest.Wait()
		began := time.Now()
		for range lines {
			if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
				t.Fatal(n, err)
			}
		}
		if time.Since(began) != 0 {
			t.Error("a writer has waited")
		}
		close(out.release)
		time.Sleep(2 * reportDrops)
		_, _ = s.Write([]byte("last\n"))
		s.Close(time.Second)
		text := out.got.String()
		written := strings.Count(text, "line\n")
		if written != 1+sinkLines {
			t.Errorf("%d lines written, want %d", written, 1+sinkLines)
		}
		if !strings.Contains(text, "log lines dropped") || !strings.Contains(text, "last\n") {
			t.Errorf("the end of the log is %q", text[max(0, len(text)-200):])
		}
	})
}
