package cluster

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

const (
	offerTimeout = 500 * time.Millisecond
	// offerInterval is the minimum interval between two offers to a VM. Each offer is
	// a call, and with dozens of VMs the leader would do little else.
	offerInterval = 20 * time.Millisecond
	// maxOfferBytes bounds the records of one offer, so that it arrives before the
	// timeout over a 10 Mbit/s link that carries other traffic as well.
	maxOfferBytes = 64 << 10
	// Offers to a peer that reads missing records from the stream, or lacks records
	// that are not cached here, are paused for lagPause. Offers to a peer that does
	// not answer are paused for minBackoff, which doubles with each failure up to
	// maxBackoff, because the data sent to it only delays its reads.
	lagPause   = 200 * time.Millisecond
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxDirectMembers is the largest number of VMs in another data centre to which
	// the leader offers records directly. In a larger one, a relay forwards them to
	// the others.
	maxDirectMembers = 3
)

// Offer sends the records from the offset first on to all other VMs, with one call at a
// time to each, starting with the first record that the VM lacks.
func (p *Peers) Offer(first int64) {
	for _, to := range p.receivers() {
		p.offerTo(to.member, first, to.isRelay)
	}
}

// Relay forwards records that the leader has offered to the other VMs of the data
// centre.
func (p *Peers) Relay(first int64) {
	for _, m := range p.view.Members() {
		if m.Name != p.name && m.DataCentre == p.dataCentre {
			p.offerTo(m, first, false)
		}
	}
}

// receivers returns the VMs to which the leader offers records directly: those of its
// own data centre, the relay of each other data centre, and those whose last offer
// failed, which cannot be relays.
func (p *Peers) receivers() []receiver {
	byCentre := map[string][]job.Member{}
	for _, m := range p.view.Members() {
		if m.Name != p.name {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
		}
	}
	var list []receiver
	for centre, members := range byCentre {
		relay := ""
		if centre != p.dataCentre && len(members) > maxDirectMembers {
			relay = p.selectRelay(members)
		}
		for _, m := range members {
			if relay == "" || m.Name == relay || p.isFailing(m.Name) {
				list = append(list, receiver{m, m.Name == relay})
			}
		}
	}
	return list
}

// selectRelay returns the name of the member with the most CPU cores among those
// that apply offers, or "".
func (p *Peers) selectRelay(members []job.Member) string {
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
	pp := p.progress[name]
	return pp != nil && pp.failing
}

func (p *Peers) offerTo(m job.Member, first int64, isRelay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pp := p.progress[m.Name]
	if pp == nil {
		pp = &peerProgress{}
		p.progress[m.Name] = pp
	}
	pp.isRelay = isRelay
	if pp.sending || time.Now().Before(pp.pausedUntil) {
		return
	}
	if !pp.nextKnown {
		pp.next, pp.nextKnown = first, true
	}
	pp.sending = true
	go p.sendOffers(m, pp)
}

// sendOffers sends a peer the records that it lacks, until it lacks none or offers to it
// are paused.
func (p *Peers) sendOffers(m job.Member, pp *peerProgress) {
	for {
		entries, isRelay := p.nextOffer(m.Name, pp)
		if len(entries) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		var reply OfferReply
		err := p.client(&m, forOffers).Call(ctx, "Offer", &OfferRequest{Entries: entries, Relay: isRelay}, &reply)
		cancel()
		p.handleReply(m.Name, pp, entries[0].Offset, &reply, err)
		time.Sleep(offerInterval)
	}
}

// nextOffer returns the next records to send to a peer, if any, and whether the peer is
// to forward them.
func (p *Peers) nextOffer(name string, pp *peerProgress) ([]site.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(pp.pausedUntil) {
		pp.sending = false
		return nil, false
	}
	maxBytes := maxOfferBytes
	if pp.probing {
		maxBytes = 1
	}
	entries, cached := p.records.Recent(pp.next, maxBytes)
	if !cached {
		pp.pause(lagPause)
		p.setFailing(name, pp, true, "missing records are no longer cached")
	}
	pp.sending = len(entries) > 0
	return entries, pp.isRelay
}

// handleReply updates the progress of a peer with the reply to an offer that started
// at the offset first.
func (p *Peers) handleReply(name string, pp *peerProgress, first int64, r *OfferReply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		pp.backoff = min(max(2*pp.backoff, minBackoff), maxBackoff)
		pp.pause(pp.backoff)
		p.setFailing(name, pp, true, err.Error())
	case r.Next < 0:
		pp.pause(lagPause)
		p.setFailing(name, pp, true, "peer is loading all records")
	case r.Next == first:
		pp.pause(lagPause)
		p.setFailing(name, pp, true, "peer did not apply the records")
	case r.Next < first && r.Reads:
		// Sending the records that the peer reads anyway would use its link twice.
		pp.probeLater(r.Next)
		p.setFailing(name, pp, true, "peer reads missing records from the stream")
	default:
		pp.backoff = 0
		pp.next, pp.probing = r.Next, false
		p.setFailing(name, pp, false, "")
	}
}

// probeLater pauses the offers to a peer. The first offer after the pause only asks what
// the peer still lacks.
func (pp *peerProgress) probeLater(next int64) {
	pp.next, pp.probing = next, true
	pp.pausedUntil = time.Now().Add(lagPause)
}

// pause stops the offers to a peer for d and forgets its next offset, because the peer
// reads the stream in the meantime.
func (pp *peerProgress) pause(d time.Duration) {
	pp.nextKnown, pp.probing = false, false
	pp.pausedUntil = time.Now().Add(d)
}

// setFailing logs when offers to a peer start to fail and when they succeed again. The
// peer reads missed records from the stream, so no other action is needed.
func (p *Peers) setFailing(name string, pp *peerProgress, failing bool, why string) {
	if pp.failing == failing {
		return
	}
	pp.failing = failing
	if failing {
		_ = level.Warn(p.logger).Log("msg", "offers to peer suspended", "peer", name, "next", pp.next, "why", why)
		return
	}
	_ = level.Info(p.logger).Log("msg", "offers to peer resumed", "peer", name, "next", pp.next)
}

// Yield reports to all other VMs that the leader of the given epoch cannot append.
func (p *Peers) Yield(epoch int64) {
	for _, m := range p.view.Members() {
		if m.Name == p.name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
			defer cancel()
			if err := p.client(&m, forOffers).Call(ctx, "Yield", &YieldRequest{Epoch: epoch}, &YieldReply{}); err != nil {
				_ = level.Warn(p.logger).Log("msg", "failed to send yield to peer", "peer", m.Name, "epoch", epoch, "err", err)
			}
		}()
	}
}
