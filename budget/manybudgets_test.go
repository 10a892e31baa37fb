package budget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/budget"
	"buckthornridge/budget/journal"
	"buckthornridge/config"
	"buckthornridge/store"
)

// One router's share of the reference load.
const (
	requestRate     = 12.9 // requests per second
	requestTokens   = 432
	requestDuration = 17_700 * time.Millisecond // from dispatch to bill
	loadDuration    = 5 * time.Minute
)

// TestManyBudgets prints, with -experiment, the table load of one router (journal,
// grants and folding together) at the reference load, by the number of budgets over
// which its requests are spread.
func TestManyBudgets(t *testing.T) {
	if *experimentSeeds == 0 {
		return // prints figures only; TestFalseRefusals checks the limits
	}
	for _, budgets := range []int{1, 10, 100, 1_000, 2_400} {
		for _, weight := range []float64{0, 1} {
			bubble.Test(t, func(t *testing.T) { spreadOver(t, budgets, weight) })
		}
	}
}

func spreadOver(t *testing.T, budgets int, weight float64) {
	fake := store.NewFake(store.FakeOptions{})
	fake.SetFaults(store.Faults{Latency: 5 * time.Millisecond})
	table := fake.As("vm-1").Table
	id := func(i int) budget.ID { return budget.ID{Workspace: fmt.Sprint("w-", i/100), Name: fmt.Sprint("m-", i)} }
	for i := range budgets {
		if _, err := budget.TopUp(t.Context(), table, id(i), "order-1", 1<<40/int64(budgets)); err != nil {
			t.Fatal(err)
		}
	}
	m := budget.NewGrantManager(budget.GrantManagerConfig{Table: table, Holder: "vm-1#1",
		Policy: func() config.BudgetPolicy { return config.BudgetPolicy{RefusalWeight: weight} }})
	_ = m.Start(t.Context())
	<-m.Ready()
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		folder := journal.Folder{Table: table, Index: journal.NewIndex()}
		for ctx.Err() == nil {
			time.Sleep(5 * time.Second)
			_, _ = folder.Run(t.Context())
		}
	})
	random := rand.New(rand.NewPCG(1, 1))
	before := fake.Counters()
	var refused atomic.Int64
	var requests sync.WaitGroup
	for n := range int(requestRate * loadDuration.Seconds()) {
		time.Sleep(time.Duration(random.ExpFloat64() / requestRate * float64(time.Second)))
		which := id(random.IntN(budgets))
		requests.Go(func() {
			r, err := m.Reserve(t.Context(), budget.Request{Budget: which, RequestKey: fmt.Sprint(n), Ceiling: 2 * requestTokens})
			if err != nil {
				refused.Add(1)
				return
			}
			r.Dispatch(fmt.Sprint(n), false)
			time.Sleep(requestDuration)
			_ = r.Bill(t.Context(), requestTokens)
		})
	}
	after := fake.Counters()
	requests.Wait()
	cancel()
	tasks.Wait()
	_ = m.Stop()
	per := func(after, before int64) float64 { return float64(after-before) / loadDuration.Seconds() }
	t.Logf("budgets %d, weight %.0f: transactions/s %.1f rows/s %.1f reads/s %.1f refused %d", budgets, weight,
		per(after.Txns, before.Txns), per(after.RowsWritten, before.RowsWritten),
		per(after.Reads+after.Scans, before.Reads+before.Scans), refused.Load())
}
