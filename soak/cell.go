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
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pollendock.example/cell/loopback"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/platform"
	"pollendock.example/standin/fleet"
)

type (
	// cell is a deployment on one machine: a store and workers in this process,
	// each entry VM as a process of its own, and proxies between them.
	cell struct {
		dir         string
		program     string
		subnet      *loopback.Subnet
		ctx         context.Context
		fleet       *fleet.Fleet
		cellStore   *fleet.Store
		configStore *fleet.Store
		serverStore *fleet.Store
		// workers maps workers to the address at which they listen.
		workers map[string]string
		// dataCentres maps workers to their data centre.
		dataCentres map[string]string
		operator    *operator
		entries     []*entryVM
		// faultLocks has a lock per entry VM, so that at most one process fault
		// affects it at a time.
		faultLocks  []sync.Mutex
		disruptions *disruptions
		violations  *violationLog
		// longWaits are those that the judges of waits have seen.
		longWaits longWaits
		// site is the model of a site, nil for the plain soak; advisor is nil without it.
		site    *siteModel
		advisor *fleet.Advisor
		// rate is the number of jobs a second.
		rate   int
		bounds site.Bounds

		mu   sync.Mutex
		jobs map[string]*jobClient
		// cutOff counts the faults because of which the store does not hear of a worker.
		cutOff map[string]int
		// ended holds the workers that have ended for good.
		ended map[string]bool
		// names maps the addresses of the entry VMs to their names.
		names map[netip.Addr]string
	}

	// entryVM is the process of one entry VM.
	entryVM struct {
		name string
		ip   netip.Addr
		// store and workers are the VM's links to the store and to each worker.
		store   *proxy
		workers map[string]*proxy
		// advisor is the VM's link to the advisor, nil if there is none.
		advisor *proxy
		// uplink and downlink limit what it sends and receives over these links; nil for no limit.
		uplink, downlink *loopback.Link
		// dataCentre is where it runs.
		dataCentre string

		log *os.File
		cmd *exec.Cmd
		// settingsPath is the settings file of the process.
		settingsPath string

		// mu guards cmd and stopped. A stopped VM isn't started again.
		mu      sync.Mutex
		stopped bool
	}
)

const (
	plainQueue   = "q"
	queueHost    = "soak.example"
	queuePath    = "/q/"
	serviceName  = "s"
	teamKey      = "soak-key"
	limitedKey   = "soak-key-limited"
	frontendPort = 8401
	readyPort    = 8402
	peerPort     = 8403
	workerCores  = 16
)

var (
	workerCapacity = resource.Vector{MilliCPU: workerCores * 1000, MemoryMB: 64_000}
	// plainBounds are the bounds of a soak without a site.
	plainBounds = site.Bounds{
		MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, Grace: 5 * time.Second, Evacuation: evacuationBound,
		Heartbeat: 500 * time.Millisecond, Contact: 1500 * time.Millisecond,
		CatalogApply: 2 * time.Second, CatalogOutage: 5 * time.Second,
	}
	// teamLimit is what the limited team may have running.
	teamLimit = resource.Vector{MilliCPU: 24_000, MemoryMB: 64_000}
)

func newCell(ctx context.Context, opt *options, dir string) (*cell, error) {
	subnet, err := reserveSubnet(opt)
	if err != nil {
		return nil, err
	}
	model, bounds := opt.model(), plainBounds
	if model != nil {
		bounds = model.bounds
	}
	c := &cell{
		dir: dir, program: opt.Program, rate: opt.Rate, site: model, bounds: bounds, subnet: subnet, ctx: ctx, cellStore: fleet.NewStore(), configStore: fleet.NewStore(), serverStore: fleet.NewStore(),
		workers: map[string]string{}, cutOff: map[string]int{}, jobs: map[string]*jobClient{}, faultLocks: make([]sync.Mutex, opt.Entries),
		dataCentres: map[string]string{}, ended: map[string]bool{}, names: map[netip.Addr]string{}, disruptions: newDisruptions(bounds.Contact), violations: &violationLog{},
	}
	c.operator = &operator{c: c}
	c.fleet = fleet.NewFleet(c.taskOutcome, c.taskSize)
	// The proxies of the workers stand for their ids.
	c.fleet.KeepIDs()
	c.fleet.OnStart(c.judgeStart)
	c.fleet.SetMaxLease(bounds.MaxLease)
	if c.site != nil {
		c.fleet.SetGangTimeout(c.site.gangTimeout)
		c.useAdvisor()
	}
	go c.fleet.Run(ctx)
	for i := range opt.Workers {
		if err := c.addWorker(workerName(i), c.dataCentreOf(i)); err != nil {
			return nil, err
		}
	}
	go c.runHeartbeats(opt.Seed)
	if err := c.publishConfig(1); err != nil {
		return nil, err
	}
	c.exitOnSignal()
	for i := range opt.Entries {
		e, err := c.newEntry(i)
		if err != nil {
			return nil, err
		}
		c.addEntry(e)
		if err := e.start(c.program); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cell) addEntry(e *entryVM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, e)
}

// stopEntries ends all entry VMs for good.
func (c *cell) stopEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		e.stop()
	}
}

// reserveSubnet returns the addresses of the entry VMs, which no other soak has.
func reserveSubnet(opt *options) (*loopback.Subnet, error) {
	ports := []uint16{frontendPort, readyPort, peerPort}
	if opt.Net == 0 {
		return loopback.Reserve(opt.Entries, ports)
	}
	return loopback.ReserveNumber(opt.Net, opt.Entries, ports)
}

// listen serves h on a free loopback port and returns the address.
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

