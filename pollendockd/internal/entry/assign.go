package entry

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

type (
	// ownedWorker is a worker with the owner that the log records.
	ownedWorker struct {
		worker, owner string
	}
)

// updateAssignment computes which entry VM should own which worker. A worker
// stays with its recorded owner unless that owner has more than its even share.
// The remaining workers are placed by rendezvous hashing over the entry VMs that
// are alive and ready.
func (c *control) updateAssignment(now time.Time) {
	nodes := c.ownerCandidates(now)
	workers := make([]ownedWorker, 0, len(c.upstreams))
	var key strings.Builder
	key.WriteString(strings.Join(nodes, ","))
	for id := range c.upstreams {
		a := ownedWorker{worker: id}
		if w := c.state.Workers[id]; w != nil {
			a.owner = w.Home
		}
		workers = append(workers, a)
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].worker < workers[b].worker })
	for _, a := range workers {
		key.WriteString("|" + a.worker + "=" + a.owner)
	}
	if key.String() == c.assignmentInput {
		return
	}
	c.assignmentInput = key.String()
	c.desiredOwners = assignOwners(workers, nodes)
	if joined := strings.Join(nodes, ","); joined != c.assignmentNodes {
		c.assignmentNodes = joined
		c.nodesChangedAt = now
	}
}

// ownerCandidates returns the incarnations that can own workers.
func (c *control) ownerCandidates(now time.Time) []string {
	var nodes []string
	if !c.stopping && c.caughtUp && !c.isolated(now) {
		nodes = append(nodes, c.incarnation)
	}
	for _, p := range c.peers {
		if p.alive(now) && p.view.Ready {
			nodes = append(nodes, p.view.Incarnation)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// assignOwners maps workers to nodes. No node gets more than its even share,
// rounded up.
func assignOwners(workers []ownedWorker, nodes []string) map[string]string {
	owners := map[string]string{}
	if len(nodes) == 0 {
		return owners
	}
	maxPerNode := (len(workers) + len(nodes) - 1) / len(nodes)
	load := map[string]int{}
	for _, node := range nodes {
		load[node] = 0
	}
	for _, a := range workers {
		if n, known := load[a.owner]; known && n < maxPerNode {
			load[a.owner]++
			owners[a.worker] = a.owner
		}
	}
	nodesWithSpace := nodes
	for _, node := range nodes {
		if load[node] >= maxPerNode {
			nodesWithSpace = without(nodesWithSpace, node)
		}
	}
	assignRemaining(workers, owners, load, nodesWithSpace, maxPerNode)
	return owners
}

// assignRemaining places the workers that have no owner yet.
func assignRemaining(workers []ownedWorker, owners map[string]string, load map[string]int, nodesWithSpace []string, maxPerNode int) {
	table := rendezvous.New(nodesWithSpace, xxhash.Sum64String)
	for _, a := range workers {
		if owners[a.worker] != "" {
			continue
		}
		node := table.Lookup(a.worker)
		owners[a.worker] = node
		load[node]++
		if load[node] == maxPerNode {
			// Builds a new table: removing a node from a rendezvous table
			// corrupts the entry of the node that is moved into the freed slot.
			nodesWithSpace = without(nodesWithSpace, node)
			table = rendezvous.New(nodesWithSpace, xxhash.Sum64String)
		}
	}
}

func without(list []string, drop string) []string {
	var kept []string
	for _, s := range list {
		if s != drop {
			kept = append(kept, s)
		}
	}
	return kept
}
