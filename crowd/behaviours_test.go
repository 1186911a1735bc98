package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

type (
	// behaviour is what a client does on its connection. It returns when it has nothing more to
	// send, or the connection has been closed.
	behaviour func(c net.Conn, e *endpoint)

	// visit is a client that opens its next connection as soon as the last one has been closed.
	visit struct {
		behave behaviour
		again  bool
	}

	// endpoint is where requests of an interface go.
	endpoint struct {
		host string
		// submit takes bodies, query takes none.
		submit, query string
		// key is the header line with a team's key.
		key string
	}

	// throng is the connections of a crowd.
	throng struct {
		mu    sync.Mutex
		conns []net.Conn
		ended chan struct{}
		wg    sync.WaitGroup
	}
)

const (
	// headerBytes is what a request's head may have by our own limit of 16 KB, and bodyBytes a
	// body.
	headerBytes = 16_000
	bodyBytes   = 256 * kilobyte
	pieces      = 40
	pieceGap    = 20 * time.Millisecond
	byteGap     = 200 * time.Millisecond
	dialTimeout = 2 * time.Second
	// dialers is how many connections are opened at the same time.
	dialers        = 64
	pipelined      = 200
	smallWindow    = 4 * kilobyte
	gobLengthBytes = 4
)

// head returns a request's line and first headers.
func (e *endpoint) head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", method, path, e.host, e.key)
}

// shortLines returns n bytes of short header lines, each with a name of its own.
func shortLines(n int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		d := len(digits)
		fmt.Fprintf(&b, "%c%c%c:\r\n", digits[i/d/d%d], digits[i/d%d], digits[i%d])
	}
	return b.String()
}

// padded returns a job's body of n bytes.
func padded(n int) string {
	body := jobBody("")
	return body + strings.Repeat(" ", n-len(body))
}

// smallSteps returns a body of n bytes with as many steps as it can hold.
func smallSteps(n int) string {
	const step = "{},"
	return `{"steps":[` + strings.Repeat(step, (n-len(`{"steps":[{}]}`))/len(step)) + `{}]}`
}

// manyHeaders sends a request of very many short header lines whose body stops one byte short.
func manyHeaders(c net.Conn, e *endpoint) {
	head := e.head("POST", e.submit) + "Content-Length: 2\r\n"
	_, _ = io.WriteString(c, head+shortLines(headerBytes-len(head))+"\r\n{")
}

// largeBody sends a body that stops one byte short.
func largeBody(c net.Conn, e *endpoint) {
	sendInPieces(c, e, 1, 0)
}

// piecewiseBody sends the same piece by piece.
func piecewiseBody(c net.Conn, e *endpoint) {
	sendInPieces(c, e, pieces, pieceGap)
}

func sendInPieces(c net.Conn, e *endpoint, n int, gap time.Duration) {
	body := []byte(padded(bodyBytes))[:bodyBytes-1]
	head := e.head("POST", e.submit)
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, bodyBytes); err != nil {
		return
	}
	size := (len(body) + n - 1) / n
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		if _, err := c.Write(part); err != nil {
			return
		}
		body = body[len(part):]
		time.Sleep(gap)
	}
}

// smallChunks sends a body in chunks of one byte that stops before the last chunk, oneChunk in one.
func smallChunks(c net.Conn, e *endpoint) { sendChunked(c, e, 1, bodyBytes-1) }
func oneChunk(c net.Conn, e *endpoint)    { sendChunked(c, e, bodyBytes, bodyBytes-1) }

// sendChunked sends n bytes in chunks of the size, and neither the rest of the last chunk nor an end.
func sendChunked(c net.Conn, e *endpoint, size, n int) {
	_, _ = io.WriteString(c, e.head("POST", e.submit)+"Transfer-Encoding: chunked\r\n\r\n")
	var chunks bytes.Buffer
	for body := padded(bodyBytes)[:n]; len(body) > 0; {
		part := body[:min(size, len(body))]
		fmt.Fprintf(&chunks, "%x\r\n%s", size, part)
		if len(part) == size {
			chunks.WriteString("\r\n")
		}
		body = body[len(part):]
	}
	_, _ = c.Write(chunks.Bytes())
}

