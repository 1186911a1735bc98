// Package site defines the types that the scheduler exchanges with the deployment
// it runs on: the catalog of queues and teams that operators publish, the upstreams
// that run tasks, the requests to them, and the stream of durable records.
package site

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pollendock.example/cell/resource"
)

type (
	// Catalog is a complete configuration version.
	Catalog struct {
		// Version increases with each configuration, not necessarily by one.
		Version int64
		// Revision increases with each change that operators make, also with those
		// that do not change Version.
		Revision int64
		// Evacuated holds the names of the data centres whose upstreams get no new
		// runs.
		Evacuated map[string]bool
		Queues    []Queue
		Teams     []Team
		// Services maps the name of each service to its properties.
		Services map[string]Service

		teamByKey    map[string]*Team
		teamByName   map[string]*Team
		queueByName  map[string]*Queue
		queuesByHost map[string]*hostQueues
	}

	// hostQueues holds the queues of one host.
	hostQueues struct {
		byPrefix map[string]*Queue
		// prefixLengths holds the distinct lengths of the prefixes, in descending
		// order.
		prefixLengths []int
	}

	// Queue is a queue to which callers submit jobs.
	Queue struct {
		Name string
		// Host and PathPrefix match the requests for the queue.
		Host       string
		PathPrefix string
		// Service is the name of the service that runs the queue's tasks.
		Service string
		// Priority is the priority of the queue; 0 is the highest.
		Priority int
		// MaxAttempts limits the failed runs of a task.
		MaxAttempts int
		// Stretch and Objective define the time in which a job should complete:
		// Stretch times the duration of its critical path, plus Objective.
		Stretch   float64
		Objective time.Duration
		// Public queues accept submissions without a key.
		Public bool
		// Advice is set if upstreams need the advisor's permission to run a step.
		Advice *Advice
	}

	// Advice describes the latency of calls to the advisor and the lifetime of
	// its tickets.
	Advice struct {
		// Base is the fixed time of a call, and PerUpstream the additional time
		// for each upstream that it names.
		Base        time.Duration
		PerUpstream time.Duration
		// TicketLifetime is how long a ticket can be used.
		TicketLifetime time.Duration
	}

	// Service is a pool of upstreams.
	Service struct {
		// ChecksAdmission says that its upstreams refuse tasks that do not fit.
		ChecksAdmission bool
	}

	// Team is a customer.
	Team struct {
		Name string
		Keys []string
		// Weight is the team's relative share when the cell is full. It is also
		// the team's guaranteed rate, in jobs a second.
		Weight float64
		// Limit is the most that the team may have running; a component of 0 means
		// no limit.
		Limit resource.Vector
	}
)

// NewerThan reports whether the catalog replaces an old one, which may be nil. Neither its
// version nor its revision may be lower.
func (c *Catalog) NewerThan(old *Catalog) bool {
	if old == nil {
		return true
	}
	if c.Version < old.Version || c.Revision < old.Revision {
		return false
	}
	return c.Version > old.Version || c.Revision > old.Revision
}

// Validate returns an error for numbers with which later stages cannot calculate.
func (c *Catalog) Validate() error {
	for i := range c.Queues {
		if q := &c.Queues[i]; !isFactor(q.Stretch) {
			return fmt.Errorf("queue %.60q: stretch %v", q.Name, q.Stretch)
		}
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		if !isFactor(t.Weight) {
			return fmt.Errorf("team %.60q: weight %v", t.Name, t.Weight)
		}
		if err := t.Limit.Validate(); err != nil {
			return fmt.Errorf("team %.60q: %w", t.Name, err)
		}
	}
	return nil
}

// isFactor reports whether n is a finite number of at least 0.
func isFactor(n float64) bool {
	return n >= 0 && n <= math.MaxFloat64
}

// Index builds the indexes for lookups by key, name and path, and returns c. It
// must be called once, before the catalog is shared between goroutines.
func (c *Catalog) Index() *Catalog {
	c.teamByKey = map[string]*Team{}
	c.teamByName = map[string]*Team{}
	for i := range c.Teams {
		t := &c.Teams[i]
		c.teamByName[t.Name] = t
		for _, k := range t.Keys {
			c.teamByKey[k] = t
		}
	}
	c.queueByName = map[string]*Queue{}
	c.queuesByHost = map[string]*hostQueues{}
	for i := range c.Queues {
		c.indexQueue(&c.Queues[i])
	}
	return c
}

// indexQueue adds a queue to the indexes. Of several queues with the same name or
// the same host and prefix, the first one wins.
func (c *Catalog) indexQueue(q *Queue) {
	if c.queueByName[q.Name] == nil {
		c.queueByName[q.Name] = q
	}
	host := c.queuesByHost[q.Host]
	if host == nil {
		host = &hostQueues{byPrefix: map[string]*Queue{}}
		c.queuesByHost[q.Host] = host
	}
	if host.byPrefix[q.PathPrefix] != nil {
		return
	}
	host.byPrefix[q.PathPrefix] = q
	n := len(q.PathPrefix)
	i, known := slices.BinarySearchFunc(host.prefixLengths, n, func(a, b int) int { return b - a })
	if !known {
		host.prefixLengths = slices.Insert(host.prefixLengths, i, n)
	}
}

// ShortestObjective returns the shortest objective of the queues that need advice, or 0
// if none of them has one.
func (c *Catalog) ShortestObjective() time.Duration {
	shortest := time.Duration(0)
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Advice != nil && q.Objective > 0 && (shortest == 0 || q.Objective < shortest) {
			shortest = q.Objective
		}
	}
	return shortest
}

// TeamOfKey returns the team that owns a key, or nil.
func (c *Catalog) TeamOfKey(key string) *Team {
	return c.teamByKey[key]
}

// Team returns the team with the name, or nil.
func (c *Catalog) Team(name string) *Team {
	return c.teamByName[name]
}

// Queue returns the queue with the name, or nil.
func (c *Catalog) Queue(name string) *Queue {
	return c.queueByName[name]
}

// QueueFor returns the queue of the host with the longest matching prefix of path,
// and the rest of the path. It returns nil if no queue matches.
func (c *Catalog) QueueFor(host, path string) (*Queue, string) {
	at := c.queuesByHost[host]
	if at == nil {
		return nil, ""
	}
	for _, n := range at.prefixLengths {
		if n > len(path) {
			continue
		}
		if q := at.byPrefix[path[:n]]; q != nil {
			return q, path[n:]
		}
	}
	return nil, ""
}
