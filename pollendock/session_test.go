package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pollendock.example/cell/config"
)

type (
	// session is the cell of one script.
	session struct {
		dir       string
		ports     []int
		processes map[string]*exec.Cmd
	}

	sessionKey struct{}
)

const (
	operatorKey  = "operator-key-of-the-board"
	maxEntries   = 4
	maxWorkers   = 8
	sessionPorts = 1 + 2*maxEntries + maxWorkers
	firstPort    = 21000
	lastPort     = 30000
	awaitTimeout = 40 * time.Second
	awaitEvery   = 100 * time.Millisecond
)

var (
	binDir string

	// markers keep the ports of this process's sessions.
	markers   []net.Listener
	markersMu sync.Mutex

	// Ids and times differ from run to run; everything else is compared.
	normalizers = []struct {
		pattern *regexp.Regexp
		with    string
	}{
		{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
		{regexp.MustCompile(`entry-(\d)~[0-9a-f]{8}(\.[0-9a-f]{8})?`), "entry-$1~INC"},
		{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	}
)

// TestMain builds the programs that the sessions run.
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

// TestSessions runs whole stories across real processes. The scripts wait on
// conditions, not on time.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/sessions",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("OPERATOR", operatorKey)
			env.Setenv("OPERATOR_HASH", config.HashKey(operatorKey))
			for _, team := range []string{"atlas", "borea"} {
				env.Setenv(strings.ToUpper(team), teamKey(team))
				env.Setenv(strings.ToUpper(team)+"_HASH", config.HashKey(teamKey(team)))
			}
			s := &session{dir: env.WorkDir, processes: map[string]*exec.Cmd{}}
			if err := s.takePorts(); err != nil {
				return err
			}
			for i := range maxEntries {
				env.Setenv(fmt.Sprintf("E%d", i+1), "http://"+s.addr(1+i))
			}
			env.Setenv("STAGE", "http://"+s.addr(0))
			env.Values[sessionKey{}] = s
			env.Defer(s.end)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cell":   startCell,
			"entry":  startEntry,
			"signal": signalProcess,
			"await":  await,
			"golden": golden,
		},
	})
}

func teamKey(team string) string {
	return "session-key-of-" + team
}

// takePorts finds a run of free ports: the stage, the entry VMs for callers and
// for peers, and the workers. A marker on the port after them is held for the
// life of the test process, so that scripts get different runs.
func (s *session) takePorts() error {
	for first := firstPort; first < lastPort; first += sessionPorts + 1 {
		if freeRun(first) {
			for i := range sessionPorts {
				s.ports = append(s.ports, first+i)
			}
			return nil
		}
	}
	return fmt.Errorf("no free run of ports")
}

func freeRun(first int) bool {
	marker, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+sessionPorts))
	if err != nil {
		return false
	}
	for i := range sessionPorts {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
		if err != nil {
			_ = marker.Close()
			return false
		}
		_ = ln.Close()
	}
	markersMu.Lock()
	defer markersMu.Unlock()
	markers = append(markers, marker)
	return true
}

func (s *session) addr(i int) string {
	return fmt.Sprintf("127.0.0.1:%d", s.ports[i])
}

func (s *session) end() {
	for _, p := range s.processes {
		_ = p.Process.Kill()
		_, _ = p.Process.Wait()
	}
}

func sessionOf(ts *testscript.TestScript) *session {
	return ts.Value(sessionKey{}).(*session)
}

func (s *session) start(ts *testscript.TestScript, name, program string, args ...string) {
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	ts.Check(err)
	cmd.Stderr = log
	ts.Check(cmd.Start())
	s.processes[name] = cmd
}

// startCell starts the platform and entry VMs: cell ENTRIES WORKERS.
func startCell(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	s.start(ts, "standin", "standin", "--listen", s.addr(0), "--workers", args[1],
		"--first-worker", s.addr(1+2*maxEntries), "--slots", "4", "--cores", "8", "--memory-gb", "16", "--accelerators", "1")
	for i := range int(args[0][0] - '0') {
		startEntry(ts, false, []string{fmt.Sprint(i + 1)})
	}
}

// startEntry starts one entry VM: entry NUMBER.
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

// signalProcess sends a signal: signal NAME KILL|STOP|CONT|TERM. After KILL and
// TERM it waits for the end; with TERM the exit status must be 0.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}
	p := s.processes[args[0]]
	ts.Check(p.Process.Signal(signals[args[1]]))
	if args[1] != "KILL" && args[1] != "TERM" {
		return
	}
	delete(s.processes, args[0])
	if err := p.Wait(); err != nil && args[1] == "TERM" {
		ts.Fatalf("%s: %v", args[0], err)
	}
}

// await repeats a program until it succeeds, or fails with "! await": await
// PROGRAM ARGS.
func await(ts *testscript.TestScript, neg bool, args []string) {
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(awaitEvery) {
		err := try(ts, args)
		if (err != nil) == neg {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%v: %v", args, err)
		}
	}
}

// try runs a program, or "check-team TEAM USE", which succeeds once the team
// holds that much.
func try(ts *testscript.TestScript, args []string) error {
	if args[0] != "check-team" {
		return ts.Exec(args[0], args[1:]...)
	}
	if err := ts.Exec("pollendock", "--server", ts.Getenv("E1"), "--key", operatorKey, "team"); err != nil {
		return err
	}
	for line := range strings.Lines(ts.ReadFile("stdout")) {
		if strings.HasPrefix(line, args[1]) && strings.Contains(line, args[2]) {
			return nil
		}
	}
	return fmt.Errorf("team %s does not hold %s", args[1], args[2])
}

// golden compares a stream with a file after ids and times are normalised:
// golden stdout FILE.
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
