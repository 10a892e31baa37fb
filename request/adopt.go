package request

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"buckthornridge/upstream"
)

// resumeAttempts is how many times resuming a broken stream is tried before a new
// attempt is made.
const resumeAttempts = 2

// errLimited reports that the engine's limit allows no further request now.
var errLimited = eris.New("request: the engine's limit allows no request now")

// hint returns the location of a stream that another router started for the
// request, for use by the first attempt. It comes with a forwarded request or from
// a hint received earlier.
func (a *attempt) hint() *Hint {
	if a.number > 1 {
		return nil
	}
	if a.request.Hint != nil {
		return a.request.Hint
	}
	return a.executor.hints.lookup(a.request)
}

// adopt takes over the stream that another router started on an engine. It reads
// the stream from its start, so that this router has the whole answer for later
// retries. adopted is false if the stream is not available; then nothing was
// dispatched.
func (a *attempt) adopt(ctx context.Context, h Hint) (usage upstream.Usage, adopted bool, err error) {
	engine, err := a.executor.router.Engine(h.Upstream)
	if err != nil {
		return usage, false, err
	}
	if !a.executor.router.Claim(h.Upstream) {
		_ = a.cancelStream(engine, h.StreamID)
		return usage, false, errLimited
	}
	w := newWatchdog(ctx, a.executor.settings)
	defer w.stop()
	stream, err := engine.Resume(w.ctx, h.StreamID, 0)
	if err != nil {
		_ = a.cancelStream(engine, h.StreamID)
		return usage, false, err
	}
	a.target, a.streamID = h.Upstream, h.StreamID
	stream = upstream.EnforceLimits(w.ctx, engine, stream, a.engineRequest())
	if problem := a.dispatch(true); problem != nil {
		stream.Close()
		return usage, true, problem
	}
	a.sent = true
	usage, err = a.readToEnd(w, engine, stream, &AttemptResult{})
	return usage, true, err
}

// resume reopens a broken stream at the next token. It returns cause if the stream
// can't be resumed.
func (a *attempt) resume(w *watchdog, engine upstream.Engine, cause error) (upstream.Stream, error) {
	if !errors.Is(cause, upstream.ErrBroken) || w.ctx.Err() != nil {
		return nil, cause
	}
	for range resumeAttempts {
		if !a.executor.router.Claim(a.target) {
			return nil, cause
		}
		stream, err := engine.Resume(w.ctx, a.streamID, a.received)
		if err == nil {
			return upstream.EnforceLimits(w.ctx, engine, stream, a.engineRequest()), nil
		}
	}
	return nil, cause
}
