package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// cell is a small deployment: a store and workers in this process, and the entry VMs as
	// processes of the project's own program.
	cell struct {
		dir, program string
		// trouble is false for the run without the disruption.
		trouble bool
		store   *store
		fleet   *fleet
		vms     []*vm
		began   time.Time
		net     string
		record  *os.File

		mu   sync.Mutex
		jobs map[string]*clientJob
	}

	vm struct {
		name, ip string
		cmd      *exec.Cmd
		log      *os.File
	}

	size struct {
		CPU   int64 `json:"cpu,omitempty"`
		MemMB int64 `json:"mem-mb,omitempty"`
		GPU   int64 `json:"gpu,omitempty"`
	}

	step struct {
		Count       int   `json:"count"`
		CPU         int64 `json:"cpu,omitempty"`
		MemMB       int64 `json:"mem-mb,omitempty"`
		EstimatedMs int64 `json:"estimated-ms,omitempty"`
		Gang        bool  `json:"gang,omitempty"`
		LongRunning bool  `json:"long-running,omitempty"`
		Apart       int   `json:"anti-affinity,omitempty"`
		GPU         int64 `json:"gpu,omitempty"`
		duration    time.Duration
	}

	// clientJob is a job and what its client knows of it.
	clientJob struct {
		id    string
		route *route
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
		// acceptedAt is when the first 2xx arrived.
		acceptedAt time.Time
	}

	route struct {
		Name        string  `json:"name"`
		Host        string  `json:"host"`
		Prefix      string  `json:"path-prefix"`
		Service     string  `json:"service"`
		Priority    int     `json:"priority"`
		MaxAttempts int     `json:"max-attempts"`
		Stretch     float64 `json:"stretch"`
		SLO         float64 `json:"slo-ms"`
		TimeoutMs   int     `json:"timeout-ms"`
		Type        string  `json:"type"`
	}

	config struct {
		Version  int              `json:"version"`
		Routes   []*route         `json:"routes"`
		Services []map[string]any `json:"services"`
		Tenants  []map[string]any `json:"tenants"`
		Limits   map[string]int   `json:"limits"`
	}
)

const (
	serviceName  = "huvo11a"
	apiKey       = "6x73d3zji9n73hh2b9wu"
	tenantName   = "kaje80"
	hostName     = "nony24.example"
	frontPort    = 8183
	readyPort    = 8184
	innerPort    = 7420
	storePort    = 8182
	vmCount      = 3
	readyTimeout = 15 * time.Second
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 3 * time.Second
)

var (
	quick = &route{Name: "r-nax7u27", Host: hostName, Prefix: "/pule252/", Service: serviceName, Priority: 0, MaxAttempts: 4, Stretch: 1.5, SLO: 250, TimeoutMs: 3000, Type: "unsafe"}
	large = &route{Name: "r-ihhacru", Host: hostName, Prefix: "/lohu930/", Service: serviceName, Priority: 1, MaxAttempts: 2, Stretch: 2.2, SLO: 1000, TimeoutMs: 3000, Type: "unsafe"}
	zones = []string{"barn-north", "barn-south", "quay-store"}
)

// newCell starts the store, the workers and the entry VMs, and waits until all of them are ready.
func newCell(dir, program string, trouble bool, workers int, capacity, tenantCap size) (*cell, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cell{dir: tmp, program: program, trouble: trouble, store: newStore(), began: time.Now(), record: record, jobs: map[string]*clientJob{}}
	c.net = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, (os.Getpid()/128)%250+1)
	c.fleet = &fleet{cell: c, gangs: map[string]*gang{}}
	c.publish(1, tenantCap)
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", c.net, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, c.store) }()
	for i := range workers {
		w := &worker{id: fmt.Sprintf("i-7f3a91c%x", i), addr: fmt.Sprintf("%s.%d:8080", c.net, 100+i), zone: zones[i%len(zones)],
			labels: []string{"a", fmt.Sprintf("r1-%d", i%2)}, capacity: capacity, f: c.fleet}
		c.fleet.workers = append(c.fleet.workers, w)
		if err := w.begin(); err != nil {
			return nil, err
		}
	}
	go c.live()
	for i := range vmCount {
		v := &vm{name: fmt.Sprintf("frontend-%s-1", zones[i]), ip: fmt.Sprintf("%s.%d", c.net, i+1)}
		c.vms = append(c.vms, v)
		if err := c.start(v, zones[i]); err != nil {
			return nil, err
		}
	}
	return c, c.awaitReady()
}

// live lets the workers work and write their entries.
func (c *cell) live() {
	next := time.Now().Add(heartbeat)
	for {
		time.Sleep(tick)
		c.fleet.advance()
		if time.Now().After(next) {
			next = next.Add(heartbeat)
			for _, w := range c.fleet.workers {
				w.beat()
			}
		}
	}
}

