package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// fate is what the network does with one call to a worker.
type fate struct {
	// late is the time after which a call is delivered that gets no answer; 0 for a call that
	// arrives at once.
	late time.Duration
	// cut is set if the call never arrives.
	cut bool
	// delay is the time that the call takes to arrive, answerDelay that of the answer.
	delay, answerDelay time.Duration
}

// network decides what becomes of the calls to workers. The zero value delivers all of them.
type network struct {
	decide func(w *worker, path string, body []byte) fate
	// cutNow reports whether answers of the worker are lost now.
	cutNow func(w *worker) bool
}

const (
	// A lost packet is sent again after retransmit, and after twice as long each further time.
	retransmit = 200 * time.Millisecond
	// lossShare is the share of packets that a lossy path loses.
	lossShare = 0.3
)

// lossDelay returns how much longer a packet takes on a lossy path.
func lossDelay() time.Duration {
	total := time.Duration(0)
	for again := retransmit; rand.Float64() < lossShare; again *= 2 {
		total += again
	}
	return total
}

// discarded is the answer to a call whose caller gets none.
type discarded struct{ header http.Header }

func (d discarded) Header() http.Header         { return d.header }
func (d discarded) Write(b []byte) (int, error) { return len(b), nil }
func (d discarded) WriteHeader(int)             {}

// through passes the calls to a worker through the network. A call that is delivered late goes
// to the process that then listens at the worker's address.
func (n *network) through(w *worker, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var f fate
		if n.decide != nil {
			f = n.decide(w, r.URL.Path, body)
		}
		switch {
		case f.cut:
			<-r.Context().Done()
			return
		case f.late > 0:
			go n.deliverLate(w, r.URL.Path, r.Header.Clone(), body, f.late)
			<-r.Context().Done()
			return
		}
		time.Sleep(f.delay)
		if f.answerDelay == 0 && n.cutNow == nil {
			next.ServeHTTP(rw, r)
			return
		}
		buffer := &buffered{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(buffer, r)
		time.Sleep(f.answerDelay)
		if n.cutNow != nil && n.cutNow(w) {
			<-r.Context().Done()
			return
		}
		for k, v := range buffer.header {
			rw.Header()[k] = v
		}
		rw.WriteHeader(buffer.status)
		_, _ = rw.Write(buffer.body.Bytes())
	})
}

// buffered is an answer that is sent later.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }
func (b *buffered) WriteHeader(status int)      { b.status = status }

func (n *network) deliverLate(w *worker, path string, header http.Header, body []byte, after time.Duration) {
	time.Sleep(after)
	w.f.mu.Lock()
	calls, up := w.calls, w.up
	w.f.mu.Unlock()
	if !up {
		w.f.rec.note("late call %s to %s: nobody listens", path, w.id)
		return
	}
	r, err := http.NewRequest(http.MethodPost, "http://worker"+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header = header
	w.f.rec.note("late call %s to %s is delivered: %.160s", path, w.id, body)
	calls.ServeHTTP(discarded{http.Header{}}, r)
}
