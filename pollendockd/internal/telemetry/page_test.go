package telemetry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestReadersShareThePage: each reader of the metrics that read nothing held a copy of its own.
func TestReadersShareThePage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		made := 0
		p := &page{next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			made++
			w.Header().Set("Content-Type", "text/plain")
			_, _ = fmt.Fprint(w, "page ", made, r.Header.Get("Accept-Encoding"))
		})}
		for i, want := range []string{"page 1", "page 1", "page 2"} {
			if i == 2 {
				time.Sleep(pageAge)
			}
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/metrics", nil)
			r.Header.Set("Accept-Encoding", "gzip")
			p.ServeHTTP(w, r)
			if got := w.Body.String(); got != want || w.Header().Get("Content-Type") != "text/plain" {
				t.Errorf("read %d: %q, %v, want %q", i, got, w.Header(), want)
			}
		}
	})
}