// publish writes a version of the configuration, as the operator does.
func (c *cell) publish(version int, tenantCap size) {
	body, err := json.Marshal(&config{
		Version: version, Routes: []*route{quick, large},
		Services: []map[string]any{{"name": serviceName, "health-check-path": "/healthz", "max-connections": 64, "protocol": "h1", "admission-check": false}},
		Tenants:  []map[string]any{{"name": tenantName, "api-keys": []string{apiKey}, "weight": 26, "cap": tenantCap}},
		Limits:   map[string]int{"max-body-bytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	c.store.put("keyed.op", "config", body)
	c.log("operator: version %d of the configuration is acknowledged, cap %+v", version, tenantCap)
}

// start starts the process of an entry VM with the command of the deploy file.
func (c *cell) start(v *vm, zone string) error {
	path := filepath.Join(c.dir, v.name+".toml")
	settings := fmt.Sprintf(settingsText, v.name, v.ip, zone, v.ip, frontPort, v.ip, readyPort, c.net, storePort)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	var err error
	if v.log, err = os.Create(filepath.Join(c.dir, v.name+".log")); err != nil {
		return err
	}
	v.cmd = exec.Command(c.program, "--platform")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POLLENDOCK_NODE_FILE=" + path}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.cmd.Start()
}

func (c *cell) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range c.vms {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", v.ip, readyPort))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.vms) {
			// Traffic starts 10 s after the machines do.
			time.Sleep(max(0, 10*time.Second-time.Since(c.began)))
			c.log("all entry VMs are ready")
			return nil
		}
	}
	return fmt.Errorf("the entry VMs are not ready after %v", readyTimeout)
}

// stop ends the processes that the case has started.
func (c *cell) stop() {
	for _, v := range c.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
	_ = c.record.Close()
}

// log writes a line to the record and to the standard output, logQuiet to the record only.
func (c *cell) log(format string, args ...any) {
	fmt.Println(c.logQuiet(format, args...))
}

func (c *cell) logQuiet(format string, args ...any) string {
	line := fmt.Sprintf("%8.3f  ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(c.record, line)
	return line
}

func (c *cell) job(id string) *clientJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// call sends a client's request to an entry VM. The status is 0 if there was no answer.
func (c *cell) call(v *vm, method string, r *route, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", v.ip, frontPort, r.Prefix, id), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = r.Host
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	client := http.Client{Timeout: clientDeadline}
	resp, err := client.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// submit hands a job in, with up to four retries as the clients of the pages have.
func (c *cell) submit(n int, r *route, steps ...step) *clientJob {
	j := &clientJob{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+n), route: r, Spec: "(text)", Steps: steps}
	c.mu.Lock()
	c.jobs[j.id] = j
	c.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	for try := range 5 {
		status, answer := c.call(c.vms[(n+try)%len(c.vms)], http.MethodPost, r, j.id, body)
		c.logQuiet("client: POST %s%s: %d %s", r.Prefix, j.id, status, strings.TrimSpace(string(answer)))
		if status >= 200 && status < 300 {
			j.acceptedAt = time.Now()
			return j
		}
		time.Sleep(time.Second)
	}
	return j
}

// state asks for the state of a job.
func (c *cell) state(v *vm, j *clientJob) string {
	status, answer := c.call(v, http.MethodGet, j.route, j.id, nil)
	var b struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &b) != nil {
		return fmt.Sprint(status)
	}
	return b.State
}

// waiting asks for the number of the queue's jobs of which no task has started, -1 for no answer.
func (c *cell) waiting(v *vm, r *route) int {
	status, answer := c.call(v, http.MethodGet, r, "", nil)
	b := struct {
		Waiting int `json:"waiting"`
	}{}
	if status != http.StatusOK || json.Unmarshal(answer, &b) != nil {
		return -1
	}
	return b.Waiting
}

// awaitState waits until a job is in a state.
func (c *cell) awaitState(j *clientJob, want string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if c.state(c.vms[0], j) == want {
			return true
		}
	}
	return false
}

// runs returns the runs of a job that have begun, the first one first.
func (c *cell) runs(j *clientJob) []*execution {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	var list []*execution
	for _, e := range c.fleet.history {
		if e.job == j {
			copied := *e
			list = append(list, &copied)
		}
	}
	return list
}

// active returns the number of runs of a job that have not ended.
func (c *cell) active(j *clientJob) int {
	n := 0
	for _, e := range c.runs(j) {
		if e.ended.IsZero() {
			n++
		}
	}
	return n
}

// endAll ends the runs of a job that are at work.
func (c *cell) endAll(j *clientJob, how string) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, e := range c.fleet.history {
		if e.job == j && e.ended.IsZero() {
			e.w.end(e, how)
		}
	}
}
