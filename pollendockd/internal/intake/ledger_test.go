package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
)

type (
	// noCounts drops all values.
	noCounts struct{}

	// ledgerTest is a ledger without a network.
	ledgerTest struct {
		*Ledger
		callers, peers *group
		shed           []string
	}
)

func (noCounts) Count(string, int64) {}
func (noCounts) Gauge(string, int64) {}

const (
	testConnections = 4
	testBytes       = 1000
	testBase        = 10
)

func newLedgerTest() *ledgerTest {
	return &ledgerTest{
		Ledger:  NewLedger(Limits{ClientBytes: testBytes}, log.NewNopLogger(), noCounts{}),
		callers: &group{name: "callers", limit: testConnections}, peers: &group{name: "peers", limit: testConnections, rpc: true},
	}
}

// connect opens a connection, some time after the last one.
func (l *ledgerTest) connect(name string, g *group) *account {
	a := &account{group: g, base: testBase, charge: testBase, close: func() { l.shed = append(l.shed, name) }}
	l.open(a)
	time.Sleep(time.Millisecond)
	return a
}

func (l *ledgerTest) expectShed(t *testing.T, names ...string) {
	t.Helper()
	if len(l.shed) != len(names) {
		t.Fatalf("shed %v, want %v", l.shed, names)
	}
	for i, name := range names {
		if l.shed[i] != name {
			t.Fatalf("shed %v, want %v", l.shed, names)
		}
	}
}

// TestWhichConnectionIsShed has one crowd a case.
func TestWhichConnectionIsShed(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(l *ledgerTest)
		want []string
	}{
		{"a full listener sheds the oldest", func(l *ledgerTest) {
			for _, name := range []string{"a", "b", "c", "d", "new"} {
				l.connect(name, l.callers)
			}
		}, []string{"a"}},
		{"a full listener sheds none of another", func(l *ledgerTest) {
			l.connect("peer", l.peers)
			for _, name := range []string{"a", "b", "c", "d", "new"} {
				l.connect(name, l.callers)
			}
		}, []string{"a"}},
		{"an answered connection is as young as a new one", func(l *ledgerTest) {
			first := l.connect("a", l.callers)
			for _, name := range []string{"b", "c", "d"} {
				l.connect(name, l.callers)
			}
			l.begin(first)
			l.connect("new", l.callers)
		}, []string{"b"}},
		{"a request that is being handled stays", func(l *ledgerTest) {
			l.setHandling(l.connect("a", l.callers), true)
			for _, name := range []string{"b", "c", "d", "new"} {
				l.connect(name, l.callers)
			}
		}, []string{"b"}},
		{"if all are being handled the new one goes", func(l *ledgerTest) {
			for _, name := range []string{"a", "b", "c", "d"} {
				l.setHandling(l.connect(name, l.callers), true)
			}
			l.connect("new", l.callers)
		}, []string{"new"}},
		{"an answer that is not read may go", func(l *ledgerTest) {
			first := l.connect("a", l.callers)
			l.setHandling(first, true)
			l.setHandling(first, false)
			time.Sleep(time.Second)
			for _, name := range []string{"b", "c", "d", "new"} {
				l.connect(name, l.callers)
			}
		}, []string{"a"}},
		{"memory sheds the one that holds most", func(l *ledgerTest) {
			l.connect("a", l.callers)
			large := l.connect("b", l.callers)
			l.add(large, testBytes/2)
			time.Sleep(time.Millisecond)
			l.add(l.connect("c", l.peers), testBytes/2)
		}, []string{"b"}},
		{"a quiet peer stays while callers hold memory", func(l *ledgerTest) {
			l.endCall(l.connect("peer", l.peers))
			time.Sleep(time.Hour)
			l.add(l.connect("a", l.callers), testBytes/2)
			time.Sleep(time.Millisecond)
			l.add(l.connect("b", l.callers), testBytes/2)
		}, []string{"a"}},
		{"a known peer stays while others come to its listener", func(l *ledgerTest) {
			l.endCall(l.connect("peer", l.peers))
			time.Sleep(time.Hour)
			for _, name := range []string{"a", "b", "c", "new"} {
				l.connect(name, l.peers)
			}
		}, []string{"a"}},
		{"silent callers go before a small request", func(l *ledgerTest) {
			l.limits.ClientBytes = 2 * testBase
			l.connect("silent", l.callers)
			time.Sleep(time.Second)
			l.add(l.connect("a", l.callers), testBase)
		}, []string{"silent"}},
		{"unknown peers go before a small request", func(l *ledgerTest) {
			l.limits.ClientBytes = 2 * testBase
			l.connect("peer", l.peers)
			time.Sleep(time.Second)
			l.add(l.connect("a", l.callers), testBase)
		}, []string{"peer"}},
		{"a body that alone holds too much goes itself", func(l *ledgerTest) {
			for _, name := range []string{"a", "b"} {
				l.setHandling(l.connect(name, l.callers), true)
			}
			l.add(l.connect("c", l.callers), testBytes)
		}, []string{"c"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLedgerTest()
				test.play(l)
				l.expectShed(t, test.want...)
			})
		})
	}
}

// TestClosedConnectionsHoldNothing counts what is left after each way to close.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedgerTest()
		var closed []*account
		for range 3 * testConnections {
			a := l.connect("a", l.callers)
			l.add(a, testBytes/3)
			closed = append(closed, a)
		}
		for _, a := range closed {
			l.remove(a)
			l.remove(a)
			l.add(a, testBytes)
			l.begin(a)
		}
		if l.held != 0 || l.leaving != 0 || l.callers.open != 0 || len(l.accounts) != 0 {
			t.Errorf("%d bytes, %d open, %d accounts", l.held, l.callers.open, len(l.accounts))
		}
	})
}

// TestLimitsOfMachines has the machines of the deployments, and the smallest.
func TestLimitsOfMachines(t *testing.T) {
	const megabyte = 1 << 20
	for _, test := range []struct {
		machine Machine
		want    Limits
	}{
		{Machine{MemoryBytes: 284 * megabyte, Descriptors: 4100}, Limits{ClientBytes: 71 * megabyte, HeapBytes: 201 * megabyte, Callers: 1462, Peers: 975, Probes: 121}},
		{Machine{MemoryBytes: 48 * megabyte, Descriptors: 300}, Limits{ClientBytes: 12 * megabyte, HeapBytes: 24 * megabyte, Callers: 37, Peers: 25, Probes: 3}},
	} {
		if got := test.machine.Limits(); got != test.want {
			t.Errorf("%+v: %+v, want %+v", test.machine, got, test.want)
		}
	}
}

// TestNewConnectionsWaitForThoseThatLeave: a crowd that came again held all that it had ever sent,
// as the goroutines of connections that had been shed were still at work.
func TestNewConnectionsWaitForThoseThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedgerTest()
		shed := l.connect("a", l.callers)
		l.add(shed, testBytes)
		const work = 20 * time.Millisecond
		time.AfterFunc(work, func() { l.remove(shed) })
		began := time.Now()
		l.awaitLeavers()
		if waited := time.Since(began); waited < work || waited > work+leaverPause {
			t.Errorf("waited %v, want %v", waited, work)
		}
		l.awaitLeavers()
		if waited := time.Since(began); waited > work+leaverPause {
			t.Errorf("waited %v with nothing left", waited)
		}
	})
}
