package ledger

import (
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// State is the replicated state after a prefix of the log.
	State struct {
		// Next is the offset of the first record not yet applied.
		Next int64 `json:"next"`
		// Clock is the greatest time stamp applied.
		Clock time.Time `json:"clock"`
		// SnapshotAt is the Through of the newest complete snapshot.
		SnapshotAt int64 `json:"snapshotAt"`
		// SnapshotClock is the time stamp of the last part of that snapshot.
		SnapshotClock time.Time `json:"snapshotClock"`

		// Document is the current configuration.
		Document *config.Document `json:"document"`
		// History holds the last MaxHistory versions, oldest first.
		History []config.Version `json:"history"`
		// Number is the version number of Document.
		Number int64 `json:"number"`

		Members map[string]*Member `json:"members"`
		Workers map[string]*Worker `json:"workers"`
		Jobs    map[string]*Job    `json:"jobs"`

		jobByKey        map[string]string
		usage           map[string]resource.Vector
		teamQueue       map[string]*teamQueue
		tasksOnWorker   map[string]map[TaskRef]bool
		load            map[string]resource.Vector
		ended           []string
		queuedGangTasks int64
	}

	// Member is an incarnation of an entry VM.
	Member struct {
		Join
		// Seq is the Seq of its last applied record.
		Seq int64 `json:"seq"`
		// Applied is the offset up to which it has applied the log, by its last
		// heartbeat.
		Applied int64 `json:"applied"`
		// Retired is set by Leave, by Retire and by a later Join of the same VM.
		Retired bool `json:"retired"`
		// Left is set by Leave, that is, after a graceful shutdown.
		Left bool `json:"left,omitempty"`
		// RetiredAt is the Clock when Retired was set.
		RetiredAt time.Time `json:"retiredAt,omitzero"`
	}

	// Worker is an upstream that an entry VM has claimed.
	Worker struct {
		// Home is the incarnation with the newest recorded claim of the worker;
		// empty after Lost.
		Home string `json:"home"`
		// HomeSince is the offset of that record.
		HomeSince  int64           `json:"homeSince"`
		Boot       string          `json:"boot"`
		Epoch      int64           `json:"epoch"`
		Capacity   resource.Vector `json:"capacity"`
		DataCentre string          `json:"dataCentre"`
		Rack       string          `json:"rack"`
		// Allocations holds, by team, the part of the team's limit that is
		// allocated to lookups on the worker.
		Allocations map[string]resource.Vector `json:"ceilings"`
	}

	// ApplyResult is the result of applying one record.
	ApplyResult struct {
		// Code is OK if the record took effect or is a repeat.
		Code code.Code
		// Detail is a human-readable explanation.
		Detail string
		// Job is the id of the job that the record concerns.
		Job string
		// Number is the configuration version, for Publish.
		Number int64
		// Granted is the change that an Allocation made, negative for a decrease.
		Granted resource.Vector
		// Repeat is set if the record, or an equivalent one, was applied before.
		Repeat bool
	}
)

const (
	// OutcomeRetention is how long outcomes and idempotency keys are kept.
	OutcomeRetention = 24 * time.Hour
	// MaxHistory is the maximum number of versions in History.
	MaxHistory = 2000
	// memberRetention is how long a retired member is kept, so that its delayed
	// records are recognized and ignored.
	memberRetention = time.Hour
)

// New returns the state of an empty log.
func New() *State {
	s := &State{
		Document: config.Empty(),
		Members:  map[string]*Member{},
		Workers:  map[string]*Worker{},
		Jobs:     map[string]*Job{},
	}
	s.index()
	return s
}

// Apply applies the record at offset. Records must be passed in log order;
// offsets that were applied before are ignored.
func (s *State) Apply(offset int64, r *Record) ApplyResult {
	if offset < s.Next {
		return ApplyResult{Code: code.OK, Repeat: true}
	}
	s.Next = offset + 1
	if r.Snapshot != nil {
		s.recordSnapshot(r)
		return ok("")
	}
	if r.Join != nil {
		return s.join(r)
	}
	m := s.Members[r.By]
	if m == nil || m.Retired {
		return refuse(code.NotReady, "incarnation %s is retired", r.By)
	}
	if r.Seq <= m.Seq {
		return ApplyResult{Code: code.OK, Repeat: true}
	}
	m.Seq = r.Seq
	s.advance(r.At)
	return s.applyRecord(offset, r)
}

