package ledger

import (
	"fmt"
	"sort"

	"pollendock.example/cell/code"
	"pollendock.example/cell/resource"
)

func ok(job string) ApplyResult {
	return ApplyResult{Code: code.OK, Job: job}
}

func refuse(c code.Code, format string, args ...any) ApplyResult {
	return ApplyResult{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// join adds an incarnation. It retires earlier incarnations of the same VM,
// because a VM runs a single entry process.
func (s *State) join(r *Record) ApplyResult {
	if _, known := s.Members[r.By]; known {
		return ApplyResult{Code: code.OK, Repeat: true}
	}
	s.advance(r.At)
	for id, m := range s.Members {
		if m.EntryID == r.Join.EntryID && !m.Retired {
			s.retire(id)
		}
	}
	s.pruneMembers()
	s.Members[r.By] = &Member{Join: *r.Join, Seq: r.Seq}
	return ok("")
}

func (s *State) retire(id string) {
	m := s.Members[id]
	m.Retired = true
	m.RetiredAt = s.Clock
}

// retireSilent retires an incarnation on behalf of another one. It is refused if
// the incarnation has appended records that the appender had not seen, so that a
// delayed record never retires a live incarnation.
func (s *State) retireSilent(r *Retire) ApplyResult {
	m := s.Members[r.Incarnation]
	if m == nil || m.Retired {
		return ok("")
	}
	if m.Seq != r.LastSeq {
		return refuse(code.StaleBase, "incarnation %s has appended since", r.Incarnation)
	}
	s.retire(r.Incarnation)
	return ok("")
}

// pruneMembers removes members that were retired longer than memberRetention ago
// and are not the home of any worker.
func (s *State) pruneMembers() {
	homes := map[string]bool{}
	for _, w := range s.Workers {
		homes[w.Home] = true
	}
	for id, m := range s.Members {
		if m.Retired && !homes[id] && s.Clock.Sub(m.RetiredAt) > memberRetention {
			delete(s.Members, id)
		}
	}
}

// Live reports whether the incarnation has joined and is not retired.
func (s *State) Live(id string) bool {
	m := s.Members[id]
	return m != nil && !m.Retired
}

// LiveMembers returns the live incarnations, sorted.
func (s *State) LiveMembers() []string {
	ids := make([]string, 0, len(s.Members))
	for id, m := range s.Members {
		if !m.Retired {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// KnowsDataCentre reports whether a worker or a live incarnation is in the data centre.
func (s *State) KnowsDataCentre(name string) bool {
	for _, w := range s.Workers {
		if w.DataCentre == name {
			return true
		}
	}
	for _, m := range s.Members {
		if !m.Retired && m.DataCentre == name {
			return true
		}
	}
	return false
}

// PossibleStarters returns the incarnations that may still start a task, sorted:
// the live ones, and retired ones that are the recorded home of a worker.
func (s *State) PossibleStarters() []string {
	starters := map[string]bool{}
	for _, id := range s.LiveMembers() {
		starters[id] = true
	}
	for _, w := range s.Workers {
		starters[w.Home] = true
	}
	ids := make([]string, 0, len(starters))
	for id := range starters {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// home records the claim of a worker. A record of an older claim of the same boot
// is refused, because the worker no longer accepts that claim.
func (s *State) home(offset int64, r *Record) ApplyResult {
	h := r.Home
	w := s.Workers[h.Worker]
	if w == nil {
		w = &Worker{Allocations: map[string]resource.Vector{}}
		s.Workers[h.Worker] = w
	}
	if w.Boot == h.Boot && h.Epoch <= w.Epoch {
		return refuse(code.StaleBase, "worker %s has a newer claim", h.Worker)
	}
	rebooted := w.Boot != "" && w.Boot != h.Boot
	w.Home = r.By
	w.HomeSince = offset
	w.Boot = h.Boot
	w.Epoch = h.Epoch
	w.Capacity = h.Capacity
	w.DataCentre = h.DataCentre
	w.Rack = h.Rack
	if rebooted {
		s.settleAllCrashed(h.Worker)
	}
	return ok("")
}

// allocate changes the part of a team's limit that is allocated to lookups on a
// worker.
func (s *State) allocate(r *Record) ApplyResult {
	a := r.Allocation
	w := s.Workers[a.Worker]
	if w == nil || w.Home != r.By {
		return refuse(code.StaleBase, "worker %s has another home", a.Worker)
	}
	current := w.Allocations[a.Team]
	delta := a.Delta.Scale(-1).Min(current).Scale(-1)
	if !a.Decrease {
		delta = a.Delta.Min(s.Unused(a.Team)).Max(resource.Vector{})
	}
	s.addUsage(a.Team, delta)
	w.Allocations[a.Team] = current.Add(delta)
	if w.Allocations[a.Team].IsZero() {
		delete(w.Allocations, a.Team)
	}
	return ApplyResult{Code: code.OK, Granted: delta}
}

// lost settles all attempts on a worker that can no longer run any. The worker
// stays in the state without a home, and a claim of a later boot starts afresh.
func (s *State) lost(l *Lost) ApplyResult {
	w := s.Workers[l.Worker]
	if w == nil || w.Boot != l.Boot || w.Home != l.Home {
		return refuse(code.StaleBase, "worker %s was claimed since", l.Worker)
	}
	s.settleAllCrashed(l.Worker)
	for team, allocated := range w.Allocations {
		s.addUsage(team, allocated.Scale(-1))
	}
	w.Allocations = map[string]resource.Vector{}
	w.Home = ""
	return ok("")
}
