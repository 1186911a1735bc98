package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pollendock.example/cell/site"
)

// TestWaitBeginsAnewOnlyWithItsTask guards against a wait that another task's progress or another
// crash begins again, and against one that goes on over a run.
func TestWaitBeginsAnewOnlyWithItsTask(t *testing.T) {
	waiting, dispatched := Task{Run: 1}, Task{Status: Dispatched, Run: 2, Worker: "w", Boot: 1}
	suspect := TaskCrashes{Count: 1, Run: 1, Verdict: Suspect}
	poison := TaskCrashes{Count: 2, Run: 1, Verdict: Poison}
	other := TaskCrashes{Index: 1, Count: 1, Run: 1, Verdict: Suspect}
	for _, c := range []struct {
		name string
		// records are read one a second after the first suspect waits.
		records []any
		// since is the second in which the wait begins, negative if there is none.
		since int
	}{
		{"nothing follows", nil, 0},
		{"read again", []any{[]Task{waiting, waiting}, []TaskCrashes{suspect}}, 0},
		{"another task starts", []any{[]Task{waiting, dispatched}}, 0},
		{"a crash under another task", []any{[]TaskCrashes{suspect, other}}, 0},
		{"given up", []any{[]TaskCrashes{poison}, []Task{waiting, dispatched}}, 1},
		{"crash taken back", []any{[]TaskCrashes{poison}, []TaskCrashes{suspect}}, 2},
		{"starts", []any{[]Task{dispatched, waiting}}, -1},
		{"starts and ends", []any{[]Task{dispatched, waiting}, []Task{{Run: 2}, waiting}}, 2},
		{"starts and ends unread", []any{[]Task{{Run: 2}, waiting}}, 1},
		{"tasks removed", []any{Canceled}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := NewView()
				offset := int64(0)
				apply := func(e site.Entry, err error) {
					t.Helper()
					e = mustEntry(t, e, err)
					e.Offset = offset
					offset++
					if _, err := v.Apply(&site.Page{Entries: []site.Entry{e}, Next: offset, End: offset}); err != nil {
						t.Fatal(err)
					}
				}
				record := func(r any) {
					switch r := r.(type) {
					case []Task:
						apply(StateEntry("j", &State{Phase: Running, Started: true, Steps: [][]Task{r}}))
					case Phase:
						apply(StateEntry("j", &State{Phase: r, Started: true}))
					case []TaskCrashes:
						apply(CrashesEntry("j", &Crashes{Tasks: r}))
					}
				}
				began := time.Now()
				// The records of a job may be read in any order.
				record([]TaskCrashes{suspect})
				record([]Task{waiting, waiting})
				apply(SubmissionEntry(sub("j", Step{Count: 2})))
				for _, r := range c.records {
					time.Sleep(time.Second)
					record(r)
				}
				got := v.Job("j").WaitingSince(0)
				if c.since < 0 {
					if !got.IsZero() {
						t.Errorf("waits since %v, want no wait", got.Sub(began))
					}
					return
				}
				if want := time.Duration(c.since) * time.Second; got.Sub(began) != want {
					t.Errorf("waits since %v, want %v", got.Sub(began), want)
				}
			})
		})
	}
}
