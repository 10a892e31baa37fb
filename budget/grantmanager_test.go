package budget_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/config"
	"buckthornridge/store"
)

var studio = budget.ID{Workspace: "lankawrap", Name: "studio-1"}

// fleet is a fake platform with routers that call each other directly.
type fleet struct {
	t        *testing.T
	fake     *store.Fake
	table    store.Table // an operator's table, which faults of VMs don't affect
	mu       sync.Mutex  // guards weight, managers and cut: recalls go on while routers start
	weight   float64
	managers map[string]*budget.GrantManager
	cut      map[string]bool // holders that recalls do not reach
	// witnesses, copier and fencer are nil in tests without them.
	witnesses budget.Witnesses
	copier    budget.BillCopier
	fencer    budget.WitnessFencer
}

func newFleet(t *testing.T) *fleet {
	fake := store.NewFake(store.FakeOptions{Seed: 1, Faults: store.Faults{Latency: 2 * time.Millisecond}})
	return &fleet{
		t: t, fake: fake, table: fake.As("operator").Table, weight: 0.5,
		managers: map[string]*budget.GrantManager{}, cut: map[string]bool{},
	}
}

// Recall implements budget.Recaller.
func (f *fleet) Recall(ctx context.Context, holder string, id budget.ID, want int64) (budget.RecallReply, error) {
	m := f.manager(holder)
	if m == nil || f.isCut(holder) {
		return budget.RecallReply{}, fmt.Errorf("%s unreachable", holder)
	}
	type answer struct {
		reply budget.RecallReply
		err   error
	}
	answered := make(chan answer, 1)
	go func() {
		reply, err := m.Recall(ctx, id, want)
		answered <- answer{reply, err}
	}()
	select {
	case a := <-answered:
		return a.reply, a.err
	case <-ctx.Done(): // the other process may be paused
		return budget.RecallReply{}, ctx.Err()
	}
}

func (f *fleet) register(holder string, m *budget.GrantManager) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.managers[holder] = m
}

// manager returns a holder's manager, or nil.
func (f *fleet) manager(holder string) *budget.GrantManager {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.managers[holder]
}

// disconnect keeps recalls from reaching a holder.
func (f *fleet) disconnect(holder string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[holder] = true
}

func (f *fleet) isCut(holder string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[holder]
}

// start starts an incarnation of a router and waits until its journal exists.
func (f *fleet) start(vm, incarnation string) *budget.GrantManager {
	services := f.fake.As(vm)
	announced := store.VM{ID: vm, Incarnation: incarnation, Role: "router", Address: "127.0.0.1:1", State: store.VMLive}
	if err := services.VMs.Announce(f.t.Context(), announced); err != nil {
		f.t.Fatal(err)
	}
	holder := budget.HolderName(vm, incarnation)
	m := budget.NewGrantManager(budget.GrantManagerConfig{
		Table: services.Table, Holder: holder, Recaller: f,
		Policy: f.policy, Witnesses: f.witnesses, Copier: f.copier,
	})
	f.register(holder, m)
	_ = m.Start(f.t.Context())
	<-m.Ready()
	return m
}

func (f *fleet) policy() config.BudgetPolicy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return config.BudgetPolicy{RefusalWeight: f.weight}
}

// setRefusalWeight changes the refusal weight while routers run.
func (f *fleet) setRefusalWeight(weight float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.weight = weight
}

func (f *fleet) topUp(id budget.ID, topUp string, tokens int64) {
	if _, err := budget.TopUp(f.t.Context(), f.table, id, topUp, tokens); err != nil {
		f.t.Fatal(err)
	}
}

// duties makes one pass of the fold and one of the reclaim.
func (f *fleet) duties() {
	if _, err := (journal.Folder{Table: f.table}).Run(f.t.Context()); err != nil {
		f.t.Error("fold:", err)
	}
	if _, err := (budget.Reclaimer{Table: f.table, VMs: f.fake.As("operator").VMs, Fencer: f.fencer}).Run(f.t.Context()); err != nil {
		f.t.Error("reclaim:", err)
	}
}

// status audits all budgets and returns one.
func (f *fleet) status(id budget.ID) *budget.State {
	f.audit()
	state, err := budget.Status(f.t.Context(), f.table, id)
	if err != nil {
		f.t.Fatal(err)
	}
	return &state
}

func (f *fleet) audit() {
	report, err := budget.Audit(f.t.Context(), f.table)
	if err != nil || len(report.Violations) > 0 {
		f.t.Fatal("audit:", err, report.Violations)
	}
}

// stop stops all routers.
func (f *fleet) stop() {
	f.mu.Lock()
	managers := maps.Clone(f.managers)
	f.mu.Unlock()
	for _, m := range managers {
		_ = m.Stop()
	}
}

// runTest runs a test in virtual time on a fleet with a topped-up budget, studio.
func runTest(t *testing.T, tokens int64, body func(t *testing.T, is *is.I, f *fleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.topUp(studio, "order-1", tokens)
		body(t, is.New(t), f)
	})
}

// reserve reserves tokens of the studio budget at one router.
func (f *fleet) reserve(m *budget.GrantManager, key string, ceiling int64) (*budget.Reservation, error) {
	return m.Reserve(f.t.Context(), budget.Request{Budget: studio, RequestKey: key, Ceiling: ceiling})
}

// mustReserve is reserve for requests that have to succeed.
func (f *fleet) mustReserve(m *budget.GrantManager, key string, ceiling int64) *budget.Reservation {
	f.t.Helper()
	r, err := f.reserve(m, key, ceiling)
	if err != nil {
		f.t.Fatal(key, err)
	}
	return r
}

// declareGone has the platform declare a VM gone and runs the duties.
func (f *fleet) declareGone(vm string) {
	if err := f.fake.SetVMState(vm, store.VMGone); err != nil {
		f.t.Fatal(err)
	}
	f.duties()
}

// faults sets the faults of the platform.
func (f *fleet) faults(faults store.Faults) {
	faults.Latency = 2 * time.Millisecond
	f.fake.SetFaults(faults)
}

func TestReserveBillRelease(t *testing.T) {
	runTest(t, 1000, func(t *testing.T, is *is.I, f *fleet) {
		m := f.start("vm-1", "1")

		first, err := m.Reserve(t.Context(), budget.Request{Budget: studio, RequestKey: "a", Ceiling: 400})
		is.NoErr(err)
		second, err := m.Reserve(t.Context(), budget.Request{Budget: studio, RequestKey: "b", Ceiling: 600})
		is.NoErr(err)
		_, err = m.Reserve(t.Context(), budget.Request{Budget: studio, RequestKey: "c", Ceiling: 1})
		refusal, ok := err.(*budget.Refusal)
		is.True(ok)
		is.True(refusal.Certain)
		is.NoErr(first.Bill(t.Context(), 250))
		second.Release()
		is.NoErr(m.Drain(t.Context()))
		f.duties()
		state := f.status(studio)
		is.Equal(state.Billed, int64(250))
		is.Equal(state.Free, int64(750))
		is.Equal(len(state.Holders), 0)
		is.Equal(len(f.fake.Dump(ledger.FoldPrefix)), 0)
		is.Equal(len(f.fake.Dump(ledger.HeldPrefix)), 0)
	})
}
