package placement

import (
	"math"
	"time"
)

// RunTimeModel is a regression model that predicts the run time of one kind of work
// from the estimate that was submitted with it. Submitted estimates are inaccurate:
// most jobs with a short estimate take longer, and most with a long one take less.
// A scheduler that trusts the raw estimate gives up on the former too early.
//
// It fits ln(took/estimate) = intercept + slope*(ln(estimate) - mean) by least
// squares, with both coefficients shrunk towards 0 while there are few
// observations. The zero value predicts the estimate itself.
type RunTimeModel struct {
	// weight is the total weight of the observations. The other fields are weighted
	// sums over them, with x = ln(estimate) and d = ln(took/estimate).
	weight, x, d, xx, xd, dd float64
}

const (
	// interceptWeight and slopeWeight are the weights of the prior, an intercept
	// and a slope of 0, in runs and in squares of ln(estimate) respectively.
	interceptWeight = 6
	slopeWeight     = 4
	// maxWeight is the maximum total weight of past observations, in runs.
	maxWeight = 400
	// maxLogRatio clamps ln(took/estimate), to limit the influence of outliers such
	// as a run that hung.
	maxLogRatio = 1.8
	// priorStdDev is the prior standard deviation of ln(took/estimate), with a
	// weight of interceptWeight runs.
	priorStdDev = 0.4
)

// Observe adds an observed run time. Observations without an estimate are ignored.
func (m *RunTimeModel) Observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x := math.Log(float64(estimate))
	d := math.Log(float64(took)) - x
	d = max(-maxLogRatio, min(maxLogRatio, d))
	if m.weight >= maxWeight {
		m.decay(1 - 1/m.weight)
	}
	m.weight++
	m.x += x
	m.d += d
	m.xx += x * x
	m.xd += x * d
	m.dd += d * d
}

func (m *RunTimeModel) decay(factor float64) {
	m.weight *= factor
	m.x *= factor
	m.d *= factor
	m.xx *= factor
	m.xd *= factor
	m.dd *= factor
}

// Predict returns the predicted run time for an estimate.
func (m *RunTimeModel) Predict(estimate time.Duration) time.Duration {
	if estimate <= 0 || m.weight == 0 {
		return estimate
	}
	intercept, slope, mean := m.fit()
	x := math.Log(float64(estimate))
	return time.Duration(math.Exp(x + intercept + slope*(x-mean)))
}

// StdDevFactor returns the factor by which a run time deviates from its prediction
// at one standard deviation: about one in six runs takes longer than the prediction
// times this factor.
func (m *RunTimeModel) StdDevFactor() float64 {
	residual := priorStdDev * priorStdDev * interceptWeight
	if m.weight > 0 {
		intercept, slope, mean := m.fit()
		sxx := m.xx - m.weight*mean*mean
		sxd := m.xd - mean*m.d
		// The residual sum of squares of the fit.
		residual += max(0, m.dd-2*intercept*m.d+m.weight*intercept*intercept-2*slope*sxd+slope*slope*sxx)
	}
	return math.Exp(math.Sqrt(residual / (m.weight + interceptWeight)))
}

// fit returns the regression line: its value at the mean of ln(estimate), its
// slope, and that mean.
func (m *RunTimeModel) fit() (intercept, slope, mean float64) {
	mean = m.x / m.weight
	sxx := m.xx - m.weight*mean*mean
	sxd := m.xd - mean*m.d
	return m.d / (m.weight + interceptWeight), sxd / (max(0, sxx) + slopeWeight), mean
}
