package duty

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/config"
	"buckthornridge/store"
)

// passLog records the passes of all VMs, in order.
type passLog struct {
	mu         sync.Mutex
	passes     []pass
	active     map[string]bool // VMs in the middle of a pass
	concurrent bool            // two holders made a pass at the same time
}

type pass struct {
	vm    string
	fence uint64
}

// trackedDuty is a duty that records its passes.
type trackedDuty struct {
	vm  string
	log *passLog
}

func (trackedDuty) Interval() time.Duration { return time.Second }

func (d trackedDuty) Run(ctx context.Context, env Env) error {
	d.log.mu.Lock()
	d.log.passes = append(d.log.passes, pass{d.vm, env.Fence})
	d.log.active[d.vm] = true
	d.log.concurrent = d.log.concurrent || len(d.log.active) > 1
	d.log.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(500 * time.Millisecond):
	}
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	delete(d.log.active, d.vm)
	return nil
}

// last returns the latest pass.
func (l *passLog) last() pass {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passes[len(l.passes)-1]
}

// overlapped reports whether two holders ever made a pass at the same time.
func (l *passLog) overlapped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.concurrent
}

func (l *passLog) all() []pass {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.passes)
}

func manager(fake *store.Fake, vm string, duties map[string]Duty) *Manager {
	services := fake.As(vm)
	m := NewManager(Options{Holder: vm + "#1", Duties: duties, Platform: services,
		Store: config.NewStore(services.Table), Config: new(config.SnapshotHolder)})
	_ = m.Start(context.Background())
	return m
}

// trackedFleet starts three managers of one tracked duty; a acquires its lease
// first.
func trackedFleet(fake *store.Fake) (map[string]*Manager, *passLog) {
	log := &passLog{active: map[string]bool{}}
	managers := map[string]*Manager{}
	for _, vm := range []string{"a", "b", "c"} {
		managers[vm] = manager(fake, vm, map[string]Duty{"tracked": trackedDuty{vm, log}})
		time.Sleep(100 * time.Millisecond)
	}
	return managers, log
}

func stopAll(t *testing.T, managers map[string]*Manager) {
	for _, m := range managers {
		if err := m.Stop(); err != nil {
			t.Error(err)
		}
	}
}

// The holder of a lease loses its connection to the table. Another VM must take
// over the duty on its own, and no two VMs may hold the lease at the same time.
func TestTakeoverAfterHolderIsDisconnected(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Faults: store.Faults{Latency: 10 * time.Millisecond}})
		managers, log := trackedFleet(fake)
		defer stopAll(t, managers)
		time.Sleep(time.Minute)
		is.Equal(log.last(), pass{"a", 1})
		fake.SetFaults(store.Faults{PartitionedVMs: []string{"a"}, Silent: true})
		time.Sleep(2 * DefaultTTL)
		second := log.last()
		is.True(second.vm != "a")
		is.Equal(second.fence, uint64(2))
		is.Equal(managers["a"].Counters.Expirations.Get("tracked").String(), "1")
		fake.SetFaults(store.Faults{})
		time.Sleep(time.Minute)
		is.Equal(log.last(), second) // the first holder does not take the lease back
		is.True(!log.overlapped())
	})
}

// A holder that drains must release its lease. Otherwise the duty is not run
// until the lease expires.
func TestDrainReleasesLeases(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		managers, log := trackedFleet(store.NewFake(store.FakeOptions{}))
		defer stopAll(t, managers)
		time.Sleep(time.Minute)
		is.NoErr(managers["a"].Drain(context.Background()))
		time.Sleep(DefaultTTL / 2) // less than the TTL
		is.True(log.last().vm != "a")
		is.Equal(log.last().fence, uint64(2))
		is.True(!log.overlapped())
	})
}

