package relay

import (
	"context"
	"time"

	"buckthornridge/pause"
	"buckthornridge/upstream"
)

// Causes of a Repeat, besides those of upstream.BreakCause.
const (
	repeatRefused = "refused" // the upstream did not run it
	repeatFailed  = "failed"  // the upstream answered with an error
)

// refusedRepeat follows an upstream's guarantee that it did not run the request.
var refusedRepeat = Repeat{repeatRefused, upstream.RunEnded}

// PossibleRepeats are the repeats that occur, so that metrics show each from the start.
var PossibleRepeats = []Repeat{
	refusedRepeat,
	{repeatFailed, upstream.RunEnded},
	{upstream.BreakClosed, upstream.RunEnded},
	{upstream.BreakSilent, upstream.RunEnded},
	{upstream.BreakSilent, upstream.RunUnknown},
	{upstream.BreakInvalid, upstream.RunCancelled},
	{upstream.BreakTooLarge, upstream.RunCancelled},
	{upstream.BreakRouterLost, upstream.RunCancelled},
}

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

// runPollInterval is the time between two questions whether a run has ended. Upstreams answer
// with what was some hundred milliseconds ago.
const runPollInterval = 200 * time.Millisecond

// repeat reports whether the request may be sent to another upstream after its exchange
// failed.
func (t *attempt) repeat(ctx context.Context, err error) bool {
	why := Repeat{Cause: upstream.BreakCause(err), Before: upstream.RunEndOf(err)}
	if ctx.Err() != nil {
		return false
	}
	if why.Before == upstream.RunUnknown && t.call.route.Kind == Resumable {
		ended, mayRepeat := t.awaitRunEnd(ctx)
		if !mayRepeat {
			return false
		}
		why.Before = ended
	}
	return t.call.repeat(ctx, true, why)
}

// awaitRunEnd waits until the run of a stream has ended whose connection fell silent: its
// upstream has not seen the close, and a continuation elsewhere would run beside it. It
// reports whether the stream may be continued. That is so if the upstream is out of reach.
func (t *attempt) awaitRunEnd(ctx context.Context) (end upstream.RunEnd, mayRepeat bool) {
	r := t.call
	switch AwaitRunEnd(ctx, func() RunState { return r.relay.Sender.Runs(ctx, t.target, r.request.ID) }) {
	case NotRunning:
		return upstream.RunEnded, true
	case Unreachable:
		return upstream.RunUnknown, true
	}
	return upstream.RunUnknown, false
}

// AwaitRunEnd asks what became of a run until it has ended, nothing can be learned of it, or
// the context ends. It returns the last answer.
func AwaitRunEnd(ctx context.Context, ask func() RunState) RunState {
	for {
		state := ask()
		if state != Running || pause.For(ctx, runPollInterval) != nil {
			return state
		}
	}
}
