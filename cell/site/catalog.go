// Package site holds the types through which the scheduler speaks with the
// deployment it runs on: the catalog of queues and teams that operators
// publish, the upstreams that run tasks, the orders they take, and the stream
// of durable records.
package site

import (
	"slices"
	"time"

	"pollendock.example/cell/resource"
)

type (
	// Catalog is one configuration version, whole.
	Catalog struct {
		// Version grows with each configuration, not always by one.
		Version int64
		Queues  []Queue
		Teams   []Team
		// Services maps the name of each service to its properties.
		Services map[string]Service

		teamByKey   map[string]*Team
		teamByName  map[string]*Team
		queueByName map[string]*Queue
		queuesAt    map[string]*hostQueues
	}

	// hostQueues holds the queues of one host.
	hostQueues struct {
		byPrefix map[string]*Queue
		// lengths are those of the prefixes, longest first, each once.
		lengths []int
	}

	// Queue is where callers hand jobs in.
	Queue struct {
		Name string
		// Host and PathPrefix select the queue of a request.
		Host       string
		PathPrefix string
		// Service names the upstreams that run the queue's tasks.
		Service string
		// Priority orders queues; 0 comes first.
		Priority int
		// MaxAttempts bounds the failed runs of a task.
		MaxAttempts int
		// Stretch and Objective give the time in which a job is to be complete:
		// Stretch times its longest chain of work, and Objective more.
		Stretch   float64
		Objective time.Duration
		// Public queues take work without a key.
		Public bool
		// Advice is set if an advisor tells which upstreams may run a step.
		Advice *Advice
	}

	// Advice says what a call to the advisor costs.
	Advice struct {
		// Base is the time that a call takes, PerUpstream what each upstream
		// named in it adds.
		Base        time.Duration
		PerUpstream time.Duration
		// Valid is how long a ticket can be used.
		Valid time.Duration
	}

	// Service is a pool of upstreams.
	Service struct {
		// ChecksAdmission says that its upstreams refuse what does not fit.
		ChecksAdmission bool
	}

	// Team is a customer.
	Team struct {
		Name string
		Keys []string
		// Weight is the team's share when the cell is full. It is also the
		// number of jobs a second that the team is owed.
		Weight float64
		// Limit is what the team may have running; a component of 0 sets none.
		Limit resource.Vector
	}
)

// Index prepares the lookups by key and name. It is called once, before the
// catalog is shared.
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
	c.queuesAt = map[string]*hostQueues{}
	for i := range c.Queues {
		c.indexQueue(&c.Queues[i])
	}
	return c
}

// indexQueue adds a queue to the lookups. Of two alike the first one counts.
func (c *Catalog) indexQueue(q *Queue) {
	if c.queueByName[q.Name] == nil {
		c.queueByName[q.Name] = q
	}
	at := c.queuesAt[q.Host]
	if at == nil {
		at = &hostQueues{byPrefix: map[string]*Queue{}}
		c.queuesAt[q.Host] = at
	}
	if at.byPrefix[q.PathPrefix] != nil {
		return
	}
	at.byPrefix[q.PathPrefix] = q
	n := len(q.PathPrefix)
	i, known := slices.BinarySearchFunc(at.lengths, n, func(a, b int) int { return b - a })
	if !known {
		at.lengths = slices.Insert(at.lengths, i, n)
	}
}

// TeamOfKey returns the team that a key belongs to, or nil.
func (c *Catalog) TeamOfKey(key string) *Team {
	return c.teamByKey[key]
}

// Team returns the team of that name, or nil.
func (c *Catalog) Team(name string) *Team {
	return c.teamByName[name]
}

// Queue returns the queue of that name, or nil.
func (c *Catalog) Queue(name string) *Queue {
	return c.queueByName[name]
}

// QueueFor returns the queue with the longest prefix that path begins with, and
// the rest of the path; nil if there is none.
func (c *Catalog) QueueFor(host, path string) (*Queue, string) {
	at := c.queuesAt[host]
	if at == nil {
		return nil, ""
	}
	for _, n := range at.lengths {
		if n > len(path) {
			continue
		}
		if q := at.byPrefix[path[:n]]; q != nil {
			return q, path[n:]
		}
	}
	return nil, ""
}