func (c *cell) addWorker(id, dataCentre string) error {
	w := c.fleet.Add(id, serviceName, c.workerCapacity())
	w.SetDataCentre(dataCentre)
	c.dataCentres[id] = dataCentre
	addr, err := c.listen(c.newSenderHandler(platform.WorkerHandler(w)))
	if err != nil {
		return err
	}
	c.workers[id] = addr
	return nil
}

// publishConfig writes the configuration as the given version.
func (c *cell) publishConfig(version int64) error {
	catalog := plainCatalog()
	if c.site != nil {
		catalog = c.site.catalog(len(c.workers), c.rate)
	}
	catalog.Version = version
	value, err := platform.EncodeCatalog(catalog)
	if err != nil {
		return err
	}
	_, err = c.configStore.Append(c.ctx, []site.Entry{{Key: platform.ConfigKey, Value: value}})
	return err
}

// plainCatalog returns the configuration of a soak without a site.
func plainCatalog() *site.Catalog {
	return &site.Catalog{
		Queues: []site.Queue{{Name: plainQueue, Host: queueHost, PathPrefix: queuePath, Service: serviceName, MaxAttempts: 3, Stretch: 4, Objective: time.Second}},
		Teams: []site.Team{
			{Name: "team", Keys: []string{teamKey}, Weight: 100},
			{Name: "limited", Keys: []string{limitedKey}, Weight: 100, Limit: teamLimit},
		},
		Services: map[string]site.Service{serviceName: {}},
	}
}

// workerCapacity returns the capacity of each worker.
func (c *cell) workerCapacity() resource.Vector {
	if c.site != nil {
		return c.site.capacity
	}
	return workerCapacity
}

func (c *cell) newEntry(i int) (*entryVM, error) {
	e := &entryVM{name: fmt.Sprintf("vm%d", i), ip: c.subnet.Addr(i + 1), dataCentre: c.dataCentreOf(i)}
	c.mu.Lock()
	c.names[e.ip] = e.name
	c.mu.Unlock()
	e.uplink, e.downlink = c.vmSizeOf(i).newLinks()
	if err := c.link(e); err != nil {
		return nil, err
	}
	e.settingsPath = filepath.Join(c.dir, e.name+".toml")
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(e.ip, port) }
	s := &platform.Settings{Store: netip.MustParseAddrPort(e.store.addr()), Local: site.Local{
		Name: e.name, DataCentre: e.dataCentre, Listen: at(frontendPort), Ready: at(readyPort), Peer: at(peerPort),
		Bounds: c.bounds,
	}}
	if e.advisor != nil {
		s.Advisor = netip.MustParseAddrPort(e.advisor.addr())
	}
	settings := append(platform.EncodeSettings(s), c.vmSizeOf(i).encodeLimits()...)
	if err := os.WriteFile(e.settingsPath, settings, 0o600); err != nil {
		return nil, err
	}
	var err error
	e.log, err = os.Create(filepath.Join(c.dir, e.name+".log"))
	return e, err
}

func (e *entryVM) start(program string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil
	}
	e.cmd = exec.Command(program, "--platform")
	e.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settingsPath)
	e.cmd.Stdout = e.log
	e.cmd.Stderr = e.log
	return e.cmd.Start()
}

// sendSignal sends a signal to the most recent process of the entry VM.
func (e *entryVM) sendSignal(s syscall.Signal) {
	// The error is ignored: if the process has exited by itself, its log and the
	// violations show it.
	_ = e.process().Process.Signal(s)
}

func (e *entryVM) process() *exec.Cmd {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd
}

// restart ends the process with a signal and starts it again after a pause.
func (e *entryVM) restart(program string, s syscall.Signal, pause time.Duration) error {
	e.sendSignal(s)
	_ = e.process().Wait()
	time.Sleep(pause)
	return e.start(program)
}

// stop ends the process for good.
func (e *entryVM) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	if e.cmd == nil {
		return
	}
	// The process may have ended already.
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
	_ = e.cmd.Process.Kill()
}

func (c *cell) stop() {
	c.stopEntries()
	for _, e := range c.entries {
		_ = e.cmd.Wait()
		_ = e.log.Close()
	}
	c.subnet.Release()
}

// exitOnSignal ends the entry VMs and this process on SIGINT and SIGTERM, as long as the context
// isn't done.
func (c *cell) exitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		defer signal.Stop(signals)
		select {
		case <-signals:
			c.stopEntries()
			c.subnet.Release()
			os.Exit(exitError)
		case <-c.ctx.Done():
		}
	}()
}

// taskOutcome returns the run time and the outcome of a run, as its client chose
// them. The first run of a task may fail.
func (c *cell) taskOutcome(t site.TaskID, run int64, _ string) (time.Duration, site.EndKind) {
	j := c.clientOf(t.Job)
	if j == nil {
		return time.Second, site.Done
	}
	if j.poison && t.Step == 0 && t.Index == 0 {
		return poisonTime, site.Crashed
	}
	if run == 1 && j.failFirstRun {
		return j.runTime, site.Failed
	}
	return j.runTime, site.Done
}

// taskSize returns the size of a task and the number of members of its gang, 0
// if it has none.
func (c *cell) taskSize(t site.TaskID) (resource.Vector, int) {
	j := c.clientOf(t.Job)
	if j == nil || t.Step >= len(j.steps) {
		return resource.Vector{}, 0
	}
	step := &j.steps[t.Step]
	if step.Gang {
		return step.size(), step.Count
	}
	return step.size(), 0
}

func (c *cell) clientOf(id string) *jobClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// newJobID returns an id of 16 characters: the seed modulo 1000 in hexadecimal,
// zeros, and the number of the job.
func newJobID(n int, seed uint64) string {
	text := strconv.FormatUint(seed%1000, 16) + strings.Repeat("0", 16)
	id := strconv.Itoa(n)
	return text[:16-len(id)] + id
}

func mustMarshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}
