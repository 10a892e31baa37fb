package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopping is the cause with which the contexts of requests are cancelled at the end of a
// planned stop.
var ErrStopping = eris.New("the router stops")

// retryAfterStopping is short because other routers take the request at once.
const retryAfterStopping = 50 * time.Millisecond

// checkStop returns a problem for a request that must not be sent any more, since it may not
// end before the router does.
func (r *call) checkStop() *Problem {
	if r.relay.StopsAt == nil {
		return nil
	}
	if at, stops := r.relay.StopsAt(); stops && r.deadline.After(at) {
		return stoppingProblem("the router stops before the request's deadline")
	}
	return nil
}

// stopped reports whether a context ended with the router.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

func stoppingProblem(detail string) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Name: "stopping", Detail: detail, RetryAfter: retryAfterStopping}
}
