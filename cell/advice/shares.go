package advice

import "time"

// shares divides the advisor's time among queues by start-time fair queueing: each queue
// advances a virtual clock by the time of its calls, and the queue that is furthest
// behind is next.
type shares struct {
	used map[string]time.Duration
	// clock is the virtual time at which the last query was sent. A queue that has not
	// sent any for a while continues from there, without credit for the past.
	clock time.Duration
}

func (s *shares) start(queue string) time.Duration {
	return max(s.clock, s.used[queue])
}

func (s *shares) charge(queue string, takes time.Duration) {
	start := s.start(queue)
	s.clock = start
	s.used[queue] = start + takes
}
