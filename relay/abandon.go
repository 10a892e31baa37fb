package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/upstream"
)

// maxDecisionAge bounds the time between the choice of an upstream and the first byte that
// is sent to it. Limits on requests are judged at the choice: requests that wait longer
// for a connection or the processor would arrive together and exceed them.
const maxDecisionAge = 1500 * time.Millisecond

// errExpired reports that the deadline has passed.
var errExpired = eris.New("the deadline has passed")

// abandoned reports whether nobody waits for the response any more. It does not rely on
// the context alone: in a process that waits for the processor, the goroutines that would
// end it wait too.
func (r *call) abandoned(ctx context.Context) bool {
	if ctx.Err() == nil && r.request.Left != nil && r.request.Left() {
		r.leave(errCallerDisconnected)
		return true
	}
	return ctx.Err() != nil || r.remaining() <= 0
}

// wanted returns an error if the attempt must not be sent now.
func (t *attempt) wanted(ctx context.Context) error {
	switch {
	case t.call.abandoned(ctx):
		cause := context.Cause(ctx)
		if cause == nil {
			cause = errExpired
		}
		return errors.Join(upstream.ErrAbandoned, cause)
	case time.Since(t.startedAt) > maxDecisionAge:
		return upstream.ErrDelayed
	}
	return nil
}
