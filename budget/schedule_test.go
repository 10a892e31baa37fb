package budget_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornridge/bubble"
	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/store"
)

// eventKind is the kind of an event in a random schedule.
type eventKind int

const (
	eventRequest eventKind = iota // a request with its own key
	eventRetry                    // the last request again, at this router
	eventTopUp
	eventDuties      // one pass of fold and reclaim
	eventTwoDuties   // concurrent passes of two control processes
	eventKill        // the process crashes; the platform may declare it gone later
	eventRestart     // a new incarnation under the same address
	eventPause       // the process is paused in the middle of its calls
	eventResume      // the paused process resumes
	eventDeclareGone // the platform declares the VM gone, whether it runs, is paused or crashed
	eventCut
	eventHeal
	eventStoreDown
	eventStoreUp
	eventSlow
	eventLoseAnswers  // writes take effect but their answers are lost
	eventDelayWrites  // writes take effect later or never
	eventReleaseWrite // delayed writes arrive
	eventHandOver     // a planned stop that hands over its pending bills
	eventKinds
)

// event is one step of a schedule.
type event struct {
	After   time.Duration
	Kind    eventKind
	Router  int
	Ceiling int64
	Used    int64 // percentage of the ceiling
	Lasts   time.Duration
	Number  int
	Resumed bool // a retry that resumes the run instead of starting another one
}

const testRouters = 3

func drawEvent(t *rapid.T) event {
	return event{
		After:   time.Duration(rapid.IntRange(0, 1500).Draw(t, "after ms")) * time.Millisecond,
		Kind:    eventKind(rapid.OneOf(rapid.Just(0), rapid.IntRange(0, int(eventKinds)-1)).Draw(t, "kind")),
		Router:  rapid.IntRange(0, testRouters-1).Draw(t, "router"),
		Ceiling: rapid.Int64Range(1, 400).Draw(t, "ceiling"),
		Used:    rapid.Int64Range(0, 100).Draw(t, "used percent"),
		Lasts:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "lasts ms")) * time.Millisecond,
		Number:  rapid.IntRange(1, 4).Draw(t, "number"),
	}
}

// testEnv runs a schedule and tracks what engines consumed and may still consume.
// The table must never contradict that.
type testEnv struct {
	*fleet
	ctx     context.Context
	routers [testRouters]*testRouter
	clients sync.WaitGroup
	number  int
	last    event

	mu     sync.Mutex
	runs   map[string]*engineRun
	acked  map[string]int64 // bills that Bill returned as durable, by request key
	tried  map[string]int64 // bills that were attempted, by request key
	faults []string
	paused map[string]chan struct{}
}

type testRouter struct {
	vm          string
	incarnation int
	manager     *budget.GrantManager
	exited      chan struct{} // closed when the process ends
}

func runSchedule(t *testing.T, weight float64, schedule []event) []string {
	w := &testEnv{fleet: newFleet(t), runs: map[string]*engineRun{}, acked: map[string]int64{}, tried: map[string]int64{}, paused: map[string]chan struct{}{}}
	w.weight = weight
	w.ctx = t.Context()
	w.fake.SetHooks(store.Hooks{Before: w.beforeCall})
	for i := range w.routers {
		w.routers[i] = &testRouter{vm: fmt.Sprintf("vm-%d", i)}
		w.startRouter(w.routers[i])
	}
	w.topUpStudio(1000)
	for _, e := range schedule {
		time.Sleep(e.After)
		w.apply(e)
		w.check()
	}
	w.settle()
	return w.faults
}

