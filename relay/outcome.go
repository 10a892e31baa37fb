package relay

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// refuse answers with a problem before anything was sent to the caller.
func (r *run) refuse(p *Problem) {
	r.decision.Outcome, r.decision.Status, r.decision.Detail = p.Name, p.Status, p.Detail
	r.decision.Cause = p.Cause
	r.writer.Refuse(p)
}

// giveUp ends a request that has no answer. What the caller is told follows from
// what may have run.
func (r *run) giveUp(ctx context.Context, why string) {
	if r.begun {
		r.decision.Outcome, r.decision.Detail = "broken_off", why
		r.writer.Abort()
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		r.decision.Outcome, r.decision.Detail = "caller_left", why
		r.writer.Abort()
		return
	}
	r.refuse(r.verdict(ctx, why))
}

// verdict says how a request without an answer ended. "Not run" is said only if
// no upstream can have run it.
func (r *run) verdict(ctx context.Context, why string) *Problem {
	late := ctx.Err() != nil
	switch {
	case !r.ran && late:
		return &Problem{Status: http.StatusServiceUnavailable, Name: "not_run_in_time", Detail: why}
	case !r.ran:
		return &Problem{Status: http.StatusServiceUnavailable, Name: "no_upstream", Detail: why, RetryAfter: r.comeBack()}
	case late:
		return &Problem{Status: http.StatusGatewayTimeout, Name: "timed_out", Detail: why}
	}
	return &Problem{Status: http.StatusBadGateway, Name: "failed", Detail: why}
}

// comeBack returns when a caller that was refused may try again.
func (r *run) comeBack() time.Duration {
	if r.sends > 0 {
		return retryAfterFull
	}
	return retryAfterNoUpstream
}

// asProblem returns the problem in an error, or an honest "not run" for one that
// says nothing.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{Status: http.StatusServiceUnavailable, Name: "not_admitted", Detail: err.Error(), RetryAfter: retryAfterNoUpstream}
}
