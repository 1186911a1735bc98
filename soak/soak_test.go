package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// testLength is long enough for the first few faults of each seed.
const testLength = 8 * time.Second

// seeds are run every time. A seed that found a fault is added with its cause.
var seeds = []uint64{
	1,
	// The simulated worker executed a delayed start after it had been rebooted.
	30,
}

// TestSoak runs short soaks with real processes.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range seeds {
		play(t, &options{Program: program, Seed: seed, Length: testLength, Entries: 3, Workers: 4, Rate: 5, Basic: true})
	}
}

// TestOneRunWhileLeaderIsCutOff cuts the leader off for 12.7 s, together with the workers of its
// data centre.
func TestOneRunWhileLeaderIsCutOff(t *testing.T) {
	play(t, &options{
		Program: buildProgram(t), Seed: 280, Length: testLength, Entries: 3, Workers: 6, Rate: 8, Only: "leader cut off",
	})
}

// TestGangsRunWhereTheAdvisorAdmits runs gangs that span workers, with the advisor's tickets,
// through changes of the leader.
func TestGangsRunWhereTheAdvisorAdmits(t *testing.T) {
	play(t, &options{
		Program: buildProgram(t), Seed: 3, Length: testLength, Entries: 3, Rate: 15, Site: smallSite, MaxGang: 8,
	})
}

// TestGangsRunSoonAfterAllVMsWereOff guards against gangs that wait beside room until a new leader
// has queried for all others.
func TestGangsRunSoonAfterAllVMsWereOff(t *testing.T) {
	play(t, &options{
		Program: buildProgram(t), Seed: 44, Length: 25 * time.Second, Entries: 3, Rate: 45, Site: smallSite, MaxGang: 8,
	})
}

// TestWorkOfDeadWorkersRunsSoonAfterLeadersDied guards against jobs that wait beside room for runs of workers that died with the leader.
func TestWorkOfDeadWorkersRunsSoonAfterLeadersDied(t *testing.T) {
	program := buildProgram(t)
	for _, c := range []struct {
		last string
		seed uint64
	}{
		{"workers end and leaders die", 1},
		{"workers end and leaders die in series", 4},
		{"leader dies and workers end", 5},
	} {
		t.Run(c.last, func(t *testing.T) {
			play(t, &options{Program: program, Seed: c.seed, Length: testLength, Site: smallSite, MaxGang: 8, Calm: true, Last: c.last})
		})
	}
}

// TestNoTaskRunsTwiceAfterRestartsAndDeathOfLeader guards against a leader that counts the lease of a restarted worker as short.
func TestNoTaskRunsTwiceAfterRestartsAndDeathOfLeader(t *testing.T) {
	play(t, &options{
		Program: buildProgram(t), Seed: 2, Length: testLength, Site: smallSite, MaxGang: 8, Calm: true, Lasting: true,
		Last: "workers reboot, leader dies, workers cut off",
	})
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pollendockd")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Dir = "../pollendockd"
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// play runs a soak and reports its violations.
func play(t *testing.T, opt *options) {
	t.Helper()
	opt.Keep = t.TempDir()
	violations, err := soak(opt)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range violations {
		t.Errorf("seed %d: %s", opt.Seed, v)
	}
}
