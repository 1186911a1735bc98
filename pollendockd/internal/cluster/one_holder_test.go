package cluster

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pollendock.example/cell/job"
	"pollendock.example/cell/loopback"
	"pollendock.example/pollendockd/internal/request"
)

// TestManyVMsFetchFromOneHolder: many VMs fetch the catalog of the only one that has it, over its
// link of 10 Mbit/s. All of them get it, in not much more time than the data takes.
func TestManyVMsFetchFromOneHolder(t *testing.T) {
	const (
		seed     = 34
		link     = 1250 << 10 // bytes a second
		vms      = 40
		interval = 300 * time.Millisecond
		within   = 15 * time.Second
	)
	t.Logf("seed %d", seed)
	catalog, _ := largeCatalog(t, seed)
	data, err := encodeCatalog(catalog)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := loopback.NewLink(link)
	holder := newPairAt(t, &fakeHandler{version: 5, catalog: catalog}, slow.Listener(ln))
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	fetched, failed := 0, 0
	began := time.Now()
	for range vms {
		p := NewPeers(&job.Member{Name: "a", Incarnation: "a/1"}, holder.peers.view, holder.records, nil, &fakeLeader{}, log.NewNopLogger(), noCounts{})
		wg.Go(func() {
			for ctx.Err() == nil {
				_, err := p.FetchCatalog(ctx, &request.PeerCatalog{From: "b", Version: 5, Revision: 5})
				mu.Lock()
				if err == nil {
					fetched++
					mu.Unlock()
					return
				}
				failed++
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d VMs have the catalog of %d bytes after %v; %d transfers were cut off, %d bytes were sent", fetched, vms, len(data), time.Since(began), failed, slow.Sent())
	if fetched < vms {
		t.Errorf("only %d of %d VMs got it", fetched, vms)
	}
}
