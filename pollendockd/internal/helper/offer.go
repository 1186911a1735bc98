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
	// maxOffer bounds the records that wait for a peer, which reads the stream
	// where it has missed some.
	maxOffer = 2000
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
	if len(o.waiting) < maxOffer {
		o.waiting = append(o.waiting, entries...)
	}
	if !o.busy {
		o.busy = true
		go p.sendOffers(m, o)
	}
}

func (p *Peers) sendOffers(m job.Member, o *offer) {
	for {
		p.mu.Lock()
		entries, relays := o.waiting, o.relays
		o.waiting = nil
		o.busy = len(entries) > 0
		p.mu.Unlock()
		if len(entries) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		err := p.client(&m, forOffers).Call(ctx, "Offer", &OfferRequest{Entries: entries, Relay: relays}, &OfferReply{})
		cancel()
		p.noteOffer(m.Name, o, err)
		time.Sleep(offerGap)
	}
}

// noteOffer logs when offers to a peer begin to fail, and when they succeed
// again. A VM that misses one reads the stream, so nothing else has to be done.
func (p *Peers) noteOffer(name string, o *offer, err error) {
	p.mu.Lock()
	changed := o.failing != (err != nil)
	o.failing = err != nil
	p.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		_ = level.Warn(p.logger).Log("msg", "peer lost", "peer", name, "err", err)
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
