package placement

import (
	"math"
	"time"
)

// Headroom measures how much processor time urgent tasks start to use, so that as much
// is left free as they will need next. Without it, wide steps that can wait take each
// core of a full cell as it becomes free, and lookups find none within their objective.
type Headroom struct {
	// perSecond is in thousandths of a core a second, as of at.
	perSecond float64
	at        time.Time
}

// headroomWindow is the time constant of the measurement.
const headroomWindow = 2 * time.Second

// Count adds the start of an urgent task.
func (h *Headroom) Count(now time.Time, milliCPU int64) {
	h.perSecond = h.rate(now) + float64(milliCPU)/headroomWindow.Seconds()
	h.at = now
}

// Needed returns the processor time that urgent tasks are expected to start to use
// within a period.
func (h *Headroom) Needed(now time.Time, within time.Duration) int64 {
	return int64(h.rate(now) * within.Seconds())
}

func (h *Headroom) rate(now time.Time) float64 {
	return h.perSecond * math.Exp(-now.Sub(h.at).Seconds()/headroomWindow.Seconds())
}
