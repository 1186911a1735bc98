package placement

import (
	"math"
	"time"
)

// RunTimes is a regression model that predicts the run time of one kind of work
// from the estimate that was submitted with it. Submitted estimates are
// inaccurate and regress to the mean: most jobs with a short estimate take longer
// and most with a long one take less. Using the raw estimate, the scheduler gives
// up on the former too early.
//
// It fits ln(took/estimate) = intercept + slope*(ln(estimate) - mean) by least
// squares, with both coefficients shrunk towards 0 while there are few
// observations. The zero value predicts the estimate itself.
type RunTimes struct {
	// n is the total weight of the observations. The other fields are weighted
	// sums over them, with x = ln(estimate) and d = ln(took/estimate).
	n, x, d, xx, xd, dd float64
}

const (
	// levelWeight and slopeWeight are the weights of the prior, an intercept and
	// a slope of 0, in runs and in squares of ln(estimate) respectively.
	levelWeight = 6
	slopeWeight = 4
	// memory is the maximum total weight of past observations, in runs.
	memory = 400
	// farthest clamps ln(took/estimate), to limit the influence of outliers such
	// as a run that hung.
	farthest = 1.8
	// likelySpread is the prior standard deviation of ln(took/estimate), with a
	// weight of levelWeight runs.
	likelySpread = 0.4
)

// Note adds an observed run time. Observations without an estimate are ignored.
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

// Expect returns the predicted run time for an estimate.
func (t *RunTimes) Expect(estimate time.Duration) time.Duration {
	if estimate <= 0 || t.n == 0 {
		return estimate
	}
	level, slope, mean := t.fit()
	x := math.Log(float64(estimate))
	return time.Duration(math.Exp(x + level + slope*(x-mean)))
}

// Spread returns the factor of one standard deviation of the run time from its
// prediction: about one in six runs takes longer than the prediction times this
// factor.
func (t *RunTimes) Spread() float64 {
	square := likelySpread * likelySpread * levelWeight
	if t.n > 0 {
		level, slope, mean := t.fit()
		sxx := t.xx - t.n*mean*mean
		sxd := t.xd - mean*t.d
		// The residual sum of squares of the fit.
		square += max(0, t.dd-2*level*t.d+t.n*level*level-2*slope*sxd+slope*slope*sxx)
	}
	return math.Exp(math.Sqrt(square / (t.n + levelWeight)))
}

// fit returns the regression line: its value at the mean of ln(estimate), its
// slope, and that mean.
func (t *RunTimes) fit() (level, slope, mean float64) {
	mean = t.x / t.n
	sxx := t.xx - t.n*mean*mean
	sxd := t.xd - mean*t.d
	return t.d / (t.n + levelWeight), sxd / (max(0, sxx) + slopeWeight), mean
}