func (w *testEnv) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// beforeCall blocks the calls of a paused process until it resumes.
func (w *testEnv) beforeCall(c store.Call) {
	w.mu.Lock()
	resumed := w.paused[c.VM]
	w.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (w *testEnv) startRouter(r *testRouter) {
	r.incarnation++
	r.exited = make(chan struct{})
	services := w.fake.As(r.vm)
	announced := store.VM{ID: r.vm, Incarnation: fmt.Sprint(r.incarnation), Role: "router", Address: "127.0.0.1:1", State: store.VMLive}
	faults := w.fake.Faults()
	w.fake.SetFaults(store.Faults{})
	w.expectNoFault(w.fake.As("starter").VMs.Announce(w.ctx, announced))
	w.fake.SetFaults(faults)
	holder := budget.HolderName(r.vm, fmt.Sprint(r.incarnation))
	r.manager = budget.NewGrantManager(budget.GrantManagerConfig{Table: services.Table, Holder: holder, Recaller: w, Policy: w.policy})
	w.register(holder, r.manager)
	_ = r.manager.Start(w.ctx)
}

func (w *testEnv) topUpStudio(tokens int64) {
	w.number++
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	_, err := budget.TopUp(ctx, w.table, studio, fmt.Sprint("order-", w.number), tokens)
	w.expectNoFault(err)
}

// expectNoFault records errors that no injected fault of the platform explains.
func (w *testEnv) expectNoFault(err error) {
	if err != nil && !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown) {
		w.fault("%v", err)
	}
}

func (w *testEnv) apply(e event) {
	r := w.routers[e.Router]
	switch e.Kind {
	case eventRequest:
		w.number++
		e.Number = w.number
		w.last = e
		w.client(r, e)
	case eventRetry:
		if w.last.Number > 0 {
			again := w.last
			again.Resumed, again.Lasts = e.Number%2 == 0, e.Lasts
			w.client(r, again)
		}
	case eventTopUp:
		w.topUpStudio(e.Ceiling)
	case eventDuties:
		w.tryDuties()
	case eventTwoDuties:
		var both sync.WaitGroup
		both.Go(w.tryDuties)
		both.Go(w.tryDuties)
		both.Wait()
	case eventKill:
		w.kill(r)
	case eventRestart:
		w.kill(r)
		w.startRouter(r)
	case eventPause:
		w.mu.Lock()
		if w.paused[r.vm] == nil {
			w.paused[r.vm] = make(chan struct{})
		}
		w.mu.Unlock()
	case eventResume:
		w.resume(r)
	case eventDeclareGone:
		_ = w.fake.SetVMState(r.vm, store.VMGone)
	case eventHandOver:
		w.handOver(r, w.routers[(e.Router+1)%testRouters])
	default:
		w.fake.UpdateFaults(func(f *store.Faults) { changeFaults(f, r.vm, e) })
		if e.Kind == eventReleaseWrite {
			w.fake.ReleaseDelayed()
		}
	}
}

func changeFaults(f *store.Faults, vm string, e event) {
	switch e.Kind {
	case eventCut:
		f.PartitionedVMs = append(f.PartitionedVMs, vm)
		f.Silent = e.Number%2 == 0
	case eventHeal:
		f.PartitionedVMs = nil
	case eventStoreDown:
		f.Down = true
		f.Silent = e.Number%2 == 0
	case eventStoreUp:
		f.Down = false
	case eventSlow:
		f.Latency = time.Duration(e.Number) * 400 * time.Millisecond
	case eventLoseAnswers:
		f.LoseNext = e.Number
	case eventDelayWrites:
		f.DelayNext = e.Number
		f.Delay = e.Lasts
	}
}

func (w *testEnv) tryDuties() {
	ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
	defer cancel()
	_, _ = journal.Folder{Table: w.table}.Run(ctx)
	_, _ = budget.Reclaimer{Table: w.table, VMs: w.fake.As("operator").VMs}.Run(ctx)
}

func (w *testEnv) resume(r *testRouter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if resumed := w.paused[r.vm]; resumed != nil {
		close(resumed)
		delete(w.paused, r.vm)
	}
}

// kill ends a process: it bills nothing more, but its runs go on at the engines.
func (w *testEnv) kill(r *testRouter) {
	w.resume(r)
	select {
	case <-r.exited:
	default:
		close(r.exited)
	}
	_ = r.manager.Stop()
}

