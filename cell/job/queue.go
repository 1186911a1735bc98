package job

import (
	"time"

	"pollendock.example/cell/site"
)

type (
	// QueueSettings are the settings of a queue that its jobs need until they end, also
	// if operators remove the queue meanwhile. The VM that accepts a job appends them with
	// it, unless the newest record has them already.
	QueueSettings struct {
		_ struct{} `cbor:",toarray"`
		// Version is that of the catalog that they are from.
		Version   int64
		Stretch   float64
		Objective time.Duration
		// Advice is empty for a queue without advice, and holds one element otherwise.
		Advice []AdviceSettings
	}

	// AdviceSettings are the settings of site.Advice.
	AdviceSettings struct {
		_              struct{} `cbor:",toarray"`
		Base           time.Duration
		PerUpstream    time.Duration
		TicketLifetime time.Duration
	}
)

// queueKey is a prefix that is followed by the name of the queue.
const queueKey = "queues/"

const (
	// maxQueueName is the longest name, in bytes, of a queue whose settings are recorded:
	// the stream limits its keys.
	maxQueueName = 200
	// maxQueueTime bounds the times in the settings, maxStretch their stretch.
	maxQueueTime = 2 * MaxEstimate
	maxStretch   = 1e4
)

// NewQueueSettings returns the settings of a queue in a catalog of that version.
func NewQueueSettings(q *site.Queue, version int64) *QueueSettings {
	s := &QueueSettings{Version: version, Stretch: q.Stretch, Objective: q.Objective}
	if a := q.Advice; a != nil {
		s.Advice = []AdviceSettings{{Base: a.Base, PerUpstream: a.PerUpstream, TicketLifetime: a.TicketLifetime}}
	}
	return s
}

// QueueEntry returns the entry that stores the settings of a queue.
func QueueEntry(name string, s *QueueSettings) (site.Entry, error) {
	return encode(queueKey+name, s)
}

// queue returns the settings as those of a queue of a catalog.
func (s *QueueSettings) queue(name string) *site.Queue {
	q := &site.Queue{Name: name, Stretch: s.Stretch, Objective: s.Objective}
	for _, a := range s.Advice {
		q.Advice = &site.Advice{Base: a.Base, PerUpstream: a.PerUpstream, TicketLifetime: a.TicketLifetime}
	}
	return q
}

// equal reports whether the settings are the same, of whatever version.
func (s *QueueSettings) equal(other *QueueSettings) bool {
	if s.Stretch != other.Stretch || s.Objective != other.Objective || len(s.Advice) != len(other.Advice) {
		return false
	}
	return len(s.Advice) == 0 || s.Advice[0] == other.Advice[0]
}

func (s *QueueSettings) validateRecord() error {
	if !(s.Stretch >= 0 && s.Stretch <= maxStretch) || len(s.Advice) > 1 {
		return Class.New("a queue with the stretch %v and %d settings of advice", s.Stretch, len(s.Advice))
	}
	times := []time.Duration{s.Objective}
	for _, a := range s.Advice {
		times = append(times, a.Base, a.PerUpstream, a.TicketLifetime)
	}
	for _, d := range times {
		if d < -maxQueueTime || d > maxQueueTime {
			return Class.New("a queue with a time of %v", d)
		}
	}
	return nil
}

func (v *View) applyQueue(name string, e *site.Entry) error {
	if len(e.Value) == 0 {
		delete(v.queues, name)
		return nil
	}
	s := &QueueSettings{}
	if err := decode(e, s); err != nil {
		return err
	}
	v.queues[name] = s
	return nil
}

// Queue returns the settings of a queue as the records have them, or nil.
func (v *View) Queue(name string) *site.Queue {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.queues[name]
	if s == nil {
		return nil
	}
	return s.queue(name)
}

// LacksQueue reports whether the settings of a queue are to be recorded: those in the records
// differ and are not newer. A queue without a record counts as one with none of the settings.
func (v *View) LacksQueue(name string, s *QueueSettings) bool {
	if name == "" || len(name) > maxQueueName {
		return false
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	old := v.queues[name]
	if old == nil {
		old = &QueueSettings{}
	}
	return old.Version <= s.Version && !old.equal(s)
}
