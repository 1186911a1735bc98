package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSlowWorkersAreDetected checks that the workers that take 1.3 times as long, a
// third of all, are identified even though task durations vary by more than that.
func TestSlowWorkersAreDetected(t *testing.T) {
	const workers, steps, wide = 60, 300, 8
	s := New(Options{}, Deps{})
	r := rand.New(rand.NewPCG(1, 1))
	isSlow := func(i int) bool { return i%3 == 0 }
	for range steps {
		var timings []timing
		for _, i := range r.Perm(workers)[:wide] {
			took := math.Exp(0.3 * r.NormFloat64())
			if isSlow(i) {
				took *= 1.3
			}
			timings = append(timings, timing{workerName(i), 1, time.Duration(took * float64(time.Second))})
		}
		s.recordSpeeds(timings)
	}
	wrong := 0
	for i := range workers {
		if s.speedOf(workerName(i), 1).slow() != isSlow(i) {
			wrong++
		}
	}
	if wrong > workers/10 {
		t.Errorf("%d of %d workers are misclassified", wrong, workers)
	}
	if s.speedOf(workerName(0), 2).slow() {
		t.Error("a new incarnation of a worker counts as slow")
	}
}

func workerName(i int) string {
	return string(rune('a'+i/26)) + string(rune('a'+i%26))
}
