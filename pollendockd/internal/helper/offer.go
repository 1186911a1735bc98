package helper

import (
	"context"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// Offer passes records on to all other VMs, in order and one call at a time to
// each. What a VM misses it reads from the stream.
func (p *Peers) Offer(entries []site.Entry) {
	for _, m := range p.book.Members() {
		if m.Name != p.name {
			p.offerTo(m, entries)
		}
	}
}

func (p *Peers) offerTo(m job.Member, entries []site.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.offers[m.Name]
	if o == nil {
		o = &offer{}
		p.offers[m.Name] = o
	}
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
		entries := o.waiting
		o.waiting = nil
		o.busy = len(entries) > 0
		p.mu.Unlock()
		if len(entries) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		err := p.client(&m, forOffers).Call(ctx, "Offer", &OfferRequest{Entries: entries}, &OfferReply{})
		cancel()
		p.noteOffer(m.Name, o, err)
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
