package helper

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

const (
	offerTimeout = 500 * time.Millisecond
	// offerGap is the least time between two offers to a VM: each is a call, and
	// with dozens of VMs the leader would do little else.
	offerGap = 20 * time.Millisecond
	// maxCallBytes bounds one offer, so that it arrives in time over a link of
	// 10 Mbit/s that carries other things as well.
	maxCallBytes = 64 << 10
	// A peer that lacks records and reads the stream, or lacks some which are not at
	// hand here, is left alone for behindRest. One that does not answer
	// is so for leastRest, and for twice as long each time, up to mostRest: what is
	// sent to it only delays what it reads.
	behindRest = 200 * time.Millisecond
	leastRest  = 250 * time.Millisecond
	mostRest   = 2 * time.Second
	// directMembers is up to how many VMs of another data centre the leader
	// offers records itself. Of more, one passes them on to the others.
	directMembers = 3
)

// Offer passes the records from an offset on to all other VMs, one call at a time
// to each, beginning with what each lacks.
func (p *Peers) Offer(first int64) {
	for _, to := range p.receivers() {
		p.offerTo(to.member, first, to.relays)
	}
}

// Relay passes records that the leader has offered on within the data centre.
func (p *Peers) Relay(first int64) {
	for _, m := range p.book.Members() {
		if m.Name != p.name && m.DataCentre == p.dataCentre {
			p.offerTo(m, first, false)
		}
	}
}

// receivers returns the VMs to which the leader offers records itself: those of
// its own data centre, one of each other that passes them on, and those that
// did not take the last offer and so cannot pass on any.
func (p *Peers) receivers() []receiver {
	byCentre := map[string][]job.Member{}
	for _, m := range p.book.Members() {
		if m.Name != p.name {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
		}
	}
	var list []receiver
	for centre, there := range byCentre {
		relay := ""
		if centre != p.dataCentre && len(there) > directMembers {
			relay = p.relayOf(there)
		}
		for _, m := range there {
			if relay == "" || m.Name == relay || p.isFailing(m.Name) {
				list = append(list, receiver{m, m.Name == relay})
			}
		}
	}
	return list
}

// relayOf returns the strongest of the VMs that take offers, or "".
func (p *Peers) relayOf(members []job.Member) string {
	best := job.Member{}
	for _, m := range members {
		if p.isFailing(m.Name) {
			continue
		}
		if best.Name == "" || m.CPUCores > best.CPUCores || m.CPUCores == best.CPUCores && m.Name < best.Name {
			best = m
		}
	}
	return best.Name
}

func (p *Peers) isFailing(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.offers[name]
	return o != nil && o.failing
}

func (p *Peers) offerTo(m job.Member, first int64, relays bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.offers[m.Name]
	if o == nil {
		o = &offer{}
		p.offers[m.Name] = o
	}
	o.relays = relays
	if o.busy || time.Now().Before(o.restUntil) {
		return
	}
	if !o.known {
		o.next, o.known = first, true
	}
	o.busy = true
	go p.sendOffers(m, o)
}

// sendOffers sends a peer what it lacks, until it lacks nothing or has to be left
// alone.
func (p *Peers) sendOffers(m job.Member, o *offer) {
	for {
		entries, relays := p.nextOffer(m.Name, o)
		if len(entries) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		var reply OfferReply
		err := p.client(&m, forOffers).Call(ctx, "Offer", &OfferRequest{Entries: entries, Relay: relays}, &reply)
		cancel()
		p.noteOffer(m.Name, o, entries[0].Offset, &reply, err)
		time.Sleep(offerGap)
	}
}

// nextOffer returns what to send to a peer, or nothing.
func (p *Peers) nextOffer(name string, o *offer) ([]site.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(o.restUntil) {
		o.busy = false
		return nil, false
	}
	most := maxCallBytes
	if o.resuming {
		most = 1
	}
	entries, held := p.records.Recent(o.next, most)
	if !held {
		o.leave(behindRest)
		p.mark(name, o, true, "the records that it lacks are not at hand")
	}
	o.busy = len(entries) > 0
	return entries, o.relays
}

// noteOffer takes in how an offer went that began with the record at first.
func (p *Peers) noteOffer(name string, o *offer, first int64, r *OfferReply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		o.rest = min(max(2*o.rest, leastRest), mostRest)
		o.leave(o.rest)
		p.mark(name, o, true, err.Error())
	case r.Next < 0:
		o.leave(behindRest)
		p.mark(name, o, true, "it reads all records")
	case r.Next == first:
		o.leave(behindRest)
		p.mark(name, o, true, "it takes no records")
	case r.Next < first && r.Reads:
		// To send what it reads as well would take its link's time twice.
		o.resume(r.Next)
		p.mark(name, o, true, "it reads what it lacks")
	default:
		o.rest = 0
		o.next, o.resuming = r.Next, false
		p.mark(name, o, false, "")
	}
}

// resume leaves a peer alone for a time, and then asks it first what it still lacks.
func (o *offer) resume(next int64) {
	o.next, o.resuming = next, true
	o.restUntil = time.Now().Add(behindRest)
}

// leave has a peer read the stream for a time.
func (o *offer) leave(rest time.Duration) {
	o.known, o.resuming = false, false
	o.restUntil = time.Now().Add(rest)
}

// mark logs when offers to a peer begin to fail, and when they succeed again. What
// a peer misses it reads from the stream, so nothing else has to be done.
func (p *Peers) mark(name string, o *offer, failing bool, why string) {
	if o.failing == failing {
		return
	}
	o.failing = failing
	if failing {
		_ = level.Warn(p.logger).Log("msg", "peer lost", "peer", name, "next", o.next, "why", why)
		return
	}
	_ = level.Info(p.logger).Log("msg", "peer regained", "peer", name, "next", o.next)
}

// Yield tells all other VMs that the leader of a term cannot append.
func (p *Peers) Yield(epoch int64) {
	for _, m := range p.book.Members() {
		if m.Name == p.name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
			defer cancel()
			if err := p.client(&m, forOffers).Call(ctx, "Yield", &YieldRequest{Epoch: epoch}, &YieldReply{}); err != nil {
				_ = level.Warn(p.logger).Log("msg", "peer not asked to lead", "peer", m.Name, "epoch", epoch, "err", err)
			}
		}()
	}
}
