package budget

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/store"
)

// ErrTopUpReused reports a top-up id that was already applied with another number
// of tokens.
var ErrTopUpReused = eris.New("budget: top-up id reused")

// topUpRetries bounds the attempts after write conflicts and lost answers.
const topUpRetries = 20

// topUpRow is one applied top-up.
type topUpRow struct {
	Tokens  int64 `msgpack:"t"`
	Applied int64 `msgpack:"a"` // Unix time in milliseconds
}

// TopUp adds purchased tokens to a budget. It is idempotent per topUpID: applied
// is false if the top-up was already applied. After an error the caller retries
// with the same id.
func TopUp(ctx context.Context, table store.Table, id ID, topUpID string, tokens int64) (applied bool, err error) {
	if topUpID == "" || tokens <= 0 {
		return false, eris.Wrapf(ErrInvalidRequest, "top up %s: id %q, %d tokens", id, topUpID, tokens)
	}
	table = ledger.WithTimeout(table)
	for attempt := 1; ; attempt++ {
		applied, err = topUpOnce(ctx, table, id, topUpID, tokens)
		// A lost answer is resolved by reading again: either the top-up's row
		// exists, or the lost transaction fails once a new one changes the budget
		// row.
		again := errors.Is(err, store.ErrConditionFailed) || errors.Is(err, store.ErrOutcomeUnknown)
		if err == nil || !again || attempt == topUpRetries {
			return applied, eris.Wrapf(err, "top up %s", id)
		}
		if err := pause.For(ctx, min(minBackoff*time.Duration(attempt), maxBackoff)); err != nil {
			return false, eris.Wrapf(err, "top up %s", id)
		}
	}
}

func topUpOnce(ctx context.Context, table store.Table, id ID, topUpID string, tokens int64) (bool, error) {
	budgetKey, topUpKey := ledger.BudgetKey(id), ledger.TopUpKey(id, topUpID)
	rows, err := table.Read(ctx, budgetKey, topUpKey)
	if err != nil {
		return false, eris.Wrapf(err, "read")
	}
	if rows[1].Version != 0 {
		var before topUpRow
		if err := ledger.Decode(topUpKey, rows[1].Value, &before); err != nil {
			return false, err
		}
		if before.Tokens != tokens {
			return false, eris.Wrapf(ErrTopUpReused, "%q was %d tokens", topUpID, before.Tokens)
		}
		return false, nil
	}
	var budget ledger.Budget
	if err := ledger.Decode(budgetKey, rows[0].Value, &budget); err != nil {
		return false, err
	}
	if err := budget.Purchase(tokens); err != nil {
		return false, err
	}
	_, err = table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: budgetKey, Version: rows[0].Version}, {Key: topUpKey}},
		Writes: []store.Write{
			{Key: budgetKey, Value: ledger.Encode(&budget)},
			{Key: topUpKey, Value: ledger.Encode(topUpRow{Tokens: tokens, Applied: time.Now().UnixMilli()})},
		},
	})
	return err == nil, eris.Wrapf(err, "commit")
}

// State is the row of one budget as shown to operators.
type State = ledger.Budget

// Status reads one budget. A budget that was never topped up is the zero State.
func Status(ctx context.Context, table store.Table, id ID) (State, error) {
	rows, err := ledger.WithTimeout(table).Read(ctx, ledger.BudgetKey(id))
	if err != nil {
		return State{}, eris.Wrapf(err, "status of %s", id)
	}
	var state State
	return state, ledger.Decode(rows[0].Key, rows[0].Value, &state)
}

// Violation is a broken conservation rule of one budget.
type Violation struct {
	Budget ID     `json:"budget"`
	Text   string `json:"text"`
}

// Report is the result of an audit. Token counts are sums over all budgets.
type Report struct {
	Budgets    int             `json:"budgets"`
	Purchased  int64           `json:"purchased"`
	Billed     int64           `json:"billed"`
	Lost       map[Cause]int64 `json:"lost"`
	Held       int64           `json:"held"`
	Free       int64           `json:"free"`
	Violations []Violation     `json:"violations"`
}

// auditPage bounds the rows per scan of an audit.
const auditPage = 500

// Audit checks every budget from the table alone: purchased = billed + lost +
// outstanding grants + free, no column is negative, and purchased is the sum of
// the applied top-ups. It is exact under concurrent load: the first two checks use
// a single row, and the third reads the row again before it reports a violation.
func Audit(ctx context.Context, table store.Table) (Report, error) {
	table = ledger.WithTimeout(table)
	report := Report{Lost: map[Cause]int64{}}
	after := ""
	for {
		rows, err := table.Scan(ctx, ledger.BudgetPrefix, after, auditPage)
		if err != nil {
			return report, eris.Wrapf(err, "audit")
		}
		if len(rows) == 0 {
			return report, nil
		}
		for _, row := range rows {
			if err := report.check(ctx, table, row); err != nil {
				return report, err
			}
			after = row.Key
		}
	}
}

func (r *Report) check(ctx context.Context, table store.Table, row store.Row) error {
	id, err := ledger.ParseID(ledger.BudgetPrefix, row.Key)
	if err != nil {
		return err
	}
	var budget ledger.Budget
	if err := ledger.Decode(row.Key, row.Value, &budget); err != nil {
		return err
	}
	r.add(&budget)
	if err := budget.Check(); err != nil {
		r.Violations = append(r.Violations, Violation{Budget: id, Text: err.Error()})
	}
	return r.checkTopUps(ctx, table, id, budget.Purchased)
}

// checkTopUps compares purchased with the sum of the top-ups. A top-up between
// the two reads changes both, so that a difference is a violation only if
// purchased is unchanged afterwards.
func (r *Report) checkTopUps(ctx context.Context, table store.Table, id ID, purchased int64) error {
	for {
		sum, err := sumTopUps(ctx, table, id)
		if err != nil || sum == purchased {
			return err
		}
		now, err := Status(ctx, table, id)
		if err != nil {
			return err
		}
		if now.Purchased == purchased {
			text := eris.Errorf("purchased %d, but top-ups sum to %d", purchased, sum).Error()
			r.Violations = append(r.Violations, Violation{Budget: id, Text: text})
			return nil
		}
		purchased = now.Purchased
	}
}

func sumTopUps(ctx context.Context, table store.Table, id ID) (int64, error) {
	var sum int64
	after := ""
	for {
		rows, err := table.Scan(ctx, ledger.TopUpsPrefix(id), after, auditPage)
		if err != nil {
			return 0, eris.Wrapf(err, "audit top-ups of %s", id)
		}
		if len(rows) == 0 {
			return sum, nil
		}
		for _, row := range rows {
			var topUp topUpRow
			if err := ledger.Decode(row.Key, row.Value, &topUp); err != nil {
				return 0, err
			}
			sum += topUp.Tokens
			after = row.Key
		}
	}
}

func (r *Report) add(b *ledger.Budget) {
	r.Budgets++
	r.Purchased += b.Purchased
	r.Billed += b.Billed
	r.Held += b.HeldTokens()
	r.Free += b.Free
	for cause, tokens := range b.Lost {
		r.Lost[cause] += tokens
	}
}