func (s *State) applyRecord(offset int64, r *Record) ApplyResult {
	switch {
	case r.Heartbeat != nil:
		s.Members[r.By].Applied = r.Heartbeat.Next
		return ok("")
	case r.Leave != nil:
		s.retire(r.By)
		s.Members[r.By].Left = true
		return ok("")
	case r.Retire != nil:
		return s.retireSilent(r.Retire)
	case r.Publish != nil:
		return s.publish(r)
	case r.Home != nil:
		return s.home(offset, r)
	case r.Allocation != nil:
		return s.allocate(r)
	case r.Lost != nil:
		return s.lost(r.Lost)
	case r.Accept != nil:
		return s.accept(offset, r)
	case r.Dispatch != nil:
		return s.dispatch(offset, r)
	case r.Settle != nil:
		return s.settle(r)
	case r.Cancel != nil:
		return s.cancel(r.Cancel)
	}
	return refuse(code.Internal, "empty record %s", r.ID)
}

// advance moves the clock forward and removes jobs past their retention.
func (s *State) advance(at time.Time) {
	if at.After(s.Clock) {
		s.Clock = at
	}
	s.purgeJobs()
}

func (s *State) recordSnapshot(r *Record) {
	last := r.Snapshot.Part == r.Snapshot.Parts-1
	if last && r.Snapshot.Through >= s.SnapshotAt {
		s.SnapshotAt = r.Snapshot.Through
		s.SnapshotClock = r.At
	}
}

// publish applies the patch as the next version. It is refused unless its base
// is the current version.
func (s *State) publish(r *Record) ApplyResult {
	p := r.Publish
	if p.Patch.Base != s.Number {
		return refuse(code.StaleBase, "the patch is against version %d, the current one is %d", p.Patch.Base, s.Number)
	}
	if !s.mayPublish(p) {
		return refuse(code.Forbidden, "operator key %q is not granted", p.KeyName)
	}
	next, err := p.Patch.Apply(s.Document)
	if err != nil {
		return refuse(code.BadPatch, "%v", err)
	}
	for _, name := range next.EvacuatedSince(s.Document) {
		if !s.KnowsDataCentre(name) {
			return refuse(code.NoDataCentre, "there is neither a worker nor an entry VM in data centre %q", name)
		}
	}
	s.Document = next
	s.Number++
	s.History = append(s.History, config.Version{
		Number: s.Number, KeyName: p.KeyName, At: r.At, RecordID: r.ID, Patch: p.Patch,
	})
	if len(s.History) > MaxHistory {
		s.History = s.History[len(s.History)-MaxHistory:]
	}
	s.sortQueues()
	s.stopOverLimit()
	return ApplyResult{Code: code.OK, Number: s.Number}
}

func (s *State) mayPublish(p *Publish) bool {
	if p.Bootstrap {
		return s.Number == 0
	}
	_, granted := s.Document.Operators[p.KeyName]
	return granted
}

// Usage returns the part of the team's limit that is in use: the sizes of its
// dispatched durable tasks and its allocations for lookups.
func (s *State) Usage(team string) resource.Vector {
	return s.usage[team]
}

// Unused returns the unused part of the team's limit. Components are negative
// after the limit was lowered below the usage.
func (s *State) Unused(team string) resource.Vector {
	return s.Document.Teams[team].Limit.Sub(s.usage[team])
}

// Load returns the total size of the durable tasks on a worker.
func (s *State) Load(worker string) resource.Vector {
	return s.load[worker]
}

func (s *State) addUsage(team string, v resource.Vector) {
	s.usage[team] = s.usage[team].Add(v)
}

// index rebuilds the unexported fields from the exported ones.
func (s *State) index() {
	s.jobByKey = map[string]string{}
	s.usage = map[string]resource.Vector{}
	s.teamQueue = map[string]*teamQueue{}
	s.tasksOnWorker = map[string]map[TaskRef]bool{}
	s.load = map[string]resource.Vector{}
	s.ended = nil
	s.queuedGangTasks = 0
	for _, w := range s.Workers {
		for team, allocated := range w.Allocations {
			s.addUsage(team, allocated)
		}
	}
	s.indexJobs()
}
