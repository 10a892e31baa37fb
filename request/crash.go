package request

import (
	"context"
	"errors"

	"buckthornridge/quarantine"
	"buckthornridge/upstream"
)

// content identifies requests of the workspace that are the same but for their keys.
func (r *Request) content() quarantine.Request {
	return quarantine.Request{Workspace: r.Key.Workspace, Body: r.Digest[:]}
}

// checkQuarantine returns a problem for a request that ends the upstreams that run it.
func (e *Executor) checkQuarantine(r *Request) *Problem {
	left, refused := e.guard.Refuse(r.content())
	if !refused {
		return nil
	}
	return &Problem{Name: ProblemQuarantined, RunState: NotRun, RetryAfter: left,
		Detail: "upstreams ended while they ran this request"}
}

// reportAttempt reports what the end of an attempt says about the request. The end of the
// run's own context says nothing about the upstream.
func (e *Executor) reportAttempt(ctx context.Context, r *Request, upstreamID string, err error) {
	switch {
	case err == nil:
		e.guard.Completed(r.content())
	case errors.Is(err, upstream.ErrBroken) && ctx.Err() == nil:
		e.guard.Broken(upstreamID, r.content())
	}
}
