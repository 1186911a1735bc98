package entry

import (
	"context"
	"slices"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/resource"
)

type (
	// publishWaiter is an operator who waits until a version is in force
	// everywhere.
	publishWaiter struct {
		offset int64
		number int64
		until  time.Time
		record string
		reply  chan api.PatchAnswer
	}

	// patchArrived hands a patch to the control goroutine.
	patchArrived struct {
		keyName   string
		bootstrap bool
		patch     config.Patch
		reply     chan api.PatchAnswer
	}

	// cellAsked asks for what this VM knows of the cell.
	cellAsked struct {
		reply chan api.CellAnswer
	}

	// historyAsked asks for the versions from a number on.
	historyAsked struct {
		from  int64
		reply chan []config.Version
	}

	// unconfirmedAsked asks who has not confirmed the present version.
	unconfirmedAsked struct {
		reply chan []string
	}

	// confirmWaiter waits for heartbeats that were sent after it asked. Those
	// before may be half a second old, and would name VMs that another VM knows to
	// have confirmed.
	confirmWaiter struct {
		askedAt time.Time
		reply   chan []string
	}
)

// inForceWait is how long an operator waits for the confirmation of all.
const inForceWait = 4 * time.Second

// Publish proposes a configuration version. Its answer is OK only once every
// incarnation that could still start work has applied the version.
func (e *Entry) Publish(ctx context.Context, id config.Identity, patch config.Patch) api.PatchAnswer {
	m := patchArrived{
		keyName: id.KeyName, bootstrap: id.KeyName == bootstrapName && e.published.Load().bootstrap,
		patch: patch, reply: make(chan api.PatchAnswer, 1),
	}
	e.post(m)
	ctx, cancel := context.WithTimeout(ctx, acceptMargin+inForceWait)
	defer cancel()
	select {
	case a := <-m.reply:
		return a
	case <-ctx.Done():
	case <-e.done:
	}
	return api.PatchAnswer{Answer: api.NewAnswer(code.PatchUnknown, "the log has not answered in time")}
}

func (m patchArrived) handle(c *control) {
	if c.stopping || !c.joined || c.e.appender.Down() {
		a := api.PatchAnswer{Answer: retryLater(code.LogDown, "the log takes no records", retryAfterLog)}
		m.reply <- a
		return
	}
	r := c.newRecord()
	r.Publish = &ledger.Publish{KeyName: m.keyName, Bootstrap: m.bootstrap, Patch: m.patch}
	c.submit(r, true, func(offset int64, effect ledger.ApplyResult) {
		c.patchApplied(m, r.ID, offset, effect)
	})
}

func (c *control) patchApplied(m patchArrived, record string, offset int64, effect ledger.ApplyResult) {
	if effect.Code != code.OK {
		a := api.PatchAnswer{Answer: acceptAnswer(effect), Number: c.state.Number, RecordID: record}
		if effect.Code == code.AcceptUnknown {
			a.Answer = api.NewAnswer(code.PatchUnknown, effect.Detail)
		}
		m.reply <- a
		return
	}
	c.publishing = append(c.publishing, &publishWaiter{
		offset: offset, number: effect.Number, until: time.Now().Add(inForceWait), record: record, reply: m.reply,
	})
}

// tickPublishing answers operators whose version is in force everywhere, or
// whose wait is over.
func (c *control) tickPublishing(now time.Time) {
	kept := c.publishing[:0]
	for _, w := range c.publishing {
		missing := c.unconfirmed(w.offset)
		if len(missing) > 0 && now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		a := api.PatchAnswer{Answer: api.NewAnswer(code.OK, ""), Number: w.number, RecordID: w.record, Unconfirmed: missing}
		if len(missing) > 0 {
			a.Answer = api.NewAnswer(code.Pending, "some entry VMs have not confirmed the version")
		}
		a.Truth = api.NoWork
		w.reply <- a
	}
	clear(c.publishing[len(kept):])
	c.publishing = kept
}

// unconfirmed returns the incarnations that may start work and are not known to
// have applied the record at offset.
func (c *control) unconfirmed(offset int64) []string {
	applied := map[string]int64{}
	for _, p := range c.peers {
		applied[p.view.Incarnation] = p.view.Next
	}
	var missing []string
	for _, inc := range c.state.PossibleStarters() {
		next := applied[inc]
		if m := c.state.Members[inc]; m != nil {
			next = max(next, m.Applied)
		}
		if inc != c.inc && next <= offset {
			missing = append(missing, inc)
		}
	}
	return missing
}

