package request

import "fmt"

// State is the state of a run. Each state's comment names the durable record
// that it depends on: what a caller is told never depends on memory alone.
type State uint8

// The states of a run.
const (
	// Received: nothing is durable yet.
	Received State = iota
	// Admitted: the request passed the admission queue; nothing is durable yet.
	Admitted
	// Reserved: the grant that covers the ceiling is in the budget's row.
	Reserved
	// Claimed: the claim row of an at-most-once call names this run.
	Claimed
	// Dispatched: a byte may have been sent to an upstream. The journal's Open
	// entry, or the holder's exposure, covers the ceiling.
	Dispatched
	// Retrying: an attempt failed after it may have run, and another one is being
	// prepared. The run can no longer end as "not run".
	Retrying
	// Answered: the upstream's whole response was received and checked.
	Answered
	// Recorded: the claim row holds the outcome of an earlier run with this key.
	Recorded
	// Billed: the bill is in the journal, or pending (see package journal).
	Billed
	// Completed: the outcome was published to callers.
	Completed
	// Refused: the run ended without executing anything ("not run").
	Refused
	// Failed: the run ended after dispatch and executed at least in part.
	Failed
	// Lost: the run ended after dispatch, and whether it executed is unknown.
	Lost
)

var stateNames = [...]string{
	"received", "admitted", "reserved", "claimed", "dispatched", "retrying",
	"answered", "recorded", "billed", "completed", "refused", "failed", "lost",
}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// transitions lists the allowed state transitions. Reserved, Claimed and Refused
// can follow Dispatched only if the upstreams proved that they executed nothing
// in this attempt and all earlier ones; otherwise Retrying, Failed or Lost follow.
var transitions = map[State][]State{
	Received:   {Admitted, Refused},
	Admitted:   {Reserved, Refused},
	Reserved:   {Claimed, Recorded, Dispatched, Refused},
	Claimed:    {Dispatched, Refused},
	Dispatched: {Answered, Reserved, Claimed, Retrying, Refused, Failed, Lost},
	Retrying:   {Dispatched, Failed, Lost},
	Answered:   {Billed, Failed},
	Billed:     {Completed},
	Recorded:   {Completed, Lost},
}

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }

// MayHaveRun reports whether the request may have been executed, so that "not
// run" can no longer be reported.
func (s State) MayHaveRun() bool {
	switch s {
	case Received, Admitted, Reserved, Claimed, Refused:
		return false
	}
	return true
}

// allowed reports whether the transition is in the table.
func allowed(from, to State) bool {
	for _, s := range transitions[from] {
		if s == to {
			return true
		}
	}
	return false
}

// mustAllow panics on a transition that is not in the table. That is a
// programming error, after which "not run" could be reported for a request that
// was executed.
func mustAllow(from, to State) {
	if !allowed(from, to) {
		panic(fmt.Sprintf("request: no transition from %s to %s", from, to))
	}
}
