package advice

import (
	"slices"
	"time"

	"pollendock.example/cell/placement"
)

type (
	// Routes is the state of the routes to the advisor, one through each VM. A route carries
	// one query at a time.
	Routes struct {
		byName map[string]*route
		// names are those of the present VMs, sorted.
		names []string
	}

	// VM is an entry VM and the incarnation of its process.
	VM struct {
		Name        string
		Incarnation string
	}

	route struct {
		incarnation string
		busy        bool
		// slow and inTime are those of the query in progress.
		slow, inTime bool
		// backoffUntil is set after a failure.
		backoffUntil time.Time
		backoff      time.Duration
	}
)

const (
	// After a failure a route rests for minBackoff, and twice as long after each
	// further one, up to maxBackoff. A query that fails costs its caller up to a
	// second, and a VM that is reachable again would stand idle for up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Set replaces the list of VMs. A restarted VM is used at once, whatever failed before.
func (r *Routes) Set(vms []VM) {
	r.names = r.names[:0]
	for _, vm := range vms {
		r.names = append(r.names, vm.Name)
		p := r.byName[vm.Name]
		if p == nil {
			p = &route{}
			r.byName[vm.Name] = p
		}
		if p.incarnation != vm.Incarnation {
			p.incarnation = vm.Incarnation
			p.backoff, p.backoffUntil = 0, time.Time{}
		}
	}
	slices.Sort(r.names)
}

// Healthy reports whether the VM is not in backoff after a failed query.
func (r *Routes) Healthy(name string, now time.Time) bool {
	p := r.byName[name]
	return p == nil || !now.Before(p.backoffUntil)
}

// Failed notes that a query through a VM failed.
func (r *Routes) Failed(name, incarnation string, now time.Time) {
	p := r.byName[name]
	p.busy = false
	if p.incarnation != incarnation {
		// The VM has restarted since.
		return
	}
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.backoffUntil = now.Add(p.backoff)
}

// Incarnation returns the incarnation of a VM, as of the last Set.
func (r *Routes) Incarnation(name string) string {
	return r.byName[name].incarnation
}

// Busy returns how many queries are in progress, and how many of these are slow.
func (r *Routes) Busy() (total, slow int) {
	for _, p := range r.byName {
		if !p.busy {
			continue
		}
		total++
		if p.slow {
			slow++
		}
	}
	return total, slow
}

// Resting returns how many VMs are in backoff.
func (r *Routes) Resting(now time.Time) int {
	return len(r.names) - r.usable(now)
}

// free returns an idle VM.
func (r *Routes) free(now time.Time) (string, bool) {
	for _, name := range r.names {
		if p := r.byName[name]; !p.busy && r.Healthy(name, now) {
			return name, true
		}
	}
	return "", false
}

func (r *Routes) countFree(now time.Time) int {
	n := 0
	for _, name := range r.names {
		if p := r.byName[name]; !p.busy && r.Healthy(name, now) {
			n++
		}
	}
	return n
}

// usable returns how many VMs are not in backoff.
func (r *Routes) usable(now time.Time) int {
	n := 0
	for _, name := range r.names {
		if r.Healthy(name, now) {
			n++
		}
	}
	return n
}

func (r *Routes) sent(name string, m *Demand) {
	p := r.byName[name]
	p.busy = true
	p.slow = m.Slow
	p.inTime = m.SortKey.Rank == placement.InTime
}
