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
	// publishWaiter is a publish call that waits for all entry VMs to apply the
	// version.
	publishWaiter struct {
		offset int64
		number int64
		until  time.Time
		record string
		reply  chan api.PatchAnswer
	}

	// patchReceived passes a configuration patch to the control goroutine.
	patchReceived struct {
		keyName   string
		bootstrap bool
		patch     config.Patch
		reply     chan api.PatchAnswer
	}

	// cellRequest asks for the state of the cell as known to this VM.
	cellRequest struct {
		reply chan api.CellAnswer
	}

	// historyRequest asks for the configuration versions from a number on.
	historyRequest struct {
		from  int64
		reply chan []config.Version
	}

	// unconfirmedRequest asks which incarnations have not confirmed the active
	// version.
	unconfirmedRequest struct {
		reply chan []string
	}

	// confirmWaiter waits for replies to heartbeats sent at or after askedAt.
	// Earlier replies can be half a second old. By them, VMs would be reported
	// as unconfirmed although another VM knows that they have confirmed.
	confirmWaiter struct {
		askedAt time.Time
		reply   chan []string
	}
)

// confirmTimeout is how long a publish call waits for all entry VMs to confirm.
const confirmTimeout = 4 * time.Second

// Publish proposes a configuration version. The result is OK only once every
// incarnation that could still start work has applied the version.
func (e *Entry) Publish(ctx context.Context, id config.Identity, patch config.Patch) api.PatchAnswer {
	m := patchReceived{
		keyName: id.KeyName, bootstrap: id.KeyName == bootstrapKeyName && e.sharedState.Load().bootstrap,
		patch: patch, reply: make(chan api.PatchAnswer, 1),
	}
	e.post(m)
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout+confirmTimeout)
	defer cancel()
	select {
	case a := <-m.reply:
		return a
	case <-ctx.Done():
	case <-e.done:
	}
	return api.PatchAnswer{Answer: api.NewAnswer(code.PatchUnknown, "the log has not answered in time")}
}

func (m patchReceived) handle(c *control) {
	switch {
	case c.stopping || c.e.appender.Down():
		m.reply <- api.PatchAnswer{Answer: retryLater(code.LogDown, "the log takes no records", retryAfterLog)}
		return
	case !c.joined:
		m.reply <- api.PatchAnswer{Answer: retryLater(code.LogDown, notJoined, retryAfterLog)}
		return
	}
	r := c.newRecord()
	r.Publish = &ledger.Publish{KeyName: m.keyName, Bootstrap: m.bootstrap, Patch: m.patch}
	c.submit(r, true, func(offset int64, result ledger.ApplyResult) {
		c.patchApplied(m, r.ID, offset, result)
	})
}

func (c *control) patchApplied(m patchReceived, record string, offset int64, result ledger.ApplyResult) {
	if result.Code != code.OK {
		a := api.PatchAnswer{Answer: acceptAnswer(result), Number: c.state.Number, RecordID: record}
		if result.Code == code.AcceptUnknown {
			a.Answer = api.NewAnswer(code.PatchUnknown, result.Detail)
		}
		m.reply <- a
		return
	}
	c.publishWaiters = append(c.publishWaiters, &publishWaiter{
		offset: offset, number: result.Number, until: time.Now().Add(confirmTimeout), record: record, reply: m.reply,
	})
}

