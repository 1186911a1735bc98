package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"pollendock.example/cell/loopback"
	"pollendock.example/standin/fleet"
)

// answerTimeout is the time in which a worker answers over a link without faults.
const answerTimeout = 10 * time.Second

// newLinkedVM returns a cell of n workers that don't answer, and an entry VM that is linked to them.
func newLinkedVM(t *testing.T, n int) (*cell, *entryVM, *linkedWorkers) {
	t.Helper()
	c := &cell{workers: map[string]string{}, serverStore: fleet.NewStore(), disruptions: newDisruptions(time.Second)}
	for i := range n {
		c.workers[workerName(i)] = "127.0.0.1:1"
	}
	e := &entryVM{name: "vm0", ip: netip.AddrFrom4([4]byte{127, 0, 0, 1})}
	list, err := c.linkWorkers(e)
	if err != nil {
		t.Fatal(err)
	}
	c.entries = []*entryVM{e}
	return c, e, list
}

// nameWorkers gives each worker a server of its own, which answers with the worker's name.
func nameWorkers(t *testing.T, e *entryVM) {
	t.Helper()
	for id, p := range e.workers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, id) }))
		t.Cleanup(server.Close)
		p.target = server.Listener.Addr().String()
	}
}

// linkOf returns the address of the VM's link to worker i, as the list of workers has it.
func linkOf(t *testing.T, list *linkedWorkers, i int) string {
	t.Helper()
	addr, err := strconv.Unquote(string(list.addresses[workerName(i)][1]))
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// get returns the answer at an address, on a connection of its own.
func get(addr string, timeout time.Duration) (string, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	answer, err := client.Get("http://" + addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

// TestLinksTellWorkersApart checks that the connections which one listener of an entry VM accepts
// reach the worker that was dialled, and that others are closed.
func TestLinksTellWorkersApart(t *testing.T) {
	// The addresses of more than 256 workers differ in two octets.
	const workers = 300
	_, e, list := newLinkedVM(t, workers)
	nameWorkers(t, e)
	for _, i := range []int{0, 1, 255, 256, workers - 1} {
		got, err := get(linkOf(t, list, i), answerTimeout)
		if err != nil || got != workerName(i) {
			t.Errorf("worker %d: got answer %q, error %v", i, got, err)
		}
	}
	port := netip.MustParseAddrPort(linkOf(t, list, 0)).Port()
	for _, ip := range append(otherAddresses(t), linkAddr(workers), netip.AddrFrom4([4]byte{127, 0, 0, 1})) {
		if got, err := get(netip.AddrPortFrom(ip, port).String(), answerTimeout); err == nil {
			t.Errorf("%v: got answer %q, want none", ip, got)
		}
	}
}

// otherAddresses returns the machine's IPv4 addresses beside those of the loopback device.
func otherAddresses(t *testing.T) []netip.Addr {
	t.Helper()
	list, err := net.InterfaceAddrs()
	if err != nil {
		t.Fatal(err)
	}
	var others []netip.Addr
	for _, a := range list {
		prefix, err := netip.ParsePrefix(a.String())
		if err == nil && prefix.Addr().Is4() && !prefix.Addr().IsLoopback() {
			others = append(others, prefix.Addr())
		}
	}
	return others
}

// TestFaultsOfLinksAreThoseOfPairs checks that a fault of the link to one worker leaves the others as
// they are.
func TestFaultsOfLinksAreThoseOfPairs(t *testing.T) {
	const lost = 200 * time.Millisecond
	c, e, list := newLinkedVM(t, 2)
	nameWorkers(t, e)
	for _, f := range []linkFault{loseAll, loseRequests, loseResponses, holdRequests} {
		end := c.beginFault(f, func(_ *entryVM, worker string) bool { return worker == workerName(0) })
		var timeout net.Error
		if got, err := get(linkOf(t, list, 0), lost); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("during the fault: got answer %q, error %v, want a timeout", got, err)
		}
		if got, err := get(linkOf(t, list, 1), answerTimeout); err != nil || got != workerName(1) {
			t.Errorf("on the other link: got answer %q, error %v", got, err)
		}
		end()
		if got, err := get(linkOf(t, list, 0), answerTimeout); err != nil || got != workerName(0) {
			t.Errorf("after the fault: got answer %q, error %v", got, err)
		}
	}
}

// TestLinksNeedFewDescriptors checks that the descriptors of the links of an entry VM don't grow with
// the number of workers.
func TestLinksNeedFewDescriptors(t *testing.T) {
	const workers, most = 540, 20
	before := openDescriptors(t)
	newLinkedVM(t, workers)
	if n := openDescriptors(t) - before; n > most {
		t.Errorf("%d descriptors for the links to %d workers, want %d at most", n, workers, most)
	}
}

func openDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// TestBandwidthOfVMIsLimited checks that the links of an entry VM share its bandwidth.
func TestBandwidthOfVMIsLimited(t *testing.T) {
	const (
		size  = 50_000
		speed = 200_000
	)
	_, e, list := newLinkedVM(t, 2)
	down := loopback.NewLink(speed)
	for _, p := range e.workers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
		t.Cleanup(server.Close)
		p.target, p.downlink = server.Listener.Addr().String(), down
	}
	began := time.Now()
	answers := make(chan error, len(e.workers))
	for _, addr := range []string{linkOf(t, list, 0), linkOf(t, list, 1)} {
		go func() {
			text, err := get(addr, answerTimeout)
			if err == nil && len(text) != size {
				err = io.ErrUnexpectedEOF
			}
			answers <- err
		}()
	}
	for range e.workers {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
	if took, least := time.Since(began), 2*size*time.Second/speed; took < least {
		t.Errorf("two answers took %v, want %v at least", took, least)
	}
}
