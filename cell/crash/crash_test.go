package crash

import (
	"testing"

	"pollendock.example/cell/job"
)

func TestJudge(t *testing.T) {
	early := Scene{StartKnown: true}
	earlyAlone := Scene{StartKnown: true, Alone: true}
	unknownAlone := Scene{Alone: true}
	survivor := Scene{Survived: true, StartKnown: true}
	beside := Scene{Survived: true, StartKnown: true, EarlyOthers: true}
	survivorAlone := Scene{Survived: true, StartKnown: true, Alone: true}
	for _, c := range []struct {
		name    string
		scenes  []Scene
		endless bool
		want    job.Verdict
	}{
		{"had just begun", []Scene{early}, false, job.Suspect},
		{"had survived, another had just begun", []Scene{beside}, false, job.Trusted},
		{"had survived, and so had all others", []Scene{survivor}, false, job.Suspect},
		{"two crashes beside others that had just begun", []Scene{beside, beside}, false, job.Suspect},
		{"one crash, alone", []Scene{earlyAlone}, false, job.Suspect},
		{"two early crashes, the last one alone", []Scene{early, earlyAlone}, false, job.Deadly},
		{"two early crashes in company", []Scene{early, early}, false, job.Suspect},
		{"two crashes alone, not known when it began", []Scene{unknownAlone, unknownAlone}, false, job.Suspect},
		{"three of them", []Scene{unknownAlone, unknownAlone, unknownAlone}, false, job.Deadly},
		{"an early crash, then survived its start alone", []Scene{early, survivorAlone}, false, job.Suspect},
		{"late crashes, the last one alone", []Scene{survivor, survivor, survivorAlone}, false, job.Deadly},
		{"endless task in many crashes", []Scene{survivorAlone, survivorAlone, survivorAlone, beside}, true, job.Trusted},
		{"endless task that never survives its start", []Scene{early, earlyAlone}, true, job.Deadly},
	} {
		var tc job.TaskCrashes
		for i, s := range c.scenes {
			s.Run = int64(i + 1)
			s.Endless = c.endless
			tc = Judge(tc, s)
		}
		if tc.Verdict != c.want || tc.Count != len(c.scenes) {
			t.Errorf("%s: %v after %d crashes, want %v after %d", c.name, tc.Verdict, tc.Count, c.want, len(c.scenes))
		}
	}
}

// TestJudgeCountsARunOnce checks that a gang that loses several workers in one run is
// counted once.
func TestJudgeCountsARunOnce(t *testing.T) {
	s := Scene{Run: 3, StartKnown: true}
	once := Judge(job.TaskCrashes{}, s)
	if twice := Judge(once, s); twice != once {
		t.Errorf("%+v, want %+v", twice, once)
	}
}
