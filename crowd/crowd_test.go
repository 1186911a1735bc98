package crowd

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

type (
	// crowd is many clients of one behaviour.
	crowd struct {
		name    string
		port    uint16
		limits  limits
		clients int
		visit   visit
	}
)

const (
	// stay is how long a crowd stays at least, beside the ordinary requests.
	stay = 1500 * time.Millisecond
	// honest is a crowd of honest callers, whose bodies have 500 to 2,000 bytes.
	honest       = 800
	honestBytes  = 2_000
	honestLength = 30 * time.Second
)

var (
	// siteLimits are those of the machines of both sites.
	siteLimits = limits{memoryMB: 284, descriptors: 4100}
	// littleMemory and fewDescriptors are limits that a small crowd exceeds.
	littleMemory   = limits{memoryMB: 80, descriptors: 1200}
	fewDescriptors = limits{memoryMB: 80, descriptors: 400}

	callers = &endpoint{host: queueHost, submit: queuePath + "00000000000000aa", query: queuePath, key: "Api-Key: " + teamKey}

	crowds = []crowd{
		{"many header lines", callersPort, littleMemory, 400, once(manyHeaders)},
		{"bodies", callersPort, littleMemory, 400, once(largeBody)},
		{"bodies in pieces", callersPort, littleMemory, 400, once(piecewiseBody)},
		{"chunks of one byte", callersPort, littleMemory, 400, once(smallChunks)},
		{"one large chunk", callersPort, littleMemory, 400, once(oneChunk)},
		{"bodies of small steps", callersPort, littleMemory, 30, once(smallStepsBody)},
		{"bodies of long lists", callersPort, littleMemory, 100, once(longListBody)},
		{"answers unread", callersPort, littleMemory, 400, once(unreadAnswers)},
		{"header lines again and again", callersPort, littleMemory, 200, returning(manyHeaders)},
		{"bodies again and again", callersPort, littleMemory, 200, returning(largeBody)},
		{"pipelined bodies", callersPort, littleMemory, 200, once(pipelinedBodies)},
		{"ready, many header lines", readyPort, littleMemory, 400, once(manyHeaders)},
		{"metrics, many header lines", metricsPort, littleMemory, 400, once(manyHeaders)},
		{"metrics unread", metricsPort, littleMemory, 400, once(metricsUnread)},
		{"compressed metrics unread", metricsPort, littleMemory, 400, once(compressedUnread)},
		{"peers, large messages", peerPort, littleMemory, 400, once(largeMessage)},
		{"silent again and again", callersPort, fewDescriptors, 400, returning(silent)},
		{"slow headers", callersPort, fewDescriptors, 400, once(slowHeaders)},
		{"silent", callersPort, fewDescriptors, 400, once(silent)},
		{"idle", callersPort, fewDescriptors, 400, once(idle)},
		{"ready, silent", readyPort, fewDescriptors, 400, once(silent)},
		{"metrics, silent", metricsPort, fewDescriptors, 400, once(silent)},
		{"peers, silent", peerPort, fewDescriptors, 400, once(silent)},
		{"header lines at a site", callersPort, siteLimits, 800, once(manyHeaders)},
		{"bodies at a site", callersPort, siteLimits, 800, once(largeBody)},
	}
)

// TestCrowdEndsNoVM guards against clients that stop short and end the process, or take what it
// reaches its store, peers and workers with.
func TestCrowdEndsNoVM(t *testing.T) {
	var c *cell
	for i := range crowds {
		w := &crowds[i]
		// A cell serves several crowds, until one of them has found a fault.
		if c == nil || c.limits != w.limits {
			c = newCell(t, w.limits)
		}
		passed := t.Run(strings.ReplaceAll(w.name, " ", "_"), func(t *testing.T) { c.face(t, w) })
		if !passed {
			c.target().stop()
			c = nil
		}
	}
}

// face checks the cell during a crowd and after it.
func (c *cell) face(t *testing.T, w *crowd) {
	g := gather(c.address(0, w.port), callers, w.clients, w.visit)
	time.Sleep(stay)
	if err := c.ordinary(); err != nil {
		t.Errorf("during the crowd: %v", err)
	}
	g.disperse()
	if err := c.ordinary(); err != nil {
		t.Errorf("after the crowd: %v", err)
	}
	c.target().check(t)
}

// TestHonestCrowdIsServed submits many jobs at once with the limits of the sites.
func TestHonestCrowdIsServed(t *testing.T) {
	c := newCell(t, siteLimits)
	var wg, connected sync.WaitGroup
	connected.Add(honest)
	failures := make(chan error, honest)
	for i := range honest {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", c.address(0, callersPort), honestLength)
			connected.Done()
			if err != nil {
				failures <- err
				return
			}
			defer func() { _ = conn.Close() }()
			connected.Wait()
			body := jobBody(strings.Repeat("x", honestBytes*(1+i%4)/4-len(jobBody(""))))
			if err := submitOnce(conn, fmt.Sprintf("%016x", 1<<32+i), body); err != nil {
				failures <- err
			}
		})
	}
	wg.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	c.target().check(t)
}

// submitOnce submits a job without repeating it.
func submitOnce(conn net.Conn, id, body string) error {
	_ = conn.SetDeadline(time.Now().Add(honestLength))
	return exchange(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", callers.head("POST", queuePath+id), len(body), body))
}

// TestLegalRequestIsServedInCalm sends single requests that are as large as they may be.
func TestLegalRequestIsServedInCalm(t *testing.T) {
	c := newCell(t, littleMemory)
	head := func(i int) string {
		return callers.head("POST", queuePath+fmt.Sprintf("%016x", 2<<32+i))
	}
	whole := padded(bodyBytes)
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	var small strings.Builder
	for _, b := range []byte(whole) {
		fmt.Fprintf(&small, "1\r\n%c\r\n", b)
	}
	for i, test := range []struct {
		name, head, body string
		pieces           int
	}{
		{"header lines", length(jobBody("")) + shortLines(headerBytes-len(head(0))), jobBody(""), 1},
		{"body", length(whole), whole, 1},
		{"body in pieces", length(whole), whole, pieces},
		{"chunks of one byte", "Transfer-Encoding: chunked\r\n", small.String() + "0\r\n\r\n", 1},
		{"one large chunk", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(whole), whole), 1},
	} {
		t.Run(strings.ReplaceAll(test.name, " ", "_"), func(t *testing.T) {
			conn, err := net.Dial("tcp", c.address(0, callersPort))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(honestLength))
			parts := []string{head(i) + test.head + "\r\n"}
			for j := range test.pieces {
				n := len(test.body)
				parts = append(parts, test.body[j*n/test.pieces:(j+1)*n/test.pieces])
			}
			if err := exchange(conn, parts...); err != nil {
				t.Error(err)
			}
		})
	}
	c.target().check(t)
}
