// Package request executes requests: each runs once and is billed once, and all
// callers that send the same idempotency key follow the same run.
//
// Any router can execute any request. To let retries find the run in progress, a
// request is forwarded to its preferred router, the one that rendezvous hashing
// ranks first among the region's routers.
//
// Admission, budgets, routing, upstreams and the platform's table are interfaces
// that the caller supplies; the package itself holds the execution logic.
package request

import (
	"crypto/sha256"
	"time"

	"buckthornridge/budget"
	"buckthornridge/upstream"
)

// Key identifies a request. Keys are scoped to their workspace.
type Key struct {
	Workspace string `msgpack:"w"`
	ID        string `msgpack:"i"`
}

// String returns "workspace/id".
func (k Key) String() string { return k.Workspace + "/" + k.ID }

// Digest is the SHA-256 digest of a request's content. A request that reuses a
// key with a different digest is refused.
type Digest [sha256.Size]byte

// Request is a validated request that any router can run.
type Request struct {
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d"`
	Budget string `msgpack:"b"`
	Kind   string `msgpack:"c"`
	// CallerKey reports that the caller chose the key and can therefore retry
	// with it.
	CallerKey bool `msgpack:"y"`
	// Timeout is the time remaining to the deadline when the request was sent.
	Timeout time.Duration `msgpack:"t"`

	// Exactly one of Generate and Call is set.
	Generate *Generate `msgpack:"g"`
	Call     *Call     `msgpack:"s"`

	// Hint names the engine stream of an earlier attempt, if one is known.
	Hint *Hint `msgpack:"h"`
	// Trace is the W3C traceparent of the hop that forwarded the request.
	Trace string `msgpack:"p"`
}

// BudgetID returns the budget that the request draws on.
func (r *Request) BudgetID() budget.ID {
	return budget.ID{Workspace: r.Key.Workspace, Name: r.Budget}
}

// Ceiling returns the maximum number of tokens that the request can consume: a
// prompt token is at least one byte long, and the engine stops at MaxTokens.
func (r *Request) Ceiling() int64 {
	if r.Call != nil {
		return r.Call.Tokens
	}
	return int64(len(r.Generate.Prompt)) + r.Generate.MaxTokens
}

// Generate is the content of a model request.
type Generate struct {
	Model     string `msgpack:"m"`
	Adapter   string `msgpack:"a"`
	Prompt    string `msgpack:"p"`
	MaxTokens int64  `msgpack:"x"`
	Priority  int    `msgpack:"r"`
	// FirstToken is the deadline for the first token, measured from arrival.
	FirstToken time.Duration `msgpack:"f"`
}

// Call is a call to a service, an upstream that is not a model engine. A call
// that is not idempotent is executed at most once.
type Call struct {
	Service    string `msgpack:"s"`
	Method     string `msgpack:"m"`
	Path       string `msgpack:"p"`
	Body       []byte `msgpack:"b"`
	Idempotent bool   `msgpack:"r"`
	Tokens     int64  `msgpack:"t"` // fixed price
}

// Hint is the last known location of a request's engine stream.
type Hint struct {
	Upstream string `msgpack:"u"`
	StreamID string `msgpack:"s"`
}

// Outcome is the final result of a request. Problem is nil on success.
type Outcome struct {
	Usage   upstream.Usage  `msgpack:"u"`
	Reply   *upstream.Reply `msgpack:"r"`
	Problem *Problem        `msgpack:"p"`
}
