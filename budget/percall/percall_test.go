package percall

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/budget"
	"buckthornridge/request"
	"buckthornridge/store"
)

// Nine routers compete for one budget with the baseline. Guards against overspend,
// and against a request that is settled twice because the answer of its write was
// lost.
func TestBaselineNeverOverspends(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Seed: 1, Faults: store.Faults{LoseRate: 0.2}})
		table := fake.As("operator").Table
		id := budget.ID{Workspace: "w", Name: "main"}
		for {
			if _, err := budget.TopUp(t.Context(), table, id, "one", 1000); err == nil {
				break
			}
		}
		r := &request.Request{
			Key: request.Key{Workspace: "w", ID: "r"}, Budget: "main",
			Call: &request.Call{Tokens: 100},
		}
		var all sync.WaitGroup
		var granted, refused atomic.Int64
		for _, vm := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
			c := New(table, vm)
			for range 3 {
				all.Go(func() {
					held, err := c.Reserve(t.Context(), r)
					var refusal *budget.Refusal
					if errors.As(err, &refusal) {
						refused.Add(1)
						return
					}
					granted.Add(1)
					if err := held.Bill(t.Context(), 100); err != nil {
						t.Error(err)
					}
				})
			}
		}
		all.Wait()
		is.Equal(granted.Load(), int64(10))
		is.Equal(refused.Load(), int64(17))
		state, err := budget.Status(t.Context(), table, id)
		is.NoErr(err)
		is.Equal(state.Billed, int64(1000))
		is.NoErr(state.Check())
	})
}
