package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

const (
	// testLength is long enough for the first few faults of each seed.
	testLength = 8 * time.Second
	// testSubnet differs from the default of --net, so that the test can run while
	// soak is run by hand.
	testSubnet = 90
)

// seeds are run every time. A seed that found a fault is added with its cause.
var seeds = []uint64{
	1,
	// The simulated worker executed a delayed start after it had been rebooted.
	30,
}

// TestSoak runs short soaks with real processes.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pollendockd")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Dir = "../pollendockd"
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for i, seed := range seeds {
		dir := t.TempDir()
		violations, err := soak(&options{
			Program: program, Seed: seed, Length: testLength, Entries: 3, Workers: 4, Rate: 5, Net: testSubnet + i, Keep: dir,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
