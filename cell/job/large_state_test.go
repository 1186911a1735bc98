package job

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pollendock.example/cell/site"
)

// runningState returns the state of a job whose tasks all run, on that many workers.
func runningState(tasks, workers int) *State {
	draw := rand.New(rand.NewPCG(1, 2))
	ids := make([]string, workers)
	boots := make([]int64, workers)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x-%08x", draw.Uint32(), draw.Uint32())
		boots[i] = 1_764_900_000_000 + draw.Int64N(1_000_000_000)
	}
	s := &State{Phase: Running, Started: true, Steps: [][]Task{make([]Task, tasks)}}
	for i := range s.Steps[0] {
		w := draw.IntN(workers)
		s.Steps[0][i] = Task{Status: Dispatched, Run: 1 + draw.Int64N(3), Worker: ids[w], Boot: boots[w]}
	}
	return s
}

// TestStateOfWideJobFitsRecord: the state of 10,000 running tasks outgrew a record, and no append of it was accepted.
func TestStateOfWideJobFitsRecord(t *testing.T) {
	for _, c := range []struct{ tasks, workers int }{{MaxTasks, 50}, {MaxTasks, 3000}, {MaxTasks, MaxTasks}, {2000, 50}} {
		want := runningState(c.tasks, c.workers)
		submission, err := SubmissionEntry(sub("x", Step{Count: c.tasks}))
		entries := []site.Entry{mustEntry(t, submission, err), storedState(t, want)}
		if n := entries[1].Size(); n > MaxRecordBytes {
			t.Errorf("%d tasks on %d workers: a record of %d bytes", c.tasks, c.workers, n)
		}
		v := NewView()
		if err := apply(v, 0, entries...); err != nil {
			t.Fatal(err)
		}
		if got := v.Job("x").State; !reflect.DeepEqual(got.Steps, want.Steps) || got.Phase != want.Phase {
			t.Errorf("%d tasks on %d workers: the state is not the one that was stored", c.tasks, c.workers)
		}
	}
}

// TestPlainStateUpToRecord checks that a state is compressed only if earlier versions could not store it either.
func TestPlainStateUpToRecord(t *testing.T) {
	plain, err := encode(stateKey+"x", runningState(6000, 50))
	if err != nil || len(plain.Value) > maxPlainState {
		t.Fatal(len(plain.Value), err)
	}
	if !bytes.Equal(plain.Value, storedState(t, runningState(6000, 50)).Value) {
		t.Error("the state is compressed")
	}
}

// TestOddCompressedState checks that a compressed state that no VM writes is left out.
func TestOddCompressedState(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 * maxLargeState / 1024 {
		if _, err := w.Write(make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for _, value := range []string{"\xff", "\xff\x00", "\xffabc", "\xff" + bomb.String()} {
		v := NewView()
		if err := apply(v, 0, site.Entry{Key: "s/a", Value: []byte(value)}); err == nil {
			t.Errorf("%.10q: no error", value)
		}
	}
}

func storedState(t *testing.T, s *State) site.Entry {
	t.Helper()
	e, err := StateEntry("x", s)
	return mustEntry(t, e, err)
}
