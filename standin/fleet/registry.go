package fleet

import (
	"context"
	"reflect"
	"time"

	"pollendock.example/cell/site"
)

// registry is the store in which workers register themselves.
type registry struct {
	store *Store
	// heartbeat is the interval between two heartbeats of a worker.
	heartbeat time.Duration
	// changesOnly is set if a worker does not rewrite its entry when only its clock has
	// changed.
	changesOnly bool
	// omitClocks is set if entries do not tell the clock.
	omitClocks bool
}

// Register makes the workers register themselves in the store with each heartbeat, and Next
// return what they wrote there last. Without Register the list shows each change at once.
func (f *Fleet) Register(store *Store, heartbeat time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry = &registry{store: store, heartbeat: heartbeat}
}

// WriteChangesOnly makes heartbeats rewrite an entry only if more than the clock has changed.
func (f *Fleet) WriteChangesOnly() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.changesOnly = true
}

// SetShrinkNotice sets how long starts may rely on a capacity that has shrunk.
func (f *Fleet) SetShrinkNotice(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shrinkNotice = d
}

// OmitClocks makes entries not tell the clocks of their workers.
func (f *Fleet) OmitClocks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.omitClocks = true
}

// SetHeartbeat sets the time of the worker's next heartbeat.
func (w *Worker) SetHeartbeat(at time.Time) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.heartbeatAt = at
}

// SetCutFromStore makes the worker's heartbeats get lost, or stop being lost. Its entry stays.
func (w *Worker) SetCutFromStore(cut bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.cutFromStore = cut
}

// DropEntries removes the entries of all workers, as the store does after some missing
// heartbeats. Each is back with the worker's next heartbeat.
func (f *Fleet) DropEntries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.entry = nil
	}
}

// sendHeartbeat writes the worker's entry if it is due. A heartbeat that the store does not accept
// is lost.
func (w *Worker) sendHeartbeat(now time.Time) {
	r := w.fleet.registry
	if r == nil || now.Before(w.heartbeatAt) {
		return
	}
	if w.heartbeatAt.IsZero() {
		w.heartbeatAt = now
	}
	w.heartbeatAt = w.heartbeatAt.Add(r.heartbeat)
	if w.cutFromStore || !r.store.accepts() {
		return
	}
	entry := w.upstream
	if r.changesOnly && w.entry != nil {
		entry.Clock = w.entry.Clock
		if reflect.DeepEqual(&entry, w.entry) {
			return
		}
	}
	if !r.omitClocks {
		entry.Clock = w.clock(now)
	}
	w.entry = &entry
}

// list reads the entries of the workers that are listed.
func (r *registry) list(ctx context.Context, f *Fleet) (*site.UpstreamList, error) {
	if err := r.store.available(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	list := []site.Upstream{}
	for _, w := range f.workers {
		if w.listed && w.entry != nil {
			list = append(list, *w.entry)
		}
	}
	f.mu.Unlock()
	return &site.UpstreamList{Upstreams: list}, r.store.delayResponse(ctx, nil)
}

// accepts reports whether the store accepts writes.
func (s *Store) accepts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent && !s.unavailable
}
