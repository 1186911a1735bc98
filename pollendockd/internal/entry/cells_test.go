package entry

import (
	"testing"

	"github.com/go-kit/log"

	"pollendock.example/pollendockd/internal/peer"
)

// TestOtherCell: an entry VM that was given a peer of another cell took that
// cell's records for its own, and no work ended any more.
func TestOtherCell(t *testing.T) {
	e := New(Options{Cell: "a"}, Deps{Logger: log.NewNopLogger()})
	reply := make(chan *peer.ExchangeReply, 1)
	exchangeAsked{peer.View{Cell: "b", Next: -1}, reply}.handle(newControl(e))
	if r := <-reply; r.View.Cell != "a" || r.View.EntryID != "" || len(r.Records) > 0 {
		t.Errorf("a VM of another cell is answered %+v", r)
	}
	if _, err := e.State(t.Context(), &peer.StateRequest{Cell: "b"}); err == nil {
		t.Error("a VM of another cell gets the state")
	}
}
