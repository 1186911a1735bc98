package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/loopback"
	"pollendock.example/cell/site"
	"pollendock.example/platform"
	"pollendock.example/pollendockd/internal/request"
	"pollendock.example/standin/fleet"
)

const (
	// slowLink is the speed at which the store's responses reach the VM, in bytes a
	// second; a configuration of configurationBytes takes longer than any call may
	// wait for its first byte.
	slowLink           = 400 << 10
	configurationBytes = 700 << 10

	settingsFile = `
node-name = "n1"
ip = "127.0.0.1"
zone = "z1"
port-range = [7001, 7016]
[listen-addrs]
frontend = "127.0.0.1:9002"
ready = "127.0.0.1:9003"
[bounds]
grace-s = 5
hold-max-ms = 4000
stop-timeout-ms = 250
[platform]
address = "%s"
`
)

// noGauges drops all values.
type noGauges struct{}

func (noGauges) Gauge(string, int64) {}

// configurationOf returns the operators' record of a large configuration.
func configurationOf(version int) site.Entry {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[{"name":"first","host":"h","path-prefix":"/first/"}`, version)
	for i := 0; b.Len() < configurationBytes; i++ {
		fmt.Fprintf(&b, `,{"name":"route-%d","host":"host-%d.example","path-prefix":"/path-%d/","service":"service"}`, i, i, i)
	}
	b.WriteString("]}")
	return site.Entry{Key: "config", Value: []byte(b.String())}
}

// TestLargeConfigurationArrivesOverSlowLink: a configuration that takes seconds to transfer
// was read again and again from its beginning, at the start and as a new version.
func TestLargeConfigurationArrivesOverSlowLink(t *testing.T) {
	store := fleet.NewStore()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: platform.StoreHandler(map[string]platform.Topic{"keyed.op": store})}
	go func() { _ = server.Serve(loopback.NewLink(slowLink).Listener(ln)) }()
	t.Cleanup(func() { _ = server.Close() })
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsFile, ln.Addr()), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("POLLENDOCK_NODE_FILE", path)
	p, err := platform.Open()
	if err != nil {
		t.Fatal(err)
	}
	watcher := request.NewCatalogWatcher(p.Catalogs, log.NewNopLogger(), noGauges{})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for version := 1; version <= 2; version++ {
		if _, err := store.Append(ctx, []site.Entry{configurationOf(version)}); err != nil {
			t.Fatal(err)
		}
		if version == 1 {
			go func() { _ = watcher.Run(ctx) }()
		}
		for c := watcher.Current(); c == nil || c.Version != int64(version); c = watcher.Current() {
			if ctx.Err() != nil {
				t.Fatalf("version %d did not arrive", version)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
