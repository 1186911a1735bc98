package main

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/platform"
	"pollendock.example/standin/fleet"
)

// linkedWorkers is the topic of the list of workers as one entry VM reads it: each entry has
// the address of the VM's own link to the worker.
type linkedWorkers struct {
	*fleet.Store
	// addresses maps each worker to its address and that of the link.
	addresses map[string][2][]byte
}

// link connects an entry VM to the store and to all workers.
func (c *cell) link(e *entryVM) error {
	workers, err := c.linkWorkers(e)
	if err != nil {
		return err
	}
	store, err := c.listen(platform.StoreHandler(map[string]platform.Topic{
		platform.StateTopic: c.cellStore, platform.ConfigTopic: c.configStore, platform.ServerTopic: workers,
	}))
	if err != nil {
		return err
	}
	if e.store, err = newProxy(e, store); err != nil || c.advisor == nil {
		return err
	}
	advisor, err := c.listen(platform.AdvisorHandler(c.advisor.For(e.name)))
	if err != nil {
		return err
	}
	e.advisor, err = newProxy(e, advisor)
	return err
}

// linkWorkers connects an entry VM to all workers and returns the list of workers as it reads it.
func (c *cell) linkWorkers(e *entryVM) (*linkedWorkers, error) {
	e.workers = map[string]*proxy{}
	links := &workerLinks{byAddr: map[netip.Addr]*proxy{}}
	if err := links.listen(); err != nil {
		return nil, err
	}
	list := &linkedWorkers{c.serverStore, map[string][2][]byte{}}
	for i := range len(c.workers) {
		id := workerName(i)
		p := newLink(e, c.workers[id])
		e.workers[id] = p
		links.byAddr[linkAddr(i)] = p
		list.addresses[id] = [2][]byte{[]byte(`"` + c.workers[id] + `"`), []byte(`"` + links.addrOf(i).String() + `"`)}
	}
	go links.accept()
	return list, nil
}

// Read returns entries starting at an offset.
func (l *linkedWorkers) Read(ctx context.Context, from int64, wait time.Duration) (*site.Page, error) {
	p, err := l.Store.Read(ctx, from, wait)
	return l.translate(p), err
}

// Newest returns a page of the newest entry of each key.
func (l *linkedWorkers) Newest(ctx context.Context, after string) (*site.Page, error) {
	p, err := l.Store.Newest(ctx, after)
	return l.translate(p), err
}

func (l *linkedWorkers) translate(p *site.Page) *site.Page {
	if p == nil {
		return nil
	}
	for i := range p.Entries {
		e := &p.Entries[i]
		if a, found := l.addresses[e.Key]; found {
			e.Value = bytes.Replace(e.Value, a[0], a[1], 1)
		}
	}
	return p
}

// beginFault begins a fault of the chosen links between entry VMs and workers. It returns the
// function that ends it.
func (c *cell) beginFault(f linkFault, chosen func(e *entryVM, worker string) bool) (end func()) {
	var ends []func()
	for _, e := range c.entries {
		for i := range len(e.workers) {
			if id := workerName(i); chosen(e, id) {
				ends = append(ends, c.disruptions.begin(e.name), e.workers[id].begin(f))
			}
		}
	}
	return func() { callAll(ends) }
}

// beginStoreFault begins a fault of the link between an entry VM and the store.
func (c *cell) beginStoreFault(e *entryVM, f linkFault) (end func()) {
	ends := []func(){c.disruptions.begin(e.name), e.store.begin(f)}
	return func() { callAll(ends) }
}

// cutOffWorker makes the worker's heartbeats get lost.
func (c *cell) cutOffWorker(id string) (end func()) {
	change := func(d int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cutOff[id] += d
	}
	change(1)
	return func() { change(-1) }
}

// isCutOff reports whether the worker's heartbeats get lost.
func (c *cell) isCutOff(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff[id] > 0
}

func callAll(list []func()) {
	for _, fn := range list {
		fn()
	}
}

// newSenderHandler tells calls from the entry VMs apart by their addresses.
func (c *cell) newSenderHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(fleet.WithSender(r.Context(), c.nameOf(r.RemoteAddr))))
	})
}

// nameOf returns the name of the entry VM that has the address.
func (c *cell) nameOf(remote string) string {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names[addr.Addr()]
}
