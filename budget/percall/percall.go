// Package percall is the baseline against which package budget is measured: one
// global counter row per budget, with one table write to reserve and one to settle
// each request. It holds no grants and writes no journal. It is never the better
// choice and exists for measurements only (router setting "baseline").
package percall

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/request"
	"buckthornridge/store"
)

const (
	retryDelay    = 5 * time.Millisecond // mean of the jittered time between attempts at a row
	settleTimeout = 30 * time.Second
	retryAfter    = time.Second
)

// Counter implements request.Budgets.
type Counter struct {
	table  store.Table
	holder string
	lastOp atomic.Uint64
	// rowLocks holds a semaphore per budget, which serializes its operations: the
	// row records only the holder's last operation, so that two operations with
	// lost answers could not both be resolved.
	rowLocks sync.Map
}

var _ request.Budgets = (*Counter)(nil)

// New returns a counter that writes under a holder's name.
func New(table store.Table, holder string) *Counter {
	return &Counter{table: table, holder: holder}
}

// Alive implements request.Budgets. It is always true: there are no grants that
// could become void.
func (*Counter) Alive() bool { return true }

// Reserve implements request.Budgets.
func (c *Counter) Reserve(ctx context.Context, r *request.Request) (request.Reservation, error) {
	id, ceiling := r.BudgetID(), r.Ceiling()
	err := c.change(ctx, id, func(row *ledger.Budget, op uint64) error {
		if row.Free < ceiling {
			return &budget.Refusal{Budget: id, Ceiling: ceiling, Free: row.Free, Certain: true, RetryAfter: retryAfter}
		}
		return row.Transfer(c.holder, ledger.Holding{Op: op, Delta: ceiling})
	})
	var refused *budget.Refusal
	if err != nil && !errors.As(err, &refused) {
		err = &budget.Refusal{Budget: id, Ceiling: ceiling, RetryAfter: retryAfter}
	}
	if err != nil {
		return nil, err
	}
	return &reservation{counter: c, id: id, ceiling: ceiling}, nil
}

// change applies one numbered change to a row, and retries after a write conflict
// or a lost answer, until the outcome is certain or ctx ends.
func (c *Counter) change(ctx context.Context, id budget.ID, apply func(*ledger.Budget, uint64) error) error {
	lock, _ := c.rowLocks.LoadOrStore(id, make(chan struct{}, 1))
	select {
	case lock.(chan struct{}) <- struct{}{}:
		defer func() { <-lock.(chan struct{}) }()
	case <-ctx.Done():
		return ctx.Err()
	}
	op := c.lastOp.Add(1)
	for sent := false; ; {
		rows, err := c.table.Read(ctx, ledger.BudgetKey(id))
		if err == nil {
			var row ledger.Budget
			if err := ledger.Decode(rows[0].Key, rows[0].Value, &row); err != nil {
				return err
			}
			if sent && row.Holders[c.holder].Op == op {
				return nil
			}
			if err := apply(&row, op); err != nil {
				return err
			}
			sent = true
			if err = c.commit(ctx, rows[0], &row); err == nil {
				return nil
			}
		}
		if pause.For(ctx, retryDelay/2+rand.N(retryDelay)) != nil {
			return eris.Wrapf(err, "change %s", id)
		}
	}
}

func (c *Counter) commit(ctx context.Context, read store.Row, row *ledger.Budget) error {
	_, err := c.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: read.Key, Version: read.Version}},
		Writes:     []store.Write{{Key: read.Key, Value: ledger.Encode(row)}},
	})
	return err
}

// reservation is the ceiling that a request has reserved in the counter row.
type reservation struct {
	counter *Counter
	id      budget.ID
	ceiling int64
}

// Dispatch implements request.Reservation. It does nothing: the row records no
// runs.
func (*reservation) Dispatch(string, bool) {}

// Bill implements request.Reservation. It waits for the table until ctx ends.
func (r *reservation) Bill(ctx context.Context, tokens int64) error {
	return r.settle(ctx, min(tokens, r.ceiling), (*ledger.Budget).Bill)
}

// Lose implements request.Reservation.
func (r *reservation) Lose(tokens int64, cause budget.Cause) {
	r.settleAsync(min(tokens, r.ceiling), func(row *ledger.Budget, holder string, tokens int64) error {
		return row.Lose(holder, tokens, cause)
	})
}

// Release implements request.Reservation.
func (r *reservation) Release() { r.settleAsync(0, (*ledger.Budget).Bill) }

// settleAsync settles in the background, for callers that do not wait.
func (r *reservation) settleAsync(tokens int64, move func(*ledger.Budget, string, int64) error) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = r.settle(ctx, tokens, move) // after an error the row shows the tokens as held
	}()
}

// settle moves the used tokens to their column and frees the rest, in one write.
func (r *reservation) settle(ctx context.Context, tokens int64, move func(*ledger.Budget, string, int64) error) error {
	return r.counter.change(ctx, r.id, func(row *ledger.Budget, op uint64) error {
		if err := move(row, r.counter.holder, tokens); err != nil {
			return err
		}
		return row.Transfer(r.counter.holder, ledger.Holding{Op: op, Delta: tokens - r.ceiling})
	})
}
