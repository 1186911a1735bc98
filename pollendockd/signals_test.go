package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// runMainVariable makes the test binary run main instead of the tests.
	runMainVariable = "POLLENDOCKD_TEST_MAIN"
	// signalGap is the time between two signals, and between the last one and the check.
	signalGap = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestHangupDuringStart: SIGHUP ended a process that waited for valid settings.
func TestHangupDuringStart(t *testing.T) {
	cmd := exec.Command(os.Args[0], "--platform")
	cmd.Env = append(os.Environ(), runMainVariable+"=1", "POLLENDOCK_NODE_FILE="+filepath.Join(t.TempDir(), "missing.toml"))
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	lines := bufio.NewScanner(out)
	awaitRetry(t, lines)
	for range 3 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitRetry(t, lines)
	}
	time.Sleep(signalGap)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 1 {
		t.Errorf("the process ended with %v, want exit status 1 after SIGTERM", cmd.ProcessState)
	}
}

// awaitRetry reads up to a line on settings that are not valid.
func awaitRetry(t *testing.T, lines *bufio.Scanner) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), "invalid settings") {
			return
		}
	}
	t.Fatal("the process has ended")
}