// handOver is a planned stop. If Drain does not finish in time, for example because
// the table is down, pending bills are handed over to another router.
func (w *testEnv) handOver(r, to *testRouter) {
	if w.isPaused(r) || w.isPaused(to) || isClosed(r.exited) || isClosed(to.exited) {
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	if err := r.manager.Drain(ctx); err != nil && !r.manager.Journal().Sealed() {
		pending := r.manager.Journal().Pending()
		to.manager.Journal().Adopt(r.manager.Journal().Holder(), pending)
	}
	w.kill(r)
}

func (w *testEnv) isPaused(r *testRouter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paused[r.vm] != nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// client sends one request to a router.
func (w *testEnv) client(r *testRouter, e event) {
	manager, exited := r.manager, r.exited
	if isClosed(exited) || w.isPaused(r) {
		return
	}
	w.clients.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
		defer cancel()
		key := fmt.Sprint("request-", e.Number)
		reservation, err := manager.Reserve(ctx, budget.Request{Budget: studio, RequestKey: key, Ceiling: e.Ceiling})
		if err != nil || isClosed(exited) {
			return
		}
		used := e.Ceiling * e.Used / 100
		run := w.dispatch(reservation, e, used)
		select {
		case <-time.After(e.Lasts):
		case <-exited:
			return // the crashed router does not see the end of the run
		}
		w.mu.Lock()
		run.seen = true
		w.mu.Unlock()
		switch e.Number % 5 {
		case 4:
			reservation.Lose(used, budget.CauseFailed)
		default:
			w.bill(reservation, key, used, exited)
		}
	})
}

func (w *testEnv) bill(r *budget.Reservation, key string, used int64, exited chan struct{}) {
	w.mu.Lock()
	w.tried[key] = used
	w.mu.Unlock()
	err := r.Bill(w.ctx, used)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.acked[key] = used
	} else if !errors.Is(err, budget.ErrBillPending) && !errors.Is(err, journal.ErrSealed) {
		w.fault("bill: %v", err)
	}
}

// check audits the table, bypassing all faults.
func (w *testEnv) check() {
	for _, row := range w.fake.Dump(ledger.BudgetPrefix) {
		var b ledger.Budget
		if err := ledger.Decode(row.Key, row.Value, &b); err != nil {
			w.fault("%v", err)
		}
		if err := b.Check(); err != nil {
			w.fault("%s: %v", row.Key, err)
		}
	}
}

// TestRandomSchedules runs random schedules of requests and of faults of routers,
// the table and its answers. Guards against overspend and lost bills: engines never
// consume more than was purchased, the conservation rule holds after every step,
// every acknowledged bill is in the table once, and in the end every token is
// billed, lost or free.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weight := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "refusal weight")
		schedule := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 40).Draw(rt, "schedule")
		var faults []string
		bubble.Test(t, func(t *testing.T) { faults = runSchedule(t, weight, schedule) })
		if len(faults) > 0 {
			rt.Fatalf("%s", faults[0])
		}
	})
}

// regressionSchedules are schedules that failed in the past, as shrunk by rapid.
var regressionSchedules = map[string][]event{
	// It left a segment in the table that was sent again after its fold.
	"stray segment (seed 307155832777477568)": {
		{Kind: eventRequest, Ceiling: 1, Number: 1},
		{Kind: eventLoseAnswers, Number: 2},
		{After: 21 * time.Millisecond, Kind: eventDuties, Number: 1},
	},
	// It left the journal of an incarnation that started during an outage.
	"restart while the table is down (seed 6195019879158299123)": {
		{Kind: eventStoreDown, Number: 1},
		{Kind: eventRestart, Number: 1},
	},
}

func TestRegressionSchedules(t *testing.T) {
	for name, schedule := range regressionSchedules {
		bubble.Test(t, func(t *testing.T) {
			if faults := runSchedule(t, 0, schedule); len(faults) > 0 {
				t.Error(name, faults)
			}
		})
	}
}
