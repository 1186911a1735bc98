// Package site holds the types through which the scheduler speaks with the
// deployment it runs on: the catalog of queues and teams that operators
// publish, the upstreams that run tasks, the orders they take, and the stream
// of durable records.
package site

import (
	"strings"
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

		teamByKey  map[string]*Team
		teamByName map[string]*Team
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
	return c
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
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// QueueFor returns the queue with the longest prefix that path begins with, and
// the rest of the path; nil if there is none.
func (c *Catalog) QueueFor(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}
