package placement

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// expectNear checks that got deviates from want by at most the fraction
// tolerance.
func expectNear(t *testing.T, what string, got, want time.Duration, tolerance float64) {
	t.Helper()
	if math.Abs(float64(got-want)) > tolerance*float64(want) {
		t.Errorf("%s: %v, want %v within %.0f %%", what, got, want, tolerance*100)
	}
}

// TestRunTimes feeds work whose estimates are as inaccurate as those of a
// dispatcher's lookups: half of their variance is error.
func TestRunTimes(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	const spread = 0.5
	mean := float64(900 * time.Millisecond)
	var times RunTimeModel
	for range 2000 {
		took := mean * math.Exp(spread*r.NormFloat64())
		estimate := took * math.Exp(spread*r.NormFloat64())
		times.Observe(time.Duration(estimate), time.Duration(took))
	}
	// With errors as large as the spread of run times, the best prediction is the
	// geometric mean of the estimate and the typical run time.
	for _, estimate := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2700 * time.Millisecond} {
		want := time.Duration(math.Sqrt(float64(estimate) * mean))
		expectNear(t, estimate.String(), times.Predict(estimate), want, 0.1)
	}
	if got, want := times.StdDevFactor(), math.Exp(spread/math.Sqrt2); math.Abs(got-want) > 0.1 {
		t.Errorf("spread %.2f, want %.2f", got, want)
	}
}

func TestRunTimesFewObservations(t *testing.T) {
	var times RunTimeModel
	expectNear(t, "no observations", times.Predict(time.Second), time.Second, 0)
	if got := times.Predict(0); got != 0 {
		t.Errorf("no estimate: %v", got)
	}
	times.Observe(time.Second, time.Hour)
	times.Observe(0, time.Second)
	if got := times.Predict(time.Second); got > 2*time.Second {
		t.Errorf("after one run that hung, 1s is predicted as %v", got)
	}
}
