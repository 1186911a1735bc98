package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

const (
	// shortRun is long enough for each of the seeds' first few faults.
	shortRun = 8 * time.Second
	// testNet keeps the test apart from soaks by hand.
	testNet = 90
)

// seeds are played on each run. One that has failed is kept here, with the cause.
var seeds = []uint64{
	1,
	// The stand-in carried a late start out after its worker had been reborn.
	30,
}

// TestSoak plays short soaks with real processes.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pollendockd")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Dir = "../pollendockd"
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for i, seed := range seeds {
		dir := t.TempDir()
		breaches, err := soak(&options{
			Program: program, Seed: seed, Length: shortRun, Entries: 3, Workers: 4, Rate: 5, Net: testNet + i, Keep: dir,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range breaches {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
