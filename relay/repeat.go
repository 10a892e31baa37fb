package relay

import (
	"context"

	"buckthornridge/upstream"
)

// Causes of a Repeat, besides those of upstream.BreakCause.
const (
	repeatRefused = "refused" // the upstream did not run it
	repeatFailed  = "failed"  // the upstream answered with an error
)

// refusedRepeat follows an upstream's guarantee that it did not run the request.
var refusedRepeat = Repeat{repeatRefused, upstream.RunEnded}

// Repeat is one decision to send a request once more.
type Repeat struct {
	// Cause says why; it is short and stable.
	Cause string
	// Before says how the run before ended.
	Before upstream.RunEnd
}

// String returns the repeat as it is written to logs: "cause:end".
func (r Repeat) String() string { return r.Cause + ":" + r.Before.String() }

// repeat reports whether the request may be sent to another upstream, and records it. ran
// tells whether the upstream before may have run it.
func (r *call) repeat(ctx context.Context, ran bool, why Repeat) bool {
	if !r.mayRetry(ctx, ran) {
		return false
	}
	r.record.Repeats = append(r.record.Repeats, why)
	return true
}

// repeatAfter returns why a request is sent once more after its exchange failed.
func repeatAfter(err error) Repeat {
	return Repeat{Cause: upstream.BreakCause(err), Before: upstream.RunEndOf(err)}
}
