package request

import (
	"context"
	"time"

	"buckthornridge/budget"
	"buckthornridge/quarantine"
	"buckthornridge/upstream"
)

// Admission queues requests and refuses those that cannot be served in time.
type Admission interface {
	// Admit waits until the request may be dispatched. It returns a *Problem with
	// NotRun if the request cannot be served in time. The caller calls release
	// once the request has ended.
	Admit(ctx context.Context, r *Request) (release func(), err error)
}

// Reservation is the part of a grant that is reserved for one attempt.
type Reservation interface {
	// Dispatch records the engine stream before its first byte is sent. resumed
	// reports that another router started the stream: the bill covers the whole
	// stream, so the other router's reservation for it is not written off.
	Dispatch(stream string, resumed bool)
	// Bill makes the bill durable. It returns budget.ErrBillPending if the table
	// does not respond; the bill is then written later.
	Bill(ctx context.Context, tokens int64) error
	// Lose records tokens that were consumed but are not billed.
	Lose(tokens int64, cause budget.Cause)
	// Release returns the whole reservation after nothing was consumed.
	Release()
}

// Budgets reserves tokens before dispatch.
type Budgets interface {
	// Reserve returns a *budget.Refusal if no grant can cover the ceiling.
	Reserve(ctx context.Context, r *Request) (Reservation, error)
	// Alive reports whether this process may still spend its grants. It is called
	// right before dispatch: a process that was replaced while it was paused finds
	// its journal sealed and must not use a reservation made before the pause.
	Alive() bool
}

// AttemptResult reports the result of an attempt to the router.
type AttemptResult struct {
	Err        error
	FirstToken time.Duration // since dispatch; 0 if no token was received
	Usage      upstream.Usage
}

// Choice is an upstream picked for one attempt.
type Choice interface {
	Upstream() string
	// FirstToken reports the time from dispatch to the first token.
	FirstToken(time.Duration)
	// Done reports the end of the attempt.
	Done(AttemptResult)
}

// Guard refuses requests that end the upstreams that run them.
type Guard interface {
	// Refuse reports whether a request must not be sent to any upstream, and for how
	// long at most.
	Refuse(r quarantine.Request) (left time.Duration, refused bool)
	// Suspected reports whether several upstreams have crashed under a part of the
	// request, so that it should not be sent a second time.
	Suspected(r quarantine.Request) bool
	// Broken reports that the connection of a request was lost while the upstream may
	// have been running it. answered says whether Answering was reported of the attempt.
	Broken(upstreamID string, r quarantine.Request, answered bool)
	// Answering reports that an upstream has begun to answer a request and goes on.
	Answering(r quarantine.Request)
	// Completed reports that an upstream ran a request to a good end.
	Completed(r quarantine.Request)
}

// Router picks upstreams and returns their clients.
type Router interface {
	// Pick returns a *Problem if no upstream can accept the request or the retry
	// budgets allow no further attempt. exclude lists the upstreams already tried.
	Pick(r *Request, exclude []string) (Choice, error)
	// Claim reports whether an upstream's limit allows one more request now, for those
	// that are not picked.
	Claim(id string) bool
	Engine(id string) (upstream.Engine, error)
	Service(id string) (upstream.Service, error)
}
