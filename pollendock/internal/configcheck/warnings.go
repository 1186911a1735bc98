package configcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// rule is a check of a valid configuration. The rules are documented in
	// docs/CONFIG.md.
	rule struct {
		code int
		name string
	}

	// component is one kind of resource of a vector.
	component struct {
		name  string
		value func(resource.Vector) int64
	}

	// warner collects warnings about a document.
	warner struct {
		next     *config.Document
		cell     *Cell
		findings []Finding
	}
)

// limitPerReserve is the least ratio of a team's limit to its reserve on all
// workers. Below it, entry VMs keep no reserve.
const limitPerReserve = 4

var (
	teamWithoutKeys   = rule{4101, "teamWithoutKeys"}
	noTaskFits        = rule{4102, "noTaskFits"}
	nothingQueues     = rule{4103, "nothingQueues"}
	policyUnused      = rule{4104, "policyUnused"}
	fieldUnused       = rule{4105, "fieldUnused"}
	reserveNeverKept  = rule{4106, "reserveNeverKept"}
	limitAboveCell    = rule{4107, "limitAboveCell"}
	shareBelowOneSlot = rule{4108, "shareBelowOneSlot"}
	removesNothing    = rule{4109, "removesNothing"}
	changesNothing    = rule{4110, "changesNothing"}

	rules = []rule{
		teamWithoutKeys, noTaskFits, nothingQueues, policyUnused, fieldUnused,
		reserveNeverKept, limitAboveCell, shareBelowOneSlot, removesNothing, changesNothing,
	}

	// components are in the order of the document.
	components = []component{
		{"milliCpu", func(v resource.Vector) int64 { return v.MilliCPU }},
		{"memoryMb", func(v resource.Vector) int64 { return v.MemoryMB }},
		{"accelerators", func(v resource.Vector) int64 { return v.Accelerators }},
		{"slots", func(v resource.Vector) int64 { return v.Slots }},
	}
	smallestTask = resource.Vector{MilliCPU: 1, MemoryMB: 1, Slots: 1}
)

// warnings returns the findings in a valid document.
func (p *Proposal) warnings(base json.RawMessage, next *config.Document, changes []Change) []Finding {
	w := &warner{next: next, cell: p.Cell}
	for _, name := range next.TeamNames() {
		w.checkTeam("teams."+name, next.Teams[name])
	}
	for _, kind := range slices.Sorted(maps.Keys(next.Policies)) {
		w.checkPolicy(kind, next.Policies[kind])
	}
	if !p.Whole {
		w.checkRemovals("", base, p.Content)
	}
	if len(changes) == 0 {
		w.add(changesNothing, documentPath, "the document is the same as the base")
	}
	return w.findings
}

func (w *warner) add(r rule, path, format string, args ...any) {
	w.findings = append(w.findings, Finding{Warning, r.code, r.name, path, fmt.Sprintf(format, args...)})
}

func (w *warner) checkTeam(path string, t config.Team) {
	if len(t.Keys) == 0 {
		w.add(teamWithoutKeys, path+".keys", "no caller can send work for the team")
	}
	w.checkQueue(path, t)
	if !smallestTask.Fits(t.Limit) {
		w.add(noTaskFits, path+".limit", "%s is below the smallest task, %s: all work is refused with 5001", t.Limit, smallestTask)
		return
	}
	w.checkReserve(path, t)
	if w.cell == nil || w.cell.Workers == 0 {
		return
	}
	w.checkLimitInCell(path, t)
	w.checkShareInCell(path, t)
}

// checkQueue covers limits of the queue that refuse all durable work, or all that
// has a payload.
func (w *warner) checkQueue(path string, t config.Team) {
	switch {
	case t.QueueCount == 0 && t.QueueBytes > 0:
		w.add(nothingQueues, path+".queueCount", "0 refuses all work but lookups with 5004, whatever queueBytes is")
	case t.QueueCount == 0:
		w.add(nothingQueues, path+".queueCount", "0 refuses all work but lookups with 5004")
	case t.QueueBytes == 0:
		w.add(nothingQueues, path+".queueBytes", "0 refuses all payloads but those of lookups with 5004, whatever queueCount is")
	}
}

// checkReserve covers a limit that is too low for the reserve of the policy for
// lookups, if the document has one. Without a cell it takes the smallest one,
// with a single entry VM and worker.
func (w *warner) checkReserve(path string, t config.Team) {
	tasks := w.next.Policies[config.Lookup].ReserveTasks
	reserve := tasks
	if w.cell != nil && w.cell.Workers > 0 {
		perVM := ceilDiv(w.cell.Workers, max(w.cell.EntryVMs, 1))
		reserve = ceilDiv(tasks, perVM) * w.cell.Workers
	}
	if limitPerReserve*reserve > t.Limit.Slots {
		w.add(reserveNeverKept, path+".limit.slots", "%d is below %d times the reserve of policies.lookup, which takes %d slots or more: the team gets none",
			t.Limit.Slots, limitPerReserve, reserve)
	}
}

func (w *warner) checkLimitInCell(path string, t config.Team) {
	for _, c := range components {
		limit, capacity := c.value(t.Limit), c.value(w.cell.Capacity)
		if limit > capacity {
			w.add(limitAboveCell, path+".limit."+c.name, "%d is more than the %d of all workers", limit, capacity)
		}
	}
}

// checkShareInCell covers a share that comes to less than one task when the cell
// is full.
func (w *warner) checkShareInCell(path string, t config.Team) {
	sum := int64(0)
	for _, other := range w.next.Teams {
		sum += other.Share
	}
	slots := w.cell.Capacity.Slots
	if t.Share*slots < sum {
		w.add(shareBelowOneSlot, path+".share", "%d of %d is less than one of the cell's %d slots", t.Share, sum, slots)
	}
}

func (w *warner) checkPolicy(kind config.Kind, p config.Policy) {
	path := "policies." + string(kind)
	if !w.anyTeamSends(kind) {
		w.add(policyUnused, path, "no team can send work of this kind")
	}
	if kind != config.Lookup && p.ReserveTasks != 0 {
		w.add(fieldUnused, path+".reserveTasks", "applies to lookups only")
	}
	if kind == config.Lookup && p.Rank != 0 {
		w.add(fieldUnused, path+".rank", "lookups do not wait in the queue that ranks order")
	}
}

// anyTeamSends reports whether the keys and limits of any team allow work of the
// kind.
func (w *warner) anyTeamSends(kind config.Kind) bool {
	for _, t := range w.next.Teams {
		queues := kind == config.Lookup || t.QueueCount > 0
		if len(t.Keys) > 0 && queues && smallestTask.Fits(t.Limit) {
			return true
		}
	}
	return false
}

// checkRemovals covers fields that the patch sets to null and that the base does
// not have, for example because of a typing error.
func (w *warner) checkRemovals(path string, base, merge json.RawMessage) {
	var fields, baseFields map[string]json.RawMessage
	if json.Unmarshal(merge, &fields) != nil {
		return
	}
	// A base that is no object has no fields.
	_ = json.Unmarshal(base, &baseFields)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fieldPath := name
		if path != "" {
			fieldPath = path + "." + name
		}
		old, known := baseFields[name]
		if string(fields[name]) == "null" && !known {
			w.add(removesNothing, fieldPath, "null removes a field that the base does not have")
			continue
		}
		w.checkRemovals(fieldPath, old, fields[name])
	}
}

func ceilDiv(a, b int64) int64 {
	return (a + b - 1) / b
}
