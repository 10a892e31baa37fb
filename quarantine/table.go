package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/store"
)

const (
	// crashLimit is the number of upstreams that may end under a request before it is
	// quarantined.
	crashLimit = 3
	// settleTime is the time between the last crash that counts and the quarantine. A
	// router may meanwhile report that the request ended well elsewhere.
	settleTime = 500 * time.Millisecond
	// evaluationDelay is the least time between a change of the evidence and its
	// evaluation. When an upstream ends, many requests are reported at once.
	evaluationDelay = 50 * time.Millisecond
	// maxEvaluationDelay and evaluationShare bound the CPU time of evaluations: the next
	// one waits for a multiple of the time that the last one took.
	maxEvaluationDelay = 500 * time.Millisecond
	evaluationShare    = 20
	// retention is how long evidence is kept, and thereby the length of a quarantine.
	retention = 24 * time.Hour
	// clearedRetention is how long it is remembered at least that a crash was cleared, so
	// that the routers that observed it learn of that.
	clearedRetention = 10 * time.Minute
	// maxCrashes bounds the crashes, and the cleared ones, that one router keeps.
	maxCrashes = 64
	// maxUnevaluated bounds the crashes that one router keeps until they are evaluated.
	maxUnevaluated = 8 * maxCrashes
)

// Crash is the end of an upstream's process while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Process     Process     `msgpack:"p"`
}

// Record is what one router has observed. Records of routers are combined without regard
// to their order: a crash counts once, whoever observed it, and not at all once any router
// has cleared it.
type Record struct {
	Crashes []Crash `msgpack:"c"`
	// Cleared are crashes of which the request was not the cause.
	Cleared []Crash `msgpack:"x"`
	// PartCrashes and PartsAnswered are the same for parts of prompts. A crash counts only
	// if the part has not been answered since.
	PartCrashes   []PartCrash    `msgpack:"k,omitempty"`
	PartsAnswered []PartAnswered `msgpack:"a,omitempty"`
}

// Table holds the evidence of all routers and decides which requests are quarantined.
// All methods are safe for concurrent use.
type Table struct {
	view atomic.Pointer[view]

	mu      sync.Mutex
	own     observations
	others  map[string]observations // by router
	changed chan struct{}
	// evaluating is true from a change of the evidence until it is evaluated.
	evaluating bool
	// lastEvaluation is the time that the last evaluation took.
	lastEvaluation time.Duration
	clock          commonClock
	// publishInterval is the least time between two publications of one router.
	publishInterval time.Duration
	signalling      bool // a delayed signal is on its way
	// elected reports whether this router is the one that tries a part again.
	elected func(key string) bool

	answered   answeredCache
	lastAnswer atomic.Int64 // when any request was last answered, in Unix nanoseconds
}

// observations are those of one router, with the time at which this router got them.
type observations struct {
	crashes map[Crash]time.Time
	cleared map[Crash]time.Time
	parts   partObservations
}

func newObservations() observations {
	return observations{crashes: map[Crash]time.Time{}, cleared: map[Crash]time.Time{}, parts: newPartObservations()}
}

// view is an immutable result of the evaluation.
type view struct {
	suspects map[Fingerprint]suspect
	// keys holds the keys of the suspects.
	keys  map[uint32]bool
	parts partView
}

// find returns the state of a suspect. It computes the fingerprint only if the request's
// key is that of a suspect.
func (v *view) find(r Request) (Fingerprint, suspect, bool) {
	if len(v.keys) == 0 || !v.keys[r.key()] {
		return Fingerprint{}, suspect{}, false
	}
	f := r.Fingerprint()
	s, known := v.suspects[f]
	return f, s, known
}

// suspect is a request under which upstreams ended.
type suspect struct {
	// crashes counts those that no other request explains.
	crashes int
	// from is the start of its quarantine; zero without one.
	from time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{own: newObservations(), others: map[string]observations{}, changed: make(chan struct{}, 1), publishInterval: minPublishInterval}
	t.answered.start = time.Now()
	t.view.Store(&view{})
	return t
}

// SetClock sets the clock that all routers share, before the table is used. Without one
// they must agree on the time of day.
func (t *Table) SetClock(c store.Clock) { t.clock.clock = c }

// Changed returns a channel that has a value after the own observations changed.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// quarantined reports whether a request is refused, and for how long at most.
func (t *Table) quarantined(r Request, now time.Time) (left time.Duration, refused bool) {
	_, s, _ := t.view.Load().find(r)
	if s.from.IsZero() || now.Before(s.from) {
		return 0, false
	}
	return max(s.from.Add(retention).Sub(now), 0), true
}

// SetElection sets the function that reports whether this router is the one of all that a
// key falls to, before the table is used. Without one no router is.
func (t *Table) SetElection(elected func(key string) bool) { t.elected = elected }

// partQuarantined reports whether a request is refused for its parts, and for how long at
// most.
func (t *Table) partQuarantined(r Request, now time.Time) (left time.Duration, refused bool) {
	verdict := t.view.Load().parts.refuses(r, now)
	if verdict == nil || t.mayTry(verdict, r, now) {
		return 0, false
	}
	return verdict.until.Sub(now), true
}

// CountParts returns the number of parts under which an upstream crashed and that have not
// been answered since, and how many sets of them are quarantined.
func (t *Table) CountParts() (suspects, quarantined int) {
	v := &t.view.Load().parts
	for _, verdicts := range v.verdicts {
		quarantined += len(verdicts)
	}
	return len(v.suspects), quarantined
}

// Count returns the number of requests under which an upstream ended, and how many of them
// are quarantined.
func (t *Table) Count() (suspects, quarantined int) {
	v := t.view.Load()
	for _, s := range v.suspects {
		if !s.from.IsZero() {
			quarantined++
		}
	}
	return len(v.suspects), quarantined
}

