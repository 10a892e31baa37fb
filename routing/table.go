package routing

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"buckthornridge/config"
	"buckthornridge/membership"
	"buckthornridge/upstream"
)

type counter = atomic.Uint64

// Table holds a router's current state of every upstream. All methods are safe for
// concurrent use; reading it takes no lock.
type Table struct {
	start            time.Time
	current          atomic.Pointer[set]
	mu               sync.Mutex // held while a new set is built
	index            *PrefixIndex
	onCapacityChange atomic.Pointer[func(Target)]
	routers          atomic.Int64
	borrowing        atomic.Bool
	// onDispatch is called for prompts that other routers should know of.
	onDispatch atomic.Pointer[func(DispatchNotice, time.Duration)]
	// onReplaced is called for upstreams that other routers should not try.
	onReplaced   atomic.Pointer[func(id string)]
	onSlow       atomic.Pointer[func(SpeedNotice)]
	prefillCosts sync.Map // of *prefillCostModel, by Target
	streamCounts sync.Map // of *streamCount, by Target
	fetchModels  sync.Map // of *fetchModel, by Target
	sessions     sessionIndex
}

// NewTable returns a table without upstreams, with a prefix index of the default size.
func NewTable() *Table {
	t := &Table{start: time.Now(), index: NewPrefixIndex(DefaultPrefixPairs)}
	t.routers.Store(1)
	t.current.Store(newSet(map[string]*entry{}, newTopology(config.Fleet{}, nil)))
	return t
}

// Index returns the table's prefix index.
func (t *Table) Index() *PrefixIndex { return t.index }

func (t *Table) now() time.Duration { return time.Since(t.start) }

// OnCapacityChange sets a function that is called when a target may have gained free
// capacity: after a load report and after a change of its upstreams.
func (t *Table) OnCapacityChange(f func(Target)) { t.onCapacityChange.Store(&f) }

// Update applies the upstreams of a snapshot. An upstream that keeps its id and address
// keeps its learned state.
func (t *Table) Update(snapshot *config.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	topo := newTopology(snapshot.Fleet, snapshot.Upstreams)
	entries := make(map[string]*entry, len(snapshot.Upstreams))
	for id, u := range snapshot.Upstreams {
		e := old.entries[id]
		if e == nil || !e.matches(u) || e.dataCentre != topo.index[u.DataCentre] {
			e = newEntryFrom(e, id, u)
			e.dataCentre = topo.index[u.DataCentre]
		}
		e.drainRequested.Store(u.Leaving)
		e.warmUp.setWarmUp(u.WarmUp, t.start)
		entries[id] = e
	}
	t.publish(newSet(entries, topo))
}

// matches reports whether the configured upstream is the one of this entry.
func (e *entry) matches(u config.Upstream) bool {
	slots := int64(u.Slots)
	if slots <= 0 {
		slots = DefaultSlots
	}
	return e.address == u.Address && e.kind == u.Kind && e.service == u.Service &&
		e.fencing == u.Fencing && e.slots == slots
}

// newEntryFrom returns a new entry with the state and the models of an old one at the same
// address.
func newEntryFrom(old *entry, id string, u config.Upstream) *entry {
	e := newEntry(id, u)
	if old != nil && old.address == u.Address {
		e.state.Store(old.state.Load())
		e.leavingAt.Store(old.leavingAt.Load())
		e.models.Store(old.models.Load())
		e.limit = old.limit
		e.pause, e.rest, e.room = old.pause, old.rest, old.room
		e.bound.limit.Store(old.bound.limit.Load())
		e.bound.paced.Store(old.bound.paced.Load())
	}
	return e
}

// SetState applies the state of an upstream from membership.
func (t *Table) SetState(id string, state membership.State) {
	t.change(id, func(e *entry) bool {
		old := membership.State(e.state.Swap(uint32(state)))
		if old >= membership.Dead && state < old {
			t.index.Reset(id)
		}
		return old != state
	})
}

// MarkLeaving records that the upstream itself announced that it is leaving. The mark stays
// until a later load report denies it: the VM list, which lags, cannot clear it.
func (t *Table) MarkLeaving(id string) {
	at := int64(max(t.now(), 1))
	t.change(id, func(e *entry) bool { return e.leavingAt.Swap(at) == 0 })
}

// Report applies an engine's load report, which was generated load.AgeMillis ago.
func (t *Table) Report(id string, load upstream.Load) {
	now := time.Now()
	asOf := now.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	rebuild := t.change(id, func(e *entry) bool {
		old := e.reported.Load()
		if old != nil && asOf.Before(old.asOf) {
			return false // reports may arrive out of order
		}
		since := asOf.Sub(t.start)
		requests, prefill := e.history.at(since)
		e.reported.Store(&report{load: load, asOf: asOf, ownInFlight: requests, ownPrefill: prefill})
		return e.applyReport(load, max(since, 1))
	})
	if !rebuild {
		t.notifyCapacityChange(id)
	}
}

// applyReport applies the models and the leaving mark of a report, and reports whether they
// changed the pools.
func (e *entry) applyReport(load upstream.Load, since time.Duration) bool {
	changed := false
	if load.Leaving {
		changed = e.leavingAt.Swap(int64(since)) == 0
	} else if at := e.leavingAt.Load(); at != 0 && int64(since) > at {
		e.leavingAt.Store(0)
		changed = true
	}
	if e.kind == config.UpstreamEngine && load.Models != nil && !slices.Equal(*e.models.Load(), load.Models) {
		models := slices.Clone(load.Models)
		e.models.Store(&models)
		changed = true
	}
	return changed
}

// change applies f to an entry and rebuilds the set if f reports a change. It reports
// whether the set was rebuilt.
func (t *Table) change(id string, f func(*entry) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	e := old.entries[id]
	if e == nil || !f(e) {
		return false
	}
	t.publish(newSet(old.entries, old.topology))
	return true
}

// publish stores a new set. Callers hold the lock.
func (t *Table) publish(s *set) {
	t.current.Store(s)
	if f := t.onCapacityChange.Load(); f != nil {
		for target := range s.pools {
			(*f)(target)
		}
	}
}

func (t *Table) notifyCapacityChange(id string) {
	f := t.onCapacityChange.Load()
	e := t.current.Load().entries[id]
	if f == nil || e == nil {
		return
	}
	if e.service != "" {
		(*f)(Target{Service: e.service})
	}
	for _, m := range *e.models.Load() {
		(*f)(Target{Model: m})
	}
}

func sortedIDs(entries map[string]*entry) []string {
	ids := make([]string, 0, len(entries))
	for id := range entries {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
