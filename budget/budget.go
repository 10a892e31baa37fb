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

	"github.com/rotisserie/eris"
)

// ID names a budget.
type ID struct {
	Workspace string `msgpack:"w" json:"workspace"`
	Name      string `msgpack:"n" json:"budget"`
}

// String returns "workspace/name".
func (id ID) String() string { return id.Workspace + "/" + id.Name }

// ErrBillPending reports a bill that waits in the journal's queue because the
// platform's table does not answer. It is written when the table comes back.
var ErrBillPending = eris.New("budget: bill pending")

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
type Cause string

// The causes of lost tokens.
const (
	// CauseAbandoned: the attempt was given up; another one was billed.
	CauseAbandoned Cause = "abandoned"
	// CauseDuplicate: the request was billed by another router first.
	CauseDuplicate Cause = "duplicate"
	// CauseFailed: the request ended with an error after it ran in part.
	CauseFailed Cause = "failed"
	// CauseHolderGone: the holder died; its journal does not account for them.
	CauseHolderGone Cause = "holder_gone"
)
