package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pollendock.example/cell/config"
	"pollendock.example/cell/loopback"
)

type (
	// session is the working directory, addresses and processes of one script.
	session struct {
		dir       string
		subnet    *loopback.Subnet
		processes map[string]*process
		// replaced are processes that others of their name have followed.
		replaced []*process
	}

	sessionKey struct{}
)

const (
	operatorKey   = "operator-key-of-the-board"
	maxEntries    = 4
	maxWorkers    = 8
	sessionPorts  = 1 + 2*maxEntries + maxWorkers
	firstPort     = 8001
	awaitTimeout  = 40 * time.Second
	awaitInterval = 100 * time.Millisecond
)

var (
	binDir string

	// normalizers replace ids and times, which differ between runs.
	normalizers = []struct {
		pattern *regexp.Regexp
		with    string
	}{
		{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
		{regexp.MustCompile(`entry-(\d)~[0-9a-f]{8}(\.[0-9a-f]{8})?`), "entry-$1~INC"},
		{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	}
)

// TestMain builds the programs that the scripts run.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sessions")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for _, program := range []string{"pollendock", "pollendockd", "standin", "loadgen"} {
		out, err := exec.Command("go", "build", "-o", dir, "pollendock.example/"+program).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// TestSessions runs end-to-end scripts against real processes. The scripts poll
// for conditions instead of sleeping.
func TestSessions(t *testing.T) {
	p := sessionParams()
	p.Dir = "testdata/sessions"
	testscript.Run(t, p)
}

// sessionParams returns the environment and the commands of the scripts.
func sessionParams() testscript.Params {
	return testscript.Params{
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("OPERATOR", operatorKey)
			env.Setenv("OPERATOR_HASH", config.HashKey(operatorKey))
			for _, team := range []string{"atlas", "borea"} {
				env.Setenv(strings.ToUpper(team), teamKey(team))
				env.Setenv(strings.ToUpper(team)+"_HASH", config.HashKey(teamKey(team)))
			}
			subnet, err := loopback.Reserve(1, portRange())
			if err != nil {
				return err
			}
			s := &session{dir: env.WorkDir, subnet: subnet, processes: map[string]*process{}}
			for i := range maxEntries {
				env.Setenv(fmt.Sprintf("E%d", i+1), "http://"+s.addr(1+i))
			}
			env.Setenv("STAGE", "http://"+s.addr(0))
			env.Values[sessionKey{}] = s
			env.Defer(func() {
				s.killAll(env.T().(testReporter))
				subnet.Release()
			})
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cell":   startCell,
			"entry":  startEntry,
			"signal": signalProcess,
			"await":  await,
			"golden": golden,
		},
	}
}

func teamKey(team string) string {
	return "session-key-of-" + team
}

// portRange returns the ports of a session: for the stand-in, for callers and
// peers of the entry VMs, and for the workers.
func portRange() []uint16 {
	var ports []uint16
	for i := range sessionPorts {
		ports = append(ports, uint16(firstPort+i))
	}
	return ports
}

func (s *session) addr(i int) string {
	return netip.AddrPortFrom(s.subnet.Addr(1), uint16(firstPort+i)).String()
}

func sessionOf(ts *testscript.TestScript) *session {
	return ts.Value(sessionKey{}).(*session)
}

// startCell implements the command "cell ENTRIES WORKERS", which starts the
// stand-in for the platform and the entry VMs.
func startCell(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	s.start(ts, "standin", "standin", "--listen", s.addr(0), "--workers", args[1],
		"--first-worker", s.addr(1+2*maxEntries), "--slots", "4", "--cores", "8", "--memory-gb", "16", "--accelerators", "1")
	for i := range int(args[0][0] - '0') {
		startEntry(ts, false, []string{fmt.Sprint(i + 1)})
	}
}

// startEntry implements the command "entry NUMBER", which starts one entry VM.
func startEntry(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	n := int(args[0][0] - '0')
	name := fmt.Sprintf("entry-%d", n)
	file := filepath.Join(s.dir, name+".toml")
	settings := fmt.Sprintf(`entryId = %q
dataCentre = "dc-%d"
listen = %q
peerListen = %q
peers = [%q, %q, %q]
bootstrapHash = %q
[platform]
log = %q
vmList = %q
`, name, n%3, s.addr(n), s.addr(maxEntries+n), s.addr(maxEntries+1), s.addr(maxEntries+2), s.addr(maxEntries+3),
		config.HashKey(operatorKey), s.addr(0), s.addr(0))
	ts.Check(os.WriteFile(file, []byte(settings), 0o600))
	s.start(ts, name, "pollendockd", "--config", file)
}

// signalProcess implements the command "signal NAME KILL|STOP|CONT|TERM", which
// sends a signal. After KILL and TERM it waits for the process to exit; after
// TERM the exit status must be 0.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}
	p := s.processes[args[0]]
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	if args[1] != "KILL" && args[1] != "TERM" {
		return
	}
	p.signaled = true
	<-p.exited
	if args[1] == "TERM" && !p.cmd.ProcessState.Success() {
		ts.Fatalf("%s: %v", args[0], p.cmd.ProcessState)
	}
}

// await implements the command "await PROGRAM ARGS", which runs a program
// repeatedly until it succeeds, or with "! await" until it fails. A process of
// the session that has exited by itself ends the script at once.
func await(ts *testscript.TestScript, neg bool, args []string) {
	s := sessionOf(ts)
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(awaitInterval) {
		err := runOnce(ts, args)
		if (err != nil) == neg {
			return
		}
		if p := s.exitedProcess(); p != nil {
			ts.Fatalf("%s has exited by itself: %v", p.name, p.cmd.ProcessState)
		}
		if time.Now().After(end) {
			ts.Fatalf("%v: %v", args, err)
		}
	}
}

// runOnce runs a program or a builtin: "ready NUMBER.." succeeds if those entry VMs are ready, and
// "check-team TEAM USE" if the team uses those resources.
func runOnce(ts *testscript.TestScript, args []string) error {
	switch args[0] {
	case "ready":
		return checkReady(ts, args[1:])
	case "check-team":
		return checkTeam(ts, args)
	}
	return ts.Exec(args[0], args[1:]...)
}

func checkReady(ts *testscript.TestScript, numbers []string) error {
	for _, n := range numbers {
		resp, err := http.Get(ts.Getenv("E"+n) + "/readyz")
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("entry-%s is not ready: %s", n, resp.Status)
		}
	}
	return nil
}

func checkTeam(ts *testscript.TestScript, args []string) error {
	if err := ts.Exec("pollendock", "--server", ts.Getenv("E1"), "--key", operatorKey, "team"); err != nil {
		return err
	}
	for line := range strings.Lines(ts.ReadFile("stdout")) {
		if strings.HasPrefix(line, args[1]) && strings.Contains(line, args[2]) {
			return nil
		}
	}
	return fmt.Errorf("team %s does not use %s", args[1], args[2])
}

// golden implements the command "golden stdout FILE", which compares an output
// stream with a file after normalizing ids and times.
func golden(ts *testscript.TestScript, _ bool, args []string) {
	got := normalize(ts.ReadFile(args[0]))
	want := ts.ReadFile(args[1])
	if got != want {
		ts.Fatalf("got\n%s\nwant\n%s", got, want)
	}
}

func normalize(text string) string {
	for _, n := range normalizers {
		text = n.pattern.ReplaceAllString(text, n.with)
	}
	var lines []string
	for line := range strings.Lines(text) {
		lines = append(lines, strings.TrimRight(line, " \n"))
	}
	return strings.Join(lines, "\n") + "\n"
}
