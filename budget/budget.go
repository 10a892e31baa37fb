// Package budget keeps spend within prepaid budgets by escrow.
//
// Tokens move out of a budget's row in the table to one holder, a router's
// incarnation, before that router may spend them. At every version of the row
//
//	purchased = billed + lost + outstanding grants + free
//
// so no partition, pause or crash can overspend: what a router may spend, no one
// else has. The package does no I/O of its own; it takes the table and a clock.
package budget

import (
	"fmt"
	"time"

	"buckthornridge/budget/ledger"
)

// ID names a budget.
type ID = ledger.ID

// Refusal tells that a budget cannot cover a request. The request was not run.
type Refusal struct {
	Budget  ID
	Ceiling int64 // tokens the request asked for
	Free    int64 // tokens that were free in the table when last seen
	// Certain says that the table itself had too little; otherwise the table
	// could not be asked in time.
	Certain bool
	// RetryAfter says when to come back.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if !r.Certain {
		return fmt.Sprintf("budget %s: no grant covers %d tokens and the platform's table did not answer", r.Budget, r.Ceiling)
	}
	return fmt.Sprintf("budget %s: %d tokens asked, %d free", r.Budget, r.Ceiling, r.Free)
}

// Cause says why tokens were consumed without a bill.
type Cause = ledger.Cause

// The causes of lost tokens.
const (
	CauseAbandoned  = ledger.CauseAbandoned
	CauseDuplicate  = ledger.CauseDuplicate
	CauseFailed     = ledger.CauseFailed
	CauseHolderGone = ledger.CauseHolderGone
)
