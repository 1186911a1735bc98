package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"pollendock.example/cell/loopback"
)

// TestLargePageArrivesOverSlowLink: a page of the log that took longer than a call may wait
// was cut off and read again from its beginning, for ever.
func TestLargePageArrivesOverSlowLink(t *testing.T) {
	const (
		slowLink    = 200 << 10 // bytes a second
		recordBytes = 300 << 10
	)
	record, err := json.Marshal(strings.Repeat("x", recordBytes))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"first":7,"records":[%s],"oldest":0,"end":8}`, record)
	})}
	go func() { _ = server.Serve(loopback.NewLink(slowLink).Listener(ln)) }()
	t.Cleanup(func() { _ = server.Close() })
	log := LogClient{NewClient(netip.MustParseAddrPort(ln.Addr().String()), 1)}
	page, err := log.Read(t.Context(), 7, 0)
	if err != nil {
		t.Fatal(err)
	}
	if page.First != 7 || len(page.Records) != 1 || len(page.Records[0]) != len(record) {
		t.Errorf("got %d records from %d", len(page.Records), page.First)
	}
}