// longListBody sends a whole body whose second step follows the first one as often as it can hold.
func longListBody(c net.Conn, e *endpoint) {
	const step = `{"count":1,"cpu":1,"mem-mb":1,"estimated-ms":50`
	head, tail := `{"steps":[`+step+`},`+step+`,"after":[0`, `]}]}`
	body := head + strings.Repeat(",0", (bodyBytes-len(head)-len(tail))/2) + tail
	id := fmt.Sprintf("%016x", 3<<32+c.LocalAddr().(*net.TCPAddr).Port)
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", e.head("POST", queuePath+id), len(body), body)
}

// smallStepsBody sends whole bodies of as many steps as they can hold.
func smallStepsBody(c net.Conn, e *endpoint) {
	body := smallSteps(bodyBytes)
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", e.head("POST", e.submit), len(body), body)
}

// unreadAnswers sends requests, one after the other, and reads no answer.
func unreadAnswers(c net.Conn, e *endpoint) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallWindow)
	}
	_, _ = io.WriteString(c, strings.Repeat(e.head("GET", e.query)+"\r\n", pipelined))
}

// pipelinedBodies sends one submission after the other, each of a large body, and reads no answer.
func pipelinedBodies(c net.Conn, e *endpoint) {
	body := padded(bodyBytes)
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", e.head("POST", "/nowhere/00000000000000aa"), len(body), body)
	_, _ = io.WriteString(c, strings.Repeat(request, 3)+request[:len(request)-1])
}

// slowHeaders sends a byte of a header every so often.
func slowHeaders(c net.Conn, e *endpoint) {
	if _, err := io.WriteString(c, e.head("GET", e.query)); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(c, "x"); err != nil {
			return
		}
		time.Sleep(byteGap)
	}
}

// silent sends nothing.
func silent(net.Conn, *endpoint) {}

// idle makes one good request and stays.
func idle(c net.Conn, e *endpoint) {
	_, _ = io.WriteString(c, e.head("GET", e.query)+"\r\n")
}

// metricsUnread asks for the metrics again and again, and reads no answer; compressedUnread for
// compressed ones.
func metricsUnread(c net.Conn, e *endpoint)    { askForMetrics(c, e, "") }
func compressedUnread(c net.Conn, e *endpoint) { askForMetrics(c, e, "Accept-Encoding: gzip\r\n") }

func askForMetrics(c net.Conn, e *endpoint, header string) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallWindow)
	}
	_, _ = io.WriteString(c, strings.Repeat(e.head("GET", "/metrics")+header+"\r\n", pipelined))
}

// largeMessage sends a message of net/rpc that stops short.
func largeMessage(c net.Conn, _ *endpoint) {
	message := make([]byte, gobLengthBytes+bodyBytes)
	// A length of 3 bytes, as gob encodes it: the negated number of bytes, then the length.
	binary.BigEndian.PutUint32(message, 0xfd<<24|uint32(bodyBytes+1))
	_, _ = c.Write(message)
}

// once returns a client with one connection, returning one that comes again.
func once(b behaviour) visit      { return visit{behave: b} }
func returning(b behaviour) visit { return visit{behave: b, again: true} }

// gather opens n connections to addr, on each of which a client behaves so.
func gather(addr string, e *endpoint, n int, v visit) *throng {
	g := &throng{ended: make(chan struct{})}
	turns := make(chan struct{}, dialers)
	for range n {
		g.wg.Go(func() {
			for g.visit(addr, e, v, turns) {
			}
		})
	}
	return g
}

// visit opens a connection. It reports whether the client comes again.
func (g *throng) visit(addr string, e *endpoint, v visit, turns chan struct{}) bool {
	turns <- struct{}{}
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	<-turns
	if err != nil || !g.add(c) {
		return false
	}
	v.behave(c, e)
	if v.again {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	return v.again
}

// add reports whether the crowd still gathers.
func (g *throng) add(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.ended:
		_ = c.Close()
		return false
	default:
		g.conns = append(g.conns, c)
		return true
	}
}

// disperse closes all connections.
func (g *throng) disperse() {
	g.mu.Lock()
	close(g.ended)
	for _, c := range g.conns {
		_ = c.Close()
	}
	g.mu.Unlock()
	g.wg.Wait()
}
