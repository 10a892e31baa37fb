package budget_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/budget"
	"buckthornridge/store"
)

// witnessSet is a set of witnesses that tests call directly.
type witnessSet struct {
	states map[string]*budget.WitnessState // by holder name
	order  []string                        // in order of preference of Choose
	mu     sync.Mutex
	silent map[string]bool // witnesses that do not answer; guarded by mu, since they are asked concurrently
}

func newWitnessSet(names ...string) *witnessSet {
	b := &witnessSet{states: map[string]*budget.WitnessState{}, order: names, silent: map[string]bool{}}
	for _, name := range names {
		b.states[name] = budget.NewWitnessState()
	}
	return b
}

func (b *witnessSet) Choose(present string) string {
	for _, name := range b.order {
		if name == present {
			return present
		}
	}
	return b.order[0]
}

func (b *witnessSet) setSilent(witness string, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent[witness] = silent
}

func (b *witnessSet) isSilent(witness string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent[witness]
}

func (b *witnessSet) reach(witness string) (*budget.WitnessState, error) {
	if b.isSilent(witness) || b.states[witness] == nil {
		return nil, budget.ErrNoWitness
	}
	return b.states[witness], nil
}

func (b *witnessSet) Enter(_ context.Context, witness, holder string, number uint64) error {
	t, err := b.reach(witness)
	if err != nil {
		return err
	}
	return t.Enter(holder, number)
}

func (b *witnessSet) Leave(_ context.Context, witness, holder string, number uint64) error {
	t, err := b.reach(witness)
	if err == nil {
		t.Leave(holder, number)
	}
	return err
}

func (b *witnessSet) Fence(_ context.Context, witness, holder string) (bool, error) {
	t, err := b.reach(witness)
	if err != nil {
		return false, err
	}
	return t.Fence(holder), nil
}

// runWitnessed runs a test in which vm-1 has refusal weight 1 and a large grant, and
// vm-2, which is live, is its witness.
func runWitnessed(t *testing.T, body func(t *testing.T, is *is.I, f *fleet, b *witnessSet, m *budget.GrantManager)) {
	t.Helper()
	runTest(t, 1_000_000, func(t *testing.T, is *is.I, f *fleet) {
		b := newWitnessSet("vm-2#1")
		f.weight, f.witnesses, f.fencer = 1, b, b
		f.start("vm-2", "1")
		m := f.start("vm-1", "1")
		for i := range 50 {
			is.NoErr(f.mustReserve(m, fmt.Sprint("before-", i), 500).Bill(t.Context(), 500))
			time.Sleep(100 * time.Millisecond)
		}
		for !grown(f) {
			is.NoErr(f.mustReserve(m, fmt.Sprint("until ", time.Now()), 500).Bill(t.Context(), 500))
			time.Sleep(100 * time.Millisecond)
		}
		f.duties()
		body(t, is, f, b, m)
	})
}

// grown reports whether vm-1 holds much more than its requests need at once.
func grown(f *fleet) bool {
	f.duties()
	h := f.status(studio).Holders["vm-1#1"]
	return h.Held > 50_000 && h.OutageExposure > 10*h.Exposure
}

// spendAll bills requests of 500 tokens until one is refused.
func (f *fleet) spendAll(m *budget.GrantManager) (spent int64) {
	for i := 0; ; i++ {
		r, err := f.reserve(m, fmt.Sprint("outage-", i), 500)
		if err != nil {
			return spent
		}
		_ = r.Bill(f.t.Context(), 500)
		spent += 500
	}
}

// A router crashes while the table is up. Guards against writing off all that it
// held, as without a witness at refusal weight 1: 82 % of a run's spend. Its witness
// reports that it never entered outage mode, so that only the small exposure is
// lost.
func TestCrashWithTableUpLosesSmallExposure(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, _ *witnessSet, m *budget.GrantManager) {
		before := f.status(studio).Holders["vm-1#1"]
		_ = m.Stop()
		f.declareGone("vm-1")
		state := f.status(studio)
		is.Equal(state.Lost[budget.CauseHolderGone], before.Exposure)
		is.Equal(state.Free, 1_000_000-state.Billed-before.Exposure)
	})
}

// The table is down. The router enters outage mode, serves from its whole grant and
// crashes. No journal records what it spent. The witness reports outage mode, and
// the outage exposure is written off. If only the small exposure were, spent tokens
// would be granted again.
func TestCrashInOutageModeLosesOutageExposure(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, _ *witnessSet, m *budget.GrantManager) {
		before := f.status(studio).Holders["vm-1#1"]
		f.faults(store.Faults{Down: true})
		spent := f.spendAll(m)
		is.True(spent > before.Exposure)
		is.True(spent <= before.OutageExposure)
		_ = m.Stop()
		f.faults(store.Faults{})
		f.declareGone("vm-1")
		state := f.status(studio)
		is.True(state.Lost[budget.CauseHolderGone] >= spent)
		is.True(state.Free+state.Billed+spent <= 1_000_000)
	})
}

