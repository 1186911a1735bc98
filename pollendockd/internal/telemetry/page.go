package telemetry

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

type (
	// page serves the same answer of a handler to all who ask within pageAge, so that readers that
	// do not read hold nothing of their own.
	page struct {
		next http.Handler

		mu     sync.Mutex
		at     time.Time
		status int
		header http.Header
		body   []byte
	}

	// pageWriter collects an answer.
	pageWriter struct {
		status int
		header http.Header
		body   bytes.Buffer
	}
)

// pageAge is the interval in which new values reach the page.
const pageAge = reportEvery

// ServeHTTP implements http.Handler.
func (p *page) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, header, body := p.current(r)
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// current returns the answer, which its callers share.
func (p *page) current(r *http.Request) (int, http.Header, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() || time.Since(p.at) >= pageAge {
		plain := r.Clone(r.Context())
		plain.Header.Del("Accept-Encoding")
		out := &pageWriter{status: http.StatusOK, header: http.Header{}}
		p.next.ServeHTTP(out, plain)
		p.at, p.status, p.header, p.body = time.Now(), out.status, out.header, out.body.Bytes()
	}
	return p.status, p.header, p.body
}

// Header implements http.ResponseWriter.
func (w *pageWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *pageWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *pageWriter) Write(p []byte) (int, error) { return w.body.Write(p) }
