package job

import (
	"testing"

	"pollendock.example/cell/site"
)

// TestDispatchedBefore guards against taking a run for one that an older record has dispatched.
func TestDispatchedBefore(t *testing.T) {
	running := func(run int64, worker string, boot int64) *State {
		return &State{Phase: Running, Started: true, Steps: [][]Task{{{}, {Status: Dispatched, Run: run, Worker: worker, Boot: boot}}, {{}}}}
	}
	first := running(1, "w", 5)
	for _, c := range []struct {
		name string
		// states are those that are read, at the offsets 10, 20 and so on.
		states []*State
		// gap is set if records before the last state were not read.
		gap bool
		// want is the offset of the record by which the run counts as dispatched, 0 for none.
		want int64
	}{
		{"first record", []*State{first}, false, 10},
		{"written again", []*State{first, running(1, "w", 5), running(1, "w", 5)}, false, 10},
		{"written again after a gap", []*State{first, running(1, "w", 5)}, true, 20},
		{"another run", []*State{first, running(2, "w", 5)}, false, 20},
		{"another worker", []*State{first, running(1, "v", 5)}, false, 20},
		{"another incarnation", []*State{first, running(1, "w", 6)}, false, 20},
		{"started again after its end", []*State{first, {Phase: Running, Steps: [][]Task{{{}, {Run: 1}}, {{}}}}, running(1, "w", 5)}, false, 30},
		{"not dispatched", []*State{first, {Phase: Running, Steps: [][]Task{{{}, {Run: 1}}, {{}}}}}, false, 0},
		{"job has ended", []*State{first, {Phase: Completed}}, false, 0},
	} {
		v := NewView()
		if err := apply(v, 0, recordOf(t, "j/a", goodSubmission())); err != nil {
			t.Fatal(err)
		}
		for i, s := range c.states {
			if c.gap && i == len(c.states)-1 {
				v.NoteGap()
			}
			if err := apply(v, int64(10*(i+1)), recordOf(t, "s/a", s)); err != nil {
				t.Fatal(err)
			}
		}
		j := v.Job("a")
		for _, offset := range []int64{9, 10, 11, 20, 21, 30, 31} {
			dispatched := j.State.AnyDispatched() && j.DispatchedBefore(offset, 0, 1)
			if want := c.want > 0 && c.want < offset; dispatched != want {
				t.Errorf("%s: dispatched before offset %d: %v, want %v", c.name, offset, dispatched, want)
			}
		}
	}
}

// TestRemovedAnsweredStarts checks that no start counts as answered once the record is removed.
func TestRemovedAnsweredStarts(t *testing.T) {
	v := NewView()
	if err := apply(v, 10, recordOf(t, "answeredStarts", &AnsweredStarts{Before: 9}), site.Entry{Key: "answeredStarts"}); err != nil {
		t.Fatal(err)
	}
	if a := v.AnsweredStarts(); a.Before != 0 || len(a.Except) > 0 {
		t.Errorf("got %+v", a)
	}
}
