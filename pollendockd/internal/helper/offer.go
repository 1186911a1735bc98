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
	// maxWaitingBytes bounds what waits for a peer. One for which more waits takes
	// less than there is, and reads the stream instead.
	maxWaitingBytes = 256 << 10
	// A peer that lags behind is left alone for behindRest. One that does not answer
	// is so for leastRest, and for twice as long each time, up to mostRest: what is
	// sent to it only delays what it reads.
	behindRest = 200 * time.Millisecond
	leastRest  = 250 * time.Millisecond
	mostRest   = 2 * time.Second
	// directMembers is up to how many VMs of another data centre the leader
	// offers records itself. Of more, one passes them on to the others.
	directMembers = 3
)

// Offer passes records on to all other VMs, in order and one call at a time to
// each. What a VM misses it reads from the stream.
func (p *Peers) Offer(entries []site.Entry) {
	for _, to := range p.receivers() {
		p.offerTo(to.member, entries, to.relays)
	}
}

// Relay passes records that the leader has offered on within the data centre.
func (p *Peers) Relay(entries []site.Entry) {
	for _, m := range p.book.Members() {
		if m.Name != p.name && m.DataCentre == p.dataCentre {
			p.offerTo(m, entries, false)
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
		if best.Name == "" || m.Power > best.Power || m.Power == best.Power && m.Name < best.Name {
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

func (p *Peers) offerTo(m job.Member, entries []site.Entry, relays bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.offers[m.Name]
	if o == nil {
		o = &offer{}
		p.offers[m.Name] = o
	}
	o.relays = relays
	now := time.Now()
	if now.Before(o.restUntil) {
		return
	}
	o.add(entries)
	if o.bytes > maxWaitingBytes {
		o.leave(now, behindRest)
		return
	}
	if !o.busy {
		o.busy = true
		go p.sendOffers(m, o)
	}
}

func (o *offer) add(entries []site.Entry) {
	o.waiting = append(o.waiting, entries...)
	for i := range entries {
		o.bytes += sizeOf(&entries[i])
	}
}

// take removes what one call carries.
func (o *offer) take() []site.Entry {
	n, size := 0, 0
	for n < len(o.waiting) && size < maxCallBytes {
		size += sizeOf(&o.waiting[n])
		n++
	}
	taken := o.waiting[:n]
	o.waiting = o.waiting[n:]
	o.bytes -= size
	return taken
}

// leave drops what waits, which the peer will read from the stream.
func (o *offer) leave(now time.Time, rest time.Duration) {
	o.waiting, o.bytes = nil, 0
	o.restUntil = now.Add(rest)
}

func sizeOf(e *site.Entry) int {
	return len(e.Key) + len(e.Value)
}

func (p *Peers) sendOffers(m job.Member, o *offer) {
	for {
		p.mu.Lock()
		entries, relays := o.take(), o.relays
		o.busy = len(entries) > 0
		p.mu.Unlock()
		if len(entries) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		var reply OfferReply
		err := p.client(&m, forOffers).Call(ctx, "Offer", &OfferRequest{Entries: entries, Relay: relays}, &reply)
		cancel()
		p.noteOffer(m.Name, o, reply.Behind, err)
		time.Sleep(offerGap)
	}
}

// noteOffer takes in how an offer went, and logs when a peer is lost and when it is
// back. What a peer misses it reads from the stream.
func (p *Peers) noteOffer(name string, o *offer, behind bool, err error) {
	p.mu.Lock()
	failing := behind || err != nil
	changed := o.failing != failing
	o.failing = failing
	now := time.Now()
	switch {
	case err != nil:
		o.rest = min(max(2*o.rest, leastRest), mostRest)
		o.leave(now, o.rest)
	case behind:
		o.rest = 0
		o.leave(now, behindRest)
	default:
		o.rest = 0
	}
	p.mu.Unlock()
	switch {
	case !changed:
	case failing:
		_ = level.Warn(p.logger).Log("msg", "peer lost", "peer", name, "behind", behind, "err", err)
	default:
		_ = level.Info(p.logger).Log("msg", "peer regained", "peer", name)
	}
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
