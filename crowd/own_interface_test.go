package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
	"pollendock.example/cell/loopback"
	"pollendock.example/cell/resource"
)

type (
	// ownCell is a cell of two entry VMs on our own interface. The crowd comes to the first.
	ownCell struct {
		t      *testing.T
		dir    string
		limits limits
		subnet *loopback.Subnet
		vms    []*process
	}
)

const (
	ownPort     = 8411
	ownPeerPort = 8412
	standinPort = 8413
	firstWorker = 8420
	ownWorkers  = 2
	standinHost = 3
	operatorKey = "crowd-operator-key"
)

var (
	ownCallers = &endpoint{host: "cell", submit: "/v1/work", query: "/v1/cell", key: "Authorization: Bearer " + teamKey}

	ownCrowds = []crowd{
		{"many header lines", ownPort, littleMemory, 400, once(manyHeaders)},
		{"bodies", ownPort, littleMemory, 400, once(largeBody)},
		{"bodies in pieces", ownPort, littleMemory, 400, once(piecewiseBody)},
		{"chunks of one byte", ownPort, littleMemory, 400, once(smallChunks)},
		{"one large chunk", ownPort, littleMemory, 400, once(oneChunk)},
		{"metrics unread", ownPort, littleMemory, 400, once(metricsUnread)},
		{"compressed metrics unread", ownPort, littleMemory, 400, once(compressedUnread)},
		{"slow headers", ownPort, fewDescriptors, 400, once(slowHeaders)},
		{"silent", ownPort, fewDescriptors, 400, once(silent)},
		{"idle", ownPort, fewDescriptors, 400, once(idle)},
		{"peers, large messages", ownPeerPort, littleMemory, 400, once(largeMessage)},
		{"peers, silent", ownPeerPort, fewDescriptors, 400, once(silent)},
	}
)

// TestCrowdEndsNoVMOnOwnInterface guards against the same on our own interface.
func TestCrowdEndsNoVMOnOwnInterface(t *testing.T) {
	var c *ownCell
	for i := range ownCrowds {
		w := &ownCrowds[i]
		if c == nil || c.limits != w.limits {
			c = newOwnCell(t, w.limits)
		}
		passed := t.Run(strings.ReplaceAll(w.name, " ", "_"), func(t *testing.T) { c.face(t, w) })
		if !passed {
			c.vms[0].stop()
			c = nil
		}
	}
}

// face checks the cell during a crowd and after it.
func (c *ownCell) face(t *testing.T, w *crowd) {
	g := gather(c.address(0, w.port), ownCallers, w.clients, w.visit)
	time.Sleep(stay)
	if err := c.ordinary(); err != nil {
		t.Errorf("during the crowd: %v", err)
	}
	g.disperse()
	if err := c.ordinary(); err != nil {
		t.Errorf("after the crowd: %v", err)
	}
	c.vms[0].check(t)
}

func newOwnCell(t *testing.T, l limits) *ownCell {
	t.Helper()
	ports := []uint16{ownPort, ownPeerPort, standinPort, firstWorker}
	subnet, err := loopback.Reserve(standinHost, ports)
	if err != nil {
		t.Fatal(err)
	}
	c := &ownCell{t: t, dir: t.TempDir(), limits: l, subnet: subnet}
	ip := subnet.Addr(standinHost)
	standin := startProcess(t, "standin", ip, siteLimits, c.dir, nil, filepath.Join(programs, "standin"),
		"--listen", c.address(standinHost-1, standinPort), "--workers", fmt.Sprint(ownWorkers),
		"--first-worker", c.address(standinHost-1, firstWorker))
	t.Cleanup(func() {
		for _, p := range c.vms {
			p.stop()
		}
		standin.stop()
		subnet.Release()
	})
	for i := range 2 {
		c.startVM(i)
	}
	if err := untilServed(func() error { return get("http://" + c.address(0, ownPort) + "/healthz") }); err != nil {
		t.Fatal(err)
	}
	if err := untilServed(c.publish); err != nil {
		t.Fatal(err)
	}
	if err := untilServed(c.ordinary); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *ownCell) startVM(i int) {
	c.t.Helper()
	name := fmt.Sprintf("entry-%d", i)
	settings := fmt.Sprintf(`entryId = %q
dataCentre = "dc-0"
listen = %q
peerListen = %q
peers = [%q]
bootstrapHash = %q
[platform]
log = %q
vmList = %q
[bounds]
memoryMb = %d
maxDescriptors = %d
`, name, c.address(i, ownPort), c.address(i, ownPeerPort), c.address(0, ownPeerPort), config.HashKey(operatorKey),
		c.address(standinHost-1, standinPort), c.address(standinHost-1, standinPort), c.limits.memoryMB, c.limits.descriptors)
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.vms = append(c.vms, startProcess(c.t, name, c.subnet.Addr(i+1), c.limits, c.dir, nil,
		filepath.Join(programs, "pollendockd"), "--config", path))
}

func (c *ownCell) address(host int, port uint16) string {
	return netip.AddrPortFrom(c.subnet.Addr(host+1), port).String()
}

// publish publishes the first configuration.
func (c *ownCell) publish() error {
	limit := resource.Vector{MilliCPU: 64_000, MemoryMB: 64_000, Slots: 64}
	merge, err := json.Marshal(&config.Document{
		Operators: map[string]config.Key{"board": {Hash: config.HashKey(operatorKey)}},
		Teams: map[string]config.Team{"team": {
			Share: 1, Limit: limit, QueueCount: 1000, QueueBytes: megabyte, Keys: map[string]config.Key{"desk": {Hash: config.HashKey(teamKey)}},
		}},
	})
	if err != nil {
		return err
	}
	patch := api.PatchRequest{Patch: config.Patch{Author: "crowd", Reason: "the first one", Merge: merge}}
	return c.post(0, "/v1/config", operatorKey, &patch)
}

// ordinary makes the requests of ordinary callers and of the balancer: a lookup through each
// entry VM runs, and the first one is ready.
func (c *ownCell) ordinary() error {
	for vm := range 2 {
		lookup := api.SubmitRequest{Kind: config.Lookup, Size: api.Size{MilliCPU: 100, MemoryMB: 10}, Payload: `{"tag":"a","runMs":1}`}
		if err := untilServed(func() error { return c.post(vm, "/v1/work", teamKey, &lookup) }); err != nil {
			return fmt.Errorf("lookup through vm%d: %w", vm, err)
		}
	}
	return untilServed(func() error { return get("http://" + c.address(0, ownPort) + "/readyz") })
}

func (c *ownCell) post(vm int, path, key string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+c.address(vm, ownPort)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	_, err = do(r)
	return err
}
