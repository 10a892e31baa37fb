// Package allowance admits requests against prepaid budgets without a table write for
// each request.
//
// Each budget has one row in the table, its pool: the tokens granted to each holder, and
// what ended holders have used. All of that together never exceeds the prepaid limit, so
// a holder that is disconnected from the table can go on with its grant and no budget is
// overspent. A holder is one process; it spends from its grant in memory, as from an
// escrow.
//
// When a process dies, nobody knows exactly what it had spent. To lose little of a budget
// then, each holder writes a report to the table and keeps to the bound in it: a number
// of tokens at the time of the report, and more as time passes, slowly at first and
// faster once the table has not been reached for seconds. What the bound allows beyond
// the running requests at once is its headroom; the time from which it grows faster is
// its ramp start. The next process on the same VM can only start once this one, its
// predecessor, has ended. It counts what the bound allows up to then as spent and gives
// the rest back.
//
// A request for which a VM lacks tokens borrows them from other VMs, which count the loan
// like a request of their own (see LoanClient).
//
// Both sides compute the bound by the table service's clock. The holder uses a time that
// this clock has certainly reached, its successor one that it read after its own start. A
// pause, a slow answer or a jump of the time of day can therefore only make the holder
// spend less than what is counted.
//
// The table consists of partitions: the rows whose keys agree up to the last slash.
// Transactions of one partition are serialized, and each partition can be unavailable on
// its own.
package allowance

import (
	"fmt"
	"time"
)

// Cause says why a request was refused.
type Cause string

// Causes as they appear in logs.
const (
	// CauseNoGrant: this VM has no grant of the budget, and no other VM lent.
	CauseNoGrant Cause = "no_grant"
	// CauseGrantUsed: its grant is used up, the pool has too little, and no other VM
	// lent.
	CauseGrantUsed Cause = "grant_used"
	// CauseGrantFree: its grant is used up, and the pool's free tokens were not granted
	// in time.
	CauseGrantFree Cause = "grant_free"
	// CauseBound: its grant covers the request, the bound of the last report does not.
	CauseBound Cause = "bound"
	// CauseWrittenOff: the rest of the budget does not cover it if everything that may
	// have been lost with dead holders was consumed.
	CauseWrittenOff Cause = "written_off"
	// CauseExhausted: the rest of the budget does not cover it.
	CauseExhausted Cause = "exhausted"
	// CauseStopping: the process is stopping or has just started, or the caller
	// disconnected.
	CauseStopping Cause = "stopping"
)

// RefusedError reports a request that was not admitted.
type RefusedError struct {
	Budget string
	// Certain says that the rest of the budget does not cover the request. Otherwise that
	// is not known: tokens are held elsewhere, or the table is not reachable.
	Certain bool
	// Local says that, as far as is known, only this VM lacks the tokens.
	Local      bool
	RetryAfter time.Duration
	Cause      Cause
	Detail     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("budget %s: refused (certain: %t): %s", e.Budget, e.Certain, e.Detail)
}
