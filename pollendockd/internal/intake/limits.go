// Package intake bounds what clients can hold of an entry VM: connections and memory. Its files
// follow a connection: limits, ledger (the decisions, without a network), listener, body.
package intake

type (
	// Machine is what a machine gives the process.
	Machine struct {
		// MemoryBytes is the memory above which the process is killed.
		MemoryBytes int64
		// Descriptors are shared by files and sockets.
		Descriptors int
	}

	// Limits bound what all clients together may hold.
	Limits struct {
		// ClientBytes bounds the memory of all connections.
		ClientBytes int64
		// HeapBytes is the soft limit of the garbage collector.
		HeapBytes int64
		// Callers, Peers and Probes bound the connections of a listener of that kind. A probe is
		// a check of readiness or a read of the metrics.
		Callers, Peers, Probes int
	}
)

const (
	// descriptorsForFiles are the descriptors that sockets can't have.
	descriptorsForFiles = 200

	// The sockets that listeners don't take are left for the store, peers and workers.
	callersShare = 3. / 8
	peersShare   = 1. / 4
	probesShare  = 1. / 32

	clientsShare = 1. / 4
	heapShare    = 3. / 4
	// programBytes is the memory of the program itself, which the collector does not count.
	programBytes = 16 << 20
)

// Limits returns the limits on a machine.
func (m Machine) Limits() Limits {
	sockets := m.Descriptors - descriptorsForFiles
	return Limits{
		ClientBytes: part(m.MemoryBytes, clientsShare),
		HeapBytes:   part(m.MemoryBytes-programBytes, heapShare),
		Callers:     int(part(int64(sockets), callersShare)),
		Peers:       int(part(int64(sockets), peersShare)),
		Probes:      int(part(int64(sockets), probesShare)),
	}
}

// part returns a share of n, at least 1.
func part(n int64, share float64) int64 {
	return max(1, int64(float64(n)*share))
}
