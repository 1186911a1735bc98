package entry

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

type (
	// assignment is a worker with its recorded home.
	assignment struct {
		worker, home string
	}
)

// computeWanted says which entry VM should be home to which worker. The recorded
// home stays unless it has more than its part; the others are placed by
// rendezvous hashing over the entry VMs that are alive and ready.
func (c *control) computeWanted(now time.Time) {
	nodes := c.candidates(now)
	workers := make([]assignment, 0, len(c.upstreams))
	var key strings.Builder
	key.WriteString(strings.Join(nodes, ","))
	for id := range c.upstreams {
		a := assignment{worker: id}
		if w := c.state.Workers[id]; w != nil {
			a.home = w.Home
		}
		workers = append(workers, a)
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].worker < workers[b].worker })
	for _, a := range workers {
		key.WriteString("|" + a.worker + "=" + a.home)
	}
	if key.String() == c.wantedKey {
		return
	}
	c.wantedKey = key.String()
	c.wanted = assign(workers, nodes)
	if joined := strings.Join(nodes, ","); joined != c.wantedNodes {
		c.wantedNodes = joined
		c.wantedAt = now
	}
}

// candidates returns the incarnations that can be home to workers.
func (c *control) candidates(now time.Time) []string {
	var nodes []string
	if !c.stopping && c.caughtUp && !c.isolated(now) {
		nodes = append(nodes, c.inc)
	}
	for _, p := range c.peers {
		if p.alive(now) && p.view.Ready {
			nodes = append(nodes, p.view.Incarnation)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// assign maps workers to nodes, none with more than its part rounded up.
func assign(workers []assignment, nodes []string) map[string]string {
	wanted := map[string]string{}
	if len(nodes) == 0 {
		return wanted
	}
	bound := (len(workers) + len(nodes) - 1) / len(nodes)
	load := map[string]int{}
	for _, node := range nodes {
		load[node] = 0
	}
	for _, a := range workers {
		if n, known := load[a.home]; known && n < bound {
			load[a.home]++
			wanted[a.worker] = a.home
		}
	}
	open := nodes
	for _, node := range nodes {
		if load[node] >= bound {
			open = without(open, node)
		}
	}
	assignRest(workers, wanted, load, open, bound)
	return wanted
}

// assignRest places the workers that are not in wanted yet.
func assignRest(workers []assignment, wanted map[string]string, load map[string]int, open []string, bound int) {
	table := rendezvous.New(open, xxhash.Sum64String)
	for _, a := range workers {
		if wanted[a.worker] != "" {
			continue
		}
		node := table.Lookup(a.worker)
		wanted[a.worker] = node
		load[node]++
		if load[node] == bound {
			// A new table, since removing from one breaks it for the node that
			// takes the free place.
			open = without(open, node)
			table = rendezvous.New(open, xxhash.Sum64String)
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
