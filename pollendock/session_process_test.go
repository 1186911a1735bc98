package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

type (
	// process is a program that a session has started.
	process struct {
		name string
		cmd  *exec.Cmd
		log  string
		// exited is closed once the program has exited and has been waited for.
		exited chan struct{}
		// signaled is set if the script has ended the program.
		signaled bool
	}

	// testReporter is the part of testing.TB that reports the logs of a failed
	// session.
	testReporter interface {
		Failed() bool
		Log(args ...any)
	}
)

// maxLogLines is how much of each log a failed session prints.
const maxLogLines = 80

// start runs a program in the background. A program that replaces an earlier one
// of its name appends to the same log.
func (s *session) start(ts *testscript.TestScript, name, program string, args ...string) {
	p := &process{
		name: name, cmd: exec.Command(filepath.Join(binDir, program), args...),
		log: filepath.Join(s.dir, name+".log"), exited: make(chan struct{}),
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p.cmd.Stderr = log
	ts.Check(p.cmd.Start())
	ts.Check(log.Close())
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	if earlier := s.processes[name]; earlier != nil {
		s.replaced = append(s.replaced, earlier)
	}
	s.processes[name] = p
}

// killAll ends the processes. If the script has failed, it prints the end of
// their logs, which are removed with the session's directory.
func (s *session) killAll(t testReporter) {
	unexpected := s.exitedProcess()
	for _, p := range s.replaced {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	for _, name := range s.processNames() {
		p := s.processes[name]
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Log(p.report())
		}
	}
	if t.Failed() && unexpected != nil {
		t.Log(unexpected.name + " had exited by itself: " + unexpected.cmd.ProcessState.String())
	}
}

func (s *session) processNames() []string {
	var names []string
	for name := range s.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// exitedProcess returns a process that has exited although the script has not
// ended it, or nil.
func (s *session) exitedProcess() *process {
	for _, name := range s.processNames() {
		p := s.processes[name]
		if !p.signaled && p.hasExited() {
			return p
		}
	}
	return nil
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// report returns the end of the log, with how the process exited.
func (p *process) report() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return p.name + ": " + err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	lines = lines[max(0, len(lines)-maxLogLines):]
	var out strings.Builder
	out.WriteString("[log of " + p.name + ", " + p.cmd.ProcessState.String() + "]\n")
	out.Write(bytes.Join(lines, []byte("\n")))
	return out.String()
}
