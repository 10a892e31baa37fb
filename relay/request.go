// Package relay forwards callers' HTTP requests to upstreams. A request has one opaque
// body; its response is either whole or a stream of server-sent events. The package
// decides where a request goes, whether it may be retried, what it may consume of its
// workspace's budget and what its caller is told.
//
// The package does no I/O of its own. Sockets, budgets and the list of upstreams are
// interfaces, so that tests run it in virtual time.
package relay

import (
	"net/http"
	"time"
)

// Kind says whether requests of a route may be retried. It follows from the route's
// configuration, never from a request's method or name.
type Kind uint8

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests must not run twice.
	AtMostOnce
	// Stream requests are answered by a stream of events and run at most once.
	Stream
	// Resumable requests are Stream requests that a second upstream may continue after
	// the last event that was forwarded.
	Resumable
)

// Retryable reports whether a request may run a second time.
func (k Kind) Retryable() bool { return k == Idempotent || k == Resumable }

// Streams reports whether the response is a stream of events.
func (k Kind) Streams() bool { return k == Stream || k == Resumable }

// Part is one part of a prompt. Requests that begin with the same parts share the
// engine's cached state of them.
type Part struct {
	ID     string
	Tokens int64
}

// Size is the most that a request can consume of its budget, in tokens.
type Size struct {
	Prompt    int64
	MaxOutput int64
}

// Ceiling returns the most that the request can consume, in tokens.
func (s Size) Ceiling() int64 { return s.Prompt + s.MaxOutput }

// Request is one request of a caller. A caller's own retry is another request with
// another id.
type Request struct {
	ID string
	// Caller is the caller's address, for logs.
	Caller string
	// Host selects the route; Authority is the host as the caller sent it.
	Host      string
	Authority string
	Method    string
	// Target is the path and query as the caller sent them; Path is the path alone.
	Target string
	Path   string
	// Header holds the headers to forward, without hop-by-hop headers and those that
	// only the router may set.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, empty if there was none.
	Key   string
	Model string
	// Size is zero for requests to services without model engines.
	Size  Size
	Parts []Part
	// LastEventID is the last event that the caller has; the response continues after
	// it. It is empty for a stream from its beginning.
	LastEventID string
	// Origin is the id of the caller's request that brought the first event of the stream
	// that this request continues. It is empty if the caller did not name it.
	Origin  string
	Arrived time.Time
	// Left reports whether the caller has closed its connection. Unlike the context it does
	// not wait for another goroutine to read the close. Nil stands for never.
	Left func() bool
	// CallerTimeout is how long the caller waits after Arrived; 0 if it did not say.
	CallerTimeout time.Duration
}

// Problem is an error response that the router itself generates.
type Problem struct {
	Status int
	// Name is short and stable, for logs and metrics.
	Name   string
	Detail string
	// Cause distinguishes the reasons that share a name; empty if there is none.
	Cause string
	// RetryAfter is when the caller may try again; 0 if the response does not say.
	RetryAfter time.Duration
}

// Error implements error.
func (p *Problem) Error() string { return p.Name + ": " + p.Detail }

// NotExecuted reports whether the response guarantees that the request has not run and
// never will.
func (p *Problem) NotExecuted() bool {
	return p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests
}

// Writer writes the response to one request.
type Writer interface {
	// Refuse responds with a problem. Nothing may have been written before.
	Refuse(p *Problem)
	// WriteResponse sends a whole response.
	WriteResponse(status int, h http.Header, body []byte)
	// Begin sends the status and headers of a stream of events.
	Begin(status int, h http.Header)
	// Event sends and flushes one whole event.
	Event(event []byte) error
	// Abort closes the connection without ending the response, so that the caller can't
	// take what was sent for a whole response.
	Abort()
}