// Responses of the table are lost at random, also those to takeovers and
// renewals. The lease may then change its holder, but must not have two holders,
// the duty must keep running, and the fence must never decrease.
func TestLostResponses(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Seed: 7, Faults: store.Faults{LoseRate: 0.3, DelayRate: 0.1, Delay: time.Second}})
		managers, log := trackedFleet(fake)
		defer stopAll(t, managers)
		time.Sleep(time.Hour)
		is.True(!log.overlapped())
		passes := log.all()
		is.True(len(passes) > 1500) // of 2400 without faults
		for i := 1; i < len(passes); i++ {
			is.True(passes[i].fence >= passes[i-1].fence)
		}
	})
}

// pauseHook blocks all table calls of one VM from the first call that match
// selects, like a VM that is paused in the middle of a pass.
type pauseHook struct {
	vm     string
	match  func(store.Call) bool
	resume chan struct{}

	mu     sync.Mutex
	paused bool
}

func (s *pauseHook) hook(call store.Call) {
	if call.VM != s.vm {
		return
	}
	s.mu.Lock()
	s.paused = s.paused || s.match(call)
	paused := s.paused
	s.mu.Unlock()
	if paused {
		<-s.resume
	}
}

// The holder of the fold duty is paused while it commits. Its lease expires and
// another VM folds the same bills; then the first VM resumes and its commit goes
// on. No bill may be counted twice.
func TestFoldByHolderPausedPastExpiry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{})
		id := budget.ID{Workspace: "w", Name: "main"}
		operator := fake.As("operator").Table
		_, err := budget.TopUp(t.Context(), operator, id, "pay", 1000)
		is.NoErr(err)
		bill := billingRouter(t, fake, id)

		folds := 0
		s := &pauseHook{vm: "a", resume: make(chan struct{}), match: func(call store.Call) bool {
			if call.Step != store.StepCommit || len(call.Txn.Writes) < 2 {
				return false // a lease row
			}
			folds++
			return true
		}}
		fake.SetHooks(store.Hooks{Before: s.hook})
		managers := map[string]*Manager{"a": manager(fake, "a", map[string]Duty{"fold": leased{newFold()}})}
		time.Sleep(time.Second)
		managers["b"] = manager(fake, "b", map[string]Duty{"fold": leased{newFold()}})
		for i := range 5 {
			bill(i, 10)
		}
		time.Sleep(3 * DefaultTTL)
		s.mu.Lock()
		is.Equal(folds, 1)
		s.mu.Unlock()
		is.Equal(managers["b"].Counters.Takeovers.Get("fold").String(), "1")
		state, err := budget.Status(t.Context(), operator, id)
		is.NoErr(err)
		is.Equal(state.Billed, int64(50))

		close(s.resume)
		bill(9, 7)
		time.Sleep(3 * DefaultTTL)
		report, err := budget.Audit(t.Context(), operator)
		is.NoErr(err)
		is.Equal(report.Billed, int64(57))
		is.Equal(len(report.Violations), 0)
		is.Equal(managers["a"].Counters.Held.Get("fold").String(), "0")

		is.NoErr(managers["b"].Drain(t.Context())) // a folds again, with a stale index
		bill(10, 3)
		time.Sleep(3 * DefaultTTL)
		report, err = budget.Audit(t.Context(), operator)
		is.NoErr(err)
		is.Equal(managers["a"].Counters.Held.Get("fold").String(), "1")
		is.Equal(report.Billed, int64(60))
		is.Equal(len(report.Violations), 0)
		stopAll(t, managers)
	})
}

// billingRouter starts a router's grant manager and returns a function that bills
// one request.
func billingRouter(t *testing.T, fake *store.Fake, id budget.ID) func(request int, tokens int64) {
	grants := budget.NewGrantManager(budget.GrantManagerConfig{Table: fake.As("router").Table, Holder: budget.HolderName("router", "1"),
		Policy: func() config.BudgetPolicy { return config.BudgetPolicy{RefusalWeight: 0.5} }})
	if err := grants.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	<-grants.Ready()
	t.Cleanup(func() { _ = grants.Stop() })
	return func(request int, tokens int64) {
		r, err := grants.Reserve(context.Background(), budget.Request{Budget: id, RequestKey: string(rune('a' + request)), Ceiling: tokens})
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Bill(context.Background(), tokens); err != nil {
			t.Fatal(err)
		}
	}
}

