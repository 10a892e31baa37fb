// Package journal is the durable log of what a router incarnation dispatched and
// billed. It also folds journals into the budget rows: a fold applies a journal's
// entries to the rows and deletes the entries.
//
// A journal is a sequence of segments, each one group commit. Every append is
// conditional on the journal's liveness row. Deleting that row seals the journal:
// after that no append can take effect, however late it arrives.
package journal

import (
	"github.com/rotisserie/eris"

	"buckthornridge/budget/ledger"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrSealed reports that the journal accepts no more entries: its holder was
	// declared gone, or has drained. The holder's grants are void.
	ErrSealed = eris.New("journal: sealed")
	// ErrTaken reports that another process uses the same holder name.
	ErrTaken = eris.New("journal: holder name taken")
)

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entry.
const (
	// KindOpen: a request is dispatched; Tokens is its ceiling.
	KindOpen Kind = iota + 1
	// KindBill: a request was answered; Tokens is the amount that is billed.
	KindBill
	// KindLost: tokens were consumed without a bill. With 0 tokens it only
	// closes an open reservation.
	KindLost
)

// Entry is one record of a journal.
type Entry struct {
	Kind Kind `msgpack:"k"`
	// Reservation numbers the reservation among those of its holder.
	Reservation uint64    `msgpack:"r"`
	Budget      ledger.ID `msgpack:"b"`
	// Request is the idempotency key under which the request is billed once,
	// unique in the budget.
	Request string       `msgpack:"q,omitempty"`
	Tokens  int64        `msgpack:"t"`
	Cause   ledger.Cause `msgpack:"c,omitempty"`
	// Run names the upstream's run that the reservation covers: in an opening
	// entry, the run that is dispatched; in a bill, the run that was resumed from
	// another holder and is billed whole.
	Run string `msgpack:"u,omitempty"`
}

// Segment is one group commit.
type Segment struct {
	Entries []Entry `msgpack:"e"`
}

// Limits of a segment. They ensure that it can be folded in one transaction.
const (
	MaxSegmentEntries = 1000
	MaxSegmentBudgets = 50
	// MaxRequestKey bounds an entry's request key in bytes.
	MaxRequestKey = 512
)

// liveness is the value of a journal's liveness row.
type liveness struct {
	Nonce   string `msgpack:"n"` // distinguishes two processes with the same holder name
	Started int64  `msgpack:"s"` // Unix time in milliseconds
}

// FoldState is the value of a journal's fold row.
type FoldState struct {
	// Next is the sequence number of the first segment that is not folded.
	Next uint64 `msgpack:"n"`
	// Open holds the reservations that are open, by number.
	Open map[uint64]OpenReservation `msgpack:"o,omitempty"`
}

// OpenReservation is a reservation that the folded part of a journal opens and does not
// close.
type OpenReservation struct {
	Budget  ledger.ID `msgpack:"b"`
	Ceiling int64     `msgpack:"c"`
	Run     string    `msgpack:"u,omitempty"`
}
