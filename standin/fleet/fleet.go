package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// Fleet holds all workers of a deployment and records violations of the
	// scheduler's invariants.
	Fleet struct {
		mu         sync.Mutex
		began      time.Time
		workers    map[string]*Worker
		outcome    func(t site.TaskID, run int64, worker string) (time.Duration, site.EndKind)
		size       func(t site.TaskID) (resource.Vector, int)
		violations []string
		// done holds the tasks whose successful end was acknowledged.
		done   map[site.TaskID]bool
		starts map[site.TaskID]int
		// startedAt is when the newest run of a task started.
		startedAt map[site.TaskID]time.Time
		// crashes counts the workers that crashed because of a task, crashesInCompany
		// those of them on which other jobs ran, startsAfter the starts since maxCrashes.
		crashes          map[site.TaskID]int
		startsAfter      map[site.TaskID]int
		crashesInCompany map[site.TaskID]int
		// keepIDs is set if a worker that has crashed returns under its id.
		keepIDs bool
		// registry is nil if the list shows each change at once.
		registry *registry
		// shrinkNotice is how long starts may still rely on a capacity that has shrunk.
		shrinkNotice time.Duration
		// silentCrashes is set if calls to a worker that has crashed get no answer.
		// Otherwise their connections are refused.
		silentCrashes bool
		// needsTickets is set if workers refuse starts without a ticket.
		needsTickets bool
		// checksTickets is set if workers refuse starts without a ticket that holds.
		checksTickets bool
		// maxLease is the longest lease that a worker grants.
		maxLease    time.Duration
		clockOrigin ClockOrigin
		// gangTimeout is how long a member of a gang waits for the others.
		gangTimeout time.Duration
		// lasts reports whether a task has to start again however it ends; nil if none has.
		lasts func(t site.TaskID) bool
		// onStart is called when a run starts; nil for nobody.
		onStart func(s Start)
		// leader is the sender of the newest token.
		leader      string
		leaderToken int64
	}

	// Start is the start of a run.
	Start struct {
		Task   site.TaskID
		Run    int64
		Worker string
		// Sender is the entry VM whose request it was, see WithSender. Late is set if the
		// worker has executed the request after a delay.
		Sender string
		Late   bool
		// Running are all tasks that run by now, once for each run.
		Running []site.TaskID
	}

	senderKey struct{}
)

// NewFleet returns a fleet. The function outcome returns how long a run takes
// and how it ends. The function size returns the resources of a task and the
// number of members of its gang, or 0 if it is not part of one.
func NewFleet(
	outcome func(t site.TaskID, run int64, worker string) (time.Duration, site.EndKind),
	size func(t site.TaskID) (resource.Vector, int),
) *Fleet {
	return &Fleet{
		began: time.Now(), workers: map[string]*Worker{}, outcome: outcome, size: size,
		done: map[site.TaskID]bool{}, starts: map[site.TaskID]int{}, startedAt: map[site.TaskID]time.Time{},
		crashes: map[site.TaskID]int{}, startsAfter: map[site.TaskID]int{}, crashesInCompany: map[site.TaskID]int{},
		shrinkNotice: defaultShrinkNotice, maxLease: defaultMaxLease, gangTimeout: defaultGangTimeout,
		clockOrigin: descendingOrigin,
	}
}

// SetMaxLease sets the longest lease that a worker grants.
func (f *Fleet) SetMaxLease(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLease = d
}

// SetGangTimeout sets how long a member of a gang waits for the others.
func (f *Fleet) SetGangTimeout(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gangTimeout = d
}

// RequireTickets makes the workers refuse starts without a ticket.
func (f *Fleet) RequireTickets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needsTickets = true
}

// CheckTickets makes the workers refuse starts without a ticket that holds.
func (f *Fleet) CheckTickets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checksTickets = true
}

// refusesTicket reports whether the worker refuses a start because of its ticket.
func (w *Worker) refusesTicket(req *site.StartRequest) bool {
	if w.fleet.checksTickets {
		return !ticketHolds(req.Ticket, req.Task.Job, req.Task.Step, w.upstream.ID, w.upstream.Boot)
	}
	return w.fleet.needsTickets && req.Ticket == ""
}

// SetLasting sets which tasks have to start again however they end.
func (f *Fleet) SetLasting(lasts func(t site.TaskID) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lasts = lasts
}

