package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

type (
	// limits are the limits of a machine.
	limits struct {
		memoryMB    int
		descriptors int
	}

	// process is a process under test, and what has been seen of it.
	process struct {
		t      *testing.T
		name   string
		ip     netip.Addr
		limits limits
		cmd    *exec.Cmd
		log    string
		exited chan struct{}

		// mu guards what follows.
		mu sync.Mutex
		// peakMB is the most memory, with what the kernel holds for the process, and peakFiles
		// the most descriptors.
		peakMB, peakFiles int
	}
)

const (
	// descriptorsForFiles are the descriptors of a machine that sockets can't have.
	descriptorsForFiles = 200
	sampleInterval      = 50 * time.Millisecond
	filesInterval       = 5 * time.Millisecond
	exitTimeout         = 10 * time.Second
	kilobyte            = 1 << 10
	megabyte            = 1 << 20
	tcpQueuesField      = 4
	tcpLocalField       = 1
)

// startProcess starts a program of the system with the descriptors of its machine.
func startProcess(t *testing.T, name string, ip netip.Addr, l limits, dir string, env []string, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, ip: ip, limits: l, exited: make(chan struct{}), log: filepath.Join(dir, name+".log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	shell := []string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(l.descriptors - descriptorsForFiles), program}
	p.cmd = exec.Command("sh", append(shell, args...)...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	go p.watch(sampleInterval, &p.peakMB, func() int {
		resident, peak := p.memoryMB()
		return max(peak, resident+p.unreadMB())
	})
	go p.watch(filesInterval, &p.peakFiles, p.files)
	return p
}

// stop ends the process.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	select {
	case <-p.exited:
	case <-time.After(exitTimeout):
		p.t.Errorf("%s has not ended", p.name)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// watch takes samples until the process has ended, and records their peak.
func (p *process) watch(interval time.Duration, peak *int, sample func() int) {
	for p.alive() {
		n := sample()
		p.mu.Lock()
		*peak = max(*peak, n)
		p.mu.Unlock()
		time.Sleep(interval)
	}
}

// memoryMB returns the resident memory, now and at its peak.
func (p *process) memoryMB() (resident, peak int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "VmRSS:":
			kb, _ := strconv.Atoi(fields[1])
			resident = kb / kilobyte
		case "VmHWM:":
			kb, _ := strconv.Atoi(fields[1])
			peak = kb / kilobyte
		}
	}
	return resident, peak
}

func (p *process) files() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// unreadMB returns what the sockets at the process's address have received and it has not read.
func (p *process) unreadMB() int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	a := p.ip.As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", a[3], a[2], a[1], a[0])
	var total int64
	lines := bufio.NewScanner(bytes.NewReader(table))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= tcpQueuesField || !strings.HasPrefix(fields[tcpLocalField], local) {
			continue
		}
		_, unread, _ := strings.Cut(fields[tcpQueuesField], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += n
	}
	return int(total / megabyte)
}

// check reports whether the process lives within its limits.
func (p *process) check(t *testing.T) {
	t.Helper()
	if !p.alive() {
		t.Errorf("%s has ended: %v", p.name, p.cmd.ProcessState)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, peak := p.memoryMB()
	p.peakMB = max(p.peakMB, peak)
	t.Logf("%s: at most %d MB of %d, %d descriptors of %d", p.name, p.peakMB, p.limits.memoryMB, p.peakFiles, p.limits.descriptors-descriptorsForFiles)
	if p.peakMB >= p.limits.memoryMB {
		t.Errorf("%s: memory of %d MB, limit %d", p.name, p.peakMB, p.limits.memoryMB)
	}
	if p.peakFiles >= p.limits.descriptors-descriptorsForFiles {
		t.Errorf("%s: %d descriptors, limit %d", p.name, p.peakFiles, p.limits.descriptors-descriptorsForFiles)
	}
	if log, err := os.ReadFile(p.log); err == nil && bytes.Contains(log, []byte("too many open files")) {
		t.Errorf("%s: too many open files", p.name)
	}
}