// crash records that a process ended while it ran a request.
func (t *Table) crash(c Crash, b brokenRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !b.answered {
		t.crashPart(c.Process, b.request, b.at)
	}
	if _, known := t.own.crashes[c]; known {
		return
	}
	t.own.crashes[c] = time.Now()
	// Evicted before they are evaluated, the crashes of the cause would weigh no more
	// than those of the many requests that ran beside it.
	t.evict(t.own.crashes, maxUnevaluated)
	t.ownChanged()
}

// clear records that a request that ended well was not the cause of the crashes known so
// far.
func (t *Table) clear(r Request) {
	f, _, suspected := t.view.Load().find(r)
	if !suspected {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for c := range t.allCrashes(now) {
		if c.Fingerprint == f {
			t.own.cleared[c] = now
			t.evict(t.own.cleared, maxCrashes)
			t.ownChanged()
		}
	}
}

// ownChanged signals a change of the own observations. The caller must hold t.mu.
func (t *Table) ownChanged() {
	t.evaluateSoon()
	t.signalChange()
}

func (t *Table) signalChange() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// signalLater signals a change that other routers may publish too. The one that does so
// first spares the others theirs. The caller must hold t.mu.
func (t *Table) signalLater() {
	if t.signalling {
		return
	}
	t.signalling = true
	time.AfterFunc(rand.N(t.publishInterval), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.signalling = false
		t.signalChange()
	})
}

// setPublishInterval sets the least time between two publications of one router.
func (t *Table) setPublishInterval(interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publishInterval = interval
}

// evict removes the entries with the least weight if there are too many: those of the
// requests with the fewest crashes, the oldest first. A caller that ends upstreams with ever
// new requests thus can't displace one that is quarantined. The caller must hold t.mu.
func (t *Table) evict(entries map[Crash]time.Time, limit int) {
	if len(entries) <= limit {
		return
	}
	suspects := t.view.Load().suspects
	// A suspect that is not yet evaluated has ended one.
	crashes := func(c Crash) int { return max(suspects[c.Fingerprint].crashes, 1) }
	least := slices.SortedFunc(maps.Keys(entries), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(crashes(a), crashes(b)), entries[a].Compare(entries[b]))
	})
	for _, c := range least[:len(entries)-limit] {
		delete(entries, c)
		klog.Warningf("step=quarantine fingerprint=%s state=evicted", c.Fingerprint)
	}
}

// Apply sets the record of another router. An empty record removes it.
func (t *Table) Apply(router string, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, now := t.others[router], time.Now()
	next := newObservations()
	take := func(into, from map[Crash]time.Time, list []Crash) {
		for _, c := range list[:min(len(list), maxCrashes)] {
			into[c] = now
			if at, known := from[c]; known {
				into[c] = at
			}
		}
	}
	take(next.crashes, old.crashes, r.Crashes)
	take(next.cleared, old.cleared, r.Cleared)
	next.parts = readParts(r, &t.clock)
	t.others[router] = next
	if len(next.crashes)+len(next.cleared)+len(next.parts.crashes)+len(next.parts.answered) == 0 {
		delete(t.others, router)
	}
	t.evaluateSoon()
}

// Adopt adds the record of an earlier process of this router to the own observations.
func (t *Table) Adopt(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, c := range r.Crashes {
		t.own.crashes[c] = now
	}
	for _, c := range r.Cleared {
		t.own.cleared[c] = now
	}
	earlier := readParts(r, &t.clock)
	for k, crashes := range earlier.crashes {
		for p, at := range crashes {
			t.own.parts.add(k, p, at)
		}
	}
	maps.Copy(t.own.parts.sound, earlier.sound)
	maps.Copy(t.own.parts.lastAnswer, earlier.lastAnswer)
	for k, at := range earlier.answered {
		if at.After(t.own.parts.answered[k]) {
			t.own.parts.answered[k] = at
		}
	}
	if len(r.Crashes)+len(r.Cleared)+len(r.PartCrashes)+len(r.PartsAnswered) > 0 {
		t.ownChanged()
	}
}

// Record returns the own observations. Own crashes that were cleared are forgotten.
func (t *Table) Record() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.own.crashes) > maxCrashes || t.own.parts.size() > maxPartCrashes {
		t.evaluate(time.Now()) // other routers take no more
	}
	uncleared := t.allCrashes(time.Now())
	maps.DeleteFunc(t.own.crashes, func(c Crash, _ time.Time) bool { return !uncleared[c] })
	r := Record{Crashes: sorted(t.own.crashes), Cleared: sorted(t.own.cleared)}
	r.PartCrashes, r.PartsAnswered = t.own.parts.record(&t.clock)
	return r
}

// Expire removes own observations that are older than the retention period.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	before := len(t.own.crashes) + len(t.own.cleared)
	maps.DeleteFunc(t.own.crashes, func(_ Crash, at time.Time) bool { return now.Sub(at) >= retention })
	maps.DeleteFunc(t.own.cleared, func(c Crash, at time.Time) bool {
		return now.Sub(at) >= clearedRetention && !t.recorded(c) // a router that is gone forgets nothing
	})
	if len(t.own.crashes)+len(t.own.cleared) < before {
		t.ownChanged()
		return
	}
	t.evaluateSoon() // observations of routers that are gone expire too
}

func sorted(entries map[Crash]time.Time) []Crash {
	list := make([]Crash, 0, len(entries))
	for c := range entries {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Crash) int {
		if order := slices.Compare(a.Fingerprint[:], b.Fingerprint[:]); order != 0 {
			return order
		}
		return cmp.Compare(a.Process, b.Process)
	})
	return list
}
