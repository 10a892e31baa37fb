package request

import (
	"context"
	"time"

	"buckthornridge/budget"
	"buckthornridge/upstream"
)

// Admission lets requests in or refuses them at once.
type Admission interface {
	// Admit waits for a turn. It returns a *Problem (not run) when the request
	// cannot be served in time. release is called once the request ended.
	Admit(ctx context.Context, r *Request) (release func(), err error)
}

// Reservation is a part of a grant set aside for one attempt.
type Reservation interface {
	// Dispatch names the engine's stream before its first byte is sent. resumed
	// says that an earlier router began it: the bill covers the whole stream,
	// so that what that router had reserved for it is not written off.
	Dispatch(stream string, resumed bool)
	// Bill makes the bill durable. budget.ErrBillPending means that it is kept
	// for later because the table does not answer.
	Bill(ctx context.Context, tokens int64) error
	// Lose accounts for tokens consumed without a bill.
	Lose(tokens int64, cause budget.Cause)
	// Release returns the whole reservation; nothing was consumed.
	Release()
}

// Budgets reserves tokens before dispatch.
type Budgets interface {
	// Reserve returns *budget.Refusal when no grant can cover the ceiling.
	Reserve(ctx context.Context, r *Request) (Reservation, error)
	// Alive reports whether this process may still spend its grants. It is asked
	// right before dispatch: a process that was paused past its replacement
	// finds its journal sealed and must not act on a reservation made before.
	Alive() bool
}

// AttemptResult tells routing how an attempt on an upstream went.
type AttemptResult struct {
	Err        error
	FirstToken time.Duration // from dispatch; 0 if none came
	Usage      upstream.Usage
}

// Choice is an upstream picked for one attempt.
type Choice interface {
	Upstream() string
	// FirstToken is called when the first token came, so long after dispatch.
	FirstToken(time.Duration)
	Done(AttemptResult)
}

// Router picks upstreams and knows their clients.
type Router interface {
	// Pick returns a *Problem when no upstream can take the request, or when the
	// retry budgets allow no further attempt; exclude lists what was tried.
	Pick(r *Request, exclude []string) (Choice, error)
	Engine(id string) (upstream.Engine, error)
	Service(id string) (upstream.Service, error)
}