// The holder of the reclaim duty is paused while it commits the release of a dead
// router's grant. Another VM reclaims the same grant and the budget is topped up;
// then the first VM resumes and its commit goes on. It must neither free the
// tokens again nor undo the top-up.
func TestReclaimByHolderPausedPastExpiry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{})
		id := budget.ID{Workspace: "w", Name: "main"}
		operator := fake.As("operator").Table
		_, err := budget.TopUp(t.Context(), operator, id, "pay", 1000)
		is.NoErr(err)
		is.NoErr(fake.As("router").VMs.Announce(t.Context(), store.VM{
			ID: "router", Incarnation: "1", Role: "router", Address: "127.0.0.1:1", State: store.VMLive}))
		billingRouter(t, fake, id)(1, 100)
		_, err = journal.Folder{Table: operator}.Run(t.Context()) // leaves only the grant
		is.NoErr(err)
		held, err := budget.Status(t.Context(), operator, id)
		is.NoErr(err)
		is.True(held.HeldTokens() > 0)

		var frees atomic.Int64
		s := &pauseHook{vm: "a", resume: make(chan struct{}), match: func(call store.Call) bool {
			if call.Step != store.StepCommit || len(call.Txn.Writes) < 2 {
				return false // a lease, a seal or an empty fold
			}
			return frees.Add(1) == 1
		}}
		fake.SetHooks(store.Hooks{Before: s.hook})
		is.NoErr(fake.SetVMState("router", store.VMGone))
		managers := map[string]*Manager{"a": manager(fake, "a", map[string]Duty{"reclaim": reclaim{}})}
		time.Sleep(time.Second)
		managers["b"] = manager(fake, "b", map[string]Duty{"reclaim": reclaim{}})
		time.Sleep(3 * DefaultTTL)
		freed, err := budget.Status(t.Context(), operator, id)
		is.NoErr(err)
		is.Equal(freed.HeldTokens(), int64(0))
		_, err = budget.TopUp(t.Context(), operator, id, "meanwhile", 500) // changes the budget row
		is.NoErr(err)
		before, err := budget.Status(t.Context(), operator, id)
		is.NoErr(err)

		close(s.resume)
		time.Sleep(3 * DefaultTTL)
		after, err := budget.Status(t.Context(), operator, id)
		is.NoErr(err)
		is.Equal(after, before)
		is.True(frees.Load() > 0) // a was paused in the middle of a pass
		report, err := budget.Audit(t.Context(), operator)
		is.NoErr(err)
		is.Equal(len(report.Violations), 0)
		stopAll(t, managers)
	})
}

func TestEveryDutyIsRegistered(t *testing.T) {
	is := is.New(t)
	duties, err := Registered()
	is.NoErr(err)
	for _, name := range []string{"fold", "reclaim", "prune"} {
		is.True(duties[name] != nil)
		is.True(duties[name].Interval() > 0)
	}
}

// failingDuty is a duty whose first passes fail.
type failingDuty struct{ left atomic.Int64 }

func (*failingDuty) Interval() time.Duration { return time.Second }

func (f *failingDuty) Run(context.Context, Env) error {
	if f.left.Add(-1) >= 0 {
		return errors.New("no")
	}
	return nil
}

func TestFailedPassesAreCountedAndRetried(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		duty := new(failingDuty)
		duty.left.Store(5)
		m := manager(store.NewFake(store.FakeOptions{}), "a", map[string]Duty{"failing": duty})
		time.Sleep(time.Minute - time.Second/2)
		is.NoErr(m.Stop())
		is.Equal(m.Counters.Failures.Get("failing").String(), "5")
		is.Equal(m.Counters.Passes.Get("failing").String(), "60")
	})
}

// leased hides that a duty is sharded, so that it runs under a lease.
type leased struct{ Duty }
