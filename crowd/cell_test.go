package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"pollendock.example/cell/loopback"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/platform"
	"pollendock.example/standin/fleet"
)

type (
	// cell is a deployment whose two entry VMs are processes. The first one leads, and the crowd
	// comes to it.
	cell struct {
		t       *testing.T
		dir     string
		limits  limits
		subnet  *loopback.Subnet
		fleet   *fleet.Fleet
		workers map[string]netip.AddrPort
		servers *fleet.Store
		store   netip.AddrPort
		vms     []*process
		// jobs is the number of jobs that the test has submitted.
		jobs int
	}
)

const (
	callersPort = 8401
	readyPort   = 8402
	peerPort    = 8403
	metricsPort = 9464

	queueHost   = "crowd.example"
	queuePath   = "/q/"
	serviceName = "s"
	teamKey     = "crowd-key"

	workers      = 3
	taskTime     = 50 * time.Millisecond
	heartbeat    = 500 * time.Millisecond
	startTimeout = 20 * time.Second
)

var (
	programs string

	bounds = site.Bounds{
		MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, Grace: 5 * time.Second, Heartbeat: heartbeat,
		Contact: 1500 * time.Millisecond, CatalogApply: 2 * time.Second, CatalogOutage: 5 * time.Second,
	}
)

// TestMain builds the programs.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	for _, program := range []string{"pollendockd", "standin"} {
		if out, err := exec.Command("go", "build", "-o", dir, "pollendock.example/"+program).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// newCell starts a cell whose first entry VM has the limits.
func newCell(t *testing.T, l limits) *cell {
	t.Helper()
	subnet, err := loopback.Reserve(2, []uint16{callersPort, readyPort, peerPort, metricsPort})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &cell{t: t, dir: t.TempDir(), limits: l, subnet: subnet, workers: map[string]netip.AddrPort{}, servers: fleet.NewStore()}
	t.Cleanup(func() {
		for _, p := range c.vms {
			p.stop()
		}
		cancel()
		subnet.Release()
	})
	c.fleet = fleet.NewFleet(
		func(site.TaskID, int64, string) (time.Duration, site.EndKind) { return taskTime, site.Done },
		func(site.TaskID) (resource.Vector, int) { return resource.Vector{}, 0 },
	)
	c.fleet.SetMaxLease(bounds.MaxLease)
	go c.fleet.Run(ctx)
	for i := range workers {
		id := fmt.Sprintf("worker%d", i)
		w := c.fleet.Add(id, serviceName, resource.Vector{MilliCPU: 1_000_000, MemoryMB: 1_000_000})
		c.workers[id] = c.serve(ctx, platform.WorkerHandler(w))
	}
	configs := fleet.NewStore()
	c.store = c.serve(ctx, platform.StoreHandler(map[string]platform.Topic{
		platform.StateTopic: fleet.NewStore(), platform.ConfigTopic: configs, platform.ServerTopic: c.servers,
	}))
	go c.runHeartbeats(ctx)
	c.publish(ctx, configs)
	for i := range 2 {
		c.startVM(i)
		c.await("an accepted job", func() error { return c.submitAndWait(i, i) })
	}
	return c
}

// serve serves h on loopback and returns the address.
func (c *cell) serve(ctx context.Context, h http.Handler) netip.AddrPort {
	c.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func (c *cell) publish(ctx context.Context, configs *fleet.Store) {
	c.t.Helper()
	value, err := platform.EncodeCatalog(&site.Catalog{
		Version:  1,
		Queues:   []site.Queue{{Name: "q", Host: queueHost, PathPrefix: queuePath, Service: serviceName, MaxAttempts: 3, Stretch: 4, Objective: time.Second}},
		Teams:    []site.Team{{Name: "team", Keys: []string{teamKey}, Weight: 100}},
		Services: map[string]site.Service{serviceName: {}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := configs.Append(ctx, []site.Entry{{Key: platform.ConfigKey, Value: value}}); err != nil {
		c.t.Fatal(err)
	}
}

// runHeartbeats writes the workers' entries.
func (c *cell) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.fleet.Next(ctx)
		if err != nil {
			return
		}
		for i := range list.Upstreams {
			u := &list.Upstreams[i]
			u.Addr = c.workers[u.ID]
			if value, err := platform.EncodeUpstream(u); err == nil {
				_, _ = c.servers.Append(ctx, []site.Entry{{Key: u.ID, Value: value}})
			}
		}
		time.Sleep(heartbeat)
	}
}

// startVM starts an entry VM.
func (c *cell) startVM(i int) {
	c.t.Helper()
	name, ip := fmt.Sprintf("vm%d", i), c.subnet.Addr(i+1)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	settings := platform.EncodeSettings(&platform.Settings{Store: c.store, Local: site.Local{
		Name: name, DataCentre: "dc", Listen: at(callersPort), Ready: at(readyPort), Peer: at(peerPort), Bounds: bounds,
	}})
	settings = fmt.Appendf(settings, "[limits]\nmemory-mb = %d\nmax-fds = %d\n", c.limits.memoryMB, c.limits.descriptors)
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		c.t.Fatal(err)
	}
	env := []string{platform.SettingsVariable + "=" + path}
	c.vms = append(c.vms, startProcess(c.t, name, ip, c.limits, c.dir, env, filepath.Join(programs, "pollendockd"), "--platform"))
}

// target is the process to which the crowd comes.
func (c *cell) target() *process { return c.vms[0] }

// address returns the address of a listener of an entry VM.
func (c *cell) address(vm int, port uint16) string {
	return netip.AddrPortFrom(c.subnet.Addr(vm+1), port).String()
}

// ordinary makes the requests of ordinary callers and of the balancer: a job that the first entry
// VM takes runs and is shown as completed by the other, and the first one is ready.
func (c *cell) ordinary() error {
	if err := c.submitAndWait(0, 1); err != nil {
		return err
	}
	return get("http://" + c.address(0, readyPort) + "/api/readyz")
}

// submitAndWait submits a job at one entry VM and waits at another until it has completed.
func (c *cell) submitAndWait(at, from int) error {
	c.jobs++
	id := fmt.Sprintf("%016x", c.jobs)
	if err := untilServed(func() error { return c.submit(at, id, jobBody("")) }); err != nil {
		return fmt.Errorf("submit at vm%d: %w", at, err)
	}
	err := untilServed(func() error { return c.expectCompleted(from, id) })
	if err != nil {
		return fmt.Errorf("status at vm%d: %w", from, err)
	}
	return nil
}

// await fails the test if check does not succeed while the cell starts.
func (c *cell) await(what string, check func() error) {
	c.t.Helper()
	end := time.Now().Add(startTimeout)
	for err := check(); err != nil; err = check() {
		if time.Now().After(end) {
			c.t.Fatalf("no %s: %v", what, err)
		}
		time.Sleep(sampleInterval)
	}
}
