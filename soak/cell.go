package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/platform"
	"pollendock.example/standin/fleet"
)

type (
	// cell is a deployment on one machine: a store and workers in this process,
	// entry VMs as processes of their own, and proxies between them.
	cell struct {
		dir     string
		program string
		net     int
		ctx     context.Context
		fleet   *fleet.Fleet
		own     *fleet.Store
		config  *fleet.Store
		servers *fleet.Store
		store   string
		workers map[string]*proxy
		entries []*entry
		// busy keeps two faults of processes from one entry VM.
		busy []sync.Mutex

		mu   sync.Mutex
		jobs map[string]*caller
	}

	// entry is one entry VM.
	entry struct {
		name  string
		ip    string
		store *proxy
		log   *os.File
		cmd   *exec.Cmd
		// settings is the path of the file that the process reads.
		settings string
	}
)

const (
	host        = "soak.example"
	queuePath   = "/q/"
	teamKey     = "soak-key"
	frontPort   = 8401
	readyPort   = 8402
	peerPort    = 8403
	workerCores = 16
	beatEvery   = 500 * time.Millisecond
	grace       = 5 * time.Second
)

func newCell(ctx context.Context, opt *options, dir string) (*cell, error) {
	c := &cell{
		dir: dir, program: opt.Program, net: opt.Net, ctx: ctx, own: fleet.NewStore(), config: fleet.NewStore(), servers: fleet.NewStore(),
		workers: map[string]*proxy{}, jobs: map[string]*caller{}, busy: make([]sync.Mutex, opt.Entries),
	}
	c.fleet = fleet.NewFleet(c.outcomeOf, c.sizeOf)
	go c.fleet.Run(ctx)
	var err error
	c.store, err = c.listen(platform.StoreHandler(map[string]platform.Topic{
		platform.StateTopic: c.own, platform.ConfigTopic: c.config, platform.ServerTopic: c.servers,
	}))
	if err != nil {
		return nil, err
	}
	for i := range opt.Workers {
		if err := c.addWorker(fmt.Sprintf("w%d", i)); err != nil {
			return nil, err
		}
	}
	go c.beat()
	if err := c.publish(1); err != nil {
		return nil, err
	}
	for i := range opt.Entries {
		e, err := c.newEntry(i)
		if err != nil {
			return nil, err
		}
		c.entries = append(c.entries, e)
		if err := e.start(c.program); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// listen serves h on a free port and returns the address.
func (c *cell) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: nil}
	go func() { _ = server.Serve(ln) }()
	go func() {
		<-c.ctx.Done()
		_ = server.Close()
	}()
	return ln.Addr().String(), nil
}

func (c *cell) addWorker(id string) error {
	w := c.fleet.Add(id, "s", resource.Vector{MilliCPU: workerCores * 1000, MemoryMB: 64_000})
	addr, err := c.listen(platform.WorkerHandler(w))
	if err != nil {
		return err
	}
	p, err := newProxy("127.0.0.1", addr)
	if err != nil {
		return err
	}
	c.workers[id] = p
	return nil
}

// beat has the workers write their entries.
func (c *cell) beat() {
	for c.ctx.Err() == nil {
		list, _, err := c.fleet.Next(c.ctx)
		if err != nil {
			return
		}
		for _, u := range list {
			u.Addr = netip.MustParseAddrPort(c.workers[u.ID].addr())
			value, err := platform.EncodeUpstream(&u)
			if err != nil {
				panic(err)
			}
			// A store that is away gets the next one.
			_, _ = c.servers.Append(c.ctx, []site.Entry{{Key: u.ID, Value: value}})
		}
		time.Sleep(beatEvery)
	}
}

// publish puts a configuration version in force.
func (c *cell) publish(version int64) error {
	value, err := platform.EncodeCatalog(&site.Catalog{
		Version:  version,
		Queues:   []site.Queue{{Name: "q", Host: host, PathPrefix: queuePath, Service: "s", MaxAttempts: 3, Stretch: 4, Objective: time.Second}},
		Teams:    []site.Team{{Name: "team", Keys: []string{teamKey}, Weight: 100}},
		Services: map[string]site.Service{"s": {}},
	})
	if err != nil {
		return err
	}
	_, err = c.config.Append(c.ctx, []site.Entry{{Key: platform.ConfigKey, Value: value}})
	return err
}

func (c *cell) newEntry(i int) (*entry, error) {
	e := &entry{name: fmt.Sprintf("vm%d", i), ip: fmt.Sprintf("127.0.%d.%d", c.net, i+1)}
	var err error
	if e.store, err = newProxy("127.0.0.1", c.store); err != nil {
		return nil, err
	}
	e.settings = filepath.Join(c.dir, e.name+".toml")
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(e.ip), port) }
	s := &platform.Settings{Store: netip.MustParseAddrPort(e.store.addr()), Local: site.Local{
		Name: e.name, DataCentre: "dc", Listen: at(frontPort), Ready: at(readyPort), Peer: at(peerPort),
		Bounds: site.Bounds{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, Grace: grace},
	}}
	if err := os.WriteFile(e.settings, platform.EncodeSettings(s), 0o600); err != nil {
		return nil, err
	}
	e.log, err = os.Create(filepath.Join(c.dir, e.name+".log"))
	return e, err
}

func (e *entry) start(program string) error {
	e.cmd = exec.Command(program, "--platform")
	e.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings)
	e.cmd.Stdout = e.log
	e.cmd.Stderr = e.log
	return e.cmd.Start()
}

// signal sends a signal to the process that this entry VM started last.
func (e *entry) signal(s syscall.Signal) {
	// A process that has ended by itself shows in its log and in the verdict.
	_ = e.cmd.Process.Signal(s)
}

// restart ends the process with a signal and starts it anew.
func (e *entry) restart(program string, s syscall.Signal, pause time.Duration) error {
	e.signal(s)
	_ = e.cmd.Wait()
	time.Sleep(pause)
	return e.start(program)
}

func (c *cell) stop() {
	for _, e := range c.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		_ = e.cmd.Wait()
		_ = e.log.Close()
	}
}

// outcomeOf and sizeOf read what the caller wrote into the job's spec.
func (c *cell) outcomeOf(t site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
	j := c.job(t.Job)
	if j == nil {
		return time.Second, site.Done
	}
	if run == 1 && j.failsFirst {
		return j.takes, site.Failed
	}
	return j.takes, site.Done
}

func (c *cell) sizeOf(t site.TaskID) (resource.Vector, int) {
	j := c.job(t.Job)
	if j == nil || t.Step >= len(j.steps) {
		return resource.Vector{}, 0
	}
	step := &j.steps[t.Step]
	size := resource.Vector{MilliCPU: step.CPU, MemoryMB: step.MemMB}
	if step.Gang {
		return size, step.Count
	}
	return size, 0
}

func (c *cell) job(id string) *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func newID(n int, seed uint64) string {
	text := strconv.FormatUint(seed%1000, 16) + strings.Repeat("0", 16)
	id := strconv.Itoa(n)
	return text[:16-len(id)] + id
}

func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}
