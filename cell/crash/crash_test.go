package crash

import (
	"testing"

	"pollendock.example/cell/job"
)

func TestJudge(t *testing.T) {
	early := Scene{Begun: true, Sudden: true}
	earlyAlone := Scene{Begun: true, Sudden: true, Alone: true}
	unknownAlone := Scene{Alone: true}
	survivor := Scene{Begun: true, Survived: true, Sudden: true}
	beside := Scene{Begun: true, Survived: true, Sudden: true, EarlyOthers: true}
	survivorAlone := Scene{Begun: true, Survived: true, Sudden: true, Alone: true}
	besideSuspect := Scene{Begun: true, Survived: true, EarlyOthers: true, Bystander: true}
	requested := Scene{Sudden: true}
	cut := func(n int) Scene { return Scene{Begun: true, Survived: true, Alone: true, LikelyCuts: n} }
	for _, c := range []struct {
		name    string
		scenes  []Scene
		endless bool
		want    job.Verdict
		count   int
	}{
		{"requests broken off beside others", []Scene{requested, requested, earlyAlone}, false, job.Suspect, 1},
		{"requests broken off, then two crashes alone", []Scene{requested, earlyAlone, earlyAlone}, false, job.Poison, 2},
		{"had just begun", []Scene{early}, false, job.Suspect, 1},
		{"had survived, another had just begun", []Scene{beside}, false, job.Trusted, 1},
		{"had survived, and so had all others", []Scene{survivor}, false, job.Suspect, 1},
		{"two crashes beside others that had just begun", []Scene{beside, beside}, false, job.Suspect, 2},
		{"two crashes beside suspects at their start", []Scene{besideSuspect, besideSuspect}, false, job.Trusted, 0},
		{"one crash, alone", []Scene{earlyAlone}, false, job.Suspect, 1},
		{"two early crashes, the last one alone", []Scene{early, earlyAlone}, false, job.Poison, 2},
		{"two early crashes in company", []Scene{early, early}, false, job.Suspect, 2},
		{"two crashes alone, not known when it began", []Scene{unknownAlone, unknownAlone}, false, job.Suspect, 2},
		{"three of them", []Scene{unknownAlone, unknownAlone, unknownAlone}, false, job.Poison, 3},
		{"an early crash, then survived its start alone", []Scene{early, survivorAlone}, false, job.Suspect, 2},
		{"late crashes, the last one alone", []Scene{survivor, survivor, survivorAlone}, false, job.Poison, 3},
		{"four workers that were likely cut off", []Scene{cut(1), cut(2), cut(3), cut(4)}, false, job.Suspect, 4},
		{"five of them", []Scene{cut(1), cut(2), cut(3), cut(4), cut(5)}, false, job.Poison, 5},
		{"three late crashes besides one of them", []Scene{survivorAlone, cut(1), survivorAlone, cut(1)}, false, job.Poison, 4},
		{"endless task in many crashes", []Scene{survivorAlone, survivorAlone, survivorAlone, beside}, true, job.Trusted, 4},
		{"endless task that never survives its start", []Scene{early, earlyAlone}, true, job.Poison, 2},
	} {
		var tc job.TaskCrashes
		for i, s := range c.scenes {
			s.Run = int64(i + 1)
			s.Endless = c.endless
			tc = Judge(tc, s)
		}
		if tc.Verdict != c.want || tc.Count != c.count {
			t.Errorf("%s: %v after %d crashes, want %v after %d", c.name, tc.Verdict, tc.Count, c.want, c.count)
		}
	}
}

// TestJudgeCountsARunOnce checks that a gang that loses several workers in one run is
// counted once.
func TestJudgeCountsARunOnce(t *testing.T) {
	s := Scene{Run: 3, Begun: true, Sudden: true}
	once := Judge(job.TaskCrashes{}, s)
	if twice := Judge(once, s); twice != once {
		t.Errorf("%+v, want %+v", twice, once)
	}
}
