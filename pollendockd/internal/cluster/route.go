package cluster

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollendock.example/cell/job"
)

type (
	// contact is the outcome of the last call to a VM.
	contact struct {
		result contactResult
		at     time.Time
	}

	contactResult int

	// candidate is a VM to which a request can be forwarded.
	candidate struct {
		member job.Member
		leads  bool
		// last is the zero contact if nothing is known of the VM.
		last contact
	}
)

const (
	unknownContact contactResult = iota
	// servedContact: the VM served a request, or answered that it can.
	servedContact
	// refusedContact: the VM did not serve the request, and certainly never will.
	refusedContact
	// failedContact: the VM answered that it does not know the outcome.
	failedContact
	// unreachableContact: the call certainly did not reach the VM.
	unreachableContact
	// unansweredContact: the call ended without an answer.
	unansweredContact
)

const (
	// maxForwardAttempts bounds the number of VMs to which a request is forwarded.
	maxForwardAttempts = 3
	// servedAge is how long a VM that served a request is preferred to those of which
	// nothing is known.
	servedAge = 2 * time.Second
	// A VM that refused a request is not asked again for refusedAge, one that did not
	// answer or was not reached not for unansweredAge.
	refusedAge    = 300 * time.Millisecond
	unansweredAge = time.Second
	// If enoughRefusals VMs refused within refusedAge and none served, only the leader is
	// asked: the others would refuse as well, as they depend on the same stream.
	enoughRefusals = 5
)

// planRoute returns the VMs to which a request is forwarded, in the order in which they are
// asked: the leader, which holds all records, then those that served lately, then those of
// which nothing is known. It is meant for callers at VMs without the stream while
// others have it. It returns none if no VM is likely to serve the request, so that the
// caller is refused at once.
func planRoute(candidates []candidate, now time.Time) []job.Member {
	refusals := 0
	var usable []candidate
	for _, c := range candidates {
		age := now.Sub(c.last.at)
		switch {
		case c.last.result == refusedContact && age < refusedAge:
			refusals++
		case c.silent(now):
		default:
			usable = append(usable, c)
		}
	}
	rand.Shuffle(len(usable), func(a, b int) { usable[a], usable[b] = usable[b], usable[a] })
	slices.SortStableFunc(usable, func(a, b candidate) int { return a.preference(now) - b.preference(now) })
	if refusals >= enoughRefusals && !servesLately(usable, now) {
		usable = slices.DeleteFunc(usable, func(c candidate) bool { return !c.leads })
	}
	members := make([]job.Member, 0, maxForwardAttempts)
	for _, c := range usable[:min(maxForwardAttempts, len(usable))] {
		members = append(members, c.member)
	}
	return members
}

// servesLately reports whether a candidate served a request within servedAge.
func servesLately(candidates []candidate, now time.Time) bool {
	return slices.ContainsFunc(candidates, func(c candidate) bool { return c.served(now) })
}

// preference orders the candidates; lower ones are asked first.
func (c *candidate) preference(now time.Time) int {
	switch {
	case c.leads:
		return 0
	case c.served(now):
		return 1
	case c.last.result == unknownContact || c.last.result == servedContact:
		return 2
	}
	return 3
}

// silent reports whether the VM was not reached, or did not answer, a short time ago.
func (c *candidate) silent(now time.Time) bool {
	return (c.last.result == unreachableContact || c.last.result == unansweredContact) && now.Sub(c.last.at) < unansweredAge
}

func (c *candidate) served(now time.Time) bool {
	return c.last.result == servedContact && now.Sub(c.last.at) < servedAge
}

// recordContact notes the outcome of a call to an incarnation of a VM.
func (p *Peers) recordContact(incarnation string, result contactResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contacts[incarnation] = contact{result, time.Now()}
}

// candidates returns the other VMs with what is known of them, and forgets VMs that are no
// longer members.
func (p *Peers) candidates() []candidate {
	l, _ := p.view.Leader()
	members := p.view.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]candidate, 0, len(members))
	known := make(map[string]contact, len(p.contacts))
	for name, m := range members {
		if name == p.name {
			continue
		}
		last := p.contacts[m.Incarnation]
		if last.result != unknownContact {
			known[m.Incarnation] = last
		}
		list = append(list, candidate{member: m, leads: m.Incarnation == l.Incarnation, last: last})
	}
	p.contacts = known
	return list
}
