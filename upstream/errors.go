package upstream

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/upstream/wire"
)

// ErrStreamExists reports a Generate whose stream id the engine already knows:
// the request is running or ran there, and its stream may be resumed.
var ErrStreamExists = eris.New("upstream: stream exists")

// ErrStaleFence reports that the engine rejected a desired state because its
// fencing token is outdated.
var ErrStaleFence = eris.New("upstream: stale fencing token")

// ErrConnectionLimit reports that nothing was sent because this router's limit of
// connections to the upstream is reached. It does not indicate a fault of the
// upstream.
var ErrConnectionLimit = eris.New("upstream: connection limit reached")

// ErrOtherProcess reports that nothing was sent because the upstream is not the process
// that the request is meant for.
var ErrOtherProcess = eris.New("upstream: another process")

// ErrNoRoom reports that nothing was sent because no router may send a request to the
// upstream now. It does not indicate a fault of the upstream.
var ErrNoRoom = eris.New("upstream: no router has room at it")

// ErrNoLender reports that nothing was sent because no other router that may send the
// request could be asked.
var ErrNoLender = eris.New("upstream: no router could be asked to send the request")

// ErrAbandoned reports that nothing was sent because nobody waits for the response any
// more: the caller has left or its deadline has passed.
var ErrAbandoned = eris.New("upstream: nobody waits for the response")

// ErrDelayed reports that nothing was sent because the turn of the request came too late
// after its upstream was chosen.
var ErrDelayed = eris.New("upstream: the choice is too old")

// ErrTooLarge reports a response that exceeds a limit of this process.
var ErrTooLarge = eris.New("upstream: response exceeds a limit")

// RefusalReason is the reason for which an upstream did not run a request.
type RefusalReason string

// Reasons of RefusedError.
const (
	RefusedLeaving        RefusalReason = wire.ErrorLeaving
	RefusedFull           RefusalReason = wire.ErrorFull
	RefusedModelNotLoaded RefusalReason = wire.ErrorModelNotLoaded
	RefusedMalformed      RefusalReason = wire.ErrorMalformed
	RefusedNoMemory       RefusalReason = wire.ErrorNoMemory
)

// RefusedError is the upstream's statement that it did not run the request. It
// unwraps to ErrRefused.
type RefusedError struct {
	Reason RefusalReason
	// RetryAfter is the delay that the upstream suggests; 0 if it suggests none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s", ErrRefused, e.Reason)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// WrapError wraps kind, one of this package's errors, with the step that failed and
// the peer, and counts it. Both kind and cause are found by errors.Is; cause may
// be nil.
func WrapError(step, peer string, kind, cause error) error {
	countFailure(kind)
	if cause == nil {
		return eris.Wrapf(kind, "%s %s", step, peer)
	}
	return eris.Wrapf(&classifiedError{kind: kind, cause: cause}, "%s %s", step, peer)
}

// classifiedError pairs an error of this package with its underlying cause.
type classifiedError struct{ kind, cause error }

func (e *classifiedError) Error() string   { return fmt.Sprintf("%v: %v", e.kind, e.cause) }
func (e *classifiedError) Unwrap() []error { return []error{e.kind, e.cause} }