// Unconfirmed returns the incarnations that may start work and have not
// confirmed the version in force here.
func (e *Entry) Unconfirmed() []string {
	m := unconfirmedAsked{make(chan []string, 1)}
	e.post(m)
	select {
	case list := <-m.reply:
		return list
	case <-e.done:
		return nil
	}
}

func (m unconfirmedAsked) handle(c *control) {
	missing := c.unconfirmed(c.publishedAt)
	if len(missing) == 0 {
		m.reply <- nil
		return
	}
	now := time.Now()
	c.confirming = append(c.confirming, &confirmWaiter{now, m.reply})
	c.sendExchangesTo(now, func(p *peerView) bool { return slices.Contains(missing, p.view.Incarnation) })
}

// tickConfirming answers those who ask which VMs have not confirmed, once each
// of these has said so itself or has not answered.
func (c *control) tickConfirming(now time.Time) {
	if len(c.confirming) == 0 {
		return
	}
	missing := c.unconfirmed(c.publishedAt)
	kept := c.confirming[:0]
	for _, w := range c.confirming {
		if now.Sub(w.askedAt) < peerAlive && c.anyUnheardSince(missing, w.askedAt) {
			kept = append(kept, w)
			continue
		}
		w.reply <- missing
	}
	clear(c.confirming[len(kept):])
	c.confirming = kept
}

// anyUnheardSince reports whether a heartbeat that was sent to one of the
// incarnations since a time may still be answered.
func (c *control) anyUnheardSince(incarnations []string, at time.Time) bool {
	for _, p := range c.peers {
		if slices.Contains(incarnations, p.view.Incarnation) && p.toldAt.Before(at) {
			return true
		}
	}
	return false
}

// History returns the versions from a number on, oldest first.
func (e *Entry) History(from int64) []config.Version {
	m := historyAsked{from, make(chan []config.Version, 1)}
	e.post(m)
	select {
	case list := <-m.reply:
		return list
	case <-e.done:
		return nil
	}
}

func (m historyAsked) handle(c *control) {
	var list []config.Version
	for _, v := range c.state.History {
		if v.Number >= m.from {
			list = append(list, v)
		}
	}
	m.reply <- list
}

// Cell returns what this VM knows of the cell.
func (e *Entry) Cell() api.CellAnswer {
	m := cellAsked{make(chan api.CellAnswer, 1)}
	e.post(m)
	select {
	case a := <-m.reply:
		return a
	case <-e.done:
		return api.CellAnswer{Answer: api.NewAnswer(code.NotReady, errStopped.Error())}
	}
}

func (m cellAsked) handle(c *control) {
	a := api.CellAnswer{
		Answer: api.NewAnswer(code.OK, ""), Entry: c.opt.EntryID, Incarnation: c.inc,
		Ready: c.ready(), Version: c.state.Number, Applied: c.state.Next,
	}
	a.Truth = api.NoWork
	for _, id := range c.state.WorkerIDs() {
		w := c.state.Workers[id]
		a.Workers = append(a.Workers, api.WorkerAnswer{
			ID: id, Home: w.Home, Boot: w.Boot, Capacity: w.Capacity,
			Durable: c.state.Load(id), Lookups: sumCeilingsOf(w),
		})
	}
	for _, name := range c.state.Document.TeamNames() {
		t := c.state.Document.Teams[name]
		a.Teams = append(a.Teams, api.TeamAnswer{
			Name: name, Share: t.Share, Limit: t.Limit, Usage: c.state.Usage(name), Waiting: c.state.WaitingCount(name),
		})
	}
	now := time.Now()
	for _, inc := range c.state.LiveMembers() {
		member := c.state.Members[inc]
		a.Members = append(a.Members, api.MemberAnswer{
			EntryID: member.EntryID, Incarnation: inc, DataCentre: member.DataCentre,
			Heard: inc == c.inc || now.Sub(c.lastHeard[inc]) < peerAlive,
		})
	}
	m.reply <- a
}

func sumCeilingsOf(w *ledger.Worker) resource.Vector {
	var sum resource.Vector
	for _, v := range w.Allocations {
		sum = sum.Add(v)
	}
	return sum
}
