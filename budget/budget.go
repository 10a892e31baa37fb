// Package budget keeps spend within prepaid budgets by escrow.
//
// A grant moves tokens from a budget's row in the table to one holder, a router's
// incarnation, before that router may spend them. At every version of the row
//
//	purchased = billed + lost + outstanding grants + free
//
// so that no partition, pause or crash can cause overspend: no other holder has
// the tokens that a router may spend. The package does no I/O of its own; it uses
// the table and the interfaces that its callers pass in.
//
// Each holder has a journal of what it dispatched and billed; see package journal.
// Its exposure bounds the tokens that it may dispatch before the journal records
// them. When the platform declares a holder gone, its exposure and the ceilings of
// its open reservations are lost, and the rest of its grant is free again.
package budget

import (
	"fmt"
	"time"

	"buckthornridge/budget/ledger"
)

// ID names a budget.
type ID = ledger.ID

// Refusal reports that a budget cannot cover a request. The request was not run.
type Refusal struct {
	Budget  ID
	Ceiling int64 // tokens the request asked for
	Free    int64 // tokens that were free in the table when last read
	// Certain is set if the table had too few tokens, and unset if the table did
	// not answer in time.
	Certain bool
	// RetryAfter is the delay before the caller should retry.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if !r.Certain {
		return fmt.Sprintf("budget %s: no grant covers %d tokens and the platform's table did not answer", r.Budget, r.Ceiling)
	}
	return fmt.Sprintf("budget %s: %d tokens asked, %d free", r.Budget, r.Ceiling, r.Free)
}

// Cause is the reason why tokens were consumed without a bill.
type Cause = ledger.Cause

// The causes of lost tokens.
const (
	CauseAbandoned  = ledger.CauseAbandoned
	CauseDuplicate  = ledger.CauseDuplicate
	CauseFailed     = ledger.CauseFailed
	CauseHolderGone = ledger.CauseHolderGone
)