// answerPublishWaiters answers the publish calls whose version is applied
// everywhere or whose wait time is over.
func (c *control) answerPublishWaiters(now time.Time) {
	kept := c.publishWaiters[:0]
	for _, w := range c.publishWaiters {
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
	clear(c.publishWaiters[len(kept):])
	c.publishWaiters = kept
}

// unconfirmed returns the incarnations that may start work and are not known to
// have applied the record at offset.
func (c *control) unconfirmed(offset int64) []string {
	applied := map[string]int64{}
	for _, p := range c.peers {
		applied[p.view.Incarnation] = p.view.Next
	}
	var missing []string
	for _, incarnation := range c.state.PossibleStarters() {
		next := applied[incarnation]
		if m := c.state.Members[incarnation]; m != nil {
			next = max(next, m.Applied)
		}
		if incarnation != c.incarnation && next <= offset {
			missing = append(missing, incarnation)
		}
	}
	return missing
}

// Unconfirmed returns the incarnations that may start work and have not
// confirmed the active version.
func (e *Entry) Unconfirmed() []string {
	m := unconfirmedRequest{make(chan []string, 1)}
	e.post(m)
	select {
	case list := <-m.reply:
		return list
	case <-e.done:
		return nil
	}
}

func (m unconfirmedRequest) handle(c *control) {
	missing := c.unconfirmed(c.versionOffset)
	if len(missing) == 0 {
		m.reply <- nil
		return
	}
	now := time.Now()
	c.confirmWaiters = append(c.confirmWaiters, &confirmWaiter{now, m.reply})
	c.sendExchangesTo(now, func(p *peerView) bool { return slices.Contains(missing, p.view.Incarnation) })
}

// answerConfirmWaiters answers the calls to Unconfirmed for which every
// unconfirmed VM has either replied or timed out.
func (c *control) answerConfirmWaiters(now time.Time) {
	if len(c.confirmWaiters) == 0 {
		return
	}
	missing := c.unconfirmed(c.versionOffset)
	kept := c.confirmWaiters[:0]
	for _, w := range c.confirmWaiters {
		if now.Sub(w.askedAt) < peerTimeout && c.awaitingReply(missing, w.askedAt) {
			kept = append(kept, w)
			continue
		}
		w.reply <- missing
	}
	clear(c.confirmWaiters[len(kept):])
	c.confirmWaiters = kept
}

// awaitingReply reports whether one of the incarnations has not answered a
// heartbeat sent at or after the given time.
func (c *control) awaitingReply(incarnations []string, at time.Time) bool {
	for _, p := range c.peers {
		if slices.Contains(incarnations, p.view.Incarnation) && p.ackedSentAt.Before(at) {
			return true
		}
	}
	return false
}

// History returns the configuration versions from a number on, oldest first.
func (e *Entry) History(from int64) []config.Version {
	m := historyRequest{from, make(chan []config.Version, 1)}
	e.post(m)
	select {
	case list := <-m.reply:
		return list
	case <-e.done:
		return nil
	}
}

func (m historyRequest) handle(c *control) {
	var list []config.Version
	for _, v := range c.state.History {
		if v.Number >= m.from {
			list = append(list, v)
		}
	}
	m.reply <- list
}

// Cell returns the state of the cell as known to this VM.
func (e *Entry) Cell() api.CellAnswer {
	m := cellRequest{make(chan api.CellAnswer, 1)}
	e.post(m)
	select {
	case a := <-m.reply:
		return a
	case <-e.done:
		return api.CellAnswer{Answer: api.NewAnswer(code.NotReady, errStopped.Error())}
	}
}

func (m cellRequest) handle(c *control) {
	a := api.CellAnswer{
		Answer: api.NewAnswer(code.OK, ""), Entry: c.opt.EntryID, Incarnation: c.incarnation,
		Ready: c.ready(), Version: c.state.Number, Applied: c.state.Next,
	}
	a.Truth = api.NoWork
	for _, id := range c.state.WorkerIDs() {
		w := c.state.Workers[id]
		a.Workers = append(a.Workers, api.WorkerAnswer{
			ID: id, Home: w.Home, Boot: w.Boot, Capacity: w.Capacity,
			DataCentre: w.DataCentre, Evacuated: c.state.Document.IsEvacuated(w.DataCentre),
			Durable: c.state.Load(id), Lookups: allocationSum(w),
		})
	}
	for _, name := range c.state.Document.TeamNames() {
		t := c.state.Document.Teams[name]
		a.Teams = append(a.Teams, api.TeamAnswer{
			Name: name, Share: t.Share, Limit: t.Limit, Usage: c.state.Usage(name), Waiting: c.state.WaitingCount(name),
		})
	}
	now := time.Now()
	for _, incarnation := range c.state.LiveMembers() {
		member := c.state.Members[incarnation]
		a.Members = append(a.Members, api.MemberAnswer{
			EntryID: member.EntryID, Incarnation: incarnation, DataCentre: member.DataCentre,
			Heard: incarnation == c.incarnation || now.Sub(c.lastHeard[incarnation]) < peerTimeout,
		})
	}
	m.reply <- a
}

func allocationSum(w *ledger.Worker) resource.Vector {
	var sum resource.Vector
	for _, v := range w.Allocations {
		sum = sum.Add(v)
	}
	return sum
}
