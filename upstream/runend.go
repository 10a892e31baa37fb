package upstream

import (
	"errors"
	"io"
	"syscall"

	"github.com/rotisserie/eris"

	"buckthornridge/httpconn"
)

// RunEnd says what is known of the end of a run whose exchange has failed. A second run of
// the same request is one at the same time as the first unless that one has ended.
type RunEnd uint8

const (
	// RunUnknown: the upstream has not said so, and may not learn that nobody waits.
	RunUnknown RunEnd = iota
	// RunEnded: the upstream ended the exchange.
	RunEnded
	// RunCancelled: a router reset the connection while packets went through. Most upstreams
	// then end the run.
	RunCancelled
)

// String returns the name in logs and metrics.
func (e RunEnd) String() string {
	switch e {
	case RunEnded:
		return "ended"
	case RunCancelled:
		return "cancelled"
	}
	return "unknown"
}

// ErrRouterLost reports that the router which sent the request on behalf of this one was
// lost before the response was complete.
var ErrRouterLost = eris.New("upstream: the router that sent the request was lost")

// runEndError is an error that says how the run ended.
type runEndError struct {
	error
	end RunEnd
}

// Unwrap returns the error without what it says of the run.
func (e *runEndError) Unwrap() error { return e.error }

// WithRunEnd adds to an error what is known of the end of the run.
func WithRunEnd(err error, end RunEnd) error { return &runEndError{err, end} }

// RunEndOf returns what the error of a failed exchange tells about the end of the run.
func RunEndOf(err error) RunEnd {
	var said *runEndError
	switch {
	case errors.As(err, &said):
		return said.end
	case errors.Is(err, syscall.ETIMEDOUT):
		return RunUnknown
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return RunEnded
	}
	return RunCancelled
}

// Causes of a broken exchange, for logs and metrics.
const (
	BreakClosed     = "closed"      // the upstream closed or reset the connection
	BreakSilent     = "silent"      // nothing came over the connection any more
	BreakInvalid    = "invalid"     // the upstream's bytes are not the response to this request
	BreakTooLarge   = "too_large"   // the response exceeds a limit
	BreakRouterLost = "router_lost" // the router between was lost
)

// BreakCause returns why an exchange failed.
func BreakCause(err error) string {
	switch {
	case errors.Is(err, ErrRouterLost):
		return BreakRouterLost
	case errors.Is(err, ErrTooLarge), errors.Is(err, httpconn.ErrHeadTooLarge):
		return BreakTooLarge
	}
	switch RunEndOf(err) {
	case RunEnded:
		return BreakClosed
	case RunUnknown:
		return BreakSilent
	}
	return BreakInvalid
}
