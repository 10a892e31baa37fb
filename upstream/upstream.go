// Package upstream implements the HTTP clients of the two kinds of upstream: a
// model engine, which generates a stream of tokens, and a plain service, which
// answers each call with one HTTP response.
//
// Each error states whether the request may have run. ErrNotSent is the only
// one that proves by itself that it did not run; ErrRefused passes on the
// upstream's statement that it did not.
package upstream

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrNotSent reports that no byte of the request reached the upstream.
	ErrNotSent = eris.New("upstream: request not sent")
	// ErrRefused reports that the upstream responded that it did not run the
	// request, for example because it is leaving, is full or has not loaded the
	// model. RefusedError holds the reason.
	ErrRefused = eris.New("upstream: request refused")
	// ErrBroken reports a connection that was lost or timed out after the
	// request may have been sent, or a response that is incomplete or too long:
	// the request may have run.
	ErrBroken = eris.New("upstream: response interrupted")
	// ErrProtocol reports a response that violates the protocol, for example
	// with the id of another stream, an unexpected position or a malformed line.
	ErrProtocol = eris.New("upstream: protocol violation")
	// ErrNoStream reports that the engine does not have the stream to resume.
	ErrNoStream = eris.New("upstream: stream not found")
)

// Generate asks an engine for a completion.
type Generate struct {
	// StreamID identifies the stream at the engine. It is derived from the
	// workspace and the request id, so that another router can resume or cancel
	// the stream.
	StreamID string
	Model    string
	Adapter  string
	Prompt   string
	// MaxTokens limits the output. The engine stops there; the client cancels a
	// stream that exceeds it.
	MaxTokens int64
	Priority  int
}

// Token is one generated token with its position in the output, counted from 0.
type Token struct {
	Position int64
	Text     string
}

// Usage is the token usage of one generation.
type Usage struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
	// FinishReason is FinishStop or FinishLength.
	FinishReason string
	// Overrun is set if the engine exceeded MaxTokens and the client truncated
	// the output there. PromptTokens is then its upper bound, the prompt's
	// length in bytes.
	Overrun bool
	// Adjusted is set if the engine reported an impossible count, which was
	// replaced by its bound.
	Adjusted bool
}

// Stream is one running generation. It must not be used concurrently.
type Stream interface {
	// Next returns the next token. At the end of the output it returns io.EOF,
	// and Usage is complete; after any other error the output is incomplete.
	Next() (Token, error)
	// Usage returns the token usage once the output is complete. Before that,
	// and after an error, only OutputTokens is set.
	Usage() Usage
	// Close releases the connection. The engine retains the stream for a limited
	// time so that it can be resumed; Engine.Cancel ends it immediately.
	Close() error
}

// Load is an engine's report of its own load, which lags behind its state.
type Load struct {
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	PrefillTokens int64    `json:"prefill_tokens"` // prompt tokens not yet processed
	StepMillis    float64  `json:"step_millis"`    // duration of the last batch step
	Models        []string `json:"models"`
	Loading       []string `json:"loading"` // in the desired state, not yet loaded
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role"`
	Fence         int64    `json:"fence"` // fencing token of the last accepted desired state
	Leaving       bool     `json:"leaving"`
	AgeMillis     int64    `json:"age_millis"` // age of the report
}

// CacheEvent reports that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Sequence int64  `json:"sequence"` // a gap means that events were lost
	Prefix   uint64 `json:"prefix"`   // xxhash of the prefix up to this block, see PrefixChain
	Stored   bool   `json:"stored"`   // false: evicted
}

// DesiredState is the state that an engine must reach. It is declarative, so
// that a message which arrives late has no lasting effect.
type DesiredState struct {
	Fence    int64    `json:"fence"` // fencing token of the sender
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// Engine is the client of one model engine.
type Engine interface {
	Generate(ctx context.Context, g Generate) (Stream, error)
	// Resume continues a stream at position from, the one after the last token
	// that the caller has. The caller wraps the result with EnforceLimits.
	Resume(ctx context.Context, streamID string, from int64) (Stream, error)
	Cancel(ctx context.Context, streamID string) error
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	SetDesiredState(ctx context.Context, state DesiredState) error
}

// Call is one call to a plain service.
type Call struct {
	RequestID string
	Method    string
	Path      string
	Body      []byte
	// ContentType is the media type of Body; if empty, no header is sent.
	ContentType string
}

// Reply is the response of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is the client of one server of a plain service.
type Service interface {
	Do(ctx context.Context, c Call) (Reply, error)
}
