// Package memplatform simulates the parts of the platform for tests and the
// demo: the log, the workers and the list of VMs. Its types implement the
// interfaces of package platform in memory.
package memplatform

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"pollendock.example/cell/platform"
)

type (
	// LogOptions holds the limits of a Log.
	LogOptions struct {
		// AppendsPerSecond is the rate above which appends are delayed; 0 for no
		// limit.
		AppendsPerSecond int
		// Retention is how long records are kept; 0 for no limit.
		Retention time.Duration
	}

	// LogFaults holds the faults injected into a Log.
	LogFaults struct {
		// Down makes every call fail without taking effect.
		Down bool `json:"down"`
		// Delay is added to every call.
		Delay time.Duration `json:"delay"`
		// LoseAnswers is the number of upcoming appends that take effect but
		// get no response.
		LoseAnswers int `json:"loseAnswers"`
	}

	// Log is an in-memory append-only log.
	Log struct {
		opt LogOptions

		mu      sync.Mutex
		faults  LogFaults
		first   int64
		records []logRecord
		changed chan struct{}
		// nextAt is the earliest time of the next append under the rate limit.
		nextAt  time.Time
		appends int64
		bytes   int64
	}

	logRecord struct {
		at   time.Time
		data json.RawMessage
	}
)

const (
	maxPageRecords = 2000
	maxPageBytes   = 2 << 20
)

var errResponseLost = errors.New("the connection was closed before an answer came")

// NewLog returns an empty log.
func NewLog(opt LogOptions) *Log {
	return &Log{opt: opt, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetRetention sets how long records are kept.
func (l *Log) SetRetention(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opt.Retention = d
}

// Appends returns the total number of appends and of appended bytes.
func (l *Log) Appends() (int64, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, records []json.RawMessage) (int64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	if err := l.awaitRateLimit(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim()
	at := l.first + int64(len(l.records))
	for _, data := range records {
		l.records = append(l.records, logRecord{time.Now(), data})
		l.bytes += int64(len(data))
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, errResponseLost
	}
	return at, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (*platform.LogPage, error) {
	if err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.page(from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// applyFaults applies the faults that affect every call.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Delay > 0 {
		if err := sleep(ctx, f.Delay); err != nil {
			return err
		}
	}
	if f.Down {
		return platform.Refuse(platform.Unavailable, "the log is down")
	}
	return nil
}

// awaitRateLimit delays an append to keep to the rate limit.
func (l *Log) awaitRateLimit(ctx context.Context) error {
	if l.opt.AppendsPerSecond <= 0 {
		return nil
	}
	l.mu.Lock()
	now := time.Now()
	if l.nextAt.Before(now) {
		l.nextAt = now
	}
	wait := l.nextAt.Sub(now)
	l.nextAt = l.nextAt.Add(time.Second / time.Duration(l.opt.AppendsPerSecond))
	l.mu.Unlock()
	return sleep(ctx, wait)
}

func (l *Log) page(from int64) (*platform.LogPage, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, nil, platform.Refuse(platform.Unavailable, "the log is down")
	}
	l.trim()
	end := l.first + int64(len(l.records))
	if from < l.first {
		return nil, nil, platform.Refuse(platform.Trimmed, "%d", l.first)
	}
	page := &platform.LogPage{First: from, Oldest: l.first, End: end}
	size := 0
	for i := from; i < end && len(page.Records) < maxPageRecords && size < maxPageBytes; i++ {
		data := l.records[i-l.first].data
		page.Records = append(page.Records, data)
		size += len(data)
	}
	return page, l.changed, nil
}

// trim drops records older than the retention.
func (l *Log) trim() {
	if l.opt.Retention <= 0 {
		return
	}
	oldest := time.Now().Add(-l.opt.Retention)
	n := 0
	for n < len(l.records) && l.records[n].at.Before(oldest) {
		n++
	}
	l.first += int64(n)
	l.records = append([]logRecord(nil), l.records[n:]...)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
