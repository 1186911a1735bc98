package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Sink is a writer of log lines that never blocks its callers. Lines that come
// faster than they can be written are dropped, and the number is written.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

const (
	// sinkLines bounds the lines that wait.
	sinkLines = 4096
	// sinkBytes bounds what is written in one call.
	sinkBytes   = 64 << 10
	reportDrops = time.Second
)

// NewSink returns a sink in front of out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It takes one whole line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for as long as it takes at most.
func (s *Sink) Close(atMost time.Duration) {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(atMost):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var reportedAt time.Time
	for line := range s.lines {
		buf := s.gather(line)
		if n := s.dropped.Load(); n > 0 && time.Since(reportedAt) >= reportDrops {
			reportedAt = time.Now()
			s.dropped.Add(-n)
			buf = fmt.Appendf(buf, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
		}
		// There is nowhere to report a failure of the log itself.
		_, _ = s.out.Write(buf)
	}
}

// gather joins the lines that wait.
func (s *Sink) gather(line []byte) []byte {
	buf := line
	for len(buf) < sinkBytes {
		select {
		case next, open := <-s.lines:
			if !open {
				return buf
			}
			buf = append(buf, next...)
		default:
			return buf
		}
	}
	return buf
}
