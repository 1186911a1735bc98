package entry

import (
	"testing"

	"github.com/go-kit/log"

	"pollendock.example/pollendockd/internal/peer"
)

// TestOtherCell guards against mixing the logs of two cells. An entry VM with a
// peer address of another cell used to apply that cell's records, and then no
// job ended any more.
func TestOtherCell(t *testing.T) {
	e := New(Options{Cell: "a"}, Deps{Logger: log.NewNopLogger()})
	reply := make(chan *peer.ExchangeReply, 1)
	exchangeReceived{peer.View{Cell: "b", Next: -1}, reply}.handle(newControl(e))
	if r := <-reply; r.View.Cell != "a" || r.View.EntryID != "" || len(r.Records) > 0 {
		t.Errorf("reply to a VM of another cell: %+v", r)
	}
	if _, err := e.State(t.Context(), &peer.StateRequest{Cell: "b"}); err == nil {
		t.Error("a VM of another cell received the state")
	}
}
