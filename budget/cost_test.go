package budget_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/budget"
	"buckthornridge/budget/ledger"
	"buckthornridge/config"
	"buckthornridge/store"
)

// TestCosts prints, with -experiment, the table commits by request rate and by
// number of routers, the cost of a partition and of a crash with witnesses, and the
// commits of a design that writes one row per bill instead of journals.
func TestCosts(t *testing.T) {
	if *experimentSeeds == 0 {
		return // prints figures only; TestFalseRefusals checks the limits
	}
	for _, rate := range []float64{10, 30, 67, 200, 600} {
		s := setup{size: 0.3, rate: rate, routers: 9, tokenFactor: 100, weight: 0.5}
		t.Logf("rate %.0f routers 9: %s", rate, runTrialIn(t, 1, s, strategies[2]))
	}
	for _, routers := range []int{3, 9, 27, 60} {
		s := setup{size: 0.3, rate: 200, routers: routers, tokenFactor: 100, weight: 0.5}
		t.Logf("rate 200 routers %d: %s", routers, runTrialIn(t, 1, s, strategies[2]))
	}
	for _, weight := range []float64{0, 0.5, 1} {
		for _, isolated := range []bool{false, true} {
			s := setup{size: 1, rate: 67, routers: 9, tokenFactor: 10, fault: "cut", weight: weight, witnessed: true, isolated: isolated}
			t.Logf("10 times the tokens, cut, weight %.1f, isolated %t: %s", weight, isolated, runTrialIn(t, 1, s, strategies[2]))
		}
		s := defaultSetup(1, "killed", weight)
		s.witnessed = true
		t.Logf("killed, weight %.1f: %s", weight, runTrialIn(t, 1, s, strategies[2]))
	}
	for _, rate := range []float64{10, 67, 200, 600} {
		bubble.Test(t, func(t *testing.T) { rowPerBill(t, rate) })
	}
}

// rowPerBill measures a design that writes every bill as a row of its own and moves
// the tokens in the budget row in the same transaction.
func rowPerBill(t *testing.T, rate float64) {
	f := newFleet(t)
	s := setup{size: 0.3, rate: rate}
	purchased := make([]int64, 10)
	for i := range purchased {
		purchased[i] = 1 << 40
		f.topUp(expBudget(i), "order-1", purchased[i])
	}
	before, began := f.fake.Counters(), time.Now()
	var bills sync.WaitGroup
	for _, a := range arrivals(1, s, purchased) {
		time.Sleep(time.Until(began.Add(a.at)))
		bills.Go(func() { f.billByRow(t, a) })
	}
	bills.Wait()
	after, seconds := f.fake.Counters(), s.size.duration().Seconds()
	t.Logf("row per bill, rate %.0f: commits/s %.1f conflicts/s %.1f reads/s %.1f", rate,
		float64(after.Commits-before.Commits)/seconds, float64(after.ConditionsFailed-before.ConditionsFailed)/seconds,
		float64(after.Reads-before.Reads)/seconds)
}

func (f *fleet) billByRow(t *testing.T, a arrival) {
	key := ledger.BudgetKey(expBudget(a.budget))
	for {
		rows, err := f.table.Read(t.Context(), key)
		if err != nil {
			t.Error(err)
			return
		}
		var row ledger.Budget
		_ = ledger.Decode(key, rows[0].Value, &row)
		row.Free -= a.used
		row.Billed += a.used
		billKey := "bill/" + a.key
		_, err = f.table.Commit(t.Context(), store.Txn{
			Conditions: []store.Condition{{Key: key, Version: rows[0].Version}, {Key: billKey}},
			Writes:     []store.Write{{Key: key, Value: ledger.Encode(&row)}, {Key: billKey}},
		})
		if !errors.Is(err, store.ErrConditionFailed) {
			return
		}
	}
}

// benchManager returns a grant manager on a table without faults and latency.
func benchManager(b *testing.B) (*budget.GrantManager, store.Table) {
	table := store.NewFake(store.FakeOptions{}).As("vm-1").Table
	m := budget.NewGrantManager(budget.GrantManagerConfig{Table: table, Holder: "vm-1#1",
		Policy: func() config.BudgetPolicy { return config.BudgetPolicy{RefusalWeight: 1} }})
	_ = m.Start(context.Background())
	<-m.Ready()
	b.Cleanup(func() { _ = m.Stop() })
	return m, table
}

// BenchmarkReserve reserves and releases tokens of a local grant, which is the
// budget's part of a request's path.
func BenchmarkReserve(b *testing.B) {
	m, table := benchManager(b)
	if _, err := budget.TopUp(b.Context(), table, studio, "order-1", 1<<50); err != nil {
		b.Fatal(err)
	}
	request := budget.Request{Budget: studio, RequestKey: "r", Ceiling: 100}
	for b.Loop() {
		r, err := m.Reserve(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		r.Release()
	}
}

// BenchmarkMemoryPerBudget reports the heap that an active budget (with a grant)
// and an idle one (returned by Drain) take in a router.
func BenchmarkMemoryPerBudget(b *testing.B) {
	for _, budgets := range []int{2_000, 20_000, 60_000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) { memoryPerBudget(b, budgets) })
	}
}

func memoryPerBudget(b *testing.B, budgets int) {
	for b.Loop() {
		m, table := benchManager(b)
		for i := range budgets {
			id := budget.ID{Workspace: fmt.Sprint("workspace-", i/100), Name: fmt.Sprint("member-", i)}
			if _, err := budget.TopUp(b.Context(), table, id, "order-1", 10_000); err != nil {
				b.Fatal(err)
			}
		}
		empty := heap()
		var group sync.WaitGroup
		gate := make(chan struct{}, 64)
		for i := range budgets {
			id := budget.ID{Workspace: fmt.Sprint("workspace-", i/100), Name: fmt.Sprint("member-", i)}
			gate <- struct{}{}
			group.Go(func() {
				defer func() { <-gate }()
				if r, err := m.Reserve(b.Context(), budget.Request{Budget: id, RequestKey: "r", Ceiling: 1000}); err == nil {
					r.Release()
				}
			})
		}
		group.Wait()
		b.ReportMetric(float64(heap()-empty)/float64(budgets), "B/active")
		if err := m.Drain(b.Context()); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heap()-empty)/float64(budgets), "B/idle")
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
