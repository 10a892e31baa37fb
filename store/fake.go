package store

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// FakeOptions configures a Fake.
type FakeOptions struct {
	// Seed of the faults that are drawn at a rate.
	Seed uint64
	// Faults are the initial faults.
	Faults Faults
	// Era of the table at first.
	Era int64
	// Weights and WeightBytesPerSecond are what the weight store returns.
	Weights              []Weight
	WeightBytesPerSecond int64
}

// Fake is an in-memory platform with fault injection. It is the only
// implementation of the platform's rules: tests use it directly, and the stand-in
// server serves it over HTTP. It starts no goroutines or timers, so it needs no
// Close and works in the virtual time of testing/synctest.
type Fake struct {
	options FakeOptions

	mu         sync.Mutex // guards the fields below
	faults     Faults
	hooks      Hooks
	counters   Counters
	random     *rand.Rand
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
	delayed    []delayedWrite

	rows    map[string]Row
	keys    []string // keys of rows, sorted
	version int64    // number of the last transaction
	era     int64
	// toldEras holds the newest era of which a response has told, by VM.
	toldEras map[string]int64
	objects  map[string][]byte
	vms      vmHistory
}

// NewFake returns an empty platform.
func NewFake(options FakeOptions) *Fake {
	f := &Fake{
		options:    options,
		era:        options.Era,
		random:     rand.New(rand.NewPCG(options.Seed, options.Seed)),
		rows:       map[string]Row{},
		objects:    map[string][]byte{},
		toldEras:   map[string]int64{},
		writeLimit: newLimiter(0),
		readLimit:  newLimiter(0),
	}
	f.SetFaults(options.Faults)
	return f
}

// As returns the services as the VM with this id uses them.
func (f *Fake) As(vmID string) Services {
	c := &caller{fake: f, vm: vmID}
	return Services{Table: fakeTable{c}, Objects: fakeObjects{c}, VMs: fakeVMs{c}, Weights: fakeWeights{c}}
}

// Step identifies a kind of call.
type Step string

// The steps, as they appear in errors and hooks.
const (
	StepRead     Step = "table read"
	StepScan     Step = "table scan"
	StepCommit   Step = "table commit"
	StepPut      Step = "object put"
	StepGet      Step = "object get"
	StepObjects  Step = "object list"
	StepDelete   Step = "object delete"
	StepVMs      Step = "vm list"
	StepAnnounce Step = "vm announce"
	StepWeights  Step = "weight list"
)

// Call describes a call in progress to hooks.
type Call struct {
	VM   string
	Step Step
	// Keys of a read, the prefix of a scan, or the name of an object.
	Keys []string
	// Txn of a commit. Hooks must not change it.
	Txn Txn
}

// Hooks are test callbacks at fixed points of a call. They run on the caller's
// goroutine without any lock held and may call the fake.
type Hooks struct {
	// Before runs after the call is admitted, before its effect.
	Before func(Call)
	// After runs after the effect with its result, before the response.
	After func(Call, error)
}

// SetHooks replaces the hooks.
func (f *Fake) SetHooks(hooks Hooks) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hooks = hooks
}

// Counters count the calls that reached the platform since its start, and their
// effects.
type Counters struct {
	Reads            int64 `json:"reads"` // calls, admitted or refused
	Scans            int64 `json:"scans"`
	Commits          int64 `json:"commits"`
	RowsRead         int64 `json:"rows_read"`
	Txns             int64 `json:"txns"` // transactions applied
	RowsWritten      int64 `json:"rows_written"`
	ConditionsFailed int64 `json:"conditions_failed"`
	RateLimited      int64 `json:"rate_limited"`
	Unavailable      int64 `json:"unavailable"`
	ResponsesLost    int64 `json:"answers_lost"`
	Delayed          int64 `json:"delayed"`         // delayed writes
	DelayedApplied   int64 `json:"delayed_applied"` // of those, applied later
	DelayedRefused   int64 `json:"delayed_refused"` // of those, refused because a condition failed
	ObjectCalls      int64 `json:"object_calls"`
	VMListCalls      int64 `json:"vm_list_calls"`
	Announcements    int64 `json:"announcements"`
}

// Counters returns the current counts.
func (f *Fake) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	return f.counters
}

// delayedWrite is a write whose outcome is unknown to its caller. It is applied by
// the first call after it is due, which callers can't distinguish from a timer.
type delayedWrite struct {
	due   time.Time // zero: applied by ReleaseDelayed only
	apply func() error
}

func (f *Fake) delay(after time.Duration, apply func() error) {
	w := delayedWrite{apply: apply}
	if after > 0 {
		w.due = time.Now().Add(after)
	}
	f.delayed = append(f.delayed, w)
}

// applyDueWrites applies the delayed writes that are due, in the order of their
// due times.
func (f *Fake) applyDueWrites() {
	if len(f.delayed) == 0 {
		return
	}
	now := time.Now()
	isDue := func(w delayedWrite) bool { return !w.due.IsZero() && !w.due.After(now) }
	f.applyDelayed(isDue)
}

// ReleaseDelayed applies all delayed writes now, except those whose conditions fail.
func (f *Fake) ReleaseDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	f.applyDelayed(func(delayedWrite) bool { return true })
}

func (f *Fake) applyDelayed(isDue func(delayedWrite) bool) {
	var due, remaining []delayedWrite
	for _, w := range f.delayed {
		if isDue(w) {
			due = append(due, w)
		} else {
			remaining = append(remaining, w)
		}
	}
	f.delayed = remaining
	slices.SortStableFunc(due, func(a, b delayedWrite) int { return a.due.Compare(b.due) })
	for _, w := range due {
		if w.apply() != nil {
			f.counters.DelayedRefused++
			continue
		}
		f.counters.DelayedApplied++
	}
}