// A router and its witness both crash in outage mode, so that no witness can report
// it. The outage exposure must be written off.
func TestHolderAndWitnessCrash(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, b *witnessSet, m *budget.GrantManager) {
		f.faults(store.Faults{Down: true})
		spent := f.spendAll(m)
		_ = m.Stop()
		f.faults(store.Faults{})
		delete(b.states, "vm-2#1")
		is.NoErr(f.fake.SetVMState("vm-2", store.VMGone))
		f.declareGone("vm-1")
		is.True(f.status(studio).Lost[budget.CauseHolderGone] >= spent)
	})
}

// The witness is live but does not answer the reclaimer. Nothing may be freed until
// it answers.
func TestReclaimWaitsForTheWitness(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, b *witnessSet, m *budget.GrantManager) {
		before := f.status(studio).Holders["vm-1#1"]
		_ = m.Stop()
		b.setSilent("vm-2#1", true)
		is.NoErr(f.fake.SetVMState("vm-1", store.VMGone))
		_, err := budget.Reclaimer{Table: f.table, VMs: f.fake.As("operator").VMs, Fencer: b}.Run(t.Context())
		is.True(errors.Is(err, budget.ErrNoWitness))
		is.Equal(f.status(studio).Holders["vm-1#1"], before)
		b.setSilent("vm-2#1", false)
		f.duties()
		is.Equal(f.status(studio).Lost[budget.CauseHolderGone], before.Exposure)
	})
}

// The platform wrongly declares a router gone that is only partitioned from the
// table, and its grant is freed. When the router then asks its witness to enter
// outage mode it must be refused, since the tokens may already be granted to others.
func TestFencedHolderCannotEnterOutageMode(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, _ *witnessSet, m *budget.GrantManager) {
		f.faults(store.Faults{PartitionedVMs: []string{"vm-1"}})
		f.declareGone("vm-1")
		lost := f.status(studio).Lost[budget.CauseHolderGone]
		is.True(f.spendAll(m) <= lost)
	})
}

// The outage ends and the router crashes later. Guards against a holder that does
// not leave outage mode: it notified its witness, so that only the small exposure
// is written off.
func TestHolderLeavesOutageMode(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, _ *witnessSet, m *budget.GrantManager) {
		billed := f.status(studio).Billed
		f.faults(store.Faults{Down: true})
		spent := f.spendAll(m)
		time.Sleep(time.Hour)
		f.faults(store.Faults{})
		time.Sleep(10 * time.Second)
		f.duties()
		is.Equal(f.status(studio).Billed, billed+spent)
		for !grown(f) {
			is.NoErr(f.mustReserve(m, fmt.Sprint("after ", time.Now()), 500).Bill(t.Context(), 500))
			time.Sleep(100 * time.Millisecond)
		}
		before := f.status(studio).Holders["vm-1#1"]
		_ = m.Stop()
		f.declareGone("vm-1")
		is.Equal(f.status(studio).Lost[budget.CauseHolderGone], before.Exposure)
	})
}

// No witness answers during an outage: the router must not dispatch more than its
// small exposure.
func TestNoOutageModeWithoutWitness(t *testing.T) {
	runWitnessed(t, func(t *testing.T, is *is.I, f *fleet, b *witnessSet, m *budget.GrantManager) {
		before := f.status(studio).Holders["vm-1#1"]
		b.setSilent("vm-2#1", true)
		f.faults(store.Faults{Down: true})
		is.True(f.spendAll(m) <= before.Exposure)
	})
}

// A Leave is delayed in the network and arrives after the next Enter. It must not
// remove that Enter at the witness.
func TestLateLeaveKeepsLaterEnter(t *testing.T) {
	is := is.New(t)
	w := budget.NewWitnessState()
	is.NoErr(w.Enter("vm-1#1", 3))
	is.NoErr(w.Enter("vm-1#1", 5))
	w.Leave("vm-1#1", 4)
	is.True(w.Fence("vm-1#1"))
	w.Leave("vm-1#1", 6) // fenced: the answer to the reclaimer must not change
	is.True(w.Fence("vm-1#1"))
	is.True(errors.Is(w.Enter("vm-1#1", 7), budget.ErrFenced))
}
