package relay

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// refuse responds with a problem. Nothing may have been sent to the caller before.
func (r *call) refuse(p *Problem) {
	r.record.Outcome, r.record.Status, r.record.Detail = p.Name, p.Status, p.Detail
	r.record.Cause = p.Cause
	r.writer.Refuse(p)
}

// giveUp ends a request that has no complete response. What the caller is told depends
// on whether an upstream may have run it.
func (r *call) giveUp(ctx context.Context, reason string) {
	if r.streamStarted {
		r.record.Outcome, r.record.Detail = "broken_off", reason
		r.writer.Abort()
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) && !stopped(ctx) {
		r.record.Outcome, r.record.Detail = "caller_left", reason
		r.writer.Abort()
		return
	}
	r.refuse(r.failureProblem(ctx, reason))
}

// failureProblem returns the problem for a request without a response. It says that the
// request was not run only if no upstream can have run it.
func (r *call) failureProblem(ctx context.Context, reason string) *Problem {
	expired := ctx.Err() != nil || r.remaining() <= 0
	switch {
	case !r.mayHaveRun && stopped(ctx):
		return stoppingProblem(reason)
	case !r.mayHaveRun && expired:
		return &Problem{Status: http.StatusServiceUnavailable, Name: "not_run_in_time", Detail: reason}
	case !r.mayHaveRun:
		return &Problem{Status: http.StatusServiceUnavailable, Name: "no_upstream", Detail: reason, RetryAfter: r.retryAfter()}
	case expired:
		return &Problem{Status: http.StatusGatewayTimeout, Name: "timed_out", Detail: reason}
	}
	return &Problem{Status: http.StatusBadGateway, Name: "failed", Detail: reason}
}

// retryAfter returns when a refused caller may try again.
func (r *call) retryAfter() time.Duration {
	if r.limitedFor > 0 {
		return r.limitedFor
	}
	if wait, limited := r.relay.Picker.UntilAllowed(r.routingRequest()); limited {
		return wait
	}
	if r.sends > 0 {
		return retryAfterFull
	}
	return retryAfterNoUpstream
}

// asProblem returns the problem that an error wraps. Other errors occur before anything
// is sent and become "not_admitted".
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{Status: http.StatusServiceUnavailable, Name: "not_admitted", Detail: err.Error(), RetryAfter: retryAfterNoUpstream}
}
