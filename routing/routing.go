// Package routing chooses the upstream for each request. A Table holds the router's current
// state of every upstream, and a policy module picks one of them.
//
// The package does no I/O. Load reports, cache events and outcomes of calls are passed in;
// they may be late, lost or wrong. The package uses them only to reduce latency: no
// guarantee depends on them.
//
// A session is the set of requests with the same affinity key, a hash of the prompt parts
// that they share (the shared prefix). Its affinity upstream is the one that likely caches
// that prefix, or else the first one after the key on a consistent hash ring.
package routing

import (
	"fmt"
	"time"
)

// Target is the resource that a request needs: a model loaded by engines, or a plain
// service. Exactly one field is set.
type Target struct {
	Model   string
	Service string
}

// String returns the target as "model NAME" or "service NAME".
func (t Target) String() string {
	if t.Service != "" {
		return "service " + t.Service
	}
	return "model " + t.Model
}

// Request describes one attempt of a request.
type Request struct {
	ID        string
	Workspace string
	Target    Target
	// Attempt is 0 for the first attempt; later ones are limited by the retry budgets.
	Attempt int
	// Prefix holds the chained hashes of the prompt's full blocks, shortest prefix first:
	// upstream.PrefixChain.
	Prefix []uint64
	// AffinityKey is a hash of the prompt parts that are shared with other requests, if the
	// parts are known; requests with the same key go to the same few upstreams. With 0,
	// Prefix decides.
	AffinityKey uint64
	// SharedTokens is the length of these shared parts in tokens.
	SharedTokens int64
	// Shorter are the proper prefixes of these parts, shortest first, which other sessions may
	// share.
	Shorter []SharedPrefix
	// TargetLatency is the acceptable time to a first token; 0 if unknown.
	TargetLatency time.Duration
	// PauseTarget is the longest acceptable pause between two events of a stream; 0 if unknown.
	PauseTarget time.Duration
	// PromptTokens is the expected length of the prompt in tokens.
	PromptTokens int64
	// MaxTokens is the maximum length of the response in tokens.
	MaxTokens int64
	// Priority is the priority of the request's kind; 0 is the highest.
	Priority int
	// DataCentre is the router's data centre.
	DataCentre string
	// Exclude lists upstreams that earlier attempts of the request tried.
	Exclude []string
	// Eligible, if set, reports whether an upstream may get the request at all.
	Eligible func(id string) bool
}

// SharedPrefix is a part of a prompt from its beginning.
type SharedPrefix struct {
	Key    uint64 // a hash of the parts
	Tokens int64
}

// tokens returns the most that the request can take of an engine's memory.
func (r *Request) tokens() int64 { return r.PromptTokens + r.MaxTokens }

// OutcomeKind is the way in which an attempt ended.
type OutcomeKind uint8

// Outcomes of an attempt.
const (
	// OutcomeOK is a complete response.
	OutcomeOK OutcomeKind = iota
	// OutcomeCancelled is an attempt that the caller or the router ended; it says nothing
	// about the upstream.
	OutcomeCancelled
	// OutcomeUnreachable is a connection that could not be opened.
	OutcomeUnreachable
	// OutcomeReplaced is a refusal by another upstream that has the address now.
	OutcomeReplaced
	// OutcomeFull is a refusal by an upstream without free capacity.
	OutcomeFull
	// OutcomeLeaving is a refusal by an upstream that is leaving.
	OutcomeLeaving
	// OutcomeNotLoaded is a refusal by an engine that has not loaded the model.
	OutcomeNotLoaded
	// OutcomeBroken is a lost connection or a stalled response after bytes were sent.
	OutcomeBroken
	// OutcomeProtocol is a response that violates the protocol.
	OutcomeProtocol
	// OutcomeNotLent is a request that another router was to send and that none could be
	// asked to.
	OutcomeNotLent
	// OutcomeErrored is a complete response that reports an error of the upstream. A
	// single one says little; an upstream with many more than its pool is degraded.
	OutcomeErrored
)

// Failed reports whether the outcome counts as a failure for ejection.
func (k OutcomeKind) Failed() bool {
	return k == OutcomeUnreachable || k == OutcomeBroken || k == OutcomeProtocol
}

// Outcome is the observed result of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// FirstToken is the time from dispatch to the first token, or 0 if there was none.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
	// Token usage as reported by the engine; 0 if not reported.
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// NoUpstreamError means that no upstream may take the request now.
type NoUpstreamError struct {
	Target Target
	// RetryAfter is the suggested delay before a retry.
	RetryAfter time.Duration
	// Limited says that RetryAfter is when the first upstream that waits for its limit may
	// get a request.
	Limited bool
	Why     string
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("pick upstream for %s: %s", e.Target, e.Why)
}
