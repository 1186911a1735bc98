package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Sink is a writer of log lines that never blocks its callers. If lines arrive faster than
// they can be written, it drops lines and logs their number.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

const (
	// maxQueuedLines bounds the number of queued lines.
	maxQueuedLines = 4096
	// maxWriteBytes is the size at which no more lines are added to a write.
	maxWriteBytes      = 64 << 10
	dropReportInterval = time.Second
)

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. Each call passes one whole line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines. It returns after timeout even if they are not written.
func (s *Sink) Close(timeout time.Duration) {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var reportedAt time.Time
	for line := range s.lines {
		buf := s.collectLines(line)
		if n := s.dropped.Load(); n > 0 && time.Since(reportedAt) >= dropReportInterval {
			reportedAt = time.Now()
			s.dropped.Add(-n)
			buf = fmt.Appendf(buf, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
		}
		// A failure of the log itself cannot be reported anywhere.
		_, _ = s.out.Write(buf)
	}
}

// collectLines appends queued lines to a line.
func (s *Sink) collectLines(line []byte) []byte {
	buf := line
	for len(buf) < maxWriteBytes {
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