// WithSender returns a context for calls of workers by an entry VM.
func WithSender(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, senderKey{}, name)
}

func senderOf(ctx context.Context) string {
	name, _ := ctx.Value(senderKey{}).(string)
	return name
}

// OnStart makes the fleet call fn when a run starts. The fleet is locked meanwhile.
func (f *Fleet) OnStart(fn func(s Start)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStart = fn
}

// Leader returns the entry VM that has sent the newest token.
func (f *Fleet) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// Running returns the tasks that run on workers that are up, once for each run.
func (f *Fleet) Running() []site.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running()
}

func (f *Fleet) running() []site.TaskID {
	var list []site.TaskID
	for _, w := range f.workers {
		for t := range w.runs {
			list = append(list, t)
		}
	}
	return list
}

// Add adds a worker.
func (f *Fleet) Add(id, service string, capacity resource.Vector) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.add(id, service, capacity)
}

func (f *Fleet) add(id, service string, capacity resource.Vector) *Worker {
	w := &Worker{fleet: f, listed: true, upstream: site.Upstream{
		ID: id, Service: service, Capacity: capacity, Labels: []string{"a", "r1-1"}, Rack: "r1-1",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+len(f.workers))),
	}}
	w.restart()
	f.workers[id] = w
	return w
}

// Next returns the list of workers. Without Register it is always current.
func (f *Fleet) Next(ctx context.Context) (*site.UpstreamList, error) {
	f.mu.Lock()
	if r := f.registry; r != nil {
		f.mu.Unlock()
		return r.list(ctx, f)
	}
	defer f.mu.Unlock()
	now := time.Now()
	list := []site.Upstream{}
	for _, w := range f.workers {
		if w.listed {
			u := w.upstream
			u.Clock = w.clock(now)
			list = append(list, u)
		}
	}
	return &site.UpstreamList{Upstreams: list}, nil
}

// Worker returns the worker with the given id.
func (f *Fleet) Worker(id string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// Violations returns the invariant violations so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns the number of runs of a task that were started.
func (f *Fleet) Starts(t site.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[t]
}

// StartedAt returns when the newest run of a task started.
func (f *Fleet) StartedAt(t site.TaskID) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedAt[t]
}

// Started returns the ids of the jobs of which any task was started.
func (f *Fleet) Started() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := map[string]bool{}
	for t := range f.starts {
		ids[t.Job] = true
	}
	return ids
}

// Run ends runs and expires leases until ctx is done.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		now := time.Now()
		f.startCompleteGangs(now)
		for _, w := range f.workers {
			w.tick(now)
		}
		f.mu.Unlock()
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
		}
	}
}

// startCompleteGangs starts the work of gangs of which all members are present.
func (f *Fleet) startCompleteGangs(now time.Time) {
	members := map[string][]*taskRun{}
	gangSizes := map[string]int{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if _, n := f.size(r.task); n > 0 && r.endAt.IsZero() {
				key := fmt.Sprintf("%s.%d.%d", r.task.Job, r.task.Step, r.number)
				members[key] = append(members[key], r)
				gangSizes[key] = n
			}
		}
	}
	for key, list := range members {
		if len(list) < gangSizes[key] {
			continue
		}
		longest := time.Duration(0)
		for _, r := range list {
			longest = max(longest, r.duration)
		}
		for _, r := range list {
			r.workDoneAt = now.Add(r.duration)
			r.endAt = now.Add(longest)
			if r.endKind == site.Crashed {
				r.endAt = r.workDoneAt
			}
		}
	}
}

// breakGang ends the other members of the gang of a run.
func (f *Fleet) breakGang(of *taskRun) {
	for _, w := range f.workers {
		for _, r := range w.sortedRuns() {
			if r.task.Job == of.task.Job && r.task.Step == of.task.Step && r.number == of.number {
				w.end(r, site.GangBroken)
			}
		}
	}
}

// acknowledge records the acknowledgement of a successful end. No run of the
// task may have started after that end, unless it lasts.
func (f *Fleet) acknowledge(e *endedRun) {
	if e.Kind != site.Done || e.lapsed || f.lasts != nil && f.lasts(e.Task) {
		return
	}
	f.done[e.Task] = true
	if f.startedAt[e.Task].After(e.at) {
		f.violations = append(f.violations, fmt.Sprintf("%v run %d was acknowledged as done, but a later run started after its end", e.Task, e.Run))
	}
}
