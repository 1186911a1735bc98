package placement

import (
	"math"
	"time"
)

// RunTimes learns how long work of one kind takes, given the estimate that came
// with it. It answers a load whose estimates are rough: of jobs with a short
// estimate most take longer, of those with a long one most take less, so that an
// estimate taken at its word gives up the former too early.
//
// It fits ln(took/estimate) = level + slope*(ln(estimate) - mean), with both
// drawn to 0 as long as little was seen. The zero value takes estimates at their
// word.
type RunTimes struct {
	// n is the weight of what was seen, the others are sums over it: x is
	// ln(estimate), d is ln(took/estimate).
	n, x, d, xx, xd, dd float64
}

const (
	// levelWeight and slopeWeight are what a level and a slope of 0 count for,
	// in runs and in squares of ln(estimate).
	levelWeight = 6
	slopeWeight = 4
	// memory is the number of runs that the past counts as at most.
	memory = 400
	// farthest bounds ln(took/estimate): a run that hung tells little.
	farthest = 1.8
	// likelySpread is the deviation of ln(took/estimate) before much was seen,
	// counted as levelWeight runs.
	likelySpread = 0.4
)

// Note takes in that work with an estimate has taken a time. Work without an
// estimate tells nothing.
func (t *RunTimes) Note(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x := math.Log(float64(estimate))
	d := math.Log(float64(took)) - x
	d = max(-farthest, min(farthest, d))
	if t.n >= memory {
		t.fade(1 - 1/t.n)
	}
	t.n++
	t.x += x
	t.d += d
	t.xx += x * x
	t.xd += x * d
	t.dd += d * d
}

func (t *RunTimes) fade(by float64) {
	t.n *= by
	t.x *= by
	t.d *= by
	t.xx *= by
	t.xd *= by
	t.dd *= by
}

// Expect returns the time that work with an estimate should take.
func (t *RunTimes) Expect(estimate time.Duration) time.Duration {
	if estimate <= 0 || t.n == 0 {
		return estimate
	}
	level, slope, mean := t.fit()
	x := math.Log(float64(estimate))
	return time.Duration(math.Exp(x + level + slope*(x-mean)))
}

// Spread returns the factor that about one in six exceeds what is expected of it
// by.
func (t *RunTimes) Spread() float64 {
	square := likelySpread * likelySpread * levelWeight
	if t.n > 0 {
		level, slope, mean := t.fit()
		sxx := t.xx - t.n*mean*mean
		sxd := t.xd - mean*t.d
		// The sum of squares that the fitted line leaves.
		square += max(0, t.dd-2*level*t.d+t.n*level*level-2*slope*sxd+slope*slope*sxx)
	}
	return math.Exp(math.Sqrt(square / (t.n + levelWeight)))
}

// fit returns the line: its level at the mean of ln(estimate), and its slope.
func (t *RunTimes) fit() (level, slope, mean float64) {
	mean = t.x / t.n
	sxx := t.xx - t.n*mean*mean
	sxd := t.xd - mean*t.d
	return t.d / (t.n + levelWeight), sxd / (max(0, sxx) + slopeWeight), mean
}
